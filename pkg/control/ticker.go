package control

import (
	"context"
	"sync"
	"time"
)

// Ticker sends on C every period. It drops a tick while the one before has not been
// received.
//
// It replaces time.Ticker: in a testing/synctest bubble, Go 1.26's race detector
// crashes if a channel timer fires while a goroutine selects on its channel. Timers
// that call a function are not affected.
type Ticker struct {
	C <-chan struct{}

	mu      sync.Mutex
	out     chan struct{}
	period  time.Duration
	timer   *time.Timer
	stopped bool
}

// NewTicker returns a running ticker.
func NewTicker(period time.Duration) *Ticker {
	out := make(chan struct{}, 1)
	t := &Ticker{C: out, out: out, period: period}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(period, t.fire)
	return t
}

// fire sends a tick and starts the timer for the next one.
func (t *Ticker) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	select {
	case t.out <- struct{}{}:
	default:
	}
	t.timer = time.AfterFunc(t.period, t.fire)
}

// Stop stops the ticker. It doesn't close C.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// Sleep waits for d or until the context ends; it then returns the context's error.
// It waits on a context rather than a channel timer for the reason given at Ticker.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timeout, cancel := context.WithTimeout(context.WithoutCancel(ctx), d)
	defer cancel()
	select {
	case <-timeout.Done():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

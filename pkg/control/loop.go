// Package control provides an event loop that runs all code of a component on one
// goroutine, so that its state needs no locks, and helpers for time.
package control

import (
	"context"
	"sync/atomic"
	"time"
)

// queueSize is the number of functions that may wait for the goroutine; Post blocks
// beyond it.
const queueSize = 1024

// Loop runs functions one at a time. It is a suture service: a panic in a function
// ends the service, and the supervisor restarts it.
type Loop struct {
	work   chan func(time.Time)
	tick   time.Duration
	onTick func(time.Time)
}

// NewLoop returns a loop that also calls onTick periodically, every tick.
func NewLoop(tick time.Duration, onTick func(now time.Time)) *Loop {
	return &Loop{work: make(chan func(time.Time), queueSize), tick: tick, onTick: onTick}
}

// Serve runs the loop until the context ends.
func (l *Loop) Serve(ctx context.Context) error {
	t := NewTicker(l.tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-l.work:
			f(time.Now())
		case <-t.C:
			l.onTick(time.Now())
		}
	}
}

// Do runs f on the loop's goroutine and waits until it returns. It returns false if
// the context ended before f began; f then never runs. f may thus write to the
// caller's variables without synchronization.
func (l *Loop) Do(ctx context.Context, f func(now time.Time)) bool {
	done := make(chan struct{})
	var begun atomic.Bool // Set by the loop or on the context's end, whichever is first.
	select {
	case l.work <- func(now time.Time) {
		if !begun.CompareAndSwap(false, true) {
			return
		}
		defer close(done)
		f(now)
	}:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
	}
	if begun.CompareAndSwap(false, true) {
		return false
	}
	<-done
	return true
}

// Post queues f to run on the loop's goroutine and doesn't wait for it to run. It
// blocks while the queue is full.
func (l *Loop) Post(f func(now time.Time)) { l.work <- f }

// Package backend sends requests to one HTTP peer, a backend server or another
// VM, and passes on answers only when they are provably whole.
//
// It uses net/http to write requests and to read answers, but keeps its own
// connections. net/http's Transport resends by itself what it holds for
// replayable, and can hand surplus bytes of one answer to the next request.
// Here a request is written at most once by each call, a failure tells whether
// a byte of it was written, and a connection that shows a byte out of turn is
// closed.
package backend

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// Dialer opens a connection to an address of the form host:port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Bounds of the connections to one peer.
const (
	maxIdle     = 16
	maxIdleTime = 5 * time.Second        // Where the peer does not tell.
	dialTimeout = 250 * time.Millisecond // Many times a round trip within a region.
)

// ConnPool holds the connections to one peer.
type ConnPool struct {
	address string
	dial    Dialer

	mu   sync.Mutex
	idle []*conn // The last one used stands last.
}

// NewConnPool returns a link without connections.
func NewConnPool(address string, dial Dialer) *ConnPool {
	return &ConnPool{address: address, dial: dial}
}

// CheckReachable reports whether a new connection to the peer can be opened.
func (l *ConnPool) CheckReachable(ctx context.Context) error {
	nc, err := l.open(ctx)
	if err != nil {
		return err
	}
	return nc.Close()
}

// CloseIdle closes the idle connections. It is called when one of them went silent
// although a new one works.
func (l *ConnPool) CloseIdle() {
	l.mu.Lock()
	idle := l.idle
	l.idle = nil
	l.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

func (l *ConnPool) open(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return l.dial(ctx, l.address)
}

// take returns a quiet idle connection, or a new one.
func (l *ConnPool) take(ctx context.Context, now time.Time, fresh bool) (*conn, error) {
	for !fresh {
		c := l.pop()
		if c == nil {
			break
		}
		if now.Sub(c.idleAt) < c.keep && c.quiet() {
			c.reused = true
			return c, nil
		}
		c.close()
	}
	nc, err := l.open(ctx)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

func (l *ConnPool) pop() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.idle)
	if n == 0 {
		return nil
	}
	c := l.idle[n-1]
	l.idle = l.idle[:n-1]
	return c
}

// give puts a connection back after a whole answer.
func (l *ConnPool) give(now time.Time, c *conn) {
	c.idleAt = now
	c.written = 0
	l.mu.Lock()
	var old *conn
	if len(l.idle) >= maxIdle {
		old = l.idle[0]
		l.idle = l.idle[1:]
	}
	l.idle = append(l.idle, c)
	l.mu.Unlock()
	if old != nil {
		old.close()
	}
}

// Prune closes the connections that have rested too long, and reports whether
// none is left.
func (l *ConnPool) Prune(now time.Time) bool {
	l.mu.Lock()
	var old []*conn
	l.idle = slices.DeleteFunc(l.idle, func(c *conn) bool {
		if now.Sub(c.idleAt) < c.keep {
			return false
		}
		old = append(old, c)
		return true
	})
	empty := len(l.idle) == 0
	l.mu.Unlock()
	for _, c := range old {
		c.close()
	}
	return empty
}

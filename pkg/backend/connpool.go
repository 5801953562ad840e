// Package backend sends requests to an HTTP peer, a backend server or another VM,
// and returns a response only if it is provably complete.
//
// It uses net/http to write requests and to read responses, but manages its own
// connections. net/http's Transport retries requests that it considers replayable,
// and can deliver excess bytes of one response as the response to the next request.
// Here each call writes the request at most once, an error tells whether any byte
// of it was written, and a connection with unexpected bytes is closed.
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

// Limits of the connections to one peer.
const (
	maxIdleConns = 16
	maxIdleTime  = 5 * time.Second        // Unless the peer's Keep-Alive header sets a shorter time.
	dialTimeout  = 250 * time.Millisecond // Many times the round-trip time within a region.
)

// ConnPool holds the idle connections to one peer and opens new ones.
type ConnPool struct {
	address string
	dial    Dialer

	mu   sync.Mutex
	idle []*conn // Most recently used last.
}

// NewConnPool returns an empty pool.
func NewConnPool(address string, dial Dialer) *ConnPool {
	return &ConnPool{address: address, dial: dial}
}

// CheckReachable returns an error if no new connection to the peer can be opened.
func (l *ConnPool) CheckReachable(ctx context.Context) error {
	nc, err := l.open(ctx)
	if err != nil {
		return err
	}
	return nc.Close()
}

// CloseIdle closes the idle connections. It is called at shutdown, and when an
// idle connection may be dead although the peer accepts new ones.
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

// get returns a usable idle connection, or a new one. If fresh is set, it always
// opens a new one.
func (l *ConnPool) get(ctx context.Context, now time.Time, fresh bool) (*conn, error) {
	for !fresh {
		c := l.pop()
		if c == nil {
			break
		}
		if now.Sub(c.idleAt) < c.idleTimeout && c.isIdle() {
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

// put returns a connection to the pool after a complete response. If the pool is
// full, the connection that has been idle longest is closed.
func (l *ConnPool) put(now time.Time, c *conn) {
	c.idleAt = now
	c.written = 0
	l.mu.Lock()
	var old *conn
	if len(l.idle) >= maxIdleConns {
		old = l.idle[0]
		l.idle = l.idle[1:]
	}
	l.idle = append(l.idle, c)
	l.mu.Unlock()
	if old != nil {
		old.close()
	}
}

// Prune closes the connections that have exceeded their idle timeout, and reports
// whether the pool is empty.
func (l *ConnPool) Prune(now time.Time) bool {
	l.mu.Lock()
	var old []*conn
	l.idle = slices.DeleteFunc(l.idle, func(c *conn) bool {
		if now.Sub(c.idleAt) < c.idleTimeout {
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

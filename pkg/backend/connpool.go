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
	"cmp"
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

// CheckReachable returns an error if no new connection to the peer can be opened within a
// timeout.
func (p *ConnPool) CheckReachable(ctx context.Context, timeout time.Duration) error {
	nc, err := p.open(ctx, timeout)
	if err != nil {
		return err
	}
	return nc.Close()
}

// CloseIdle closes the idle connections. It is called at shutdown, and when an
// idle connection may be dead although the peer accepts new ones.
func (p *ConnPool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// open opens a connection within a timeout, or within dialTimeout if that is zero. A timeout
// of its own is not reported as the end of the context.
func (p *ConnPool) open(ctx context.Context, timeout time.Duration) (net.Conn, error) {
	timeout = cmp.Or(timeout, dialTimeout)
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := p.dial(bounded, p.address)
	if ctx.Err() == nil && ConnectResultOf(err) == ConnectTimedOut {
		return nil, &connectTimeoutError{p.address, timeout}
	}
	return nc, err
}

// get returns a usable idle connection for a request, or a new one. If the options ask for a new
// one, it always opens one.
func (p *ConnPool) get(ctx context.Context, now time.Time, id string, o *Options) (*conn, error) {
	for !o.NewConn {
		c := p.pop()
		if c == nil {
			break
		}
		if now.Sub(c.idleSince) < c.idleTimeout && !c.hasRefused(id) && c.isReusable() {
			c.reused = true
			return c, nil
		}
		c.close()
	}
	if o.KeptOnly {
		return nil, ErrNoKeptConn
	}
	nc, err := p.open(ctx, o.ConnectTimeout)
	if o.OnConnect != nil {
		o.OnConnect(ConnectResultOf(err))
	}
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

func (p *ConnPool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// put returns a connection to the pool after a complete response. If the pool is
// full, the connection that has been idle longest is closed.
func (p *ConnPool) put(now time.Time, c *conn) {
	c.idleSince = now
	c.written, c.received = 0, false
	p.mu.Lock()
	var old *conn
	if len(p.idle) >= maxIdleConns {
		old = p.idle[0]
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	if old != nil {
		old.close()
	}
}

// Prune closes the connections that have exceeded their idle timeout, and reports
// whether the pool is empty.
func (p *ConnPool) Prune(now time.Time) bool {
	p.mu.Lock()
	var old []*conn
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if now.Sub(c.idleSince) < c.idleTimeout {
			return false
		}
		old = append(old, c)
		return true
	})
	empty := len(p.idle) == 0
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
	return empty
}

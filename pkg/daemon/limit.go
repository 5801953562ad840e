package daemon

import (
	"errors"
	"net"
	"sync"
	"time"

	"laburnumpick.org/pkg/outcome"
)

// refusalTimeout bounds the handling of a refused connection.
const refusalTimeout = time.Second

// limitListener limits the open connections, in total and per client host. A
// connection beyond the limit gets an overload response: nothing of its request has
// been read, so the response can state that the request has not run.
type limitListener struct {
	net.Listener
	maxOpen    int
	maxPerHost int
	refusal    []byte

	mu        sync.Mutex
	openCount int
	perHost   map[string]int
}

func newLimitListener(l net.Listener, maxOpen, maxPerHost int) *limitListener {
	return &limitListener{
		Listener: l, maxOpen: maxOpen, maxPerHost: maxPerHost, refusal: outcome.RawResponse(outcome.New(outcome.Overload, "too many connections are open")), perHost: make(map[string]int),
	}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(c.RemoteAddr().String())
		if err != nil {
			host = c.RemoteAddr().String()
		}
		if l.acquire(host) {
			return &limitedConn{Conn: c, release: func() { l.release(host) }}, nil
		}
		go l.refuse(c)
	}
}

func (l *limitListener) acquire(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openCount >= l.maxOpen || l.perHost[host] >= l.maxPerHost {
		return false
	}
	l.openCount++
	l.perHost[host]++
	return true
}

func (l *limitListener) release(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openCount--
	if l.perHost[host]--; l.perHost[host] == 0 {
		delete(l.perHost, host)
	}
}

func (l *limitListener) refuse(c net.Conn) {
	defer func() { _ = c.Close() }()
	if c.SetDeadline(time.Now().Add(refusalTimeout)) != nil {
		return
	}
	if _, err := c.Write(l.refusal); err != nil {
		return
	}
	// Closing a connection with unread input resets it, and the client could lose
	// the response.
	var buf [4 << 10]byte
	for {
		if _, err := c.Read(buf[:]); err != nil {
			return
		}
	}
}

// limitedConn releases its place in the limits when it is closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// NetConn returns the connection inside, for socket.IsQuiet.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the write side, so that the caller can read the response to
// its end.
func (c *limitedConn) CloseWrite() error {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

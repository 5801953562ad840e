package daemon

import (
	"errors"
	"net"
	"sync"
	"time"

	"laburnumpick.org/pkg/outcome"
)

// refusalTime bounds the writing of the answer to a connection too many.
const refusalTime = time.Second

// limitListener bounds the open connections, in all and from one address. A
// connection too many is told so, since nothing of its request is read.
type limitListener struct {
	net.Listener
	most        int
	mostFromOne int
	refusal     []byte

	mu   sync.Mutex
	open int
	from map[string]int
}

func newLimitListener(l net.Listener, most, mostFromOne int) *limitListener {
	return &limitListener{
		Listener: l, most: most, mostFromOne: mostFromOne, refusal: outcome.RawResponse(outcome.New(outcome.Overload, "too many connections are open")), from: make(map[string]int),
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
		if l.enter(host) {
			return &limitedConn{Conn: c, leave: func() { l.leave(host) }}, nil
		}
		go l.refuse(c)
	}
}

func (l *limitListener) enter(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.most || l.from[host] >= l.mostFromOne {
		return false
	}
	l.open++
	l.from[host]++
	return true
}

func (l *limitListener) leave(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if l.from[host]--; l.from[host] == 0 {
		delete(l.from, host)
	}
}

func (l *limitListener) refuse(c net.Conn) {
	defer func() { _ = c.Close() }()
	if c.SetDeadline(time.Now().Add(refusalTime)) != nil {
		return
	}
	if _, err := c.Write(l.refusal); err != nil {
		return
	}
	// Bytes that nobody read would reset the connection before the answer.
	var buf [4 << 10]byte
	for {
		if _, err := c.Read(buf[:]); err != nil {
			return
		}
	}
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	once  sync.Once
	leave func()
}

// CloseWrite ends the sending, so that the caller can read to the end.
func (c *limitedConn) CloseWrite() error {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.leave)
	return c.Conn.Close()
}

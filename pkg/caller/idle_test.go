package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// watchedListener counts what the server reads from its connections.
type watchedListener struct {
	net.Listener
	read atomic.Int64
	late atomic.Bool // The process is late: reads return only when their deadline has passed.
}

func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: c, l: l}, nil
}

// watchedConn is a connection of a watchedListener.
type watchedConn struct {
	net.Conn
	l *watchedListener

	mu       sync.Mutex
	deadline time.Time
}

func (c *watchedConn) NetConn() net.Conn { return c.Conn }

func (c *watchedConn) CloseWrite() error { return c.Conn.(writeCloser).CloseWrite() }

func (c *watchedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// readDeadline returns the deadline that was set last.
func (c *watchedConn) readDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline
}

// Read reads. If the process is late, it returns as a blocked read of a socket does then: the deadline has
// passed, and nothing of what has arrived is returned.
func (c *watchedConn) Read(p []byte) (int, error) {
	if at := c.readDeadline(); c.l.late.Load() && at.After(time.Now()) {
		time.Sleep(time.Until(at))
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	c.l.read.Add(int64(n))
	return n, err
}

// withWatched runs a test on a server whose connections are watched.
func withWatched(t *testing.T, test func(f *fixture, l *watchedListener)) {
	t.Helper()
	withServer(t, func(f *fixture) {
		inner, err := f.net.Listen("watched:80")
		assert.NilError(t, err)
		l := &watchedListener{Listener: inner}
		go func() { _ = f.s.Serve(l) }()
		test(f, l)
		assert.NilError(t, l.Close())
	})
}

// dialWatched opens a connection to a watchedListener.
func (f *fixture) dialWatched() net.Conn {
	f.t.Helper()
	c, err := f.net.DialFrom(context.Background(), "caller", "watched:80")
	assert.NilError(f.t, err)
	return c
}

// TestRequestBeforeTheIdleTimeoutIsAnsweredByALateVM guards against requests that had arrived before the idle
// timeout and were thrown away, since the process got no processor until after it.
func TestRequestBeforeTheIdleTimeoutIsAnsweredByALateVM(t *testing.T) {
	withWatched(t, func(f *fixture, l *watchedListener) {
		l.late.Store(true)
		c := f.dialWatched()
		time.Sleep(limits.IdleTimeout - time.Second)
		f.send(c, get("/0ms/a"))
		time.Sleep(500 * time.Millisecond)
		body, _ := f.readResponse(bufio.NewReader(c))
		assert.Equal(t, body, "/0ms/a ")
		l.late.Store(false)
	})
}

// TestRequestThatCrossesAnIdleCloseIsNotRead guards against requests that were read and thrown away, since
// they came while the VM closed their idle connection. Their callers could not know whether they ran.
func TestRequestThatCrossesAnIdleCloseIsNotRead(t *testing.T) {
	withWatched(t, func(f *fixture, l *watchedListener) {
		c := f.dialWatched()
		f.send(c, get("/0ms/first"))
		f.readResponse(bufio.NewReader(c))
		before := l.read.Load()
		time.Sleep(limits.IdleTimeout - time.Millisecond - 100*time.Microsecond) // The response took a millisecond.
		f.send(c, post("/0ms/second", "x"))
		time.Sleep(time.Second)
		assert.Equal(t, l.read.Load(), before)
		assert.DeepEqual(t, f.h.list(&f.h.began), []string{"/0ms/first"})
	})
}

// TestStopReadsNoRequestThatCrossesIt guards against the same in a planned stop, just after a response.
func TestStopReadsNoRequestThatCrossesIt(t *testing.T) {
	withWatched(t, func(f *fixture, l *watchedListener) {
		c := f.dialWatched()
		f.send(c, get("/0ms/first"))
		r := bufio.NewReader(c)
		f.readResponse(r)
		before := l.read.Load()
		go func() { _ = f.s.Shutdown(context.Background()) }()
		time.Sleep(lastLook - 500*time.Microsecond)
		f.send(c, post("/0ms/second", "x"))
		_, err := r.ReadByte()
		assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
		time.Sleep(time.Second)
		assert.Equal(t, l.read.Load(), before)
	})
}

// TestRaisedIdleTimeoutHoldsForIdleConnections guards against connections that end by the idle timeout that was
// in force when they became idle: their callers keep to the present one.
func TestRaisedIdleTimeoutHoldsForIdleConnections(t *testing.T) {
	withServer(t, func(f *fixture) {
		short := limits
		short.IdleTimeout = 5 * time.Second
		f.limits.Store(&short)
		c, r := f.dial()
		f.send(c, get("/0ms/first"))
		f.readResponse(r)
		time.Sleep(time.Second)
		f.limits.Store(&limits)
		time.Sleep(limits.IdleTimeout*4/5 - time.Second)
		f.send(c, get("/0ms/second"))
		body, _ := f.readResponse(r)
		assert.Equal(t, body, "/0ms/second ")
	})
}

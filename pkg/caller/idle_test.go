package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/socket"
)

// watchedListener counts what the server reads from its connections.
type watchedListener struct {
	net.Listener
	read atomic.Int64
	late atomic.Bool // The process is late: reads that find nothing return only when their deadline has passed.
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
	blocks := socket.IsQuiet(c.Conn)
	if at := c.readDeadline(); c.l.late.Load() && blocks && at.After(time.Now()) {
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

// TestStopAnswersRequestsUnderWay guards against a planned stop that ends idle connections while a request of a
// caller, who knows nothing of the stop, is on its way.
func TestStopAnswersRequestsUnderWay(t *testing.T) {
	withServer(t, func(f *fixture) {
		c, r := f.dial()
		f.send(c, get("/0ms/first"))
		f.readResponse(r)
		go func() { _ = f.s.Shutdown(context.Background()) }()
		time.Sleep(lastLook / 2)
		f.send(c, post("/0ms/second", "x"))
		body, last := f.readResponse(r)
		assert.Equal(t, body, "/0ms/second x")
		assert.Assert(t, last)
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

// TestKeepAliveIsAnnounced guards against callers that know no time to stay within, and whose requests
// therefore cross the end of idle connections.
func TestKeepAliveIsAnnounced(t *testing.T) {
	cases := []struct {
		name    string
		timeout time.Duration
		text    string
		want    string
	}{
		{"whole seconds", 15 * time.Second, get("/0ms/a"), "timeout=12"},
		{"rounded down", 2 * time.Second, get("/0ms/a"), "timeout=1"},
		{"too short to be told", time.Second, get("/0ms/a"), ""},
		{"the connection ends", 15 * time.Second, "GET /0ms/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", ""},
		{"response of the server itself", 15 * time.Second, "GET / HTTP/1.1\r\n\r\n", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withServer(t, func(f *fixture) {
				lim := limits
				lim.IdleTimeout = c.timeout
				f.limits.Store(&lim)
				nc, r := f.dial()
				f.send(nc, c.text)
				resp, err := http.ReadResponse(r, nil)
				assert.NilError(t, err)
				assert.NilError(t, resp.Body.Close())
				assert.Equal(t, resp.Header.Get("Keep-Alive"), c.want)
				assert.Equal(t, resp.Header.Get("Connection") == "keep-alive", c.want != "")
			})
		})
	}
}

// idlePlays is the number of random connections that TestEachRequestIsAnsweredOrNotRead plays.
const idlePlays = 300

// TestEachRequestIsAnsweredOrNotRead plays connections with pauses around the idle timeout, whose limits
// change meanwhile and whose server stops at the end. Each request is answered, or the server has read nothing of
// it; and each that is sent within the announced time is answered while the server does not stop.
func TestEachRequestIsAnsweredOrNotRead(t *testing.T) {
	for seed := range uint64(idlePlays) {
		withWatched(t, func(f *fixture, l *watchedListener) {
			playIdle(t, f, l, rand.New(rand.NewPCG(seed, 0)))
		})
	}
}

// exchangeOnce sends a request and reads the response.
func exchangeOnce(c net.Conn, r *bufio.Reader) error {
	if _, err := io.WriteString(c, post("/0ms/a", "x")); err != nil {
		return err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	return resp.Body.Close()
}

// playIdle plays one connection of TestEachRequestIsAnsweredOrNotRead.
func playIdle(t *testing.T, f *fixture, l *watchedListener, rng *rand.Rand) {
	t.Helper()
	c := f.dialWatched()
	r := bufio.NewReader(c)
	stopping := false
	for range 4 {
		lim := limits
		lim.IdleTimeout = time.Duration(1+rng.IntN(4)) * time.Second
		f.limits.Store(&lim)
		near := lim.IdleTimeout - 5*time.Millisecond + time.Duration(rng.IntN(10_000))*time.Microsecond
		pause := near
		if rng.IntN(2) == 0 {
			pause = time.Duration(rng.Int64N(int64(lim.IdleTimeout) * 4 / 5))
		}
		if rng.IntN(6) == 0 {
			stopping = true
			at := time.Duration(rng.Int64N(int64(pause + 2*time.Millisecond)))
			time.AfterFunc(at+time.Microsecond, func() { _ = f.s.Shutdown(context.Background()) })
		}
		time.Sleep(pause)
		synctest.Wait()
		before := l.read.Load()
		err := exchangeOnce(c, r)
		if err == nil {
			continue
		}
		isEnd := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.EPIPE)
		assert.Assert(t, isEnd, "%v", err)
		time.Sleep(time.Second)
		assert.Equal(t, l.read.Load(), before, "the server read a request that it did not answer")
		assert.Assert(t, stopping || pause > lim.IdleTimeout*4/5, "not answered after a pause of %v, idle timeout %v", pause, lim.IdleTimeout)
		return
	}
}

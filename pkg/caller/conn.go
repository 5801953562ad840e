package caller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/outcome"
)

// Sizes and times of a connection.
const (
	readSize  = 4 << 10
	writeSize = 4 << 10
	// lingerTime is how long a closed connection is read on, since bytes that
	// nobody read would reset it before the caller has its answer.
	lingerTime = 300 * time.Millisecond
)

// longAgo is a deadline that makes a blocked read return.
var longAgo = time.Unix(1, 0)

// conn is one caller's connection.
type conn struct {
	srv    *Server
	nc     net.Conn
	r      *bufio.Reader
	w      *bufio.Writer // Written by the exchange whose turn it is.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	room    *sync.Cond  // Signals that an exchange has ended.
	queue   []*exchange // Those taken and not yet answered, in order.
	reading bool        // A request's bytes are coming.
	closing bool        // No request is taken any more.
	broken  bool        // An answer was cut short.
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{srv: s, nc: nc, r: bufio.NewReaderSize(nc, readSize), w: bufio.NewWriterSize(nc, writeSize)}
	c.room = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	return c
}

// serve takes requests until the connection ends.
func (c *conn) serve() {
	defer c.end()
	for {
		req, at, err := c.next()
		if err != nil {
			c.refuse(err)
			return
		}
		x := c.take(req, at)
		if x == nil {
			return
		}
		go x.run()
		if req.Close {
			c.watch()
			return
		}
	}
}

// next reads one request with its whole body.
func (c *conn) next() (*http.Request, time.Time, error) {
	if err := c.await(); err != nil {
		return nil, time.Time{}, err
	}
	at := time.Now()
	lim := c.srv.cfg.Limits()
	_ = c.nc.SetReadDeadline(at.Add(lim.HeaderTime)) // A dead connection shows in the read.
	if err := c.readHead(lim.HeaderBytes); err != nil {
		return nil, at, err
	}
	req, err := http.ReadRequest(c.r)
	if err != nil {
		return nil, at, malformed(err.Error())
	}
	if err := c.readBody(req, lim); err != nil {
		return nil, at, err
	}
	req.RemoteAddr = c.nc.RemoteAddr().String()
	c.mu.Lock()
	c.reading = false
	c.mu.Unlock()
	return req, at, nil
}

// errIdle means that nothing came on a resting connection for too long, or that
// the connection was retired.
var errIdle = errors.New("idle")

// await waits for the first byte of a request.
func (c *conn) await() error {
	c.mu.Lock()
	c.armIdle()
	c.mu.Unlock()
	for {
		_, err := c.r.Peek(1)
		c.mu.Lock()
		if err == nil {
			c.reading = true
			c.mu.Unlock()
			return nil
		}
		busy, closing := len(c.queue) > 0, c.closing
		if errors.Is(err, os.ErrDeadlineExceeded) && busy && !closing {
			c.armIdle()
			c.mu.Unlock()
			continue
		}
		c.mu.Unlock()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return errIdle
		}
		return fmt.Errorf("%w: %w", errGone, err)
	}
}

// armIdle bounds the wait for the next request while nothing is under way. The
// caller holds the lock.
func (c *conn) armIdle() {
	switch {
	case c.reading:
	case c.closing && len(c.queue) == 0:
		_ = c.nc.SetReadDeadline(longAgo)
	case len(c.queue) > 0:
		_ = c.nc.SetReadDeadline(time.Time{})
	default:
		_ = c.nc.SetReadDeadline(time.Now().Add(c.srv.cfg.Limits().IdleTime))
	}
}

// errGone means that the caller closed the connection or it broke.
var errGone = errors.New("the caller went away")

// take puts a request into the queue of those to be answered, when there is
// room and when it may run. It returns nil where the connection closes: the
// request then counts as not read.
func (c *conn) take(req *http.Request, at time.Time) *exchange {
	parallel := c.srv.cfg.Parallel(req)
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closing && !c.broken && (len(c.queue) >= mostAhead || (len(c.queue) > 0 && !parallel)) {
		c.room.Wait()
	}
	if c.closing || c.broken {
		return nil
	}
	x := newExchange(c, req, at)
	c.queue = append(c.queue, x)
	if len(c.queue) == 1 {
		close(x.turn)
	}
	return x
}

// retire closes the connection if nothing is under way on it.
func (c *conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 && !c.reading {
		c.closing = true
		_ = c.nc.SetReadDeadline(longAgo)
	}
}

// watch waits until all has been answered, or the caller goes away.
func (c *conn) watch() {
	c.mu.Lock()
	c.closing = true
	c.armIdle()
	c.mu.Unlock()
	for {
		if _, err := c.r.Discard(1); err == nil {
			continue
		} else if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
			return
		}
		c.mu.Lock()
		done := len(c.queue) == 0
		c.mu.Unlock()
		if done {
			return
		}
	}
}

// last decides, when an answer's head is written, whether the connection ends
// with it. Nothing may have been taken behind it.
func (c *conn) last(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.srv.last.Load() || x.req.Close) && len(c.queue) == 1 {
		c.closing = true
	}
	return c.closing && len(c.queue) == 1
}

// done takes out an exchange that has ended and gives the next one its turn.
func (c *conn) done(x *exchange, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.queue[0] == x
	c.queue = slices.DeleteFunc(c.queue, func(o *exchange) bool { return o == x })
	if !whole {
		c.broken = true
		_ = c.nc.Close() // What was cut short must look so.
	}
	if first && len(c.queue) > 0 {
		close(c.queue[0].turn)
	}
	c.armIdle()
	c.room.Broadcast()
}

// refuse answers what could not be read as a request, after all that was taken
// before it.
func (c *conn) refuse(err error) {
	if errors.Is(err, errGone) {
		c.cancel()
		return
	}
	bad, ok := errors.AsType[*outcome.Failure](err)
	if !ok {
		return // Idle, or cut in the middle of a request.
	}
	if !c.drained() {
		return
	}
	klog.V(1).InfoS("caller: request refused", "from", c.nc.RemoteAddr(), "kind", bad.Kind, "reason", bad.Detail())
	_, _ = c.w.Write(outcome.RawResponse(bad)) // The caller may have gone.
	_ = c.w.Flush()
}

// drained waits until all that was taken has been answered, and reports whether
// the connection still stands.
func (c *conn) drained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) > 0 && !c.broken {
		c.room.Wait()
	}
	c.closing = true
	return !c.broken
}

// end waits for the exchanges and closes the connection.
func (c *conn) end() {
	whole := c.drained()
	c.cancel()
	if whole {
		c.linger()
	}
	_ = c.nc.Close()
}

// halfCloser is a connection that can be closed for writing only.
type halfCloser interface{ CloseWrite() error }

// linger lets the caller read the last answer.
func (c *conn) linger() {
	h, ok := c.nc.(halfCloser)
	if !ok || h.CloseWrite() != nil {
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.nc)
}

// readBody reads the whole body, so that the connection can be read on while
// the request runs, and nothing is sent of a request whose caller goes away.
func (c *conn) readBody(req *http.Request, lim Limits) error {
	if req.Body == nil || req.Body == http.NoBody {
		return nil
	}
	if req.ContentLength > lim.BodyBytes {
		return outcome.New(outcome.BodyTooLarge, "the body has more than %d bytes", lim.BodyBytes)
	}
	if req.Header.Get("Expect") == "100-continue" && c.settled() {
		_, _ = c.w.WriteString("HTTP/1.1 100 Continue\r\n\r\n") // A dead connection shows in the read.
		_ = c.w.Flush()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lim.BodyTime))
	body, err := io.ReadAll(io.LimitReader(req.Body, lim.BodyBytes+1))
	switch {
	case int64(len(body)) > lim.BodyBytes:
		return outcome.New(outcome.BodyTooLarge, "the body has more than %d bytes", lim.BodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.New(outcome.TooSlow, "the body did not come in time")
	case errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed):
		return fmt.Errorf("%w: %w", errGone, err)
	case err != nil:
		return malformed(err.Error())
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// settled reports whether all that was taken has been answered by now.
func (c *conn) settled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) == 0
}

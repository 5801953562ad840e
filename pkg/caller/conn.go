package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/buffer"
	"laburnumpick.org/pkg/head"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/socket"
)

// Sizes and times of a connection.
const (
	readSize  = 4 << 10
	writeSize = 4 << 10
	// lingerTimeout bounds the reading after the write side was closed. Closing a
	// connection with unread input resets it, and the caller could lose the
	// response.
	lingerTimeout = 300 * time.Millisecond
)

// conn is one caller's connection. Its goroutine reads requests; each request runs
// in a goroutine of its own.
type conn struct {
	srv    *Server
	nc     net.Conn
	r      *bufio.Reader
	w      *bufio.Writer // Used by the exchange at the head of the queue.
	ctx    context.Context
	cancel context.CancelFunc

	mu            sync.Mutex
	exchangeEnded *sync.Cond  // Signaled when an exchange is removed from the queue.
	queue         []*exchange // Accepted and not yet answered, in the order of their requests.
	reading       bool        // A request has been read, at least in part, and is not in the queue.
	closing       bool        // No further request is accepted.
	idleSince     time.Time   // When it was accepted or the last queue of requests was answered.
	closedIdle    bool        // It is closing only since it was idle; a request that had arrived by then is accepted.
	broken        bool        // A response was truncated.
	endsBody      bool        // A response is being written whose body ends with the connection.
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{srv: s, nc: nc, r: bufio.NewReaderSize(nc, readSize), w: bufio.NewWriterSize(nc, writeSize), idleSince: time.Now()}
	c.exchangeEnded = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	return c
}

// serve accepts requests until the connection ends.
func (c *conn) serve() {
	defer c.shutdown()
	for {
		r, err := c.readRequest()
		if err != nil {
			r.held.Close()
			c.refuse(err)
			return
		}
		x, reason := c.enqueue(r)
		if x == nil {
			r.held.Close()
			c.reportUnanswered(reason, r.req, nil)
			return
		}
		go x.run()
		if r.req.Close {
			c.watchForClose()
			return
		}
	}
}

// received is a request that has been read.
type received struct {
	req  *http.Request
	at   time.Time       // When its first byte was read.
	held *buffer.Account // What is held in memory for it.
}

// readRequest reads one request with its whole body.
func (c *conn) readRequest() (received, error) {
	if err := c.awaitRequest(); err != nil {
		return received{}, err
	}
	r := received{at: time.Now(), held: c.srv.cfg.Buffers.Open()}
	lim := c.srv.cfg.Limits()
	_ = c.nc.SetReadDeadline(r.at.Add(lim.HeaderTimeout)) // A broken connection is noticed by the read.
	if err := c.readHead(lim.HeaderBytes); err != nil {
		return r, err
	}
	req, err := http.ReadRequest(c.r)
	if err != nil {
		return r, malformed(head.ParseError(err))
	}
	if err := c.readBody(req, lim, r.held); err != nil {
		return r, err
	}
	req.RemoteAddr = c.nc.RemoteAddr().String()
	r.req = req
	return r, nil
}

// errCallerGone means that the caller closed the connection, or that it broke.
var errCallerGone = errors.New("the caller disconnected")

// enqueue appends a request to the queue. It waits until the queue has room or, for
// a request that may not run in parallel or comes behind one of HTTP/1.0, is empty. It
// returns nil and the reason if the connection is closing or broken; the request then
// counts as not read.
func (c *conn) enqueue(r received) (*exchange, unansweredReason) {
	parallel := c.srv.cfg.Parallel(r.req)
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closing && !c.broken && (len(c.queue) >= maxPipelined || (len(c.queue) > 0 && !parallel) || c.mayEndWithResponse()) {
		c.exchangeEnded.Wait()
	}
	if c.closing || c.broken {
		return nil, c.reasonNotAccepted()
	}
	x := newExchange(c, r)
	c.reading = false // Together with the next line: the connection must not look idle in between.
	c.queue = append(c.queue, x)
	if len(c.queue) == 1 {
		close(x.atHead)
	}
	return x, ""
}

// mayEndWithResponse reports whether the response to the last request may have to end
// the connection: a caller of HTTP/1.0 knows no other end of a body of unknown length.
// The caller must hold c.mu.
func (c *conn) mayEndWithResponse() bool {
	n := len(c.queue)
	return n > 0 && c.queue[n-1].isHTTP10()
}

// watchForClose waits until all requests have been answered. It cancels them if
// the caller disconnects before that.
func (c *conn) watchForClose() {
	c.mu.Lock()
	c.closing = true
	c.setIdleDeadline()
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

// closesAfter reports, when a response's header is written, whether the connection
// closes after that response, and then accepts no further request. The connection
// stays open if a later request has already been accepted.
func (c *conn) closesAfter(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.srv.noKeepAlives.Load() || x.req.Close) && len(c.queue) == 1 {
		c.closing = true
	}
	return c.closing && len(c.queue) == 1
}

// dequeue removes a finished exchange from the queue and lets the next one write its
// response. If the response was not written completely, the connection is closed.
func (c *conn) dequeue(x *exchange, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.queue[0] == x
	c.queue = slices.DeleteFunc(c.queue, func(o *exchange) bool { return o == x })
	if !complete {
		c.broken = true
		c.breakOff()
	}
	c.endsBody = false
	if first && len(c.queue) > 0 {
		close(c.queue[0].atHead)
	}
	if len(c.queue) == 0 {
		c.idleSince = time.Now()
	}
	c.setIdleDeadline()
	c.exchangeEnded.Broadcast()
}

// breakOff closes the connection, in the middle of a response or not. Where the end of the connection is that of
// the body, only a reset tells a truncated response. The caller must hold c.mu.
func (c *conn) breakOff() {
	if c.endsBody {
		socket.ResetAtClose(c.nc)
	}
	_ = c.nc.Close()
}

// stop ends the connection, whatever is unanswered.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakOff()
}

// refuse writes the error response to input that is not a valid request, after the
// responses to all requests accepted before.
func (c *conn) refuse(err error) {
	if errors.Is(err, errCallerGone) {
		c.cancel()
		return
	}
	failure, ok := errors.AsType[*outcome.Failure](err)
	if !ok {
		return // The connection was idle.
	}
	if !c.awaitResponses() {
		return
	}
	klog.V(1).InfoS("caller: refused a request that could not be read", "from", c.nc.RemoteAddr(), "kind", failure.Kind, "reason", failure.Detail())
	_, _ = c.w.Write(outcome.RawResponse(failure)) // The caller may have disconnected.
	_ = c.w.Flush()
}

// awaitResponses waits until all accepted requests have been answered and accepts no
// further ones. It reports whether the connection is still usable.
func (c *conn) awaitResponses() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) > 0 && !c.broken {
		c.exchangeEnded.Wait()
	}
	c.closing = true
	return !c.broken
}

// shutdown waits for the unanswered requests and closes the connection.
func (c *conn) shutdown() {
	usable := c.awaitResponses()
	c.cancel()
	switch {
	case !usable:
	case c.endsIdle():
		c.leaveTimeToRead(time.Now())
	default:
		c.linger()
	}
	_ = c.nc.Close()
}

// writeCloser is a connection whose write side can be closed alone.
type writeCloser interface{ CloseWrite() error }

// linger closes the write side and reads on for a while, so that the caller can
// read the last response, which has told it that the connection ends.
func (c *conn) linger() {
	wc, ok := c.nc.(writeCloser)
	if !ok || wc.CloseWrite() != nil {
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	n, err := io.Copy(io.Discard, c.nc)
	if n > 0 {
		c.reportUnanswered(behindLast, nil, err)
	}
}

// allAnswered reports whether all accepted requests have been answered.
func (c *conn) allAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) == 0
}

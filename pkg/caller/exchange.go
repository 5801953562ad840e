package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/buffer"
)

// maxBufferedBytes bounds the buffering of a response of unknown length. Responses up
// to this size are sent with a Content-Length.
const maxBufferedBytes = 64 << 10

// exchange is one request and its response. It implements http.ResponseWriter.
type exchange struct {
	conn   *conn
	req    *http.Request
	cancel context.CancelFunc
	atHead chan struct{} // Closed when all earlier responses of the connection have been written.
	held   *buffer.Account

	header          http.Header
	status          int
	buffered        bytes.Buffer
	responseStarted bool // startResponse was called.
	chunked         bool
	closeAfter      bool  // The connection closes after the response.
	remaining       int64 // Bytes of the body that are still due by the Content-Length, or -1 without one.
	writeError      error // The first error of Write.
}

func newExchange(c *conn, r received) *exchange {
	ctx := buffer.WithAccount(context.WithValue(c.ctx, receivedAtKey{}, r.at), r.held)
	ctx, cancel := context.WithCancel(ctx)
	return &exchange{
		conn: c, req: r.req.WithContext(ctx), cancel: cancel, atHead: make(chan struct{}), held: r.held,
		header: make(http.Header), remaining: -1,
	}
}

// run serves the request, completes its response and removes the exchange from the
// connection's queue.
func (x *exchange) run() {
	defer x.cancel()
	defer x.held.Close()
	err := x.serve()
	if err == nil {
		err = x.finish()
	}
	if err != nil {
		x.conn.reportUnanswered(x.reasonFor(err), x.req, err)
	}
	x.conn.dequeue(x, err == nil)
}

// serve calls the handler. It returns errAborted if the handler panicked.
func (x *exchange) serve() (err error) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		err = errAborted
		if cause, ok := r.(error); !ok || !errors.Is(cause, http.ErrAbortHandler) {
			// The path is left out, since it may hold a caller's credentials.
			klog.ErrorS(nil, "caller: handler panicked", "method", x.req.Method, "cause", r)
		}
	}()
	x.conn.srv.cfg.Handler.ServeHTTP(x, x.req)
	return nil
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.status == 0 {
		x.status = status
	}
}

// bodiless reports whether the response has no body, regardless of its header.
func (x *exchange) bodiless() bool {
	return x.req.Method == http.MethodHead || x.status == http.StatusNoContent || x.status == http.StatusNotModified
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	n, err := x.write(p)
	if x.writeError == nil {
		x.writeError = err
	}
	return n, err
}

// write buffers a piece of the body, or writes it if the response's length is known or too large
// to be buffered.
func (x *exchange) write(p []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if x.bodiless() {
		return len(p), nil
	}
	if !x.responseStarted && x.header.Get("Content-Length") == "" {
		if x.buffered.Len()+len(p) <= maxBufferedBytes {
			return x.buffered.Write(p)
		}
		x.chunked = !x.isHTTP10()
		if err := x.startResponse(); err != nil {
			return 0, err
		}
		if err := x.writeBuffered(); err != nil {
			return 0, err
		}
	}
	if err := x.startResponse(); err != nil {
		return 0, err
	}
	return len(p), x.writeBody(p)
}

// writeBuffered writes what is buffered and drops the buffer.
func (x *exchange) writeBuffered() error {
	buffered := x.buffered
	x.buffered = bytes.Buffer{}
	return x.writeBody(buffered.Bytes())
}

// isHTTP10 reports whether the request is older than HTTP/1.1.
func (x *exchange) isHTTP10() bool { return !x.req.ProtoAtLeast(1, 1) }

// startResponse waits until all earlier responses have been written and writes the
// header. Further calls do nothing.
func (x *exchange) startResponse() error {
	if x.responseStarted {
		return nil
	}
	x.responseStarted = true
	select {
	case <-x.atHead:
	case <-x.conn.ctx.Done():
		return x.conn.ctx.Err()
	}
	x.chooseFraming()
	return x.writeHead()
}

// chooseFraming decides how the end of the body is marked: by a Content-Length, by
// chunked encoding or by closing the connection.
func (x *exchange) chooseFraming() {
	if n, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64); err == nil && !x.bodiless() {
		x.remaining = n
	}
	unframed := x.remaining < 0 && !x.chunked && !x.bodiless()
	x.closeAfter = x.conn.closesAfter(x) || unframed || x.header.Get("Connection") == "close"
	if x.closeAfter {
		x.conn.stopReading(unframed)
	}
}

// stopReading makes the connection accept no further request. endsBody means that the end of the
// connection is that of a response's body.
func (c *conn) stopReading(endsBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.endsBody = true, endsBody
}

func (x *exchange) writeHead() error {
	h := x.header
	h.Del("Connection")
	if x.closeAfter {
		h.Set("Connection", "close")
	} else {
		announceKeepAlive(h, x.conn.srv.cfg.Limits().IdleTimeout)
	}
	if x.chunked {
		h.Set("Transfer-Encoding", "chunked")
	}
	if h.Get("Date") == "" {
		h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	w := x.conn.w
	if err := x.setWriteDeadline(); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", x.status, http.StatusText(x.status)); err != nil {
		return err
	}
	if err := h.Write(w); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// setWriteDeadline bounds the write of a piece of the response, so that a caller
// that does not read cannot block the exchange forever.
func (x *exchange) setWriteDeadline() error {
	return x.conn.nc.SetWriteDeadline(time.Now().Add(x.conn.srv.cfg.Limits().WriteTimeout))
}

// errBodyTooLong means that a handler wrote more than its Content-Length.
var errBodyTooLong = errors.New("the response is longer than its Content-Length")

// writeBody writes a piece of the body.
func (x *exchange) writeBody(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if x.remaining >= 0 {
		if x.remaining -= int64(len(p)); x.remaining < 0 {
			return errBodyTooLong
		}
	}
	if err := x.setWriteDeadline(); err != nil {
		return err
	}
	w := x.conn.w
	if !x.chunked {
		_, err := w.Write(p)
		return err
	}
	if _, err := fmt.Fprintf(w, "%x\r\n", len(p)); err != nil {
		return err
	}
	if _, err := w.Write(p); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// errBodyTooShort means that a handler wrote less than its Content-Length.
var errBodyTooShort = errors.New("the response is shorter than its Content-Length")

// finish writes what is still buffered and the end of the response.
func (x *exchange) finish() error {
	x.WriteHeader(http.StatusOK)
	if !x.responseStarted && !x.bodiless() && x.header.Get("Content-Length") == "" {
		x.header.Set("Content-Length", strconv.Itoa(x.buffered.Len()))
	}
	if err := x.startResponse(); err != nil {
		return err
	}
	if err := x.writeBuffered(); err != nil {
		return err
	}
	if x.remaining > 0 {
		return errBodyTooShort
	}
	if x.chunked {
		if _, err := x.conn.w.WriteString("0\r\n\r\n"); err != nil {
			return err
		}
	}
	if err := x.setWriteDeadline(); err != nil {
		return err
	}
	return x.conn.w.Flush()
}

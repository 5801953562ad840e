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
)

// holdBytes is how much of an answer of unknown length is held back, so that
// most go out with a length.
const holdBytes = 64 << 10

// exchange is one request with its answer. It implements
// http.ResponseWriter.
type exchange struct {
	conn   *conn
	req    *http.Request
	cancel context.CancelFunc
	turn   chan struct{} // Closed once all answers before this one are out.

	header  http.Header
	status  int
	held    bytes.Buffer
	begun   bool // The head was written.
	chunked bool
	closes  bool  // The connection ends with the answer.
	left    int64 // Bytes that the answer's length still promises, or -1.
}

func newExchange(c *conn, req *http.Request, at time.Time) *exchange {
	ctx, cancel := context.WithCancel(context.WithValue(c.ctx, cameKey{}, at))
	return &exchange{
		conn: c, req: req.WithContext(ctx), cancel: cancel, turn: make(chan struct{}),
		header: make(http.Header), left: -1,
	}
}

// run serves the request and ends the exchange.
func (x *exchange) run() {
	defer x.cancel()
	whole := false
	defer func() { x.conn.done(x, whole) }()
	whole = x.serve() && x.finish() == nil
}

// serve calls the handler. It reports whether the handler came to its end.
func (x *exchange) serve() (ended bool) {
	defer func() {
		if r := recover(); r != nil {
			ended = false
			if err, ok := r.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				klog.ErrorS(nil, "caller: handler failed", "path", x.req.URL.Path, "cause", r)
			}
		}
	}()
	x.conn.srv.cfg.Handler.ServeHTTP(x, x.req)
	return true
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.status == 0 {
		x.status = status
	}
}

// bodiless reports whether the answer has no body whatever its header says.
func (x *exchange) bodiless() bool {
	return x.req.Method == http.MethodHead || x.status == http.StatusNoContent || x.status == http.StatusNotModified
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if x.bodiless() {
		return len(p), nil
	}
	if !x.begun && x.header.Get("Content-Length") == "" {
		x.held.Write(p)
		if x.held.Len() <= holdBytes {
			return len(p), nil
		}
		x.chunked = !x.old()
		if err := x.begin(); err != nil {
			return 0, err
		}
		held := bytes.Clone(x.held.Bytes())
		x.held.Reset()
		return len(p), x.put(held)
	}
	if err := x.begin(); err != nil {
		return 0, err
	}
	return len(p), x.put(p)
}

// old reports whether the caller speaks HTTP/1.0.
func (x *exchange) old() bool { return !x.req.ProtoAtLeast(1, 1) }

// begin waits for the exchange's turn and writes the head, once.
func (x *exchange) begin() error {
	if x.begun {
		return nil
	}
	x.begun = true
	select {
	case <-x.turn:
	case <-x.conn.ctx.Done():
		return x.conn.ctx.Err()
	}
	x.frame()
	return x.writeHead()
}

// frame decides how the answer's end will be told.
func (x *exchange) frame() {
	if n, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64); err == nil && !x.bodiless() {
		x.left = n
	}
	unframed := x.left < 0 && !x.chunked && !x.bodiless()
	x.closes = x.conn.last(x) || unframed || x.header.Get("Connection") == "close"
	if x.closes {
		x.conn.stop()
	}
}

// stop keeps the connection from taking another request.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

func (x *exchange) writeHead() error {
	h := x.header
	h.Del("Connection")
	if x.closes {
		h.Set("Connection", "close")
	}
	if x.chunked {
		h.Set("Transfer-Encoding", "chunked")
	}
	if h.Get("Date") == "" {
		h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	w := x.conn.w
	if err := x.arm(); err != nil {
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

// arm bounds the writing of a piece, so that a caller that does not read holds
// nothing for ever.
func (x *exchange) arm() error {
	return x.conn.nc.SetWriteDeadline(time.Now().Add(x.conn.srv.cfg.Limits().WriteTimeout))
}

// errLonger means that a handler wrote more than the length it had told.
var errLonger = errors.New("the answer is longer than its length")

// put writes a piece of the body.
func (x *exchange) put(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if x.left >= 0 {
		if x.left -= int64(len(p)); x.left < 0 {
			return errLonger
		}
	}
	if err := x.arm(); err != nil {
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

// errShorter means that a handler wrote less than the length it had told.
var errShorter = errors.New("the answer is shorter than its length")

// finish writes what was held back and the answer's end.
func (x *exchange) finish() error {
	x.WriteHeader(http.StatusOK)
	if !x.begun && !x.bodiless() && x.header.Get("Content-Length") == "" {
		x.header.Set("Content-Length", strconv.Itoa(x.held.Len()))
	}
	if err := x.begin(); err != nil {
		return err
	}
	if err := x.put(x.held.Bytes()); err != nil {
		return err
	}
	if x.left > 0 {
		return errShorter
	}
	if x.chunked {
		if _, err := x.conn.w.WriteString("0\r\n\r\n"); err != nil {
			return err
		}
	}
	if err := x.arm(); err != nil {
		return err
	}
	return x.conn.w.Flush()
}

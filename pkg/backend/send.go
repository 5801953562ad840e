package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"
)

// Headers of the contract with backend servers.
const (
	// HeaderRequestID carries the request's id; a server may echo it.
	HeaderRequestID = "Laburnumpick-Request-Id"
	// HeaderDeadlineMs carries how many milliseconds the request has left.
	HeaderDeadlineMs = "Laburnumpick-Deadline-Ms"
	// HeaderRefused marks an answer that was given before the handler ran. Its
	// value is one of the Refused constants.
	HeaderRefused = "Laburnumpick-Refused"
)

// Values of HeaderRefused.
const (
	RefusedShed  = "shed"
	RefusedDrain = "drain"
	RefusedCold  = "cold"
	// RefusedMoved says that another server has the address.
	RefusedMoved = "moved"
)

// Request is a request with its whole body.
type Request struct {
	Method string
	URL    *url.URL // Path and query only.
	Host   string
	Header http.Header
	Body   []byte
	ID     string // Compared with the echo where the peer sends one.
}

// Options steer how one request is sent.
type Options struct {
	NewConn           bool          // Open a new connection.
	ResponseTimeout   time.Duration // Longest wait for a sign of life; zero for no bound.
	ReusedConnTimeout time.Duration // The same on a kept connection, which may be dead.
	MaxBufferedBody   int           // Bytes of body up to which the answer is held back until whole.
	Contract          Contract
}

// Response is an answer whose head and, up to Options.MaxWhole, body are whole.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// BodyRemainder is the body beyond Body, or nil. It ends with an error other than
	// io.EOF when it is not whole. The reader must close it.
	BodyRemainder io.ReadCloser
}

// Stage is how far a request came before it failed.
type Stage int

const (
	// NotSent means that no byte of the request was written.
	NotSent Stage = iota
	// NoResponse means that bytes were written and no answer came.
	NoResponse
	// InvalidResponse means that an answer came that was not whole, or not to this
	// request.
	InvalidResponse
)

// Error tells how a request failed.
type Error struct {
	Stage    Stage
	Reused   bool // The connection had carried an earlier request.
	TimedOut bool // The peer gave no sign of life in time.
	cause    error
}

// String names the stage.
func (s Stage) String() string {
	return [...]string{"not sent", "sent without an answer", "answer broken"}[s]
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// longAgo is a deadline that makes a blocked read or write return.
var longAgo = time.Unix(1, 0)

// Send writes the request on one connection, once, and reads the answer. The
// error is an *Error. The context's end closes the connection, which tells the
// peer to stop.
func (l *ConnPool) Send(ctx context.Context, req *Request, o Options) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Stage: NotSent, cause: err}
	}
	c, err := l.take(ctx, time.Now(), o.NewConn)
	if err != nil {
		return nil, &Error{Stage: NotSent, cause: err}
	}
	x := &exchange{link: l, conn: c, ctx: ctx, silence: o.ResponseTimeout, contract: o.Contract}
	if c.reused {
		x.silence = o.ReusedConnTimeout
	}
	x.stop = context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(longAgo) })
	a, err := x.run(req, o.MaxBufferedBody)
	if err != nil {
		x.end(false)
		return nil, err
	}
	return a, nil
}

// exchange is one request and its answer on one connection.
type exchange struct {
	link    *ConnPool
	conn    *conn
	ctx     context.Context
	silence time.Duration
	stop    func() bool
	method  string

	contract Contract
	keep     bool // The connection can carry another request after this one.
}

func (x *exchange) run(req *Request, maxWhole int) (*Response, error) {
	x.method = req.Method
	writeErr := x.write(req)
	if writeErr != nil && x.conn.written == 0 {
		return nil, &Error{Stage: NotSent, Reused: x.conn.reused, cause: writeErr}
	}
	// A peer may answer without reading the whole request, so a failed write
	// does not end the exchange.
	resp, err := x.readHead() //nolint:bodyclose // The exchange ends with its connection.
	if err != nil {
		return nil, x.fail(NoResponse, errors.Join(writeErr, err))
	}
	if echo := resp.Header.Get(HeaderRequestID); echo != "" && req.ID != "" && echo != req.ID {
		return nil, x.fail(InvalidResponse, fmt.Errorf("answer to request %q came for %q", echo, req.ID))
	}
	unframed := resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if unframed && !x.contract.AllowCloseDelimited {
		return nil, x.fail(InvalidResponse, errors.New("the answer has neither a length nor chunks"))
	}
	if err := x.contract.check(resp); err != nil {
		return nil, x.fail(InvalidResponse, err)
	}
	x.keep = !resp.Close && !unframed && writeErr == nil
	x.conn.keepFor(resp.Header)
	return x.readBody(resp, maxWhole)
}

func (x *exchange) write(req *Request) error {
	r := &http.Request{
		Method: req.Method, URL: req.URL, Host: req.Host, Header: req.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(req.Body)),
	}
	if len(req.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	if err := r.Write(x.conn.w); err != nil {
		return err
	}
	return x.conn.w.Flush()
}

// readHead reads the head of the final answer. Interim answers are signs of
// life.
func (x *exchange) readHead() (*http.Response, error) {
	for {
		if err := x.armSilence(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(x.conn.r, &http.Request{Method: x.method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			return resp, x.disarmSilence()
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the peer switched protocols")
		}
	}
}

func (x *exchange) armSilence() error {
	if x.silence <= 0 {
		return nil
	}
	return x.setReadDeadline(time.Now().Add(x.silence))
}

func (x *exchange) disarmSilence() error {
	if x.silence <= 0 {
		return nil
	}
	return x.setReadDeadline(time.Time{})
}

// setReadDeadline sets the deadline unless the context has ended, whose own
// deadline must then stand.
func (x *exchange) setReadDeadline(t time.Time) error {
	if err := x.conn.nc.SetReadDeadline(t); err != nil {
		return err
	}
	if err := x.ctx.Err(); err != nil {
		_ = x.conn.nc.SetDeadline(longAgo)
		return err
	}
	return nil
}

func (x *exchange) readBody(resp *http.Response, maxWhole int) (*Response, error) {
	a := &Response{Status: resp.StatusCode, Header: resp.Header}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxWhole)+1))
	if err != nil {
		return nil, x.fail(InvalidResponse, err)
	}
	a.Body = body
	rest := &restReader{x: x, body: resp.Body}
	if len(body) > maxWhole {
		a.BodyRemainder = rest
		return a, nil
	}
	if err := rest.finish(); err != nil {
		return nil, x.fail(InvalidResponse, err)
	}
	return a, nil
}

// fail classifies an error after the first byte was written.
func (x *exchange) fail(s Stage, cause error) error {
	silent := errors.Is(cause, os.ErrDeadlineExceeded) && x.ctx.Err() == nil
	if err := x.ctx.Err(); err != nil {
		cause = err
	}
	return &Error{Stage: s, Reused: x.conn.reused, TimedOut: silent, cause: cause}
}

// end gives the connection back or closes it.
func (x *exchange) end(keep bool) {
	inTime := x.stop()
	if keep && inTime {
		x.link.give(time.Now(), x.conn)
		return
	}
	x.conn.close()
}

// restReader reads the part of a body that is too large to hold back.
type restReader struct {
	x    *exchange
	body io.Reader
	done bool
}

// Read returns io.EOF only after the whole body.
func (r *restReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		if e := r.finish(); e != nil {
			return n, e
		}
	}
	return n, err
}

// finish ends the exchange after the last byte of the body. Surplus bytes make
// the answer suspect as a whole.
func (r *restReader) finish() error {
	if r.done {
		return nil
	}
	r.done = true
	if n := r.x.conn.r.Buffered(); n > 0 {
		r.x.end(false)
		return fmt.Errorf("%d surplus bytes after the answer", n)
	}
	r.x.end(r.x.keep)
	return nil
}

// Close ends the exchange. Before the body's end it cuts the connection.
func (r *restReader) Close() error {
	if !r.done {
		r.done = true
		r.x.end(false)
	}
	return nil
}

package caller

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"laburnumpick.org/pkg/buffer"
	"laburnumpick.org/pkg/head"
	"laburnumpick.org/pkg/outcome"
)

// noRoomRetryAfter is the retry delay for a request whose body this VM cannot hold now.
const noRoomRetryAfter = 500 * time.Millisecond

// body is a request's body that has been read to its end.
type body struct {
	io.Reader
	data buffer.Body
}

// Close implements io.Closer.
func (b *body) Close() error { return nil }

// BodyOf returns the body of a request of this package's server, without copying it. The caller
// must not modify it.
func BodyOf(r *http.Request) (buffer.Body, bool) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, true
	}
	b, ok := r.Body.(*body)
	if !ok {
		return nil, false
	}
	return b.data, true
}

// readBody reads the whole body. The connection can then be watched while the
// request runs, and no part of a request is sent to a backend server if its caller
// disconnects before the end of the body.
func (c *conn) readBody(req *http.Request, lim Limits, held *buffer.Account) error {
	if req.Body == nil || req.Body == http.NoBody {
		return nil
	}
	if req.ContentLength > lim.BodyBytes {
		return bodyTooLarge(lim)
	}
	began := time.Now()
	if err := c.makeRoom(began, req.ContentLength); err != nil {
		return err
	}
	if req.Header.Get("Expect") == "100-continue" && c.allAnswered() {
		_, _ = c.w.WriteString("HTTP/1.1 100 Continue\r\n\r\n") // A broken connection is noticed by the read.
		_ = c.w.Flush()
	}
	_ = c.nc.SetReadDeadline(began.Add(lim.BodyTimeout))
	held.BeginReceive(began, func() { _ = c.nc.SetReadDeadline(expiredDeadline) })
	data, ended, err := buffer.ReadBody(held, req.Body, req.ContentLength, lim.BodyBytes)
	held.EndReceive()
	switch {
	case err != nil:
		return bodyError(err)
	case data.Len() > lim.BodyBytes:
		return bodyTooLarge(lim)
	case !ended:
		return noRoom()
	}
	req.Body = &body{data.Reader(), data}
	return nil
}

// makeRoom finds out, before a body of known length is read, whether there is room for it.
func (c *conn) makeRoom(now time.Time, length int64) error {
	if length <= 0 || c.srv.cfg.Buffers.MakeRoom(now, length) {
		return nil
	}
	return noRoom()
}

func bodyTooLarge(lim Limits) error {
	return outcome.New(outcome.BodyTooLarge, "the body has more than %d bytes", lim.BodyBytes)
}

func noRoom() error {
	return outcome.New(outcome.Overload, "this VM has no room in memory for the body").WithRetryAfter(noRoomRetryAfter)
}

// bodyError returns the error for a body that could not be read.
func bodyError(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.New(outcome.RequestTimeout, "the request body did not arrive in time")
	case errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed):
		return fmt.Errorf("%w: %w", errCallerGone, err)
	default:
		return malformed(head.ParseError(err))
	}
}

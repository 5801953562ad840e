package store

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"laburnumpick.org/pkg/head"
)

// Call is one HTTP request to the platform's API.
type Call struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
	// Write is set if the request changes something: if its response is lost, it is
	// not known whether it took effect.
	Write bool
	// MaxResponseBytes bounds the body of the response; a longer one is an error. Zero means
	// the size of the largest object.
	MaxResponseBytes int64
}

// Response is the platform's response to a Call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends the request once. The error is Unavailable if the request had no
// effect, Indeterminate if it may have had one. Every status code is a response, not
// an error.
func (c Call) Do(ctx context.Context, hc *http.Client) (Response, error) {
	var headersSent atomic.Bool
	if c.Write {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { headersSent.Store(true) }})
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, c.body())
	if err != nil {
		return Response{}, Unavailable.Wrap(err)
	}
	req.ContentLength = int64(len(c.Body))
	for n, v := range c.Header {
		req.Header[n] = v
	}
	r, err := roundTrip(hc, req, cmp.Or(c.MaxResponseBytes, maxValueBytes))
	switch {
	case err == nil:
		return r, nil
	case c.Write && headersSent.Load():
		return Response{}, Indeterminate.Wrap(err)
	default:
		return Response{}, Unavailable.Wrap(err)
	}
}

// body returns a reader that can't be rewound, so that net/http can't retry a
// write.
func (c Call) body() io.Reader {
	if len(c.Body) == 0 {
		return nil
	}
	return io.NopCloser(bytes.NewReader(c.Body))
}

// roundTrip sends the request and reads the whole response, which must not be longer than maxBytes. Of a
// success the end of the body must be certain; the other statuses say enough by themselves.
func roundTrip(hc *http.Client, req *http.Request, maxBytes int64) (Response, error) {
	resp, err := hc.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 == 2 && head.EndsWithConnection(resp) {
		return Response{}, head.ErrEndsWithConnection
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxBytes))
	if err != nil {
		return Response{}, err
	}
	return Response{resp.StatusCode, resp.Header, body}, nil
}

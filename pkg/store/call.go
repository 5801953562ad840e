package store

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Call is one HTTP call to a platform.
type Call struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
	// Write says that the call may take effect, so that an answer's loss leaves
	// that unsure.
	Write bool
}

// Response is a platform's answer to a call.
type Response struct {
	Status int
	Body   []byte
}

// Do makes the call once. The error is Unavailable where the call had no effect,
// Unknown where it may have had one. Any status is a reply.
func (c Call) Do(ctx context.Context, hc *http.Client) (Response, error) {
	var wrote atomic.Bool
	if c.Write {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }})
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, c.body())
	if err != nil {
		return Response{}, Unavailable.Wrap(err)
	}
	req.ContentLength = int64(len(c.Body))
	for n, v := range c.Header {
		req.Header[n] = v
	}
	r, err := receive(hc, req)
	switch {
	case err == nil:
		return r, nil
	case c.Write && wrote.Load():
		return Response{}, Indeterminate.Wrap(err)
	default:
		return Response{}, Unavailable.Wrap(err)
	}
}

// body returns the body without a way to read it anew, so that net/http cannot
// repeat a write.
func (c Call) body() io.Reader {
	if len(c.Body) == 0 {
		return nil
	}
	return io.NopCloser(bytes.NewReader(c.Body))
}

func receive(hc *http.Client, req *http.Request) (Response, error) {
	resp, err := hc.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 2*maxValueBytes))
	if err != nil {
		return Response{}, err
	}
	return Response{resp.StatusCode, body}, nil
}

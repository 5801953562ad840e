package backend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/buffer"
	"laburnumpick.org/pkg/standin"
)

// peer is a server that lets the test choose every byte it sends.
type peer struct {
	net      *standin.Network
	requests atomic.Int64 // Number of requests that were read completely.
	accepted atomic.Int64 // Number of connections.
}

func (p *peer) connections() int { return int(p.accepted.Load()) }

// withPeer runs a test in virtual time against a server that handles each
// connection with serve.
func withPeer(t *testing.T, serve func(p *peer, c net.Conn, r *bufio.Reader), test func(t *testing.T, p *peer, pool *backend.ConnPool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &peer{net: standin.NewNetwork(nil)}
		ln, err := p.net.Listen("server:80")
		assert.NilError(t, err)
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				p.accepted.Add(1)
				go serve(p, c, bufio.NewReader(c))
			}
		}()
		pool := backend.NewConnPool("server:80", func(ctx context.Context, address string) (net.Conn, error) {
			return p.net.DialFrom(ctx, "client", address)
		})
		test(t, p, pool)
		pool.CloseIdle()
		time.Sleep(time.Minute) // Let sleeping handlers return.
		p.net.Close()
	})
}

// readRequest reads a complete request and returns its ID.
func (p *peer) readRequest(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	if _, err := io.ReadAll(req.Body); err != nil {
		return "", false
	}
	p.requests.Add(1)
	return req.Header.Get(backend.HeaderRequestID), true
}

func newRequest(id, method, body string) *backend.Request {
	h := http.Header{"Idempotency-Key": {"k"}}
	h.Set(backend.HeaderRequestID, id)
	return &backend.Request{Method: method, URL: &url.URL{Path: "/x"}, Host: "h", Header: h, Body: buffer.NewBody([]byte(body)), ID: id}
}

func send(pool *backend.ConnPool, r *backend.Request, o backend.Options) (*backend.Response, *backend.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if o.MaxBufferedBody == 0 {
		o.MaxBufferedBody = 1 << 16
	}
	resp, err := pool.Send(ctx, r, o)
	e, _ := errors.AsType[*backend.Error](err)
	return resp, e
}

func respond(c io.Writer, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", backend.HeaderRequestID, id, len(body), body)
}

// TestInvalidResponses checks that a response is rejected if it is truncated,
// followed by other bytes, meant for another request or not self-delimiting.
func TestInvalidResponses(t *testing.T) {
	cases := []struct {
		name, response string
		stage          backend.Stage
	}{
		{"closed before the response", "", backend.NoResponse},
		{"head truncated", "HTTP/1.1 200 OK\r\nContent-Le", backend.NoResponse},
		{"body truncated", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", backend.InvalidResponse},
		{"chunked body truncated", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", backend.InvalidResponse},
		{"no length or chunked encoding", "HTTP/1.1 200 OK\r\n\r\nall there is", backend.InvalidResponse},
		{"bytes after the body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull and more", backend.InvalidResponse},
		{"second response after the body", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", backend.InvalidResponse},
		{"response to another request", "HTTP/1.1 200 OK\r\nLaburnumpick-Request-Id: other\r\nContent-Length: 2\r\n\r\nok", backend.InvalidResponse},
		{"not HTTP", "hello\r\n\r\n", backend.InvalidResponse},
		{"switched protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n", backend.InvalidResponse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			serve := func(p *peer, nc net.Conn, r *bufio.Reader) {
				defer func() { _ = nc.Close() }()
				if _, ok := p.readRequest(r); ok {
					_, _ = io.WriteString(nc, c.response)
				}
			}
			withPeer(t, serve, func(t *testing.T, p *peer, pool *backend.ConnPool) {
				resp, err := send(pool, newRequest("mine", "GET", ""), backend.Options{})
				assert.Assert(t, resp == nil)
				assert.Equal(t, err.Stage, c.stage, "%v", err)
				assert.Equal(t, p.requests.Load(), int64(1))
			})
		})
	}
}

// TestRequestsAreNotResent closes a reused connection after reading a request that
// net/http's Transport would consider replayable and send again. The peer must see
// it only once.
func TestRequestsAreNotResent(t *testing.T) {
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		for _, body := range []string{"", "a body"} {
			t.Run(method+"/"+body, func(t *testing.T) {
				served := 0
				serve := func(p *peer, nc net.Conn, r *bufio.Reader) {
					defer func() { _ = nc.Close() }()
					id, ok := p.readRequest(r)
					if !ok {
						return
					}
					if served++; served == 1 {
						respond(nc, id, "ok")
						p.readRequest(r) // Then close without a response.
					}
				}
				withPeer(t, serve, func(t *testing.T, p *peer, pool *backend.ConnPool) {
					_, err := send(pool, newRequest("1", "GET", ""), backend.Options{})
					assert.Assert(t, err == nil)
					_, err = send(pool, newRequest("2", method, body), backend.Options{})
					assert.Equal(t, err.Stage, backend.NoResponse)
					assert.Assert(t, err.Reused)
					synctest.Wait()
					assert.Equal(t, p.requests.Load(), int64(2))
				})
			})
		}
	}
}

// TestNotSent checks that a failure to connect, because nothing listens or because
// the network is cut, is reported as NotSent. With a cut network it must be reported
// within 2 s.
func TestNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := standin.NewNetwork(nil)
		pool := backend.NewConnPool("nobody:80", func(ctx context.Context, a string) (net.Conn, error) {
			return n.DialFrom(ctx, "client", a)
		})
		_, err := send(pool, newRequest("1", "POST", "b"), backend.Options{})
		assert.Equal(t, err.Stage, backend.NotSent)
		n.SetCut(standin.Link{From: "nobody", To: "client"}, true)
		start := time.Now()
		_, err = send(pool, newRequest("1", "POST", "b"), backend.Options{})
		assert.Equal(t, err.Stage, backend.NotSent)
		assert.Assert(t, time.Since(start) <= 2*time.Second)
	})
}

// TestConnectTimeoutIsNoDeadline guards against a connection that could not be opened in time and
// that is told as a deadline that has passed, with most of the request's time left.
func TestConnectTimeoutIsNoDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := standin.NewNetwork(nil)
		n.Partition("server", "client", standin.CutHangs)
		pool := backend.NewConnPool("server:80", func(ctx context.Context, a string) (net.Conn, error) {
			return n.DialFrom(ctx, "client", a)
		})
		var result backend.ConnectResult
		_, err := send(pool, newRequest("1", "GET", ""), backend.Options{
			ConnectTimeout: 50 * time.Millisecond, OnConnect: func(r backend.ConnectResult) { result = r },
		})
		assert.Assert(t, err.Connect && err.Stage == backend.NotSent)
		assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "%v", err)
		assert.Equal(t, result, backend.ConnectTimedOut)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, sendErr := pool.Send(ctx, newRequest("2", "GET", ""), backend.Options{ConnectTimeout: 50 * time.Millisecond})
		assert.ErrorIs(t, sendErr, context.DeadlineExceeded)
	})
}

// echo responds to each request with the request's ID.
func echo(p *peer, nc net.Conn, r *bufio.Reader) {
	defer func() { _ = nc.Close() }()
	for {
		id, ok := p.readRequest(r)
		if !ok {
			return
		}
		respond(nc, id, "to "+id)
	}
}

// TestUnexpectedBytesOnIdleConnection has the peer send bytes on an idle connection.
// They must not be read as the response to the next request.
func TestUnexpectedBytesOnIdleConnection(t *testing.T) {
	stray := func(p *peer, nc net.Conn, r *bufio.Reader) {
		id, ok := p.readRequest(r)
		if !ok {
			return
		}
		respond(nc, id, "to "+id)
		time.Sleep(time.Second)
		respond(nc, "", "late answer to somebody else")
		echo(p, nc, r)
	}
	withPeer(t, stray, func(t *testing.T, _ *peer, pool *backend.ConnPool) {
		_, err := send(pool, newRequest("1", "GET", ""), backend.Options{})
		assert.Assert(t, err == nil)
		time.Sleep(2 * time.Second)
		resp, err := send(pool, newRequest("2", "GET", ""), backend.Options{})
		assert.Assert(t, err == nil, "%v", err)
		assert.Equal(t, string(resp.Body), "to 2")
	})
}

// TestDeadReusedConnection has the network drop all traffic on open connections.
// The request must fail after ReusedConnTimeout, not only at its deadline.
func TestDeadReusedConnection(t *testing.T) {
	withPeer(t, echo, func(t *testing.T, p *peer, pool *backend.ConnPool) {
		_, err := send(pool, newRequest("1", "GET", ""), backend.Options{})
		assert.Assert(t, err == nil)
		p.net.BlackholeOpenConns("server")
		start := time.Now()
		_, err = send(pool, newRequest("2", "GET", ""), backend.Options{ReusedConnTimeout: 100 * time.Millisecond})
		assert.Assert(t, err.TimedOut && err.Reused)
		assert.Equal(t, time.Since(start), 100*time.Millisecond)
		resp, err := send(pool, newRequest("3", "GET", ""), backend.Options{NewConn: true})
		assert.Assert(t, err == nil, "%v", err)
		assert.Equal(t, string(resp.Body), "to 3")
	})
}

// TestLateResponseAfterCancel cancels a request and sends another. The response to
// the first, which arrives later, must not be returned for the second.
func TestLateResponseAfterCancel(t *testing.T) {
	slow := func(p *peer, nc net.Conn, r *bufio.Reader) {
		defer func() { _ = nc.Close() }()
		for {
			id, ok := p.readRequest(r)
			if !ok {
				return
			}
			if id == "late" {
				time.Sleep(time.Second)
			}
			respond(nc, id, "to "+id)
		}
	}
	withPeer(t, slow, func(t *testing.T, _ *peer, pool *backend.ConnPool) {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := pool.Send(ctx, newRequest("late", "GET", ""), backend.Options{MaxBufferedBody: 100})
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
		resp, e := send(pool, newRequest("next", "GET", ""), backend.Options{})
		assert.Assert(t, e == nil)
		assert.Equal(t, string(resp.Body), "to next")
	})
}

// TestInterimResponsesRestartTimeout checks that a slow peer that sends interim
// responses does not exceed the response timeout.
func TestInterimResponsesRestartTimeout(t *testing.T) {
	slow := func(p *peer, nc net.Conn, r *bufio.Reader) {
		id, ok := p.readRequest(r)
		if !ok {
			return
		}
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(nc, "HTTP/1.1 102 Processing\r\n\r\n")
		}
		respond(nc, id, "at last")
	}
	withPeer(t, slow, func(t *testing.T, _ *peer, pool *backend.ConnPool) {
		resp, err := send(pool, newRequest("1", "GET", ""), backend.Options{ResponseTimeout: 200 * time.Millisecond})
		assert.Assert(t, err == nil, "%v", err)
		assert.Equal(t, string(resp.Body), "at last")
	})
}

// TestLargeResponsesAreStreamed checks that a body above the buffer limit is
// streamed, and that reading it ends with an error if it is truncated.
func TestLargeResponsesAreStreamed(t *testing.T) {
	body := strings.Repeat("x", 100_000)
	for _, cut := range []int{0, 1, 50_000} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			serve := func(p *peer, nc net.Conn, r *bufio.Reader) {
				defer func() { _ = nc.Close() }()
				if _, ok := p.readRequest(r); ok {
					_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)-cut])
				}
			}
			withPeer(t, serve, func(t *testing.T, _ *peer, pool *backend.ConnPool) {
				resp, err := pool.Send(context.Background(), newRequest("1", "GET", ""), backend.Options{MaxBufferedBody: 1000})
				assert.NilError(t, err)
				remainder, err := io.ReadAll(resp.BodyRemainder)
				assert.Equal(t, err == nil, cut == 0, "%v", err)
				assert.NilError(t, resp.BodyRemainder.Close())
				if cut == 0 {
					assert.Equal(t, len(resp.Body)+len(remainder), len(body))
				}
			})
		})
	}
}

// TestResponseBeforeBodyIsRead checks that the response of a peer that does not
// read the request's body is returned, although writing the body may fail.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	refuse := func(_ *peer, nc net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(nc, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		}
		_ = nc.Close()
	}
	withPeer(t, refuse, func(t *testing.T, _ *peer, pool *backend.ConnPool) {
		resp, err := send(pool, newRequest("1", "POST", strings.Repeat("b", 1<<20)), backend.Options{})
		assert.Assert(t, err == nil, "%v", err)
		assert.Equal(t, resp.Status, 413)
	})
}

// TestCloseBeforeReading has the peer close each connection without reading a byte.
// The error must not claim that a response was received.
func TestCloseBeforeReading(t *testing.T) {
	hangUp := func(_ *peer, nc net.Conn, _ *bufio.Reader) { _ = nc.Close() }
	withPeer(t, hangUp, func(t *testing.T, p *peer, pool *backend.ConnPool) {
		resp, err := send(pool, newRequest("1", "POST", "body"), backend.Options{})
		assert.Assert(t, resp == nil && err != nil)
		assert.Assert(t, err.Stage != backend.InvalidResponse)
		assert.Equal(t, p.requests.Load(), int64(0))
	})
}

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
	"laburnumpick.org/pkg/standin"
)

// peer is a server whose every byte the test decides.
type peer struct {
	net  *standin.Network
	seen atomic.Int64 // Requests that were read to their end.
}

// withPeer runs a test in virtual time against a server that handles each
// connection by serve.
func withPeer(t *testing.T, serve func(p *peer, c net.Conn, r *bufio.Reader), test func(t *testing.T, p *peer, l *backend.ConnPool)) {
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
				go serve(p, c, bufio.NewReader(c))
			}
		}()
		l := backend.NewConnPool("server:80", func(ctx context.Context, address string) (net.Conn, error) {
			return p.net.DialFrom(ctx, "client", address)
		})
		test(t, p, l)
		l.CloseIdle()
		time.Sleep(time.Minute) // Handlers that still wait end.
		p.net.Close()
	})
}

// read takes one whole request and returns its id.
func (p *peer) read(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	if _, err := io.ReadAll(req.Body); err != nil {
		return "", false
	}
	p.seen.Add(1)
	return req.Header.Get(backend.HeaderRequestID), true
}

func aRequest(id, method, body string) *backend.Request {
	h := http.Header{"Idempotency-Key": {"k"}}
	h.Set(backend.HeaderRequestID, id)
	return &backend.Request{Method: method, URL: &url.URL{Path: "/x"}, Host: "h", Header: h, Body: []byte(body), ID: id}
}

func send(l *backend.ConnPool, r *backend.Request, o backend.Options) (*backend.Response, *backend.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if o.MaxBufferedBody == 0 {
		o.MaxBufferedBody = 1 << 16
	}
	a, err := l.Send(ctx, r, o)
	e, _ := errors.AsType[*backend.Error](err)
	return a, e
}

func answer(c io.Writer, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", backend.HeaderRequestID, id, len(body), body)
}

// TestAnswersThatAreNotWhole checks that no answer passes that is cut short,
// doubled, crossed or without an end of its own.
func TestAnswersThatAreNotWhole(t *testing.T) {
	cases := []struct {
		name, answer string
		stage        backend.Stage
	}{
		{"closed before the answer", "", backend.NoResponse},
		{"head cut short", "HTTP/1.1 200 OK\r\nContent-Le", backend.NoResponse},
		{"body cut short", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", backend.InvalidResponse},
		{"chunks cut short", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", backend.InvalidResponse},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nall there is", backend.InvalidResponse},
		{"surplus bytes", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull and more", backend.InvalidResponse},
		{"another answer behind", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", backend.InvalidResponse},
		{"answer to another request", "HTTP/1.1 200 OK\r\nLaburnumpick-Request-Id: other\r\nContent-Length: 2\r\n\r\nok", backend.InvalidResponse},
		{"not HTTP", "hello\r\n\r\n", backend.NoResponse},
		{"other protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", backend.NoResponse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			serve := func(p *peer, nc net.Conn, r *bufio.Reader) {
				defer func() { _ = nc.Close() }()
				if _, ok := p.read(r); ok {
					_, _ = io.WriteString(nc, c.answer)
				}
			}
			withPeer(t, serve, func(t *testing.T, p *peer, l *backend.ConnPool) {
				a, err := send(l, aRequest("mine", "GET", ""), backend.Options{})
				assert.Assert(t, a == nil)
				assert.Equal(t, err.Stage, c.stage, "%v", err)
				assert.Equal(t, p.seen.Load(), int64(1))
			})
		})
	}
}

// TestNothingIsSentTwice closes a kept connection after it has read a request
// that net/http's Transport holds for replayable.
func TestNothingIsSentTwice(t *testing.T) {
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		for _, body := range []string{"", "a body"} {
			t.Run(method+"/"+body, func(t *testing.T) {
				served := 0
				serve := func(p *peer, nc net.Conn, r *bufio.Reader) {
					defer func() { _ = nc.Close() }()
					id, ok := p.read(r)
					if !ok {
						return
					}
					if served++; served == 1 {
						answer(nc, id, "ok")
						p.read(r) // And close without an answer.
					}
				}
				withPeer(t, serve, func(t *testing.T, p *peer, l *backend.ConnPool) {
					_, err := send(l, aRequest("1", "GET", ""), backend.Options{})
					assert.Assert(t, err == nil)
					_, err = send(l, aRequest("2", method, body), backend.Options{})
					assert.Equal(t, err.Stage, backend.NoResponse)
					assert.Assert(t, err.Reused)
					synctest.Wait()
					assert.Equal(t, p.seen.Load(), int64(2))
				})
			})
		}
	}
}

func TestNotSentIsSure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := standin.NewNetwork(nil)
		l := backend.NewConnPool("nobody:80", func(ctx context.Context, a string) (net.Conn, error) {
			return n.DialFrom(ctx, "client", a)
		})
		_, err := send(l, aRequest("1", "POST", "b"), backend.Options{})
		assert.Equal(t, err.Stage, backend.NotSent)
		n.Cut(standin.Way{From: "nobody", To: "client"}, true)
		start := time.Now()
		_, err = send(l, aRequest("1", "POST", "b"), backend.Options{})
		assert.Equal(t, err.Stage, backend.NotSent)
		assert.Assert(t, time.Since(start) <= 2*time.Second)
	})
}

// echo answers each request with its own id.
func echo(p *peer, nc net.Conn, r *bufio.Reader) {
	defer func() { _ = nc.Close() }()
	for {
		id, ok := p.read(r)
		if !ok {
			return
		}
		answer(nc, id, "to "+id)
	}
}

// TestStrayBytesBetweenRequests sends bytes on a kept connection while it
// rests. The next request must not get them.
func TestStrayBytesBetweenRequests(t *testing.T) {
	stray := func(p *peer, nc net.Conn, r *bufio.Reader) {
		id, ok := p.read(r)
		if !ok {
			return
		}
		answer(nc, id, "to "+id)
		time.Sleep(time.Second)
		answer(nc, "", "late answer to somebody else")
		echo(p, nc, r)
	}
	withPeer(t, stray, func(t *testing.T, _ *peer, l *backend.ConnPool) {
		_, err := send(l, aRequest("1", "GET", ""), backend.Options{})
		assert.Assert(t, err == nil)
		time.Sleep(2 * time.Second)
		a, err := send(l, aRequest("2", "GET", ""), backend.Options{})
		assert.Assert(t, err == nil, "%v", err)
		assert.Equal(t, string(a.Body), "to 2")
	})
}

// TestSilentKeptConnection loses all that crosses the open connections. The
// request must learn so in its silence, not at its deadline.
func TestSilentKeptConnection(t *testing.T) {
	withPeer(t, echo, func(t *testing.T, p *peer, l *backend.ConnPool) {
		_, err := send(l, aRequest("1", "GET", ""), backend.Options{})
		assert.Assert(t, err == nil)
		p.net.Silence("server")
		start := time.Now()
		_, err = send(l, aRequest("2", "GET", ""), backend.Options{ReusedConnTimeout: 100 * time.Millisecond})
		assert.Assert(t, err.TimedOut && err.Reused)
		assert.Equal(t, time.Since(start), 100*time.Millisecond)
		a, err := send(l, aRequest("3", "GET", ""), backend.Options{NewConn: true})
		assert.Assert(t, err == nil, "%v", err)
		assert.Equal(t, string(a.Body), "to 3")
	})
}

// TestLateAnswerAfterCancel gives up on a request and sends another. The first
// one's answer, which comes later, must not be taken for the second's.
func TestLateAnswerAfterCancel(t *testing.T) {
	slow := func(p *peer, nc net.Conn, r *bufio.Reader) {
		defer func() { _ = nc.Close() }()
		for {
			id, ok := p.read(r)
			if !ok {
				return
			}
			if id == "late" {
				time.Sleep(time.Second)
			}
			answer(nc, id, "to "+id)
		}
	}
	withPeer(t, slow, func(t *testing.T, _ *peer, l *backend.ConnPool) {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := l.Send(ctx, aRequest("late", "GET", ""), backend.Options{MaxBufferedBody: 100})
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
		a, e := send(l, aRequest("next", "GET", ""), backend.Options{})
		assert.Assert(t, e == nil)
		assert.Equal(t, string(a.Body), "to next")
	})
}

// TestSignsOfLife checks that interim answers keep a slow peer from counting
// as silent.
func TestSignsOfLife(t *testing.T) {
	slow := func(p *peer, nc net.Conn, r *bufio.Reader) {
		id, ok := p.read(r)
		if !ok {
			return
		}
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(nc, "HTTP/1.1 102 Processing\r\n\r\n")
		}
		answer(nc, id, "at last")
	}
	withPeer(t, slow, func(t *testing.T, _ *peer, l *backend.ConnPool) {
		a, err := send(l, aRequest("1", "GET", ""), backend.Options{ResponseTimeout: 200 * time.Millisecond})
		assert.Assert(t, err == nil, "%v", err)
		assert.Equal(t, string(a.Body), "at last")
	})
}

// TestLargeAnswersStream checks that a body beyond the limit is passed on as
// it comes, and ends with an error where it is cut short.
func TestLargeAnswersStream(t *testing.T) {
	body := strings.Repeat("x", 100_000)
	for _, cut := range []int{0, 1, 50_000} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			serve := func(p *peer, nc net.Conn, r *bufio.Reader) {
				defer func() { _ = nc.Close() }()
				if _, ok := p.read(r); ok {
					_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)-cut])
				}
			}
			withPeer(t, serve, func(t *testing.T, _ *peer, l *backend.ConnPool) {
				a, err := l.Send(context.Background(), aRequest("1", "GET", ""), backend.Options{MaxBufferedBody: 1000})
				assert.NilError(t, err)
				rest, err := io.ReadAll(a.BodyRemainder)
				assert.Equal(t, err == nil, cut == 0, "%v", err)
				assert.NilError(t, a.BodyRemainder.Close())
				if cut == 0 {
					assert.Equal(t, len(a.Body)+len(rest), len(body))
				}
			})
		})
	}
}

// TestEarlyAnswer takes an answer from a peer that does not read the body.
func TestEarlyAnswer(t *testing.T) {
	refuse := func(_ *peer, nc net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(nc, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		}
		_ = nc.Close()
	}
	withPeer(t, refuse, func(t *testing.T, _ *peer, l *backend.ConnPool) {
		a, err := send(l, aRequest("1", "POST", strings.Repeat("b", 1<<20)), backend.Options{})
		assert.Assert(t, err == nil, "%v", err)
		assert.Equal(t, a.Status, 413)
	})
}

// TestCloseBeforeReading closes each connection without reading a byte.
func TestCloseBeforeReading(t *testing.T) {
	hangUp := func(_ *peer, nc net.Conn, _ *bufio.Reader) { _ = nc.Close() }
	withPeer(t, hangUp, func(t *testing.T, p *peer, l *backend.ConnPool) {
		a, err := send(l, aRequest("1", "POST", "body"), backend.Options{})
		assert.Assert(t, a == nil && err != nil)
		assert.Assert(t, err.Stage != backend.InvalidResponse)
		assert.Equal(t, p.seen.Load(), int64(0))
	})
}

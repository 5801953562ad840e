package backend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/backend"
)

// now returns the present time; it is virtual in these tests.
func now() time.Time { return time.Now() }

// leavingPeer says in each response that it leaves.
func leavingPeer(p *peer, nc net.Conn, r *bufio.Reader) {
	for {
		id, ok := p.readRequest(r)
		if !ok {
			return
		}
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nContent-Length: 2\r\n\r\nok",
			backend.HeaderRequestID, id, backend.HeaderServerLeaving)
	}
}

// TestEndlessHeadIsCutOff guards against a peer whose head never ends: the exchange fails
// after a bounded number of bytes, long before the request's deadline.
func TestEndlessHeadIsCutOff(t *testing.T) {
	block := strings.Repeat("x", 1024)
	for name, text := range map[string]struct{ first, repeated string }{
		"no line end":       {"", block},
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X: " + block + "\r\n"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\nX: " + block + "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			flood := func(p *peer, nc net.Conn, r *bufio.Reader) {
				if _, ok := p.readRequest(r); !ok {
					return
				}
				for out := text.first; ; out = text.repeated {
					n, err := io.WriteString(nc, out)
					written.Add(int64(n))
					if err != nil {
						return
					}
					time.Sleep(time.Millisecond)
				}
			}
			withPeer(t, flood, func(t *testing.T, _ *peer, pool *backend.ConnPool) {
				start := time.Now()
				_, err := send(pool, newRequest("1", "GET", ""), backend.Options{})
				assert.Assert(t, err != nil && err.Received, "%v", err)
				assert.Assert(t, time.Since(start) < time.Second, "%v", time.Since(start))
				time.Sleep(time.Second)
				assert.Assert(t, written.Load() < 100<<10, "the peer could send %d bytes", written.Load())
			})
		})
	}
}

// TestLateSecondResponseIsNotTheNextOne guards against a late second response to one request that
// is taken for that to the next. It has the peer send a second response to a request, late,
// when the next request on the same connection has been written. Nothing of it may be returned
// for that request, whether or not it names the first one.
func TestLateSecondResponseIsNotTheNextOne(t *testing.T) {
	for name, second := range map[string]string{
		"names its request":         "HTTP/1.1 200 OK\r\nLaburnumpick-Request-Id: 1\r\nContent-Length: 4\r\n\r\nto 1",
		"failure that names it":     "HTTP/1.1 500 Oops\r\nLaburnumpick-Request-Id: 1\r\nContent-Length: 4\r\n\r\nto 1",
		"failure without a name":    "HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\nto 1",
		"success without a name":    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nto 1",
		"interim and then a second": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 404 No\r\nContent-Length: 4\r\n\r\nto 1",
	} {
		t.Run(name, func(t *testing.T) {
			late := func(p *peer, nc net.Conn, r *bufio.Reader) {
				id, ok := p.readRequest(r)
				if !ok {
					return
				}
				respond(nc, id, "to "+id)
				if id, ok = p.readRequest(r); !ok {
					return
				}
				_, _ = io.WriteString(nc, second)
				time.Sleep(time.Second)
				respond(nc, id, "to "+id)
			}
			withPeer(t, late, func(t *testing.T, _ *peer, pool *backend.ConnPool) {
				o := backend.Options{Contract: backend.Contract{RequiresEcho: true}}
				_, err := send(pool, newRequest("1", "GET", ""), o)
				assert.Assert(t, err == nil)
				resp, err := send(pool, newRequest("2", "GET", ""), o)
				assert.Assert(t, resp == nil && err != nil)
				assert.Equal(t, err.Stage, backend.InvalidResponse, "%v", err)
			})
		})
	}
}

// TestBeforeWriteStopsTheRequest guards against a request that is written although the check
// right before forbids it, on a new or a kept connection.
func TestBeforeWriteStopsTheRequest(t *testing.T) {
	withPeer(t, echo, func(t *testing.T, p *peer, pool *backend.ConnPool) {
		no := func(time.Time) error { return io.ErrUnexpectedEOF }
		_, err := send(pool, newRequest("1", "GET", ""), backend.Options{BeforeWrite: no})
		assert.Equal(t, err.Stage, backend.NotSent)
		_, err = send(pool, newRequest("2", "GET", ""), backend.Options{})
		assert.Assert(t, err == nil)
		_, err = send(pool, newRequest("3", "GET", ""), backend.Options{BeforeWrite: no})
		assert.Equal(t, err.Stage, backend.NotSent)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		time.Sleep(time.Second)
		assert.Equal(t, p.requests.Load(), int64(1))
	})
}

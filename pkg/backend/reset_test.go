package backend_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/standin"
)

// uploadSize is the size of a request's body that no kernel buffers whole, in bytes.
const uploadSize = 16 << 20

// closeDelimitedHead is the head of a response whose body ends with its connection.
const closeDelimitedHead = "HTTP/1.1 200 OK\r\nLaburnumpick-Request-Id: mine\r\n\r\n"

// withSocketPeer runs a test against a server on loopback. A kernel reports the reset of a connection once, to
// whoever asks first.
func withSocketPeer(t *testing.T, handle func(nc *net.TCPConn, r *http.Request), test func(pool *backend.ConnPool)) {
	t.Helper()
	srv, err := standin.NewRawServer(handle)
	assert.NilError(t, err)
	pool := backend.NewConnPool(srv.Address(), func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	})
	test(pool)
	pool.CloseIdle()
	assert.NilError(t, srv.Close())
}

// socketContract is the contract of servers whose responses may end with their connection.
var socketContract = backend.Contract{RequiresEcho: true, AllowCloseDelimited: true}

// readWhole sends a request and reads the whole response.
func readWhole(pool *backend.ConnPool, method, body string) (status int, received string, err error) {
	resp, err := pool.Send(context.Background(), newRequest("mine", method, body), backend.Options{MaxBufferedBody: 1 << 16, Contract: socketContract})
	if err != nil {
		return 0, "", err
	}
	var b strings.Builder
	err = backend.WriteBody(&b, resp)
	return resp.Status, b.String(), err
}

// abort closes a connection with a reset.
func abort(nc *net.TCPConn) {
	_ = nc.SetLinger(0)
	_ = nc.Close()
}

// TestResponseThatAResetCutsDuringTheUploadIsNotWhole guards against callers that get a part of a body as
// the whole. The server responds while the request is still being written, in a body that ends with its
// connection, and resets it. The write takes the reset from the socket, which then reports a plain end.
func TestResponseThatAResetCutsDuringTheUploadIsNotWhole(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"reset":                    abort,
		"closed with bytes unread": func(nc *net.TCPConn) { _ = nc.Close() },
	} {
		for _, part := range []int{0, 100, 200 << 10} { // The largest is streamed to the caller.
			t.Run(fmt.Sprintf("%s after %d bytes", name, part), func(t *testing.T) {
				serve := func(nc *net.TCPConn, _ *http.Request) {
					_, _ = io.WriteString(nc, closeDelimitedHead+strings.Repeat("x", part))
					end(nc)
				}
				withSocketPeer(t, serve, func(pool *backend.ConnPool) {
					_, body, err := readWhole(pool, http.MethodPost, strings.Repeat("b", uploadSize))
					e, ok := errors.AsType[*backend.Error](err)
					assert.Assert(t, ok, "%d of %d bytes were taken for a whole body: %v", len(body), part, err)
					assert.Equal(t, e.Stage, backend.InvalidResponse, "%v", err)
					assert.Assert(t, e.Received && e.Ended, "%v", err)
				})
			})
		}
	}
}

// TestWholeResponsesDuringTheUploadAreDelivered guards against responses that are refused although their
// end is certain: servers may respond before they have read a request.
func TestWholeResponsesDuringTheUploadAreDelivered(t *testing.T) {
	const id = "Laburnumpick-Request-Id: mine\r\n"
	cases := []struct {
		name, response string
		upload         int
		end            func(nc *net.TCPConn, r *http.Request)
		status         int
		body           string
	}{
		{
			"with a length, reset", "HTTP/1.1 413 Too Large\r\n" + id + "Content-Length: 5\r\n\r\nlarge", uploadSize,
			func(nc *net.TCPConn, _ *http.Request) { abort(nc) }, 413, "large",
		},
		{
			"with a length, closed with bytes unread", "HTTP/1.1 401 No\r\n" + id + "Connection: close\r\nContent-Length: 4\r\n\r\nkey?", uploadSize,
			func(nc *net.TCPConn, _ *http.Request) { _ = nc.Close() }, 401, "key?",
		},
		{
			"in chunks, reset", "HTTP/1.1 413 Too Large\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n5\r\nlarge\r\n0\r\n\r\n", uploadSize,
			func(nc *net.TCPConn, _ *http.Request) { abort(nc) }, 413, "large",
		},
		{
			"without a body, reset", "HTTP/1.1 204 No Content\r\n" + id + "\r\n", uploadSize,
			func(nc *net.TCPConn, _ *http.Request) { abort(nc) }, 204, "",
		},
		{
			"ends with the connection, the request read to its end", closeDelimitedHead + "whole", uploadSize,
			func(_ *net.TCPConn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }, 200, "whole",
		},
		{
			"ends with the connection, no request body", closeDelimitedHead + "whole", 0,
			func(*net.TCPConn, *http.Request) {}, 200, "whole",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			serve := func(nc *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(nc, c.response)
				c.end(nc, r)
			}
			withSocketPeer(t, serve, func(pool *backend.ConnPool) {
				status, body, err := readWhole(pool, http.MethodPost, strings.Repeat("b", c.upload))
				assert.NilError(t, err)
				assert.Equal(t, status, c.status)
				assert.Equal(t, body, c.body)
			})
		})
	}
}

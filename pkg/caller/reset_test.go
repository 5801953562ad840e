package caller

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// withSocketServer runs a test with the address of a server on loopback.
func withSocketServer(t *testing.T, h http.Handler, test func(s *Server, address string)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(Config{Handler: h, Limits: func() Limits { return limits }, Parallel: func(*http.Request) bool { return false }})
	go func() { _ = s.Serve(l) }()
	test(s, l.Addr().String())
	assert.NilError(t, l.Close())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	assert.NilError(t, s.Shutdown(ctx))
}

// readBody sends a request and reads the body of the response to its end.
func readBody(t *testing.T, address, request string) (int, error) {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = nc.Close() }()
	_, err = io.WriteString(nc, request)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	return int(n), err
}

// streamedBytes is the size of a body of unknown length that is not buffered.
const streamedBytes = 2 * maxBufferedBytes

// TestCallersSeeWhereAResponseBreaksOff guards against callers of HTTP/1.0 that take a part of a body for the
// whole: to them the end of the connection is that of the body.
func TestCallersSeeWhereAResponseBreaksOff(t *testing.T) {
	write := func(w http.ResponseWriter) { _, _ = w.Write(bytes.Repeat([]byte("x"), streamedBytes)) }
	broken := func(w http.ResponseWriter, _ *http.Request) {
		write(w)
		panic(http.ErrAbortHandler)
	}
	whole := func(w http.ResponseWriter, _ *http.Request) { write(w) }
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		request string
		err     error
	}{
		"whole, HTTP/1.0":  {whole, "GET / HTTP/1.0\r\n\r\n", nil},
		"whole, HTTP/1.1":  {whole, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", nil},
		"broken, HTTP/1.0": {broken, "GET / HTTP/1.0\r\n\r\n", syscall.ECONNRESET},
		"broken, HTTP/1.1": {broken, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			withSocketServer(t, c.handler, func(_ *Server, address string) {
				n, err := readBody(t, address, c.request)
				if c.err == nil {
					assert.NilError(t, err)
					assert.Equal(t, n, streamedBytes)
					return
				}
				assert.ErrorIs(t, err, c.err, "%d of at least %d bytes were taken for the whole", n, streamedBytes)
			})
		})
	}
}

// TestCallersSeeWhereAStopBreaksOff is TestCallersSeeWhereAResponseBreaksOff for a stop that runs out of time.
func TestCallersSeeWhereAStopBreaksOff(t *testing.T) {
	began, end := make(chan struct{}), make(chan struct{})
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), streamedBytes))
		close(began)
		<-end
	})
	withSocketServer(t, h, func(s *Server, address string) {
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			<-began
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = s.Shutdown(ctx) // Its error is that of the context.
		}()
		n, err := readBody(t, address, "GET / HTTP/1.0\r\n\r\n")
		assert.Check(t, err != nil, "%d of at least %d bytes were taken for the whole", n, streamedBytes)
		<-stopped
		close(end)
	})
}

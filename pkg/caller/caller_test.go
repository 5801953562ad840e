package caller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/standin"
)

var limits = Limits{
	HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, BodyTimeout: 3 * time.Second,
	IdleTimeout: 15 * time.Second, WriteTimeout: 3 * time.Second,
}

// handler records the paths of the requests that it runs. The first element of the
// path is the time that the request takes.
type handler struct {
	mu       sync.Mutex
	began    []string
	ended    []string
	canceled []string
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.record(&h.began, r.URL.Path)
	d, err := time.ParseDuration(strings.TrimPrefix(strings.SplitN(r.URL.Path, "/", 3)[1], "x"))
	if err == nil && control.Sleep(r.Context(), d) != nil {
		h.record(&h.canceled, r.URL.Path)
		return
	}
	h.record(&h.ended, r.URL.Path)
	if strings.HasSuffix(r.URL.Path, "/abort") {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	}
	if strings.HasSuffix(r.URL.Path, "/long") {
		_, _ = w.Write(bytes.Repeat([]byte("x"), 100<<10))
		return
	}
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
}

func (h *handler) record(to *[]string, path string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*to = append(*to, path)
}

func (h *handler) list(of *[]string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), *of...)
}

// fixture is a server on an in-memory network.
type fixture struct {
	t   *testing.T
	h   *handler
	s   *Server
	net *standin.Network

	limits  atomic.Pointer[Limits]
	metrics tally.TestScope
}

// withServer runs a test on a server in virtual time. GET requests may run in
// parallel.
func withServer(t *testing.T, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{
			t: t, h: &handler{}, net: standin.NewNetwork(func(standin.Link) time.Duration { return time.Millisecond }),
			metrics: tally.NewTestScope("", nil),
		}
		f.limits.Store(&limits)
		l, err := f.net.Listen("vm:80")
		assert.NilError(t, err)
		f.s = New(Config{
			Handler: f.h, Limits: func() Limits { return *f.limits.Load() },
			Parallel: func(r *http.Request) bool { return r.Method == http.MethodGet }, Scope: f.metrics,
		})
		go func() { _ = f.s.Serve(l) }()
		test(f)
		assert.NilError(t, l.Close())
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		assert.NilError(t, f.s.Shutdown(ctx))
		f.net.Close()
	})
}

func (f *fixture) dial() (net.Conn, *bufio.Reader) {
	f.t.Helper()
	c, err := f.net.DialFrom(context.Background(), "caller", "vm:80")
	assert.NilError(f.t, err)
	return c, bufio.NewReader(c)
}

func (f *fixture) send(c net.Conn, text string) {
	f.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(f.t, err)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// readResponse reads one response. It returns the whole body, and whether the response
// announces the end of the connection.
func (f *fixture) readResponse(r *bufio.Reader) (body string, last bool) {
	f.t.Helper()
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(f.t, err)
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	assert.NilError(f.t, resp.Body.Close())
	return string(raw), resp.Close
}

func TestResponsesKeepRequestOrder(t *testing.T) {
	withServer(t, func(f *fixture) {
		c, r := f.dial()
		began := time.Now()
		f.send(c, get("/300ms/a")+get("/100ms/b")+get("/200ms/c"))
		for _, want := range []string{"/300ms/a ", "/100ms/b ", "/200ms/c "} {
			body, _ := f.readResponse(r)
			assert.Equal(t, body, want)
		}
		assert.Assert(t, time.Since(began) < 350*time.Millisecond, "the requests did not run in parallel: %v", time.Since(began))
	})
}

// TestAtMostOnceRequestWaitsForEarlierResponses pipelines a request that must not run
// twice behind another one. If it began while the earlier request ran, the earlier
// response could still close the connection, and the caller would not know whether
// its request had run.
func TestAtMostOnceRequestWaitsForEarlierResponses(t *testing.T) {
	withServer(t, func(f *fixture) {
		c, r := f.dial()
		f.send(c, get("/300ms/a")+post("/0ms/vote", "yes"))
		time.Sleep(200 * time.Millisecond)
		assert.DeepEqual(t, f.h.list(&f.h.began), []string{"/300ms/a"})
		f.readResponse(r)
		body, _ := f.readResponse(r)
		assert.Equal(t, body, "/0ms/vote yes")
	})
}

// TestNoResponseBehindAnUnframedBody guards against a response that is written into the
// body of the one before: to an HTTP/1.0 caller, only the end of the connection marks the
// end of a body of unknown length. The second request counts as not read.
func TestNoResponseBehindAnUnframedBody(t *testing.T) {
	const length = 100 << 10
	for _, second := range []string{"GET /0ms/b HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", get("/0ms/b")} {
		withServer(t, func(f *fixture) {
			c, r := f.dial()
			f.send(c, "GET /50ms/long HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n"+second)
			resp, err := http.ReadResponse(r, nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, len(body), length)
			assert.Equal(t, strings.Trim(string(body), "x"), "")
			assert.DeepEqual(t, f.h.list(&f.h.began), []string{"/50ms/long"})
		})
	}
}

func TestDisconnectCancelsRunningRequests(t *testing.T) {
	for _, behind := range []string{"", get("/9s/b"), get("/9s/b") + post("/0ms/c", "x")} {
		t.Run(fmt.Sprint(len(behind)), func(t *testing.T) {
			withServer(t, func(f *fixture) {
				c, _ := f.dial()
				f.send(c, get("/9s/a")+behind)
				time.Sleep(100 * time.Millisecond)
				assert.NilError(t, c.Close())
				time.Sleep(100 * time.Millisecond)
				if strings.Contains(behind, "POST") {
					return // The POST waits for the requests before it, which run to their end: the disconnect is not noticed until then.
				}
				assert.Equal(t, len(f.h.list(&f.h.canceled)), strings.Count(behind, "GET")+1)
			})
		})
	}
}

// TestLastResponseAnnouncesClose disables keep-alives while requests run. Each
// connection closes with the response to the last request that was accepted, and no
// request sent after that runs.
func TestLastResponseAnnouncesClose(t *testing.T) {
	withServer(t, func(f *fixture) {
		c, r := f.dial()
		f.send(c, get("/200ms/a")+get("/300ms/b"))
		time.Sleep(100 * time.Millisecond)
		f.s.DisableKeepAlives()
		_, last := f.readResponse(r)
		assert.Assert(t, !last, "the first response announced the close while another request was running")
		body, last := f.readResponse(r)
		assert.Equal(t, body, "/300ms/b ")
		assert.Assert(t, last)
		_, _ = io.WriteString(c, get("/0ms/late")) // The connection may already be closed.
		_, err := r.ReadByte()
		assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
		assert.Equal(t, len(f.h.list(&f.h.began)), 2)
	})
}

func TestShutdownCompletesRunningRequests(t *testing.T) {
	withServer(t, func(f *fixture) {
		busy, r := f.dial()
		idle, ir := f.dial()
		f.send(busy, post("/2s/sign", "x"))
		f.send(idle, get("/0ms/a"))
		f.readResponse(ir)
		time.Sleep(100 * time.Millisecond)
		done := make(chan error, 1)
		go func() { done <- f.s.Shutdown(context.Background()) }()
		_, err := ir.ReadByte()
		assert.Assert(t, errors.Is(err, io.EOF), "the idle connection was not closed at once: %v", err)
		body, last := f.readResponse(r)
		assert.Equal(t, body, "/2s/sign x")
		assert.Assert(t, last)
		assert.NilError(t, <-done)
	})
}

// TestShutdownAnswersWhatHasArrived guards against requests that had arrived on idle connections
// at the moment of a planned stop, and that were cut off without a response.
func TestShutdownAnswersWhatHasArrived(t *testing.T) {
	withServer(t, func(f *fixture) {
		const conns = 100
		var open [conns]net.Conn
		var readers [conns]*bufio.Reader
		for i := range conns {
			open[i], readers[i] = f.dial()
			f.send(open[i], get("/0ms/first"))
			f.readResponse(readers[i])
		}
		time.Sleep(100 * time.Millisecond)
		for i := range conns {
			f.send(open[i], post("/0ms/arrived", "x"))
		}
		time.Sleep(time.Millisecond) // The delay of the network.
		go func() { _ = f.s.Shutdown(context.Background()) }()
		unanswered := 0
		for i := range conns {
			resp, err := http.ReadResponse(readers[i], nil)
			if err != nil {
				unanswered++
				continue
			}
			assert.NilError(t, resp.Body.Close())
		}
		assert.Equal(t, unanswered, 0, "of %d requests", conns)
	})
}

func TestIdleConnectionsLastUntilTimeout(t *testing.T) {
	withServer(t, func(f *fixture) {
		c, r := f.dial()
		for range 3 {
			f.send(c, get("/0ms/a"))
			f.readResponse(r)
			time.Sleep(limits.IdleTimeout * 4 / 5)
		}
		began := time.Now()
		_, err := r.ReadByte()
		assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
		assert.Assert(t, time.Since(began) >= limits.IdleTimeout/5-10*time.Millisecond)
	})
}

func TestAbortedResponseLooksTruncated(t *testing.T) {
	withServer(t, func(f *fixture) {
		c, r := f.dial()
		f.send(c, get("/0ms/abort"))
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		_, err = io.ReadAll(resp.Body)
		assert.Assert(t, err != nil)
		assert.NilError(t, resp.Body.Close())
	})
}

func TestChunkedRequestBody(t *testing.T) {
	withServer(t, func(f *fixture) {
		c, r := f.dial()
		f.send(c, "POST /0ms/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"+get("/0ms/b"))
		body, _ := f.readResponse(r)
		assert.Equal(t, body, "/0ms/a abcde")
		body, _ = f.readResponse(r)
		assert.Equal(t, body, "/0ms/b ")
	})
}

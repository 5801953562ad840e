package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/standin"
)

var limits = Limits{
	HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, BodyTimeout: 3 * time.Second,
	IdleTimeout: 15 * time.Second, WriteTimeout: 3 * time.Second,
}

// handler notes what runs. The path tells how long it takes.
type handler struct {
	mu      sync.Mutex
	began   []string
	ended   []string
	dropped []string
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.note(&h.began, r.URL.Path)
	d, err := time.ParseDuration(strings.TrimPrefix(strings.SplitN(r.URL.Path, "/", 3)[1], "x"))
	if err == nil && control.Sleep(r.Context(), d) != nil {
		h.note(&h.dropped, r.URL.Path)
		return
	}
	h.note(&h.ended, r.URL.Path)
	if strings.HasSuffix(r.URL.Path, "/abort") {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	}
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
}

func (h *handler) note(to *[]string, path string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*to = append(*to, path)
}

func (h *handler) list(of *[]string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), *of...)
}

// fixture is a server on a network in memory.
type fixture struct {
	t   *testing.T
	h   *handler
	s   *Server
	net *standin.Network
}

// withServer runs a test on a server in virtual time. Requests by GET may run in
// parallel.
func withServer(t *testing.T, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, h: &handler{}, net: standin.NewNetwork(func(standin.Way) time.Duration { return time.Millisecond })}
		l, err := f.net.Listen("vm:80")
		assert.NilError(t, err)
		f.s = New(Config{
			Handler: f.h, Limits: func() Limits { return limits },
			Parallel: func(r *http.Request) bool { return r.Method == http.MethodGet },
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

// answer reads one answer with its whole body, and whether it is the last.
func (f *fixture) answer(r *bufio.Reader) (body string, last bool) {
	f.t.Helper()
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(f.t, err)
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	assert.NilError(f.t, resp.Body.Close())
	return string(raw), resp.Close
}

func TestAnswersComeInTheOrderOfTheRequests(t *testing.T) {
	withServer(t, func(f *fixture) {
		c, r := f.dial()
		began := time.Now()
		f.send(c, get("/300ms/a")+get("/100ms/b")+get("/200ms/c"))
		for _, want := range []string{"/300ms/a ", "/100ms/b ", "/200ms/c "} {
			body, _ := f.answer(r)
			assert.Equal(t, body, want)
		}
		assert.Assert(t, time.Since(began) < 350*time.Millisecond, "they run beside each other: %v", time.Since(began))
	})
}

// TestOnceOnlyWaitsForItsTurn sends a request that must not run twice behind
// another. It may begin only when no answer before it can end the connection.
func TestOnceOnlyWaitsForItsTurn(t *testing.T) {
	withServer(t, func(f *fixture) {
		c, r := f.dial()
		f.send(c, get("/300ms/a")+post("/0ms/vote", "yes"))
		time.Sleep(200 * time.Millisecond)
		assert.DeepEqual(t, f.h.list(&f.h.began), []string{"/300ms/a"})
		f.answer(r)
		body, _ := f.answer(r)
		assert.Equal(t, body, "/0ms/vote yes")
	})
}

func TestCallerThatLeavesEndsItsRequests(t *testing.T) {
	for _, behind := range []string{"", get("/9s/b"), get("/9s/b") + post("/0ms/c", "x")} {
		t.Run(fmt.Sprint(len(behind)), func(t *testing.T) {
			withServer(t, func(f *fixture) {
				c, _ := f.dial()
				f.send(c, get("/9s/a")+behind)
				time.Sleep(100 * time.Millisecond)
				assert.NilError(t, c.Close())
				time.Sleep(100 * time.Millisecond)
				if strings.Contains(behind, "POST") {
					return // Its place is behind what runs; that ends by its deadline.
				}
				assert.Equal(t, len(f.h.list(&f.h.dropped)), strings.Count(behind, "GET")+1)
			})
		})
	}
}

// TestLastAnswerTellsTheEnd stops a server while requests run. Each connection
// ends with the answer to the last request that was taken, and nothing that was
// not taken runs.
func TestLastAnswerTellsTheEnd(t *testing.T) {
	withServer(t, func(f *fixture) {
		c, r := f.dial()
		f.send(c, get("/200ms/a")+get("/300ms/b"))
		time.Sleep(100 * time.Millisecond)
		f.s.DisableKeepAlives()
		_, last := f.answer(r)
		assert.Assert(t, !last, "another one is under way")
		body, last := f.answer(r)
		assert.Equal(t, body, "/300ms/b ")
		assert.Assert(t, last)
		_, _ = io.WriteString(c, get("/0ms/late")) // The connection may have been closed by then.
		_, err := r.ReadByte()
		assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
		assert.Equal(t, len(f.h.list(&f.h.began)), 2)
	})
}

func TestShutdownCutsNothing(t *testing.T) {
	withServer(t, func(f *fixture) {
		busy, r := f.dial()
		idle, ir := f.dial()
		f.send(busy, post("/2s/sign", "x"))
		f.send(idle, get("/0ms/a"))
		f.answer(ir)
		time.Sleep(100 * time.Millisecond)
		done := make(chan error, 1)
		go func() { done <- f.s.Shutdown(context.Background()) }()
		_, err := ir.ReadByte()
		assert.Assert(t, errors.Is(err, io.EOF), "a resting connection ends at once: %v", err)
		body, last := f.answer(r)
		assert.Equal(t, body, "/2s/sign x")
		assert.Assert(t, last)
		assert.NilError(t, <-done)
	})
}

func TestRestingConnectionsLastTheirTime(t *testing.T) {
	withServer(t, func(f *fixture) {
		c, r := f.dial()
		for range 3 {
			f.send(c, get("/0ms/a"))
			f.answer(r)
			time.Sleep(limits.IdleTimeout * 4 / 5)
		}
		began := time.Now()
		_, err := r.ReadByte()
		assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
		assert.Assert(t, time.Since(began) >= limits.IdleTimeout/5-10*time.Millisecond)
	})
}

func TestAnswerThatBreaksOffLooksSo(t *testing.T) {
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

func TestBodiesInChunks(t *testing.T) {
	withServer(t, func(f *fixture) {
		c, r := f.dial()
		f.send(c, "POST /0ms/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"+get("/0ms/b"))
		body, _ := f.answer(r)
		assert.Equal(t, body, "/0ms/a abcde")
		body, _ = f.answer(r)
		assert.Equal(t, body, "/0ms/b ")
	})
}

// TestCheckHead holds the framings that net/http forgives, each of which two
// readers could take in two ways.
func TestCheckHead(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	cases := []struct {
		name, text string
		good       bool
	}{
		{"plain", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", true},
		{"an empty line before it", "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", true},
		{"length", head + "Content-Length: 3\r\n\r\n", true},
		{"chunks", head + "Transfer-Encoding: Chunked\r\n\r\n", true},
		{"old without host", "GET / HTTP/1.0\r\n\r\n", true},
		{"length and chunks", head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"chunks and length", head + "transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n", false},
		{"two lengths", head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", false},
		{"two codings", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n", false},
		{"another coding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n", false},
		{"old with chunks", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"bare LF", "GET / HTTP/1.1\nHost: h\n\n", false},
		{"bare LF in the middle", head + "X: a\nContent-Length: 3\r\n\r\n", false},
		{"CR in a line", head + "X: a\rb\r\n\r\n", false},
		{"NUL", head + "X: a\x00\r\n\r\n", false},
		{"folded", head + "X: a\r\n b\r\n\r\n", false},
		{"space before the colon", head + "Content-Length : 3\r\n\r\n", false},
		{"no colon", head + "Content-Length 3\r\n\r\n", false},
		{"two hosts", head + "Host: g\r\n\r\n", false},
		{"no host", "GET / HTTP/1.1\r\n\r\n", false},
	}
	for _, c := range cases {
		n, whole, err := checkHead([]byte(c.text))
		if c.good {
			assert.NilError(t, err, c.name)
			assert.Assert(t, whole && n == len(c.text), c.name)
			continue
		}
		f, ok := errors.AsType[*outcome.Failure](err)
		assert.Assert(t, ok && f.Kind == outcome.Malformed, "%s: %v", c.name, err)
	}
}

func FuzzCheckHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, whole, err := checkHead(b)
		if err == nil && whole && (n > len(b) || !strings.HasSuffix(string(b[:n]), "\r\n\r\n")) {
			t.Fatalf("%q: the header ends at %d", b, n)
		}
	})
}

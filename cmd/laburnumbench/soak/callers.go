package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"laburnumpick.org/platform/standin"
)

// Parameters of the callers.
const (
	requestDeadline    = 3 * time.Second
	exchangeTimeout    = 6 * time.Second // Bounds the write of a request and the read of its response.
	thinkTime          = 60 * time.Millisecond
	maxRequestsPerConn = 12 // The caller then opens a new connection.
	dialTimeout        = time.Second
)

// requestResult records one request and the response that its caller received.
type requestResult struct {
	id         string
	atMostOnce bool
	vm         *vm
	sent       time.Time
	end        time.Time // When the response was complete or the exchange had failed.
	status     int       // 0 if no complete response was received.
	err        error     // Why no complete response was received.
	mismatch   string    // How the response contradicts the request, or "".
	reusedConn bool      // The connection carried a request before this one.
	shown      credentials
}

// callers sends requests from concurrent callers through the VMs in rotation.
type callers struct {
	vms  []*vm
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	results []requestResult
}

// start starts n callers. Each draws from its own generator, seeded from seed.
func (c *callers) start(n int, seed uint64) {
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(100+i)))
		c.wg.Go(func() {
			for k := 0; ; {
				select {
				case <-c.stop:
					return
				default:
				}
				k = c.runConnection(rng, i, k)
			}
		})
	}
}

// stopAndWait stops the callers, waits for their open requests and returns all
// results.
func (c *callers) stopAndWait() []requestResult {
	close(c.stop)
	c.wg.Wait()
	return c.results
}

// pickVM returns a random healthy VM, or any VM if none is healthy.
func (c *callers) pickVM(rng *rand.Rand) *vm {
	var candidates []*vm
	for _, v := range c.vms {
		v.mu.Lock()
		if v.healthy {
			candidates = append(candidates, v)
		}
		v.mu.Unlock()
	}
	if len(candidates) == 0 {
		candidates = c.vms
	}
	return candidates[rng.IntN(len(candidates))]
}

// runConnection opens a connection and sends requests on it until it closes,
// maxRequestsPerConn is reached or the callers stop. k is the number of the
// caller's next request; the updated number is returned.
func (c *callers) runConnection(rng *rand.Rand, caller, k int) int {
	v := c.pickVM(rng)
	nc, err := net.DialTimeout("tcp", v.addresses().Callers, dialTimeout)
	if err != nil {
		time.Sleep(thinkTime)
		return k
	}
	defer func() { _ = nc.Close() }()
	r := bufio.NewReader(nc)
	for n := range maxRequestsPerConn {
		select {
		case <-c.stop:
			return k
		default:
		}
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(thinkTime)))
		t := requestResult{id: fmt.Sprintf("c%d-%d", caller, k), atMostOnce: rng.IntN(2) == 0, vm: v, reusedConn: n > 0}
		path := t.path(rng.IntN(3))
		t.shown = credentialsOf(caller, k, path == anonymousPath)
		k++
		open := t.roundTrip(nc, r, path)
		c.mu.Lock()
		c.results = append(c.results, t)
		c.mu.Unlock()
		if !open {
			return k
		}
	}
	return k
}

// anonymousPath is the path prefix of the only route whose requests need no key.
const anonymousPath = "/both/"

// path returns the path prefix of the request. route selects that of a request that may be
// repeated.
func (t *requestResult) path(route int) string {
	if t.atMostOnce {
		return "/once/"
	}
	return []string{"/read/", anonymousPath, "/read/"}[route]
}

// roundTrip sends the request and reads the response. It reports whether the connection can be
// reused.
func (t *requestResult) roundTrip(nc net.Conn, r *bufio.Reader, path string) bool {
	method, body := http.MethodGet, ""
	if t.atMostOnce {
		method, body = http.MethodPost, "a vote"
	}
	t.sent = time.Now()
	defer func() { t.end = time.Now() }()
	_ = nc.SetDeadline(t.sent.Add(exchangeTimeout)) // A failure shows up in the write below.
	_, t.err = fmt.Fprintf(nc, "%s %s%s HTTP/1.1\r\nHost: soak.example\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, t.id, standin.HeaderID, t.id, standin.HeaderDeadline, requestDeadline.Milliseconds(), t.shown.headerLines(), len(body), body)
	if t.err != nil {
		return false
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.err = err
		return false
	}
	got, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close() // The body has been read already.
	if err != nil {
		t.err = err
		return false
	}
	t.status = resp.StatusCode
	t.verify(resp, got)
	return !resp.Close
}

// verify sets t.mismatch if a complete response contradicts the request.
func (t *requestResult) verify(resp *http.Response, body []byte) {
	switch {
	case resp.Header.Get(standin.HeaderID) != "" && resp.Header.Get(standin.HeaderID) != t.id:
		t.mismatch = "response belongs to another request: " + resp.Header.Get(standin.HeaderID)
	case t.status/100 == 2 && resp.Header.Get(standin.HeaderSeal) == "":
		t.mismatch = "success response without a server's seal"
	case t.status/100 == 2 && !bytes.Equal(body, standin.ResponseBody(t.id)):
		t.mismatch = fmt.Sprintf("success response with an unexpected body of %d bytes", len(body))
	}
}

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

// How a caller behaves.
const (
	callerLeft   = 3 * time.Second
	callerWaits  = 6 * time.Second // For a VM that says nothing.
	callerRests  = 60 * time.Millisecond
	perConn      = 12 // Requests on one connection at most.
	dialPatience = time.Second
)

// told is one request and what its caller got.
type told struct {
	id     string
	once   bool
	vm     *vm
	sent   time.Time
	end    time.Time
	status int   // 0 where no whole answer came.
	err    error // Why no whole answer came.
	wrong  string
	reused bool // The connection had carried a request before.
}

// callers send requests through the VMs that are in rotation.
type callers struct {
	vms  []*vm
	stop chan struct{}
	wg   sync.WaitGroup

	mu  sync.Mutex
	all []told
}

func (c *callers) run(n int, seed uint64) {
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(100+i)))
		c.wg.Go(func() {
			for k := 0; ; {
				select {
				case <-c.stop:
					return
				default:
				}
				k = c.connection(rng, i, k)
			}
		})
	}
}

func (c *callers) done() []told {
	close(c.stop)
	c.wg.Wait()
	return c.all
}

// pick returns a VM of the rotation.
func (c *callers) pick(rng *rand.Rand) *vm {
	var in []*vm
	for _, v := range c.vms {
		v.mu.Lock()
		if v.healthy {
			in = append(in, v)
		}
		v.mu.Unlock()
	}
	if len(in) == 0 {
		in = c.vms
	}
	return in[rng.IntN(len(in))]
}

// connection sends requests on one connection until it ends. It returns the
// number of the next request.
func (c *callers) connection(rng *rand.Rand, caller, k int) int {
	v := c.pick(rng)
	nc, err := net.DialTimeout("tcp", v.addresses().Callers, dialPatience)
	if err != nil {
		time.Sleep(callerRests)
		return k
	}
	defer func() { _ = nc.Close() }()
	r := bufio.NewReader(nc)
	for n := range perConn {
		select {
		case <-c.stop:
			return k
		default:
		}
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(callerRests)))
		t := told{id: fmt.Sprintf("c%d-%d", caller, k), once: rng.IntN(2) == 0, vm: v, reused: n > 0}
		k++
		open := t.exchange(nc, r, rng.IntN(3))
		c.mu.Lock()
		c.all = append(c.all, t)
		c.mu.Unlock()
		if !open {
			return k
		}
	}
	return k
}

// exchange sends the request and reads its answer. It reports whether the
// connection can carry another.
func (t *told) exchange(nc net.Conn, r *bufio.Reader, route int) bool {
	method, path := http.MethodGet, []string{"/read/", "/both/", "/read/"}[route]
	body := ""
	if t.once {
		method, path, body = http.MethodPost, "/once/", "a vote"
	}
	t.sent = time.Now()
	defer func() { t.end = time.Now() }()
	_ = nc.SetDeadline(t.sent.Add(callerWaits)) // A dead connection shows in the write.
	_, t.err = fmt.Fprintf(nc, "%s %s%s HTTP/1.1\r\nHost: soak.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, t.id, standin.HeaderID, t.id, standin.HeaderDeadline, callerLeft.Milliseconds(), len(body), body)
	if t.err != nil {
		return false
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.err = err
		return false
	}
	got, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close() // It has been read.
	if err != nil {
		t.err = err
		return false
	}
	t.status = resp.StatusCode
	t.check(resp, got)
	return !resp.Close
}

// check notes what is wrong with a whole answer.
func (t *told) check(resp *http.Response, body []byte) {
	switch {
	case resp.Header.Get(standin.HeaderID) != "" && resp.Header.Get(standin.HeaderID) != t.id:
		t.wrong = "an answer to another request: " + resp.Header.Get(standin.HeaderID)
	case t.status/100 == 2 && resp.Header.Get(standin.HeaderSeal) == "":
		t.wrong = "a success without a server's seal"
	case t.status/100 == 2 && !bytes.Equal(body, standin.AnswerBody(t.id)):
		t.wrong = fmt.Sprintf("a success with another body of %d bytes", len(body))
	}
}

// Command standin runs one case of the review: it starts laburnumpickd processes beside
// stand-ins for the platform's store, upstreams and clients, and checks one rule.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit statuses.
const (
	statusHeld      = 0
	statusBroken    = 1
	statusCannotRun = 2
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// answer is what a client got.
type answer struct {
	id, vm string
	path   string
	sentAt time.Time
	took   time.Duration
	status int // 0 if the connection ended without an answer.
	header http.Header
	body   string
}

// world is what a case works with.
type world struct {
	rec      *recorder
	st       *store
	storeURL string
	dir, bin string
	trouble  bool
	vms      []*vm // In rotation.
	started  []*vm

	mu      sync.Mutex
	runs    []run
	answers []answer
	ids     atomic.Int64
	ups     []*upstream
}

func (w *world) onRun(x run) {
	w.mu.Lock()
	w.runs = append(w.runs, x)
	w.mu.Unlock()
	w.rec.log("run       id=%s upstream=%s service=%s tenant=%s", x.id, x.upstream, x.service, x.tenant)
}

func (w *world) addUpstream(id, service string, slots int, work time.Duration) (*upstream, error) {
	u, err := newUpstream(id, service, "tt-north-a", slots, work, w.st, w.rec, w.onRun)
	if err != nil {
		return nil, err
	}
	w.ups = append(w.ups, u)
	return u, nil
}

func (w *world) addVM(name, extra string) (*vm, error) {
	v, err := w.startVM(name, extra)
	if err == nil {
		w.join(v)
	}
	return v, err
}

// startVM starts a machine that gets no clients yet.
func (w *world) startVM(name, extra string) (*vm, error) {
	v, err := newVM(w.bin, w.dir, name, "tt-north-a", w.storeURL, extra)
	if err != nil {
		return nil, err
	}
	if err := v.start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.started = append(w.started, v)
	w.mu.Unlock()
	w.rec.log("started   vm=%s", name)
	return v, nil
}

// join puts a machine into rotation.
func (w *world) join(v *vm) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vms = append(w.vms, v)
}

// ready returns the machines in rotation.
func (w *world) ready() []*vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*vm(nil), w.vms...)
}

// send sends one request and records the answer.
func (w *world) send(v *vm, method, host, path, key string, budget time.Duration) answer {
	id := fmt.Sprintf("r%06d", w.ids.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	callers, _ := v.addresses()
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+callers+path, strings.NewReader(""))
	r.Host = host
	r.Header.Set("Laburnumpick-Request-Id", id)
	r.Header.Set("Laburnumpick-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}
	a := answer{id: id, vm: v.name, path: path, sentAt: time.Now()}
	w.rec.log("sent      id=%s vm=%s %s %s", id, v.name, method, path)
	resp, err := v.client.Do(r)
	if err == nil {
		body, rerr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if rerr == nil {
			a.status, a.header, a.body = resp.StatusCode, resp.Header, string(body)
		}
	}
	a.took = time.Since(a.sentAt)
	w.rec.log("answered  id=%s vm=%s status=%d took=%dms %s", id, v.name, a.status, a.took.Milliseconds(), a.header.Get("Laburnumpick-Kind"))
	w.mu.Lock()
	w.answers = append(w.answers, a)
	w.mu.Unlock()
	return a
}

// load sends requests at a steady rate until stop is closed.
func (w *world) load(perSecond float64, stop <-chan struct{}, one func(i int)) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Go(func() {
		t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-t.C:
				wg.Go(func() { one(i) })
			}
		}
	})
	return &wg
}

func (w *world) sentAt() map[string]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := make(map[string]time.Time, len(w.answers))
	for _, a := range w.answers {
		m[a.id] = a.sentAt
	}
	return m
}

// statuses returns how often each status was answered to requests sent in a time.
func (w *world) statuses(from, to time.Time) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := map[int]int{}
	for _, a := range w.answers {
		if !a.sentAt.Before(from) && a.sentAt.Before(to) {
			n[a.status]++
		}
	}
	var out []string
	for s, c := range n {
		out = append(out, fmt.Sprintf("%d:%d", s, c))
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}

func (w *world) end() {
	for _, v := range w.started {
		v.end()
	}
	for _, u := range w.ups {
		u.close()
	}
}

// cases are the scripts by name. Each returns an exit status.
var cases = map[string]func(*world) (int, error){
	"route":   routeAfterChange,
	"quota":   quotaAfterRestore,
	"drain":   drainAfterRestore,
	"memory":  memoryOfUploads,
	"weights": weightsAfterChange,
}

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM TEMPORARY-FOLDER RECORD")
		os.Exit(statusCannotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3], os.Args[4]))
}

func runCase(name, bin, dir, record string) int {
	c, ok := cases[name]
	out, err := os.Create(record)
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", name, err)
		return statusCannotRun
	}
	defer func() { _ = out.Close() }()
	rec := &recorder{out: out, start: time.Now()}
	w := &world{rec: rec, st: newStore(), dir: dir, bin: bin, trouble: os.Getenv("TROUBLE") != "0"}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusCannotRun
	}
	srv := &http.Server{Handler: w.st}
	go func() { _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }()
	w.storeURL = l.Addr().String()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	type result struct {
		status int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		s, err := c(w)
		done <- result{s, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-ctx.Done():
		r = result{statusCannotRun, ctx.Err()}
	case <-time.After(110 * time.Second):
		r = result{statusCannotRun, fmt.Errorf("the case took too long")}
	}
	w.end()
	if r.err != nil {
		rec.log("error     %v", r.err)
		fmt.Println("could not run:", r.err)
		return statusCannotRun
	}
	verdict := map[int]string{statusHeld: "HELD", statusBroken: "BROKEN"}[r.status]
	rec.log("verdict   %s", verdict)
	fmt.Println(name, "trouble:", w.trouble, "verdict:", verdict)
	return r.status
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// upstream is a sound backend server. It registers itself and keeps its entry up to date.
type upstream struct {
	id, service, zone string
	slots, queue      int
	work              func(r *http.Request) time.Duration             // How long a request takes.
	onRun             func(u *upstream, r *http.Request, body string) // Called when a request begins to run. May be nil.
	headers           func(h http.Header)                             // Adds to the head of each answer. May be nil.
	respond           func(w http.ResponseWriter, r *http.Request, id string)
	wrap              func(address string) (string, error) // Returns the address to register instead. May be nil.

	env    *env
	nl     net.Listener
	srv    *http.Server
	listed string // The address in the entry.
	born   int64
	cancel context.CancelFunc

	mu       sync.Mutex
	seq      int
	state    string
	running  int
	waiting  int
	free     *sync.Cond
	accepted map[net.Conn]bool
}

const heartbeat = 1500 * time.Millisecond

// start listens and registers.
func (u *upstream) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	return u.startOn(l)
}

func (u *upstream) startOn(l net.Listener) error {
	u.nl, u.born, u.state = l, time.Now().UnixMilli(), "ready"
	u.listed = l.Addr().String()
	if u.wrap != nil {
		listed, err := u.wrap(u.listed)
		if err != nil {
			return err
		}
		u.listed = listed
	}
	u.free = sync.NewCond(&u.mu)
	u.accepted = make(map[net.Conn]bool)
	if u.queue == 0 {
		u.queue = 12
	}
	u.srv = &http.Server{Handler: u, IdleTimeout: 10 * time.Second, ConnState: u.track}
	go func() { _ = u.srv.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.beat()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				u.beat()
			}
		}
	}()
	u.env.note("upstream %s of %s starts at %s", u.id, u.service, l.Addr())
	return nil
}

func (u *upstream) track(c net.Conn, s http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch s {
	case http.StateNew:
		u.accepted[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(u.accepted, c)
	default:
	}
}

func (u *upstream) beat() {
	u.mu.Lock()
	u.seq++
	entry := map[string]any{
		"address": u.listed, "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": u.slots},
		"status": map[string]any{"state": u.state, "seq": u.seq, "cold_left": "0ms"},
	}
	u.mu.Unlock()
	raw, _ := json.Marshal(entry)
	u.env.store.put("servers", u.id, string(raw))
}

// drain reports that the upstream leaves.
func (u *upstream) drain() {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.beat()
	u.env.note("upstream %s has reported draining", u.id)
}

// crash ends the upstream without a word: its connections are reset, and its entry stays.
func (u *upstream) crash() {
	u.cancel()
	u.mu.Lock()
	for c := range u.accepted {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	u.mu.Unlock()
	_ = u.srv.Close()
	u.env.note("upstream %s has crashed", u.id)
}

// leave ends the upstream and removes its entry.
func (u *upstream) leave() {
	u.cancel()
	u.env.store.remove("servers", u.id)
	_ = u.srv.Close()
}

// acquire waits for a slot. It reports false if the upstream is full or the caller leaves.
func (u *upstream) acquire(ctx context.Context) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running >= u.slots && u.waiting >= u.queue {
		return false
	}
	u.waiting++
	defer func() { u.waiting-- }()
	stop := context.AfterFunc(ctx, u.free.Broadcast)
	defer stop()
	for u.running >= u.slots {
		if ctx.Err() != nil {
			return false
		}
		u.free.Wait()
	}
	u.running++
	return true
}

func (u *upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	u.free.Broadcast()
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Laburnumpick-Request-Id")
	h := w.Header()
	if u.headers != nil {
		u.headers(h)
	}
	if r.URL.Path == "/health" {
		h.Set("Laburnumpick-Instance-Id", u.id)
		return
	}
	if e := r.Header.Get("Laburnumpick-Expect-Instance"); e != "" && e != u.id {
		u.env.seen(u, r, id, string(body), "421")
		h.Set("Laburnumpick-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("Laburnumpick-Request-Id", id)
	if id == "" {
		h.Set("Laburnumpick-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	arrived := time.Now()
	if !u.acquire(r.Context()) {
		u.env.seen(u, r, id, string(body), "shed")
		h.Set("Laburnumpick-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.release()
	run := u.env.ran(u, r, id, string(body), arrived)
	defer run.end()
	if u.onRun != nil {
		u.onRun(u, r, string(body))
	}
	if u.respond != nil {
		u.respond(w, r, id)
		return
	}
	select {
	case <-time.After(u.work(r)):
	case <-r.Context().Done():
		return
	}
	h.Set("Laburnumpick-Server-Seal", u.id)
	_, _ = fmt.Fprintf(w, "%s %s %s\n", u.service, id, strings.Repeat("x", 200))
}

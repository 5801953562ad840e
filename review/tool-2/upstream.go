package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Headers of the protocol between clients, machines and upstreams.
const (
	headerID       = "Laburnumpick-Request-Id"
	headerDeadline = "Laburnumpick-Deadline-Ms"
	headerExpect   = "Laburnumpick-Expect-Instance"
	headerInstance = "Laburnumpick-Instance-Id"
	headerNotRun   = "Laburnumpick-Not-Executed"
	headerSeal     = "Laburnumpick-Server-Seal"
)

// heartbeat is the interval at which upstreams write their entries.
const heartbeat = 1500 * time.Millisecond

// service is a group of upstreams that are alike.
type service struct {
	name  string
	slots int
	work  time.Duration
	// onRun is called when an upstream begins to run a request. It may make the upstream crash. It
	// may be nil.
	onRun func(u *upstream, w http.ResponseWriter, r *http.Request)
}

// upstream is one lifetime of a stand-in of an upstream.
type upstream struct {
	w       *world
	service *service
	id      string
	zone    string
	address string
	born    int64
	slots   chan struct{}
	http    *http.Server
	ctx     context.Context
	stop    context.CancelFunc

	mu    sync.Mutex
	seq   int64
	ended bool
}

// startUpstream starts a lifetime.
func (w *world) startUpstream(s *service, zone string) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail(err)
	}
	id := fmt.Sprintf("i-%s-%d", s.name, w.next.Add(1))
	ctx, stop := context.WithCancel(context.Background())
	u := &upstream{
		w: w, service: s, id: id, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(),
		slots: make(chan struct{}, s.slots), ctx: ctx, stop: stop,
	}
	u.http = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = u.http.Serve(l) }()
	go u.beat()
	w.log("upstream", "start", u.id, "service", s.name, "address", u.address)
	return u
}

// beat writes the upstream's entry until it ends.
func (u *upstream) beat() {
	for {
		u.register()
		select {
		case <-u.ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// register writes the upstream's entry once.
func (u *upstream) register() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return
	}
	u.seq++
	u.w.store.set("servers", u.id, map[string]any{
		"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service.name, "version": "v1", "zone": u.zone, "slots": u.service.slots},
		"status": map[string]any{"state": "ready", "seq": u.seq, "cold_left": "0ms"},
	})
}

// crash ends the process of the upstream: its connections end, and nothing listens any more. Its
// entry is removed after three heartbeats of silence.
func (u *upstream) crash() {
	u.mu.Lock()
	if u.ended {
		u.mu.Unlock()
		return
	}
	u.ended = true
	u.mu.Unlock()
	u.stop()
	_ = u.http.Close()
	u.w.log("upstream", "crash", u.id)
	time.AfterFunc(3*heartbeat, func() { u.w.expire(u) })
}

// isUp reports whether the upstream has not ended.
func (u *upstream) isUp() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.ended
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerInstance, u.id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set(headerID, id)
	if want := r.Header.Get(headerExpect); want != "" && want != u.id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		u.w.arrive(u, r, "misdirected")
		return
	}
	select {
	case u.slots <- struct{}{}:
	case <-time.After(200 * time.Millisecond):
		u.w.arrive(u, r, "shed")
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	if r.Context().Err() != nil || !u.isUp() {
		return
	}
	u.w.arrive(u, r, "run")
	if u.service.onRun != nil {
		u.service.onRun(u, w, r)
	}
	select {
	case <-time.After(u.service.work):
	case <-u.ctx.Done():
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if !u.isUp() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerSeal, "seal."+u.id)
	w.WriteHeader(http.StatusOK)
	_, _ = fmt.Fprintf(w, "%s %s %s %d", r.Method, r.RequestURI, id, len(body))
}

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is a request that an upstream began to work on.
type run struct {
	id, upstream, service string
	tenant                string
	at                    time.Time
}

// upstream is a stand-in for a backend server that registers itself in the store.
type upstream struct {
	id, service, zone string
	slots             int
	work              time.Duration
	st                *store
	listener          net.Listener
	http              *http.Server
	born              int64
	rec               *recorder
	onRun             func(run)

	mu      sync.Mutex
	inUse   int
	seq     int
	leaving bool
	quiet   bool // It writes no more to the store.
	closed  bool
	stop    chan struct{}
}

const heartbeat = 1500 * time.Millisecond

func newUpstream(id, service, zone string, slots int, work time.Duration, st *store, rec *recorder, onRun func(run)) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		id: id, service: service, zone: zone, slots: slots, work: work, st: st, listener: l,
		born: time.Now().UnixMilli(), rec: rec, onRun: onRun, stop: make(chan struct{}),
	}
	u.http = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = u.http.Serve(l) }()
	return u, nil
}

// register writes the entry now and every heartbeat.
func (u *upstream) register(phase time.Duration) {
	u.beat()
	go func() {
		time.Sleep(phase)
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-u.stop:
				return
			case <-t.C:
				u.beat()
			}
		}
	}()
}

// beat writes the entry.
func (u *upstream) beat() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.quiet {
		return
	}
	u.seq++
	state := "ready"
	if u.leaving {
		state = "draining"
	}
	u.st.put("servers", u.id, map[string]any{
		"address": u.listener.Addr().String(), "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": u.slots},
		"status": map[string]any{"state": state, "seq": u.seq, "cold_left": "0ms"},
	})
}

// leave begins to leave without reporting draining: the entry is removed, and the upstream
// serves on. It returns the time of the store's ack.
func (u *upstream) leave() (time.Time, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.quiet, u.leaving = true, true
	_, ok := u.st.remove("servers", u.id)
	return time.Now(), ok
}

// close ends the upstream.
func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.closed {
		close(u.stop)
	}
	u.closed = true
	_ = u.http.Close()
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	h := w.Header()
	h.Set("Laburnumpick-Request-Id", r.Header.Get("Laburnumpick-Request-Id"))
	h.Set("Keep-Alive", "timeout=10")
	u.mu.Lock()
	leaving := u.leaving
	expected := r.Header.Get("Laburnumpick-Expect-Instance")
	full := u.inUse >= u.slots
	if (expected == "" || expected == u.id) && !full {
		u.inUse++
	}
	u.mu.Unlock()
	if leaving {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	if expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if full {
		h.Set("Laburnumpick-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		u.mu.Lock()
		u.inUse--
		u.mu.Unlock()
	}()
	if strings.HasPrefix(r.URL.Path, "/health") {
		h.Set("Laburnumpick-Instance-Id", u.id)
		return
	}
	x := run{r.Header.Get("Laburnumpick-Request-Id"), u.id, u.service, r.Header.Get("Laburnumpick-Tenant"), time.Now()}
	u.onRun(x)
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		return
	}
	h.Set("Laburnumpick-Server-Seal", "3e1b."+u.id)
	_, _ = fmt.Fprintf(w, "%s by %s\n", x.id, u.id)
}

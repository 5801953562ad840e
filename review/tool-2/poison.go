package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// How the request that crashes upstreams does it.
const (
	beforeAnswer = iota // Before the upstream has sent a byte of an answer.
	midAnswer           // While the upstream writes the body of its answer.
)

// group is a service and the number of its upstreams.
type group struct {
	name      string
	upstreams int
}

// poison describes a case in which one request crashes each upstream that begins to run it.
type poison struct {
	budget   time.Duration // Time budget of the clients, and timeout of the route.
	path     string        // Of the request.
	machines int           // In each zone.
	services []group
	slots    int
	work     time.Duration
	kind     string // route_type of the route.
	attempts int    // max_attempts of the route.
	crash    int
	gap      time.Duration // Between two sends of the request.
	length   time.Duration
	others   time.Duration // Between two requests of other clients on the same route.
	votes    time.Duration // Between two requests that may not be repeated, on another route to the same services; 0 for none.
	// oneCaller means that only the requests of one caller crash upstreams. Others send requests with
	// the same path and body.
	oneCaller bool
}

const (
	host         = "packs.example"
	poisonPrefix = "/pack/"
	votePrefix   = "/vote/"
	downTime     = 3 * time.Second // Of an upstream that has crashed.
	maxRetries   = 3               // That the rule allows.
)

// poisonCaller is the caller whose request crashes upstreams.
const poisonCaller = "17"

// callerHeader returns the header by which upstreams know a caller.
func callerHeader(name string) http.Header { return http.Header{"Cookie": {"member=" + name}} }

// isPoison reports whether a request crashes the upstream that runs it.
func (p *poison) isPoison(r *http.Request) bool {
	return r.RequestURI == p.path && (!p.oneCaller || r.Header.Get("Cookie") == callerHeader(poisonCaller).Get("Cookie"))
}

// names returns the names of the services.
func (p *poison) names() []string {
	var out []string
	for _, g := range p.services {
		out = append(out, g.name)
	}
	return out
}

// othersPath returns the path of the requests of other clients.
func (p *poison) othersPath() string {
	if p.oneCaller {
		return p.path
	}
	return poisonPrefix + "other"
}

// playPoison plays a case and ends the program.
func playPoison(dir string, p poison) {
	w := newWorld(dir, caroni)
	var mu sync.Mutex
	var crashes []time.Time
	for _, g := range p.services {
		s := &service{name: g.name, slots: p.slots, work: p.work}
		s.onRun = func(u *upstream, rw http.ResponseWriter, r *http.Request) {
			if !w.trouble || !p.isPoison(r) {
				return
			}
			if p.crash == midAnswer {
				rw.Header().Set(headerSeal, "seal."+u.id)
				rw.Header().Set("Content-Length", "20000")
				rw.WriteHeader(http.StatusOK)
				_, _ = rw.Write(make([]byte, 4000))
				_ = http.NewResponseController(rw).Flush()
				time.Sleep(20 * time.Millisecond)
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			u.crash()
			time.AfterFunc(downTime, func() { w.startUpstream(s, u.zone) })
		}
		for i := range g.upstreams {
			w.startUpstream(s, w.zones[i%len(w.zones)])
		}
	}
	w.apply(1, map[string]any{
		"first": route(host, poisonPrefix, p.kind, p.budget, 800*time.Millisecond, p.attempts, p.names()...),
		"votes": route(host, votePrefix, "non_idempotent", 2500*time.Millisecond, 600*time.Millisecond, 2, p.names()...),
	}, p.names()...)
	for i := range p.machines * len(w.zones) {
		z := w.zones[i%len(w.zones)]
		w.startVM(fmt.Sprintf("edge-%s-%d", z, i+1), z, w.address)
	}
	w.awaitReady(startTime)
	time.Sleep(contact)
	method := http.MethodGet
	if p.kind != "idempotent" {
		method = http.MethodPost
	}
	lost := w.background(p.length, p.others, attempt{method: method, host: host, path: p.othersPath(), budget: p.budget, header: callerHeader("other")})
	lostVotes := func() int { return 0 }
	if p.votes > 0 {
		lostVotes = w.background(p.length, p.votes, attempt{method: http.MethodPost, host: host, path: votePrefix + "cast", body: []byte("yes"), budget: 2500 * time.Millisecond})
	}
	end := time.Now().Add(p.length)
	for i := 0; time.Now().Before(end); i++ {
		v := w.vms[i%len(w.vms)]
		w.send(v, attempt{method: method, host: host, path: p.path, budget: p.budget, header: callerHeader(poisonCaller)})
		time.Sleep(p.gap)
	}
	failed := lost() + lostVotes()
	mu.Lock()
	defer mu.Unlock()
	retries := 0
	for _, a := range w.arrivalsAt(p.path) {
		if a.end != "run" || a.caller != callerHeader(poisonCaller).Get("Cookie") {
			continue
		}
		if len(crashes) >= maxRetries && a.at.Sub(crashes[2]) > contact {
			retries++
		}
	}
	w.verdict(retries > maxRetries, fmt.Sprintf("upstreams crashed by the request: %d; its arrivals at upstreams later than %v after the third crash: %d (%d are allowed); failed requests of others: %d",
		len(crashes), contact, retries, maxRetries, failed))
}

// background sends an attempt again and again, at the machines in turn. The function that it returns
// waits for the end and returns how many failed with 502 or without an answer.
func (w *world) background(d, gap time.Duration, a attempt) func() int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	stop := time.Now().Add(d)
	wg.Go(func() {
		for i := 0; time.Now().Before(stop); i++ {
			v := w.vms[i%len(w.vms)]
			wg.Go(func() {
				if r := w.send(v, a); r.status == 0 || r.status == http.StatusBadGateway {
					mu.Lock()
					failed++
					mu.Unlock()
				}
			})
			time.Sleep(gap)
		}
	})
	return func() int {
		wg.Wait()
		mu.Lock()
		defer mu.Unlock()
		return failed
	}
}

package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["twice"] = caseTwice }

// Answers that are lost in the case twice: of lostOf in each ten upstreams, lostShare of the answers, for lostTime.
const (
	lostOf    = 6
	lostShare = 0.4
	lostTime  = 4 * time.Second
	calmTime  = 18 * time.Second // Before it. The VMs may then use the whole retry budget.
)

// routeOf returns the route with the longest prefix that begins a path, as the client has sent it.
func routeOf(routes []route, path string) (best route) {
	for _, r := range routes {
		if strings.HasPrefix(path, r.prefix) && len(r.prefix) > len(best.prefix) {
			best = r
		}
	}
	return best
}

// caseTwice sends requests that run once at most, while upstreams lose answers.
func caseTwice(e *env) error {
	routes := []route{
		{"r-papers", "/papers/", "non_idempotent", "huvo11a", "2000ms", 2},
		{"r-drafts", "/papers/drafts/", "idempotent", "huvo11a", "2000ms", 2},
	}
	var mu sync.Mutex
	losing := false
	for i := range 10 {
		u := &upstream{env: e, id: fmt.Sprintf("i-%02d", i), service: "huvo11a", zone: "tt-north-a", slots: 3}
		u.respond = func(w http.ResponseWriter, _ *http.Request, id string) {
			time.Sleep(100 * time.Millisecond)
			mu.Lock()
			lost := losing && i < lostOf && rand.Float64() < lostShare
			mu.Unlock()
			if lost {
				e.note("upstream %s loses its answer to %s", u.id, id)
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Laburnumpick-Server-Seal", u.id)
			_, _ = fmt.Fprintf(w, "%s\n", id)
		}
		if err := u.start(); err != nil {
			return err
		}
	}
	e.manifest(3, []string{"huvo11a"}, routes...)
	e.addVM("edge-a-1", "tt-north-a")
	e.addVM("edge-b-1", "tt-north-b")
	if err := e.startVMs(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < calmTime+lostTime; i++ {
		mu.Lock()
		losing = e.trouble && time.Since(began) > calmTime
		mu.Unlock()
		wg.Go(func() { e.send(e.vms[i%2], "POST", "/papers/drafts%2F7", 4*time.Second, "", "signed") })
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	runs := make(map[string]int)
	twice := 0
	for _, a := range e.all() {
		if a.outcome != "ran" || routeOf(routes, a.target).kind == "idempotent" {
			continue
		}
		runs[a.id]++
		if runs[a.id] == 2 {
			twice++
		}
	}
	e.note("requests of the route %s that ran: %d, more than once: %d", routeOf(routes, "/papers/drafts%2F7").name, len(runs), twice)
	if twice > 0 {
		return fmt.Errorf("%w: %d of %d requests that aren't idempotent ran more than once", errBroken, twice, len(runs))
	}
	return nil
}

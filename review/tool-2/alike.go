package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// alike: two upstreams crash at once while each runs a request of another client. The requests have
// the same path and body and differ in who sends them. Their route was added later than another one.
func alike(dir string) {
	const (
		quiet     = 15 * time.Second // From the crash to the requests that are counted.
		length    = 60 * time.Second
		crashAt   = 12 * time.Second
		downFor   = 4500 * time.Millisecond
		least     = 20   // Requests on later routes from which the rule counts.
		leastPart = 0.25 // Of the share that is served on the first routes.
	)
	w := newWorld(dir, owa)
	titles := &service{name: "titlebook", slots: 2, work: 290 * time.Millisecond}
	ledger := &service{name: "payledger", slots: 2, work: 220 * time.Millisecond}
	var payments []*upstream
	for i := range 9 {
		w.startUpstream(titles, w.zones[i%3])
	}
	for i := range 14 {
		payments = append(payments, w.startUpstream(ledger, w.zones[i%3]))
	}
	lookup := route(host, "/titles/", "idempotent", 1500*time.Millisecond, 800*time.Millisecond, 2, titles.name)
	w.apply(1, map[string]any{"lookup": lookup}, titles.name, ledger.name)
	for i, z := range w.zones {
		w.startVM(fmt.Sprintf("edge-%s-%d", z, i+1), z, w.address)
	}
	w.awaitReady(startTime)
	time.Sleep(time.Second)
	w.apply(4, map[string]any{
		"lookup":  lookup,
		"confirm": route(host, "/confirm/", "non_idempotent", 2*time.Second, 800*time.Millisecond, 2, ledger.name),
	}, titles.name, ledger.name)
	time.Sleep(contact)
	began := time.Now()
	var mu sync.Mutex
	var first, later []answer
	var wg sync.WaitGroup
	stream := func(into *[]answer, gap time.Duration, next func(i int) attempt) {
		for i := 0; time.Since(began) < length; i++ {
			wg.Go(func() {
				r := w.send(w.vms[i%len(w.vms)], next(i))
				mu.Lock()
				*into = append(*into, r)
				mu.Unlock()
			})
			time.Sleep(gap)
		}
	}
	wg.Go(func() {
		stream(&first, 53*time.Millisecond, func(i int) attempt {
			return attempt{method: http.MethodGet, host: host, path: fmt.Sprintf("/titles/%d", i), budget: 1500 * time.Millisecond}
		})
	})
	wg.Go(func() {
		stream(&later, 60*time.Millisecond, func(i int) attempt {
			return attempt{
				method: http.MethodPost, host: host, path: "/confirm/run", body: []byte(`{"confirm":true}`), budget: 2 * time.Second,
				header: http.Header{"Cookie": {fmt.Sprintf("officer=%d", i%120)}},
			}
		})
	})
	time.Sleep(crashAt)
	if w.trouble {
		for _, u := range w.busy(payments, 2) {
			u.crash()
			time.AfterFunc(downFor, func() { w.startUpstream(ledger, u.zone) })
		}
	}
	crashed := time.Now()
	wg.Wait()
	share := func(all []answer) (served float64, n int) {
		for _, r := range all {
			if r.sentAt.Sub(crashed) < quiet {
				continue
			}
			n++
			if r.status == http.StatusOK {
				served++
			}
		}
		return served / float64(max(n, 1)), n
	}
	a, n := share(first)
	b, m := share(later)
	w.verdict(m >= least && b < leastPart*a, fmt.Sprintf("later than %v after the crash: %d requests on the first route, served %.3f; %d on the route that was added later, served %.3f",
		quiet, n, a, m, b))
}

// busy returns some upstreams that run requests at the same time. It waits until there are so many.
func (w *world) busy(all []*upstream, n int) []*upstream {
	for range 10000 {
		var out []*upstream
		for _, u := range all {
			if len(u.slots) > 0 && len(out) < n {
				out = append(out, u)
			}
		}
		if len(out) == n {
			return out
		}
		time.Sleep(time.Millisecond)
	}
	w.fail(fmt.Errorf("no %d upstreams run requests at the same time", n))
	return nil
}

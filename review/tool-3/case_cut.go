package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cut"] = caseCut }

const cutTime = 8 * time.Second

// caseCut cuts one of three VMs off from all upstreams: its connections to them carry nothing.
func caseCut(e *env) error {
	for _, n := range []string{"edge-a-1", "edge-a-2", "edge-b-1"} {
		e.addVM(n, "tt-north-"+n[5:6])
	}
	var proxies []*proxy
	for i := range 12 {
		svc := []string{"huvo11a", "wuno96b"}[i%2]
		u := &upstream{env: e, id: fmt.Sprintf("i-%02d", i), service: svc, zone: "tt-north-a", slots: 3,
			work: func(*http.Request) time.Duration { return 100 * time.Millisecond }}
		u.wrap = func(address string) (string, error) {
			p, err := newProxy(address, e.vms)
			if err != nil {
				return "", err
			}
			proxies = append(proxies, p)
			return p.l.Addr().String(), nil
		}
		if err := u.start(); err != nil {
			return err
		}
	}
	e.manifest(3, []string{"huvo11a", "wuno96b"}, route{"r-reads", "/reads/", "idempotent", "huvo11a", "2000ms", 2}, route{"r-posts", "/posts/", "non_idempotent", "wuno96b", "2000ms", 2})
	if err := e.startVMs(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	type try struct {
		at     time.Time
		vm     *vm
		served bool
	}
	var mu sync.Mutex
	var tries []try
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, v := range e.vms {
		// The mixture is that of the site: four in seven requests run at most once.
		for m, every := range map[string]time.Duration{"GET /reads/x": 120 * time.Millisecond, "POST /posts/x": 90 * time.Millisecond} {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(every):
					}
					wg.Go(func() {
						at := time.Now()
						var method, target string
						_, _ = fmt.Sscan(m, &method, &target)
						r := e.send(v, method, target, 4*time.Second, "", "")
						mu.Lock()
						tries = append(tries, try{at, v, r.status == 200})
						mu.Unlock()
					})
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	if e.trouble {
		e.note("vm %s is cut off from all upstreams", e.vms[0].name)
		for _, p := range proxies {
			p.setCut(e.vms[0])
		}
	}
	time.Sleep(cutTime)
	ended := time.Now()
	if e.trouble {
		e.note("the cut has ended")
		for _, p := range proxies {
			p.setCut(nil)
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	var served, count [2]int // At the VM that is cut off, and at the others.
	for _, t := range tries {
		if t.at.Before(began.Add(contact)) || t.at.After(ended) {
			continue
		}
		i := 1
		if t.vm == e.vms[0] {
			i = 0
		}
		count[i]++
		if t.served {
			served[i]++
		}
	}
	share := [2]float64{float64(served[0]) / float64(count[0]), float64(served[1]) / float64(count[1])}
	failed := count[0] - served[0]
	e.note("first tries from %v after the cut began: at the VM that is cut off %d of %d served, at the others %d of %d", contact, served[0], count[0], served[1], count[1])
	if share[0] < share[1]*2/3 && float64(failed) > 10+float64(count[0]+count[1])/50 {
		return fmt.Errorf("%w: first tries at the VM that is cut off: %d of %d served, at the others %d of %d", errBroken, served[0], count[0], served[1], count[1])
	}
	return nil
}

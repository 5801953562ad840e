package main

import (
	"errors"
	"fmt"
	"sort"
	"time"
)

// Figures of the quota case. The bounds are those of the sheet of caroni-packs-now-grown.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	tenantRate   = 60
	tenantBurst  = 30
	usualRate    = 40  // Requests a second of the tenant.
	hotTimes     = 7.5 // "hot_tenant", x = 7.5, for_s = 6.5.
	hotTime      = 6500 * time.Millisecond
)

// quotaAfterRestore: the store comes back from a copy that is older than the start of the
// machines. Later a machine is added, while a tenant sends many times its usual.
func quotaAfterRestore(w *world) (int, error) {
	const service, upstreams, key = "packshelf", 20, "k2qd07xw5m1shb94ptue"
	w.st.put("op", "config", map[string]any{
		"version": "r3",
		"routes": map[string]any{"fetch": map[string]any{
			"host": "packs.example", "prefix": "/fetch/", "route_type": "idempotent", "timeout": "3s", "target_latency": "1s",
			"priority": 1, "service": service, "max_attempts": 2,
		}},
		"services": map[string]any{service: map[string]any{"health_path": "/health", "max_conns": 390}},
		"tenants": map[string]any{"board-7": map[string]any{
			"api_keys": []string{key}, "rate_per_s": tenantRate, "burst": tenantBurst,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout": "3s", "idle_timeout": "15s"},
	})
	for i := range upstreams {
		u, err := w.addUpstream(fmt.Sprintf("i-%08x", 0x51c07000+i), service, 4, 50*time.Millisecond)
		if err != nil {
			return 0, err
		}
		u.register(time.Duration(i) * heartbeat / upstreams)
	}
	time.Sleep(5 * time.Second)
	for i := range 3 {
		if _, err := w.addVM(fmt.Sprintf("edge-%d", i+1), quotaText); err != nil {
			return 0, err
		}
	}
	for _, v := range w.vms {
		if err := v.awaitReady(20 * time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(5 * time.Second)
	w.rec.log("store     machines registered: %v", w.st.keys("laburnumpick-vms"))
	if w.trouble {
		w.rec.log("store     away, version %d", w.st.version())
		w.st.leave()
		time.Sleep(awayTime)
		before, after := w.st.restore(time.Now().Add(-awayTime - copyAge))
		w.rec.log("store     back from a copy %v old, era 2: version %d, was %d", copyAge, after, before)
		for _, u := range w.ups { // "What the operator and the upstreams wrote is written again."
			u.beat()
		}
	} else {
		time.Sleep(awayTime)
	}
	time.Sleep(2 * time.Second) // Traffic starts 8 s after the machines do.
	stop := make(chan struct{})
	one := func(i int) {
		ready := w.ready()
		w.send(ready[i%len(ready)], "GET", "packs.example", "/fetch/a", key, 3*time.Second)
	}
	usual := w.load(usualRate, stop, one)
	time.Sleep(6 * time.Second)
	w.rec.log("store     machines registered: %v", w.st.keys("laburnumpick-vms"))
	added, err := w.startVM("edge-4", quotaText)
	if err != nil {
		return 0, err
	}
	if err := added.awaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	w.join(added)
	w.rec.log("ready     vm=%s", added.name)
	hot := make(chan struct{})
	extra := w.load(usualRate*(hotTimes-1), hot, one)
	time.Sleep(hotTime)
	close(hot)
	extra.Wait()
	time.Sleep(4 * time.Second)
	close(stop)
	usual.Wait()
	return w.checkQuota("board-7")
}

// checkQuota checks the rule QUOTA over all windows.
func (w *world) checkQuota(tenant string) (int, error) {
	sent := w.sentAt()
	vmOf := make(map[string]string)
	w.mu.Lock()
	for _, a := range w.answers {
		vmOf[a.id] = a.vm
	}
	var at []run
	for _, x := range w.runs {
		if x.tenant == tenant {
			at = append(at, x)
		}
	}
	w.mu.Unlock()
	sort.Slice(at, func(i, j int) bool { return at[i].at.Before(at[j].at) })
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	worst, worstAt := 0, 0
	for i := range at {
		n := 0
		for j := i; j < len(at) && at[j].at.Sub(at[i].at) < quotaWindow; j++ {
			if !sent[at[j].id].Before(at[i].at) { // Both sent and run in the window.
				n++
			}
		}
		if n > worst {
			worst, worstAt = n, i
		}
	}
	if len(at) < 200 {
		return 0, errors.New("too few requests ran")
	}
	by := map[string]int{}
	for j := worstAt; j < len(at) && at[j].at.Sub(at[worstAt].at) < quotaWindow; j++ {
		by[vmOf[at[j].id]]++
	}
	w.rec.log("QUOTA     most requests of %s sent and run in some %v: %d, allowed %.0f; from %.3f s on, by machine %v",
		tenant, quotaWindow, worst, allowed, at[worstAt].at.Sub(w.rec.start).Seconds(), by)
	if float64(worst) > allowed {
		return statusBroken, nil
	}
	return statusHeld, nil
}

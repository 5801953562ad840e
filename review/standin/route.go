package main

import (
	"errors"
	"fmt"
	"time"
)

// Names of two services. They differ after their 31st character.
const (
	lagosService = "wayleave_compensation_payments_lagos"
	abujaService = "wayleave_compensation_payments_abuja"
)

// routeTo returns a route of a manifest to one service.
func routeTo(host, prefix, kind, service string) map[string]any {
	return map[string]any{
		"host": host, "prefix": prefix, "route_type": kind, "timeout": "4s", "target_latency": "1s",
		"priority": 1, "service": service, "max_attempts": 2,
	}
}

// manifestOf returns a manifest with routes and services.
func manifestOf(version string, routes map[string]any, services ...string) map[string]any {
	all := make(map[string]any)
	for _, s := range services {
		all[s] = map[string]any{"health_path": "/health", "max_conns": 390}
	}
	return map[string]any{
		"version": version, "routes": routes, "services": all,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3s", "idle_timeout": "15s"},
	}
}

// routeAfterChange: a manifest adds a service and a route to it. The name of the service begins
// as that of another one.
func routeAfterChange(w *world) (int, error) {
	const upstreams = 4
	lagos := routeTo("pay.example", "/lagos/", "non_idempotent", lagosService)
	abuja := routeTo("pay.example", "/abuja/", "non_idempotent", abujaService)
	w.st.put("op", "config", manifestOf("r3", map[string]any{"lagos": lagos}, lagosService))
	start := func(service, id string) error {
		for i := range upstreams {
			u, err := w.addUpstream(fmt.Sprintf("i-%s%06x", id, i), service, 2, 100*time.Millisecond)
			if err != nil {
				return err
			}
			u.register(time.Duration(i) * heartbeat / upstreams)
		}
		return nil
	}
	if err := start(lagosService, "1a"); err != nil {
		return 0, err
	}
	for i := range 2 {
		if _, err := w.addVM(fmt.Sprintf("edge-%d", i+1), ""); err != nil {
			return 0, err
		}
	}
	for _, v := range w.vms {
		if err := v.awaitReady(20 * time.Second); err != nil {
			return 0, err
		}
	}
	stop := make(chan struct{})
	wg := w.load(10, stop, func(i int) {
		w.send(w.vms[i%2], "POST", "pay.example", "/lagos/p", "", 4*time.Second)
	})
	time.Sleep(4 * time.Second)
	if w.trouble {
		if err := start(abujaService, "ab"); err != nil {
			return 0, err
		}
		w.st.put("op", "config", manifestOf("r7", map[string]any{"lagos": lagos, "abuja": abuja}, lagosService, abujaService))
		w.rec.log("manifest  r7 acknowledged: service %s and a route to it", abujaService)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	path := make(map[string]string)
	for _, a := range w.answers {
		path[a.id] = lagosService
	}
	broken := 0
	for _, x := range w.runs {
		if x.service != path[x.id] {
			broken++
			w.rec.log("ROUTE     id=%s, sent to a route that every manifest gives to %s, was run by %s of %s", x.id, path[x.id], x.upstream, x.service)
		}
	}
	if len(w.runs) < 40 {
		return 0, errors.New("too few requests ran")
	}
	if broken > 0 {
		return statusBroken, nil
	}
	return statusHeld, nil
}

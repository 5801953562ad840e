package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["path"] = casePath }

// casePath checks that a request goes to the service of the longest prefix that begins its path, when
// the operator adds a route.
func casePath(e *env) error {
	for i, svc := range []string{"huvo11a", "huvo11a", "wuno96b", "wuno96b"} {
		u := &upstream{env: e, id: fmt.Sprintf("i-%02d", i), service: svc, zone: "tt-north-a", slots: 3,
			work: func(*http.Request) time.Duration { return 50 * time.Millisecond }}
		if err := u.start(); err != nil {
			return err
		}
	}
	services := []string{"huvo11a", "wuno96b"}
	papers := route{"r-papers", "/papers/", "non_idempotent", "huvo11a", "2000ms", 2}
	e.manifest(3, services, papers)
	e.addVM("edge-a-1", "tt-north-a")
	e.addVM("edge-b-1", "tt-north-b")
	if err := e.startVMs(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	target := "/papers/vote%2Fcast"
	for i := range 10 {
		e.send(e.vms[i%2], "POST", target, 3*time.Second, "", "a")
	}
	if e.trouble {
		e.manifest(7, services, papers, route{"r-votes", "/papers/vote/", "non_idempotent", "wuno96b", "2000ms", 2})
	}
	time.Sleep(4 * time.Second)
	for i := range 20 {
		e.send(e.vms[i%2], "POST", target, 3*time.Second, "", "a")
	}
	wrong := 0
	for _, a := range e.all() {
		if a.outcome == "ran" && a.service != "huvo11a" {
			wrong++
		}
	}
	if wrong > 0 {
		return fmt.Errorf("%w: %d requests for %s ran at service wuno96b", errBroken, wrong, target)
	}
	return nil
}

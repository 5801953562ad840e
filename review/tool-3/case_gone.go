package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["gone"] = caseGone }

// caseGone checks that work ends soon after its clients have left, for clients that send further
// requests before the first one has been answered.
func caseGone(e *env) error {
	const work = 2 * time.Second
	for i := range 12 {
		u := &upstream{env: e, id: fmt.Sprintf("i-%02d", i), service: "huvo11a", zone: "tt-north-a", slots: 3,
			work: func(*http.Request) time.Duration { return work }}
		if err := u.start(); err != nil {
			return err
		}
	}
	e.manifest(3, []string{"huvo11a"}, route{"r-reads", "/reads/", "idempotent", "huvo11a", "8000ms", 2})
	e.addVM("edge-a-1", "tt-north-a")
	e.addVM("edge-b-1", "tt-north-b")
	if err := e.startVMs(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	defer close(stop)
	for i := range 10 { // Clients that stay.
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
					e.send(e.vms[i%2], "GET", "/reads/other", 8*time.Second, "", "")
				}
			}
		}()
	}
	const behind = 20
	var conns []net.Conn
	left := make(map[string]bool) // The requests of the clients that leave.
	for i := range 4 {
		c, err := net.DialTimeout("tcp", e.vms[i%2].front, time.Second)
		if err != nil {
			return err
		}
		defer c.Close()
		conns = append(conns, c)
		for range behind {
			id := newID()
			left[id] = true
			if _, err := io.WriteString(c, head("GET", "/reads/"+id, id, 8*time.Second, "")); err != nil {
				return err
			}
		}
		e.note("client %d has sent %d requests", i, behind)
	}
	time.Sleep(500 * time.Millisecond)
	var at time.Time
	if e.trouble {
		at = time.Now()
		for i, c := range conns {
			_ = c.Close()
			e.note("client %d closes its connection", i)
		}
	}
	time.Sleep(7 * time.Second)
	if !e.trouble {
		return nil
	}
	late, long, stillAt := 0, 0, 0
	for _, a := range e.all() {
		if _, leaves := left[a.id]; !leaves || a.outcome != "ran" {
			continue
		}
		if a.at.After(at.Add(500 * time.Millisecond)) {
			late++
			continue
		}
		if a.at.Add(work).After(at.Add(500 * time.Millisecond)) {
			long++
			if a.ended.IsZero() || a.ended.After(at.Add(500*time.Millisecond)) {
				stillAt++
			}
		}
	}
	e.note("reached an upstream over half a second after the close: %d; would have lasted so long: %d, of these still at work: %d", late, long, stillAt)
	if late > 5 || 4*stillAt > long {
		return fmt.Errorf("%w: %d requests reach an upstream over half a second after their clients left; upstreams are still at work on %d of %d", errBroken, late, stillAt, long)
	}
	return nil
}

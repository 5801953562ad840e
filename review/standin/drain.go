package main

import (
	"errors"
	"fmt"
	"time"
)

// Figures of the drain case. The bounds are those of the sheet of caroni-packs.
const (
	drainBound   = 2 * time.Second
	contactBound = 3 * time.Second
	copyAge      = 8 * time.Second // "some seconds old"
	awayTime     = time.Second     // "away for a moment"
	leavers      = 5
)

// drainAfterRestore: the store comes back from a copy some seconds old. Later, with the store
// stable again, upstreams leave: their entries are removed, and they serve on for many seconds.
func drainAfterRestore(w *world) (int, error) {
	const service, upstreams = "sealbook", 12
	w.st.put("op", "config", map[string]any{
		"version": "r3",
		"routes": map[string]any{"sign": map[string]any{
			"host": "packs.example", "prefix": "/sign/", "route_type": "non_idempotent", "timeout": "4s", "target_latency": "1s",
			"priority": 1, "service": service, "max_attempts": 2,
		}},
		"services": map[string]any{service: map[string]any{"health_path": "/health", "max_conns": 390}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout": "3s", "idle_timeout": "15s"},
	})
	var ups []*upstream
	for i := range upstreams {
		u, err := w.addUpstream(fmt.Sprintf("i-%08x", 0x7f3a9000+i), service, 3, 240*time.Millisecond)
		if err != nil {
			return 0, err
		}
		u.register(time.Duration(i) * heartbeat / upstreams)
		ups = append(ups, u)
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
	// As on the quiet day of caroni-packs: 30.6 a second at 44 machines are 1.4 at two.
	wg := w.load(1.4, stop, func(i int) {
		w.send(w.vms[i%len(w.vms)], "POST", "packs.example", "/sign/a", "", 4*time.Second)
	})
	time.Sleep(12 * time.Second)
	if w.trouble {
		w.rec.log("store     away, version %d", w.st.version())
		w.st.leave()
		time.Sleep(awayTime)
		before, after := w.st.restore(time.Now().Add(-awayTime - copyAge))
		w.rec.log("store     back from a copy %v old, era 2: version %d, was %d", copyAge, after, before)
		for _, u := range ups { // "What the operator and the upstreams wrote is written again."
			u.beat()
		}
	} else {
		time.Sleep(awayTime)
	}
	returned := time.Now()
	time.Sleep(contactBound + 200*time.Millisecond) // The store is stable again.
	acks := make(map[string]time.Time)
	for i := range leavers {
		at, ok := ups[2*i].leave()
		if !ok {
			return 0, errors.New("the store did not accept a removal")
		}
		acks[ups[2*i].id] = at
		w.rec.log("leaving   upstream=%s entry removed, acknowledged, version %d", ups[2*i].id, w.st.version())
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(14 * time.Second)
	close(stop)
	wg.Wait()
	sent := w.sentAt()
	broken := 0
	w.mu.Lock()
	runs := w.runs
	w.mu.Unlock()
	for _, x := range runs {
		ack, left := acks[x.upstream]
		if !left || !x.at.After(ack.Add(drainBound)) || !sent[x.id].After(ack) {
			continue
		}
		broken++
		w.rec.log("DRAIN     id=%s reached %s %.3f s after the ack that it is gone (bound %v); sent by the client %.3f s after the ack",
			x.id, x.upstream, x.at.Sub(ack).Seconds(), drainBound, sent[x.id].Sub(ack).Seconds())
	}
	w.rec.log("statuses  %s", w.statuses(returned, time.Now()))
	w.rec.log("feeds     answered 410: %d", w.st.feedsGone)
	if len(runs) < 25 {
		return 0, errors.New("too few requests ran")
	}
	if broken > 0 {
		return statusBroken, nil
	}
	return statusHeld, nil
}

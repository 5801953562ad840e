package main

import (
	"errors"
	"fmt"
	"time"
)

// configApply is the bound config_apply of the sheet of caroni-packs.
const configApply = 2 * time.Second

// weightsAfterChange: a manifest drops a route, and splits another one by weights that are
// fractions. Without trouble, the weights of the same manifest are whole numbers.
func weightsAfterChange(w *world) (int, error) {
	const old, next = "titlebook", "corridormap"
	split := routeTo("map.example", "/a/", "idempotent", old)
	dropped := routeTo("map.example", "/b/", "idempotent", old)
	w.st.put("op", "config", manifestOf("r3", map[string]any{"a": split, "b": dropped}, old, next))
	for i := range 12 {
		u, err := w.addUpstream(fmt.Sprintf("i-%08x", 0x1a00+i), []string{old, next}[i%2], 2, 100*time.Millisecond)
		if err != nil {
			return 0, err
		}
		u.register(time.Duration(i) * heartbeat / 12)
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
	paths := make(map[string]string)
	wg := w.load(20, stop, func(i int) {
		path := []string{"/a/p", "/b/p"}[i/2%2]
		a := w.send(w.vms[i%2], "GET", "map.example", path, "", 4*time.Second)
		w.mu.Lock()
		paths[a.id] = path
		w.mu.Unlock()
	})
	time.Sleep(5 * time.Second)
	weights := []any{9, 1}
	if w.trouble {
		weights = []any{0.9, 0.1}
	}
	delete(split, "service")
	split["backends"] = []any{map[string]any{"service": old, "weight": weights[0]}, map[string]any{"service": next, "weight": weights[1]}}
	w.st.put("op", "config", manifestOf("r7", map[string]any{"a": split}, old, next))
	ack := time.Now()
	w.rec.log("manifest  r7 acknowledged: /b/ dropped, /a/ split by the weights %v", weights)
	time.Sleep(12 * time.Second)
	close(stop)
	wg.Wait()
	sent := w.sentAt()
	w.mu.Lock()
	defer w.mu.Unlock()
	broken := 0
	n := map[string]int{}
	for _, x := range w.runs {
		if !sent[x.id].After(ack.Add(configApply)) {
			continue
		}
		n[paths[x.id]+" by "+x.service]++
		if paths[x.id] == "/b/p" {
			broken++
		}
	}
	w.rec.log("CONFIG    requests sent later than %v after the ack, run on the dropped route: %d; all runs since: %v", configApply, broken, n)
	if len(w.runs) < 40 {
		return 0, errors.New("too few requests ran")
	}
	if broken > 0 {
		return statusBroken, nil
	}
	return statusHeld, nil
}

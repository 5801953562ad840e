package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// Bounds of the sheet of caroni-packs.
const (
	configApply   = 2 * time.Second
	recoveryBound = 15 * time.Second
)

// weightsAfterChange: a manifest drops a route, and splits another one by weights that are
// fractions. Some seconds later all processes are killed and started again. Without trouble, the
// weights of the same manifest are whole numbers.
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
	wg := w.load(20, stop, func(i int) {
		w.send(w.vms[i%2], "GET", "map.example", []string{"/a/p", "/b/p"}[i/2%2], "", 4*time.Second)
	})
	begun := time.Now()
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
	time.Sleep(6 * time.Second)
	killed := time.Now()
	for _, v := range w.vms {
		v.signal(syscall.SIGKILL)
	}
	w.rec.log("killed    all processes")
	for _, v := range w.vms {
		<-v.exited
	}
	time.Sleep(restartAfter)
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return 0, err
		}
	}
	back := time.Now()
	w.rec.log("started   all processes")
	// Ports are drawn anew at each start. Clients reach the machines where they listen now.
	for time.Since(back) < 5*time.Second && !(w.vms[0].findAddresses() && w.vms[1].findAddresses()) {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(back.Add(recoveryBound + 10*time.Second)))
	ready := 0
	for _, v := range w.vms {
		if v.isReady() {
			ready++
		}
	}
	close(stop)
	wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	var before, after, served, servedBefore, ranDropped int
	ran := make(map[string]bool)
	for _, x := range w.runs {
		ran[x.id] = true
	}
	for _, a := range w.answers {
		switch {
		case a.sentAt.After(begun) && a.sentAt.Before(ack):
			before++
			servedBefore += count(a.status == 200)
		case a.sentAt.After(ack.Add(configApply)) && a.sentAt.Before(killed):
			ranDropped += count(a.path == "/b/p" && ran[a.id])
		case a.sentAt.After(back.Add(recoveryBound)) && a.path == "/a/p":
			after++
			served += count(a.status == 200)
		}
	}
	w.rec.log("CONFIG    requests sent later than %v after the ack that ran on the dropped route: %d", configApply, ranDropped)
	w.rec.log("RECOVER   of the requests on /a/ sent later than %v after the machines are back, %d of %d are served; before, %d of %d; machines ready: %d of 2",
		recoveryBound, served, after, servedBefore, before, ready)
	if before < 40 || after < 40 || 4*servedBefore < before {
		return 0, errors.New("too few requests were sent or served")
	}
	if 4*served < after {
		return statusBroken, nil
	}
	return statusHeld, nil
}

// count returns 1 if a condition holds, and else 0.
func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the memory case.
const (
	memoryMiB    = 284             // "memory_mb = 284", DEPLOY.md and the sheet of caroni-packs.
	largeBody    = 60 << 20        // Below max_body_bytes = 67108864 of the manifest.
	usualBody    = 360_000         // The largest upload on the sheet of kelani-dispatch-grown.
	uploads      = 16              // To each machine, one at a time.
	uploadBudget = 5 * time.Second // As on that sheet.
	restartAfter = 500 * time.Millisecond
	faultEnds    = 3 // "processes end by themselves three times in the day".
)

// rss returns the resident memory of the process in MiB.
func (v *vm) rss() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	kb := 0
	for _, line := range strings.Split(string(raw), "\n") {
		_, _ = fmt.Sscanf(line, "VmRSS: %d", &kb)
	}
	return kb / 1024
}

// watchMemory does as the platform: it kills a process that exceeds its memory, and starts it
// again after a short delay. It returns the number of ends.
func (w *world) watchMemory(v *vm, stop <-chan struct{}) int {
	ends, peak := 0, 0
	for {
		select {
		case <-stop:
			w.rec.log("memory    vm=%s ended %d times, most seen %d MiB", v.name, ends, peak)
			return ends
		case <-time.After(10 * time.Millisecond):
		}
		used := v.rss()
		peak = max(peak, used)
		if used <= memoryMiB {
			continue
		}
		ends++
		w.rec.log("memory    vm=%s uses %d MiB of %d MiB and is killed (end %d)", v.name, used, memoryMiB, ends)
		v.signal(syscall.SIGKILL)
		<-v.exited
		time.Sleep(restartAfter)
		if err := v.start(); err != nil {
			w.rec.log("error     %v", err)
			return ends
		}
		if err := v.awaitReady(10 * time.Second); err != nil {
			w.rec.log("error     %v", err)
			return ends
		}
	}
}

// upload sends one upload and returns the status, or 0 without an answer.
func (w *world) upload(v *vm, size int) int {
	id := fmt.Sprintf("u%06d", w.ids.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), uploadBudget)
	defer cancel()
	callers, _ := v.addresses()
	r, _ := http.NewRequestWithContext(ctx, "POST", "http://"+callers+"/pod/a", bytes.NewReader(make([]byte, size)))
	r.Host = "pod.example"
	r.Header.Set("Laburnumpick-Request-Id", id)
	r.Header.Set("Laburnumpick-Deadline-Ms", strconv.FormatInt(uploadBudget.Milliseconds(), 10))
	w.rec.log("sent      id=%s vm=%s POST /pod/a, %d bytes", id, v.name, size)
	status := 0
	if resp, err := v.client.Do(r); err == nil {
		status = resp.StatusCode
		_ = resp.Body.Close()
	}
	w.rec.log("answered  id=%s vm=%s status=%d", id, v.name, status)
	return status
}

// memoryOfUploads: clients upload bodies within max_body_bytes of the manifest.
func memoryOfUploads(w *world) (int, error) {
	const desk = "dispatch-desk"
	routes := map[string]any{
		"pod":    routeTo("pod.example", "/pod/", "upload", desk),
		"assign": routeTo("pod.example", "/assign/", "non_idempotent", desk),
	}
	w.st.put("op", "config", manifestOf("r3", routes, desk))
	for i := range 6 {
		u, err := w.addUpstream(fmt.Sprintf("i-%08x", 0x4400+i), desk, 3, 250*time.Millisecond)
		if err != nil {
			return 0, err
		}
		u.register(time.Duration(i) * heartbeat / 6)
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
	size := usualBody
	if w.trouble {
		size = largeBody
	}
	stop, watched := make(chan struct{}), make(chan int, len(w.vms))
	for _, v := range w.vms {
		go func() { watched <- w.watchMemory(v, stop) }()
	}
	load := w.load(10, stop, func(i int) {
		w.send(w.vms[i%2], "POST", "pod.example", "/assign/a", "", 2500*time.Millisecond)
	})
	var wg sync.WaitGroup
	for _, v := range w.vms {
		wg.Go(func() {
			for range uploads {
				w.upload(v, size)
				time.Sleep(1500 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	close(stop)
	load.Wait()
	machines := 0
	for range w.vms {
		if <-watched >= faultEnds {
			machines++
		}
	}
	ran := make(map[string]bool)
	cut := 0
	w.mu.Lock()
	for _, x := range w.runs {
		ran[x.id] = true
	}
	for _, a := range w.answers {
		if a.status == 0 && ran[a.id] {
			cut++
			w.rec.log("lost      id=%s ran and got no answer", a.id)
		}
	}
	n := len(w.runs)
	w.mu.Unlock()
	w.rec.log("FAULT     machines whose process ended %d times or more: %d of 2; requests that ran and got no answer: %d", faultEnds, machines, cut)
	if n < 40 {
		return 0, errors.New("too few requests ran")
	}
	if machines >= 2 {
		return statusBroken, nil
	}
	return statusHeld, nil
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["behind"] = caseBehind }

// Sizes of the case behind.
const (
	largeBytes = 1500 << 10 // Of the answers of packs.
	garbleOne  = 50         // With trouble, one in so many of them breaks off.
	smallOnes  = 6          // Further requests that are sent behind a large one.
	behindTime = 5500 * time.Millisecond
)

// caseBehind has clients send further requests behind one whose upstream, at times, breaks its answer off.
func caseBehind(e *env) error {
	var mu sync.Mutex
	packs := 0
	for i := range 4 {
		u := &upstream{env: e, id: fmt.Sprintf("p-%02d", i), service: "huvo11a", zone: "tt-north-a", slots: 3}
		u.respond = func(w http.ResponseWriter, _ *http.Request, _ string) {
			mu.Lock()
			packs++
			breaks := e.trouble && packs%garbleOne == 0
			mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			w.Header().Set("Laburnumpick-Server-Seal", u.id)
			w.Header().Set("Content-Length", fmt.Sprint(largeBytes))
			n := largeBytes
			if breaks {
				n = largeBytes * 9 / 10
			}
			_, _ = io.WriteString(w, strings.Repeat("p", n))
			if breaks {
				panic(http.ErrAbortHandler)
			}
		}
		if err := u.start(); err != nil {
			return err
		}
	}
	for i := range 8 {
		u := &upstream{env: e, id: fmt.Sprintf("s-%02d", i), service: "wuno96b", zone: "tt-north-a", slots: 3,
			work: func(*http.Request) time.Duration { return 20 * time.Millisecond }}
		if err := u.start(); err != nil {
			return err
		}
	}
	e.manifest(3, []string{"huvo11a", "wuno96b"}, route{"r-packs", "/packs/", "idempotent", "huvo11a", "3000ms", 2}, route{"r-small", "/small/", "idempotent", "wuno96b", "3000ms", 2})
	e.addVM("edge-a-1", "tt-north-a")
	e.addVM("edge-b-1", "tt-north-b")
	if err := e.startVMs(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	unanswered := make(map[string]bool)
	end := time.Now().Add(behindTime)
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			for time.Now().Before(end) {
				for _, id := range e.keptConn(e.vms[i%2], end) {
					mu.Lock()
					unanswered[id] = true
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	lost := 0
	for _, a := range e.all() {
		if a.outcome == "ran" && a.service == "wuno96b" && unanswered[a.id] {
			lost++
		}
	}
	e.note("requests that ran at sound upstreams and whose connection was closed without an answer: %d", lost)
	if lost > 3 {
		return fmt.Errorf("%w: %d requests from kept connections were passed on to sound upstreams, and their connections closed without an answer", errBroken, lost)
	}
	return nil
}

// keptConn sends requests on one connection until it ends. It returns the ids of the small ones that have
// got no answer.
func (e *env) keptConn(v *vm, end time.Time) []string {
	c, err := net.DialTimeout("tcp", v.front, time.Second)
	if err != nil {
		return nil
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for time.Now().Before(end) {
		_ = c.SetDeadline(time.Now().Add(4 * time.Second))
		ids := []string{newID()}
		text := head("GET", "/packs/x", ids[0], 3*time.Second, "")
		for range smallOnes {
			id := newID()
			ids = append(ids, id)
			text += head("GET", "/small/x", id, 3*time.Second, "")
		}
		if _, err := io.WriteString(c, text); err != nil {
			return nil
		}
		for i, id := range ids {
			r := result{id: id}
			r.read(in, "GET")
			if r.err != nil {
				e.note("client: id %s at %s: the connection ends: status %d, %d bytes, %v; %d further requests have no answer", id, v.name, r.status, len(r.body), r.err, len(ids)-max(1, i))
				return ids[max(1, i):]
			}
			if i == 0 {
				e.note("client: id %s at %s: status %d, %d bytes", id, v.name, r.status, len(r.body))
			}
		}
	}
	return nil
}

package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

func init() { cases["crash"], cases["attempt"] = caseCrash, caseAttempt }

// Times of the request that crashes the upstreams that run it.
const (
	crashAfter = 900 * time.Millisecond // From its start to the crash.
	leaveAfter = 600 * time.Millisecond // From its sending until its client leaves.
	crashDown  = 3 * time.Second
	crashEvery = 1200 * time.Millisecond // Between two sends of it.
	crashSends = 4                       // Sends in one period.
	periods    = 4                       // In which it comes, each under 5 seconds.
	pause      = 4 * time.Second         // Between two periods.
	contact    = 3 * time.Second
)

// crashes records when the request has crashed an upstream.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
}

// crashBody is the body of the request that crashes upstreams. Others have the same path.
const crashBody = "the report of all years"

const crashTarget = "/posts/report"

// startCrashing starts upstreams that a request with crashBody crashes some time after it has begun to
// run, and VMs. An upstream that has crashed is back after crashDown.
func startCrashing(e *env, seen *crashes, after time.Duration) error {
	var run func(id string) error
	run = func(id string) error {
		u := &upstream{env: e, id: id, service: "huvo11a", zone: "tt-north-a", slots: 3,
			work: func(*http.Request) time.Duration { return 150 * time.Millisecond }}
		u.onRun = func(u *upstream, r *http.Request, body string) {
			if body != crashBody {
				return
			}
			// This upstream does not drop the request when its connection closes.
			time.Sleep(after)
			seen.add()
			u.crash()
			time.AfterFunc(crashDown, func() { _ = run(id) })
			<-r.Context().Done()
		}
		return u.start()
	}
	for i := range 12 {
		if err := run(fmt.Sprintf("i-%02d", i)); err != nil {
			return err
		}
	}
	e.manifest(3, []string{"huvo11a"}, route{"r-posts", "/posts/", "non_idempotent", "huvo11a", "3000ms", 2})
	for _, n := range []string{"edge-a-1", "edge-a-2", "edge-b-1"} {
		e.addVM(n, "tt-north-"+n[5:6])
	}
	if err := e.startVMs(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}

// sendOthers sends requests of other clients, with the same path, until stop is closed.
func sendOthers(e *env, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
			go e.send(e.vms[i%3], "POST", crashTarget, 3*time.Second, "", fmt.Sprintf("report %d", i))
		}
	}
}

// caseCrash sends a request that crashes each upstream that runs it, again and again with new ids. With
// trouble, its client leaves before its time budget.
func caseCrash(e *env) error {
	var seen crashes
	if err := startCrashing(e, &seen, crashAfter); err != nil {
		return err
	}
	stop := make(chan struct{})
	go sendOthers(e, stop)
	for i := range periods {
		for j := range crashSends {
			go func() {
				wait := 4 * time.Second
				if e.trouble {
					wait = leaveAfter
				}
				e.sendAndLeave(e.vms[(i+j)%3], crashTarget, 4*time.Second, wait, crashBody)
			}()
			time.Sleep(crashEvery)
		}
		time.Sleep(pause)
	}
	close(stop)
	time.Sleep(time.Second)
	return judgeCrash(e, &seen)
}

// caseAttempt sends a request that crashes each upstream that runs it, again and again with new ids. With
// trouble, a header of it tells how often it has been sent.
func caseAttempt(e *env) error {
	var seen crashes
	if err := startCrashing(e, &seen, 100*time.Millisecond); err != nil {
		return err
	}
	stop := make(chan struct{})
	go sendOthers(e, stop)
	for i := range 16 {
		more := "X-Attempt: 1\r\n"
		if e.trouble {
			more = fmt.Sprintf("X-Attempt: %d\r\n", i+1)
		}
		go e.send(e.vms[i%3], "POST", crashTarget, 4*time.Second, more, crashBody)
		time.Sleep(2 * time.Second)
	}
	close(stop)
	time.Sleep(time.Second)
	return judgeCrash(e, &seen)
}

// judgeCrash counts the retries that reached upstreams later than contact after the third crash.
func judgeCrash(e *env, seen *crashes) error {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	e.note("the request has crashed %d upstreams", len(seen.at))
	if len(seen.at) < 3 {
		return nil
	}
	sort.Slice(seen.at, func(i, j int) bool { return seen.at[i].Before(seen.at[j]) })
	from := seen.at[2].Add(contact)
	late := 0
	for _, a := range e.all() {
		if a.body == crashBody && a.at.After(from) {
			late++
		}
	}
	e.note("retries that reached upstreams later than %v after the third crash: %d", contact, late)
	if late > 3 {
		return fmt.Errorf("%w: the request reached upstreams in %d retries later than %v after it had crashed the third; it has crashed %d", errBroken, late, contact, len(seen.at))
	}
	return nil
}

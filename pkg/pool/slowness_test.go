package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// TestSlowServersGetFewAtMostOnceRequests makes a fifth of the servers ten times
// slower while half of the slots are in use. An at-most-once request on one of them
// misses its deadline and may not be sent again.
func TestSlowServersGetFewAtMostOnceRequests(t *testing.T) {
	rng := rand.New(rand.NewPCG(21, 22))
	p := newPoolWithFloor(24, 2, func(n int) int { return (7*n + 9) / 10 })
	type run struct {
		g           pool.Granted
		began, ends time.Time
	}
	const deadline = 1500 * time.Millisecond
	var running []run
	sent, missed := 0, 0
	begin := func(now time.Time, g pool.Granted) {
		sent++
		took := exponential(rng, 150*time.Millisecond) + 70*time.Millisecond
		if n := g.Server.Name; now.Sub(start) > 5*time.Second && (n == "s-2" || n == "s-7" || n == "s-9" || n == "s-14" || n == "s-21") {
			took *= 10
		}
		running = append(running, run{g, now, now.Add(took)})
	}
	for ms := 0; ms < 15_000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		left := running[:0]
		for _, r := range running {
			switch {
			case now.Sub(r.began) >= deadline:
				missed++
				p.Release(now, r.g, pool.Dropped{Rule: reads, Took: deadline})
			case !now.Before(r.ends):
				p.Release(now, r.g, pool.Served{Rule: reads, Took: r.ends.Sub(r.began)})
			default:
				left = append(left, r)
			}
		}
		running = left
		if ms%50 == 0 {
			p.Tick(now)
		}
		for _, w := range p.DispatchQueue(now) {
			if g, ok := w.Decision.(pool.Granted); ok {
				begin(now, g)
			}
		}
		r := aRequest("a")
		r.Class, r.Deadline = site.AtMostOnce, now.Add(deadline)
		if g, ok := p.Admit(now, r).(pool.Granted); ok {
			begin(now, g)
		}
	}
	t.Logf("%d of %d missed their deadline", missed, sent)
	assert.Assert(t, missed <= sent/100, "%d of %d missed their deadline", missed, sent)
}

// TestPausedVMLeavesNoServerOut guards against servers that get no requests because a VM
// was paused while it had requests on all of them. Their responses seem very slow, but
// that is not the servers' fault.
func TestPausedVMLeavesNoServerOut(t *testing.T) {
	const servers, pause = 12, 1500 * time.Millisecond
	p := newPoolWithFloor(servers, 3, func(n int) int { return (7*n + 9) / 10 })
	once := aRequest("a")
	once.Class = site.AtMostOnce
	good := pool.Served{Rule: reads, Took: 5 * time.Millisecond}
	now := start
	for range 100 { // Latencies to compare with.
		now = now.Add(20 * time.Millisecond)
		p.Release(now, admit(t, p, now, once), good)
	}
	var paused []pool.Granted
	for range 2 * servers {
		paused = append(paused, admit(t, p, now, once))
	}
	now = now.Add(pause)
	p.Tick(now)
	for _, g := range paused {
		p.Release(now, g, pool.Served{Rule: reads, Took: pause})
	}
	used := map[site.ServerName]bool{}
	for end := now.Add(2 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
		g := admit(t, p, now, once)
		used[g.Server.Name] = true
		p.Release(now, g, good)
	}
	assert.Equal(t, len(used), servers)
}

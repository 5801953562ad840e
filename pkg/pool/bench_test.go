package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// BenchmarkAdmitRelease measures one decision for a service of 20 servers, and the
// update of their statistics with its result.
func BenchmarkAdmitRelease(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	p := newPool(20, 3)
	warm := func(p *pool.Pool) {
		for i := range 1000 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			g := p.Admit(now, aRequest("a")).(pool.Granted)
			p.Release(now, g, pool.Served{Rule: reads, Took: exponential(rng, 30*time.Millisecond)})
		}
	}
	warm(p)
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		g := p.Admit(now, aRequest("a")).(pool.Granted)
		p.Release(now, g, pool.Served{Rule: reads, Took: exponential(rng, 30*time.Millisecond)})
	}
}

// BenchmarkSlowServers measures one request at a service of 152 servers, a third of
// which is twelve times slower, so that at-most-once requests wait for slots.
func BenchmarkSlowServers(b *testing.B) {
	rng := rand.New(rand.NewPCG(3, 4))
	p := newPoolWithFloor(152, 2, func(n int) int { return (7*n + 9) / 10 })
	type run struct {
		g           pool.Granted
		began, ends time.Time
	}
	var running []run
	now := start
	begin := func(g pool.Granted) {
		took := 70*time.Millisecond + exponential(rng, 150*time.Millisecond)
		if n := g.Server.Name; n[len(n)-1]%3 == 0 {
			took *= 12
		}
		running = append(running, run{g, now, now.Add(took)})
	}
	for b.Loop() {
		now = now.Add(2 * time.Millisecond)
		left := running[:0]
		var ended []run
		for _, r := range running {
			if now.Before(r.ends) && now.Sub(r.began) < 1500*time.Millisecond {
				left = append(left, r)
			} else {
				ended = append(ended, r)
			}
		}
		running = left
		for _, r := range ended {
			if now.Before(r.ends) {
				p.Release(now, r.g, pool.Dropped{Rule: reads, Took: 1500 * time.Millisecond})
			} else {
				p.Release(now, r.g, pool.Served{Rule: reads, Took: r.ends.Sub(r.began)})
			}
			for _, w := range p.DispatchQueue(now) {
				if g, ok := w.Decision.(pool.Granted); ok {
					begin(g)
				}
			}
		}
		if now.UnixMilli()%50 < 2 {
			p.Tick(now)
		}
		r := aRequest("a")
		r.Class, r.Deadline = site.AtMostOnce, now.Add(1500*time.Millisecond)
		if g, ok := p.Admit(now, r).(pool.Granted); ok {
			begin(g)
		}
	}
	b.ReportMetric(float64(p.Stats(now).Queued), "queued")
}

// BenchmarkLimitedServers measures one request at a service of 20 servers that all name a
// limit, with a queue that is as long as the deadlines allow.
func BenchmarkLimitedServers(b *testing.B) {
	p := newPool(20, 3)
	for i := range 20 {
		p.MergeLimits(start, []pool.NamedLimit{{Server: site.ServerName(fmt.Sprintf("s-%d", i)), Limit: site.LimitOf(2)}})
	}
	now := start
	for b.Loop() {
		now = now.Add(2500 * time.Microsecond)
		for _, w := range p.DispatchQueue(now) {
			if g, ok := w.Decision.(pool.Granted); ok {
				p.Release(now, g, pool.Served{Rule: reads, Took: 30 * time.Millisecond})
			}
		}
		r := aRequest("a")
		r.Deadline = now.Add(2 * time.Second)
		if g, ok := p.Admit(now, r).(pool.Granted); ok {
			p.Release(now, g, pool.Served{Rule: reads, Took: 30 * time.Millisecond})
		}
	}
}

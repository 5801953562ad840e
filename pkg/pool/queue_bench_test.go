package pool_test

import (
	"fmt"
	"testing"
	"time"

	"laburnumpick.org/pkg/admission"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// BenchmarkQueue measures one request that arrives, one that ends and the grant of the slot that
// becomes free, at a service of 223 servers with requests of three priorities and 50 accounts
// waiting.
func BenchmarkQueue(b *testing.B) {
	for _, policy := range []admission.Policy{admission.ByPriority, admission.CostAware} {
		for _, waiting := range []int{100, 1000, 4000} {
			b.Run(fmt.Sprintf("%s/%d", policy, waiting), func(b *testing.B) { benchmarkQueue(b, policy, waiting) })
		}
	}
}

func benchmarkQueue(b *testing.B, policy admission.Policy, waiting int) {
	p := newPoolWith(223, 3, pool.Settings{ScoreThreshold: 10, Retry: pool.DefaultRetryLimits, Admission: policy})
	now := start
	var running []pool.Granted
	sent := 0
	arrive := func() {
		r := aRequest(fmt.Sprint("account-", sent%50))
		r.Class, r.Priority, r.Deadline, r.Target = site.AtMostOnce, 1+sent%3, now.Add(time.Hour), now.Add(10*time.Second)
		sent++
		if g, ok := p.Admit(now, r).(pool.Granted); ok {
			running = append(running, g)
		}
	}
	for p.Queued() < waiting {
		arrive()
	}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p.Release(now, running[0], pool.Served{Rule: reads, Took: 300 * time.Millisecond})
		running = running[1:]
		for _, d := range p.DispatchQueue(now) {
			if g, ok := d.Decision.(pool.Granted); ok {
				running = append(running, g)
			}
		}
		arrive()
		for p.Queued() < waiting {
			arrive()
		}
	}
	b.ReportMetric(float64(p.Queued()), "queued")
}

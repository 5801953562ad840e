package pool_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// TestIdleServersAreReportedWithTheReason guards against servers that lose their
// requests without a trace in logs and metrics.
func TestIdleServersAreReportedWithTheReason(t *testing.T) {
	once := aRequest("a")
	once.Class = site.AtMostOnce
	fail := func(p *pool.Pool, g pool.Granted) {
		p.Release(start, g, pool.Failed{Rule: reads, Detail: "reset"})
	}
	decline := func(r pool.DeclineReason) func(*pool.Pool, pool.Granted) {
		return func(p *pool.Pool, g pool.Granted) { p.Release(start, g, pool.Declined{Reason: r}) }
	}
	for _, c := range []struct {
		name  string
		end   func(*pool.Pool, pool.Granted) // Ends the server's only request.
		after time.Duration
		want  pool.IdleReason // Empty if the server is not idle.
	}{
		{"two seconds are not over", fail, 2 * time.Second, ""},
		{"its only slot is in use", func(*pool.Pool, pool.Granted) {}, 3 * time.Second, pool.IdleBusy},
		{"back-off", func(p *pool.Pool, g pool.Granted) {
			fail(p, g)
			p.MergeFailureStreaks(start, []pool.FailureStreak{{Server: g.Server.Name, Failures: 2, BackOff: 4 * time.Second}})
		}, 3 * time.Second, pool.IdleBackOff},
		{"recovering", fail, 3 * time.Second, pool.IdleRecovering},
		{"nothing held against it", decline(pool.Shed), 3 * time.Second, pool.IdleUnchosen},
		{"leaving", decline(pool.Drain), 3 * time.Second, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPool(1, 1)
			c.end(p, admit(t, p, start, once))
			now := start.Add(c.after)
			var want []pool.IdleReason
			if c.want != "" {
				want = append(want, c.want)
			}
			assert.DeepEqual(t, reasons(p.IdleServers(now)), want)
			assert.DeepEqual(t, reasons(p.NewlyIdleServers(now)), want)
			assert.Equal(t, len(p.NewlyIdleServers(now)), 0, "reported twice")
		})
	}
}

func reasons(idle []pool.IdleServer) []pool.IdleReason {
	var out []pool.IdleReason
	for _, s := range idle {
		out = append(out, s.Reason)
	}
	return out
}

// TestNewServersDoNotTakeAllRequests guards against sound servers that get no requests
// for two seconds because many new servers join a service with few requests.
func TestNewServersDoNotTakeAllRequests(t *testing.T) {
	const known, joined, rate = 10, 35, 14
	set := pool.Settings{ScoreThreshold: 10, Retry: pool.DefaultRetryLimits}
	p := pool.New(start, "s", set)
	var members []pool.Member
	add := func(n int, coldUntil time.Time) {
		for range n {
			name := site.ServerName(fmt.Sprintf("s-%02d", len(members)))
			members = append(members, pool.Member{Server: site.Server{Name: name, Address: string(name), Slots: 3}, ColdUntil: coldUntil})
		}
	}
	add(known, time.Time{})
	p.Configure(start, set, members)
	once := aRequest("a")
	once.Class = site.AtMostOnce
	last := make(map[site.ServerName]time.Time)
	for i := range 20 * rate {
		now := start.Add(time.Duration(i) * time.Second / rate)
		if i == 5*rate {
			add(joined, now.Add(3*time.Second))
			p.Configure(now, set, members)
		}
		g := admit(t, p, now, once)
		last[g.Server.Name] = now
		p.Release(now, g, pool.Served{Rule: reads, Took: 5 * time.Millisecond})
		used := 0
		for _, m := range members[:known] {
			if now.Sub(last[m.Name]) <= 2*time.Second {
				used++
			}
		}
		assert.Assert(t, i < 2*rate || i > 8*rate || used >= known*7/10, "after %v only %d of %d servers had got requests", now.Sub(start), used, known)
	}
	assert.Assert(t, len(last) >= known+joined*7/10, "only %d of %d servers got requests", len(last), known+joined)
}

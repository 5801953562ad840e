package pool_test

import (
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

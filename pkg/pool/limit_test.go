package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// nameLimit has the server of a grant name a limit in its response. It reports whether the
// limit to which the home holds the server has changed.
func nameLimit(t *testing.T, p *pool.Pool, now time.Time, g pool.Granted, l site.RequestLimit) bool {
	t.Helper()
	_, changed := p.RecordLimit(now, g.ID, pool.NamedLimit{Server: g.Server.Name, Limit: l, VM: "vm-1"})
	return changed
}

// limitOf returns the limit to which the home holds the first server.
func limitOf(p *pool.Pool) site.RequestLimit { return p.View().Servers[0].Limit }

// aLimitedPool returns a pool of one server that has named a limit, with no request
// running.
func aLimitedPool(t *testing.T, l site.RequestLimit) *pool.Pool {
	t.Helper()
	p := newPool(1, 3)
	g := admit(t, p, start, aRequest("a"))
	assert.Assert(t, nameLimit(t, p, start, g, l))
	p.Release(start, g, pool.Served{Rule: reads, Took: time.Millisecond})
	return p
}

// TestLimitIsAPaceInEachWindow guards against bursts of requests to a limited server:
// after the limit is named, after an idle time, and from one window into the next. In
// no window does it get more than its limit allows and one burst, whatever the requests
// are (reads, retries, requests that may run once, probes of a suspected server).
func TestLimitIsAPaceInEachWindow(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.SampledFrom([]float64{0, 0.2, 0.4, 1, 2.1, 7, 40}).Draw(rt, "rate")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		p := newPoolWithFloor(1, 3, func(int) int { return 0 })
		first := p.Admit(start, aRequest("a")).(pool.Granted)
		p.RecordLimit(start, first.ID, pool.NamedLimit{Server: first.Server.Name, Limit: site.LimitOf(site.RequestRate(rate))})
		p.Release(start, first, pool.Served{Rule: reads})
		var grants []time.Time
		got := func(now time.Time, g pool.Granted) {
			grants = append(grants, now)
			if rng.IntN(4) == 0 {
				p.Release(now, g, pool.Failed{Rule: reads, Detail: "reset"})
				return
			}
			p.Release(now, g, pool.Served{Rule: reads, Took: time.Millisecond})
		}
		now := start
		for range 1000 {
			now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
			if rng.IntN(300) == 0 {
				now = now.Add(5 * time.Second)
			}
			r := aRequest(fmt.Sprint(rng.IntN(3)))
			r.Deadline, r.NoWait, r.Attempts = now.Add(2*time.Second), rng.IntN(2) == 0, rng.IntN(2)
			if rng.IntN(2) == 0 {
				r.Class = site.AtMostOnce
			}
			if g, ok := p.Admit(now, r).(pool.Granted); ok {
				got(now, g)
			}
			for _, w := range p.DispatchQueue(now) {
				if g, ok := w.Decision.(pool.Granted); ok {
					got(now, g)
				}
			}
			p.Tick(now)
		}
		const floorRate, burst = 0.2, 0.25
		effective := max(rate, floorRate)
		for i := range grants {
			for j := i; j < len(grants); j++ {
				length := grants[j].Sub(grants[i]).Seconds()
				allowed := effective*(length+burst) + 1 + 1e-6
				if n := float64(j - i + 1); n > allowed {
					rt.Fatalf("%v requests in %.3f s, %.2f allowed", n, length, allowed)
				}
			}
		}
		if rate >= 1 && len(grants) < 10 {
			rt.Fatalf("only %d requests at a limit of %v", len(grants), rate)
		}
	})
}

// TestOlderResponseDoesNotRaiseTheLimit guards against a response that a server gave
// before it named its limit, and that lifts the limit because it came late.
func TestOlderResponseDoesNotRaiseTheLimit(t *testing.T) {
	p := newPool(1, 3)
	early, late := admit(t, p, start, aRequest("a")), admit(t, p, start, aRequest("a"))
	assert.Assert(t, nameLimit(t, p, start, late, site.LimitOf(1)))
	for _, l := range []site.RequestLimit{{}, site.LimitOf(5)} {
		assert.Assert(t, !nameLimit(t, p, start, early, l), "raised to %v", l)
	}
	assert.Equal(t, limitOf(p), site.LimitOf(1))
	assert.Assert(t, nameLimit(t, p, start, early, site.LimitOf(0.5)), "a lower limit always counts")
	p.Release(start, early, pool.Served{Rule: reads})
	p.Release(start, late, pool.Served{Rule: reads})
	now := start.Add(2 * time.Second)
	next := admit(t, p, now, aRequest("a"))
	assert.Assert(t, nameLimit(t, p, now, next, site.LimitOf(5)))
	assert.Equal(t, limitOf(p), site.LimitOf(5))
}

// TestLimitEnds guards against a server that is held to a limit that it names no more,
// or that it named before it started again.
func TestLimitEnds(t *testing.T) {
	t.Run("a response without it", func(t *testing.T) {
		p := aLimitedPool(t, site.LimitOf(1))
		now := start.Add(time.Second)
		g := admit(t, p, now, aRequest("a"))
		assert.Equal(t, g.Limit, site.LimitOf(1))
		assert.Assert(t, nameLimit(t, p, now, g, site.RequestLimit{}))
		for range 2 {
			assert.Equal(t, admit(t, p, now, aRequest("a")).Limit, site.RequestLimit{})
		}
	})
	t.Run("a limit of zero is tested", func(t *testing.T) {
		p := aLimitedPool(t, site.LimitOf(0))
		admit(t, p, start.Add(5*time.Second), aRequest("a"))
	})
	t.Run("a new start", func(t *testing.T) {
		p := aLimitedPool(t, site.LimitOf(1))
		s := p.View().Servers[0].Server
		s.StartedMs = 7
		p.Configure(start, pool.Settings{ScoreThreshold: 10, Retry: pool.DefaultRetryLimits}, []pool.Member{{Server: s}})
		assert.Equal(t, limitOf(p), site.RequestLimit{})
		_, changed := p.RecordLimit(start, 1, pool.NamedLimit{Server: s.Name, Limit: site.LimitOf(1)})
		assert.Assert(t, !changed, "a response of the earlier start")
	})
}

// TestLimitGoesBeforeTheFloor guards against a server that gets more than its limit
// because it has been idle, is suspected, or is the last one left.
func TestLimitGoesBeforeTheFloor(t *testing.T) {
	p := aLimitedPool(t, site.LimitOf(0.4))
	now := start.Add(2 * time.Second) // Past the time that a server goes without requests.
	r := aRequest("a")
	r.NoWait = true
	_, refused := p.Admit(now, r).(pool.Refused)
	assert.Assert(t, refused)
	assert.DeepEqual(t, reasons(p.IdleServers(now.Add(time.Millisecond))), []pool.IdleReason{pool.IdleLimited})
	admit(t, p, start.Add(2500*time.Millisecond), r)
}

// TestOtherVMsLimitsOnlyLowerTheLimit guards against a VM with outdated knowledge that
// lifts the limit which the home has heard since, or brings back one that has ended.
func TestOtherVMsLimitsOnlyLowerTheLimit(t *testing.T) {
	named := func(l site.RequestLimit, age time.Duration) []pool.NamedLimit {
		return []pool.NamedLimit{{Server: "s-0", Limit: l, Age: age, VM: "vm-2"}}
	}
	now := start.Add(10 * time.Second)
	for _, c := range []struct {
		name   string
		known  []site.RequestLimit // In responses to this home's grants, at start and two seconds later.
		merged []pool.NamedLimit
		want   site.RequestLimit
	}{
		{"a new home", nil, named(site.LimitOf(2), 20*time.Second), site.LimitOf(2)},
		{"lower and newer", []site.RequestLimit{site.LimitOf(3)}, named(site.LimitOf(2), time.Second), site.LimitOf(2)},
		{"lower and older", []site.RequestLimit{site.LimitOf(3)}, named(site.LimitOf(2), 11*time.Second), site.LimitOf(3)},
		{"higher and newer", []site.RequestLimit{site.LimitOf(1)}, named(site.LimitOf(2), time.Second), site.LimitOf(1)},
		{"none and newer", []site.RequestLimit{site.LimitOf(1)}, named(site.RequestLimit{}, time.Second), site.LimitOf(1)},
		{"ended since", []site.RequestLimit{site.LimitOf(1), {}}, named(site.LimitOf(1), 9*time.Second), site.RequestLimit{}},
		{"unknown server", nil, []pool.NamedLimit{{Server: "s-9", Limit: site.LimitOf(1)}}, site.RequestLimit{}},
		{"another start of the server", nil, []pool.NamedLimit{{Server: "s-0", StartedMs: 5, Limit: site.LimitOf(1)}}, site.RequestLimit{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPool(1, 3)
			for i, l := range c.known {
				at := start.Add(time.Duration(2*i) * time.Second)
				nameLimit(t, p, at, admit(t, p, at, aRequest("a")), l)
			}
			p.MergeLimits(now, c.merged)
			assert.Equal(t, limitOf(p), c.want)
		})
	}
}

// TestStandbyKnowsLimits guards against a VM that takes over a pool and sends each server
// requests until it hears of its limit.
func TestStandbyKnowsLimits(t *testing.T) {
	home, next := aLimitedPool(t, site.LimitOf(1)), newPool(1, 3)
	now := start.Add(time.Second)
	next.MergeLimits(now, home.StandbyState(now, now).Limits)
	assert.Equal(t, limitOf(next), site.LimitOf(1))
	r := aRequest("a")
	r.NoWait = true
	_, refused := next.Admit(now, r).(pool.Refused)
	assert.Assert(t, refused, "the server may have got a request from the former home just now")
	admit(t, next, now.Add(time.Second), r)
}

// limitedLoad counts what becomes of a constant load on servers with limits.
type limitedLoad struct {
	granted, refusedAtOnce, refusedLater int
	longestWait                          time.Duration // Of a request that is refused.
	retryAfter                           []time.Duration
}

// runLimitedLoad sends a request each interval to a pool for a time.
func runLimitedLoad(p *pool.Pool, from time.Time, length, interval, deadline time.Duration) limitedLoad {
	var out limitedLoad
	arrivedAt := map[pool.Ticket]time.Time{}
	decide := func(now, arrived time.Time, d pool.Decision) {
		switch d := d.(type) {
		case pool.Granted:
			out.granted++
			p.Release(now, d, pool.Served{Rule: reads, Took: 50 * time.Millisecond})
		case pool.Waiting:
			arrivedAt[d.Ticket] = now
		case pool.Refused:
			out.retryAfter = append(out.retryAfter, d.RetryAfter)
			out.longestWait = max(out.longestWait, now.Sub(arrived))
			if now.Equal(arrived) {
				out.refusedAtOnce++
				return
			}
			out.refusedLater++
		}
	}
	for now := from; now.Before(from.Add(length)); now = now.Add(interval) {
		r := aRequest("a")
		r.Deadline = now.Add(deadline)
		for _, w := range p.DispatchQueue(now) { // As the home does before each request.
			decide(now, arrivedAt[w.Ticket], w.Decision)
		}
		decide(now, now, p.Admit(now, r))
	}
	return out
}

// TestExcessOverTheLimitsIsRefusedAtOnce guards against requests that wait for slots
// which the servers' limits will not let them use, and against callers that are told to
// come back long before there is room.
func TestExcessOverTheLimitsIsRefusedAtOnce(t *testing.T) {
	const servers, rate = 4, 0.5
	p := newPool(servers, 3)
	for i := range servers {
		p.MergeLimits(start, []pool.NamedLimit{{Server: site.ServerName(fmt.Sprintf("s-%d", i)), Limit: site.LimitOf(rate)}})
	}
	load := runLimitedLoad(p, start.Add(10*time.Second), 20*time.Second, 50*time.Millisecond, 4*time.Second)
	t.Logf("%d granted, refused %d at once, %d later (after %v at most)", load.granted, load.refusedAtOnce, load.refusedLater, load.longestWait)
	assert.Assert(t, load.granted >= 20*servers*rate, "%d granted", load.granted)
	assert.Assert(t, load.refusedLater*20 <= load.refusedAtOnce, "%d refused after a wait, %d at once", load.refusedLater, load.refusedAtOnce)
	for _, d := range load.retryAfter[len(load.retryAfter)/2:] {
		assert.Assert(t, d >= time.Second, "told to come back after %v, behind a wait of two seconds", d)
	}
}

// TestRetryAfterIsTheTimeToTheNextTurn guards against a caller that is told the average
// time between two requests, when the only server takes the next one sooner or later.
func TestRetryAfterIsTheTimeToTheNextTurn(t *testing.T) {
	p := aLimitedPool(t, site.LimitOf(0.25))
	r := aRequest("a")
	r.NoWait = true
	for _, after := range []time.Duration{0, time.Second, 3900 * time.Millisecond} {
		refused, ok := p.Admit(start.Add(after), r).(pool.Refused)
		assert.Assert(t, ok)
		assert.Equal(t, refused.RetryAfter.Round(time.Millisecond), 4*time.Second-after)
	}
	admit(t, p, start.Add(4*time.Second), r)
}

// TestRefusalForTheLimitIsNoFailure guards against a server that refuses a request because
// of its limit and is then left out like one that fails.
func TestRefusalForTheLimitIsNoFailure(t *testing.T) {
	p := newPool(1, 3)
	g := admit(t, p, start, aRequest("a"))
	nameLimit(t, p, start, g, site.LimitOf(0.5))
	p.Release(start, g, pool.Served{Rule: reads, Took: time.Millisecond})
	now := start.Add(2 * time.Second)
	p.Release(now, admit(t, p, now, aRequest("a")), pool.Declined{Reason: pool.Limited})
	idle := p.IdleServers(now.Add(2*time.Second + time.Millisecond))
	assert.Equal(t, len(idle), 1)
	assert.Equal(t, idle[0].FailedAgo, time.Duration(0))
	assert.Equal(t, idle[0].State, pool.Healthy)
	r := aRequest("a")
	r.NoWait = true
	_, refused := p.Admit(now.Add(1900*time.Millisecond), r).(pool.Refused)
	assert.Assert(t, refused, "the server has just been over its limit")
	r.Class = site.AtMostOnce
	admit(t, p, now.Add(2*time.Second), r)
}

// TestProbesKeepTheLimit guards against a suspected server that is probed more often than
// the limit that it has named allows.
func TestProbesKeepTheLimit(t *testing.T) {
	p := newPoolWithFloor(2, 3, func(int) int { return 0 })
	now := start
	for p.State("s-0") != pool.Suspected {
		now = now.Add(time.Second)
		assert.Assert(t, now.Before(start.Add(time.Hour)), "the server is never suspected")
		r := aRequest("a")
		r.Exclude = []site.ServerName{"s-1"}
		if g, ok := p.Admit(now, r).(pool.Granted); ok {
			p.Release(now, g, pool.Failed{Rule: reads, Detail: "reset"})
		}
	}
	p.MergeLimits(now, []pool.NamedLimit{{Server: "s-0", Limit: site.LimitOf(1)}})
	var probes []time.Time
	for p.State("s-0") == pool.Suspected {
		now = now.Add(50 * time.Millisecond)
		assert.Assert(t, now.Before(start.Add(time.Hour)), "the server never passes its probes")
		g, ok := p.Admit(now, aRequest("a")).(pool.Granted)
		if !ok {
			continue
		}
		if g.Probe {
			probes = append(probes, now)
		}
		p.Release(now, g, pool.Served{Rule: reads, Took: 20 * time.Millisecond})
	}
	const shortest = 750 * time.Millisecond // An interval at the limit, less the burst.
	for i := range probes[1:] {
		assert.Assert(t, probes[i+1].Sub(probes[i]) >= shortest, "probes at %v", probes)
	}
}

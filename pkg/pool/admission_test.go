package pool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/admission"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// newCostAwarePool returns a pool of one server with 4 slots that has served requests of
// the rules "short", in 20 ms each, and "long", in 400 ms each.
func newCostAwarePool(t *testing.T) *pool.Pool {
	t.Helper()
	set := pool.Settings{ScoreThreshold: 10, Retry: pool.DefaultRetryLimits, Admission: admission.CostAware}
	p := pool.New(start, "s", set)
	p.Configure(start, set, []pool.Member{{Server: site.Server{Name: "s-0", Address: "s-0:80", Slots: 4}}})
	for range 24 {
		for rule, took := range map[site.RuleName]time.Duration{"short": 20 * time.Millisecond, "long": 400 * time.Millisecond} {
			r := aRequest("a")
			r.Rule = rule
			p.Release(start, admit(t, p, start, r), pool.Served{Rule: rule, Took: took})
		}
	}
	return p
}

// fill takes all slots and queues n requests of a rule.
func fill(t *testing.T, p *pool.Pool, now time.Time, rule site.RuleName, n int) []pool.Granted {
	t.Helper()
	r := aRequest("a")
	r.Rule = rule
	var grants []pool.Granted
	for range 4 {
		grants = append(grants, admit(t, p, now, r))
	}
	for range n {
		_, waits := p.Admit(now, r).(pool.Waiting)
		assert.Assert(t, waits)
	}
	return grants
}

// TestWaitIsEstimatedByWork guards against a request that is refused behind a few cheap
// ones, or queued in vain behind expensive ones, because the mean over all rules is used.
func TestWaitIsEstimatedByWork(t *testing.T) {
	later := start.Add(time.Second) // The estimates are computed anew.
	for rule, want := range map[site.RuleName]bool{"short": true, "long": false} {
		p := newCostAwarePool(t)
		fill(t, p, later, rule, 20) // 0.1 s or 2 s of work for each slot.
		r := aRequest("b")
		r.Rule, r.Priority, r.Deadline = "short", 1, later.Add(800*time.Millisecond)
		_, waits := p.Admit(later, r).(pool.Waiting)
		assert.Equal(t, waits, want, "behind %s requests", rule)
	}
}

// TestRetryAfterIsWhenASlotIsFree guards against callers that are told to return long
// before or after they can be served.
func TestRetryAfterIsWhenASlotIsFree(t *testing.T) {
	later := start.Add(time.Second)
	p := newCostAwarePool(t)
	running := fill(t, p, later, "long", 40) // 4 s of work for each slot.
	r := aRequest("a")
	r.Rule, r.Deadline = "long", later.Add(700*time.Millisecond)
	refused, ok := p.Admit(later, r).(pool.Refused)
	assert.Assert(t, ok)
	assert.Equal(t, refused.Kind, outcome.Overload)
	now := later
	for ; len(running) > 0; now = now.Add(400 * time.Millisecond) {
		for _, g := range running {
			p.Release(now, g, pool.Served{Rule: "long", Took: 400 * time.Millisecond})
		}
		running = nil
		for _, d := range p.DispatchQueue(now) {
			if g, granted := d.Decision.(pool.Granted); granted {
				running = append(running, g)
			}
		}
	}
	free := now.Sub(later)
	assert.Assert(t, refused.RetryAfter > free*8/10 && refused.RetryAfter < free*12/10, "told %v, free after %v", refused.RetryAfter, free)
}

// TestFullQueueGivesUpTheLeastCostly guards against an urgent request that is refused
// because the queue holds its greatest number of less urgent ones.
func TestFullQueueGivesUpTheLeastCostly(t *testing.T) {
	t.Parallel()
	p := newCostAwarePool(t)
	r := aRequest("a")
	r.Rule, r.Priority = "short", 3
	tickets := 0
	for p.Queued() < 4096 {
		_ = p.Admit(start, r)
		tickets++
		assert.Assert(t, tickets < 5000)
	}
	_, refused := p.Admit(start, r).(pool.Refused)
	assert.Assert(t, refused)
	r.Priority = 0
	_, waits := p.Admit(start, r).(pool.Waiting)
	assert.Assert(t, waits)
	decisions := p.DispatchQueue(start)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Decision.(pool.Refused).Kind, outcome.Overload)
}

// TestPolicyChangesWithRequestsInFlight guards against a grant of one policy that is
// charged to an account under the other.
func TestPolicyChangesWithRequestsInFlight(t *testing.T) {
	set := pool.Settings{ScoreThreshold: 10, Retry: pool.DefaultRetryLimits}
	members := []pool.Member{{Server: site.Server{Name: "s-0", Address: "s-0:80", Slots: 4}}}
	p := pool.New(start, "s", set)
	for _, policy := range []admission.Policy{"", admission.CostAware, admission.ByPriority, admission.CostAware} {
		set.Admission = policy
		p.Configure(start, set, members)
		g := admit(t, p, start, aRequest("a"))
		set.Admission = map[bool]admission.Policy{true: admission.ByPriority, false: admission.CostAware}[policy == admission.CostAware]
		p.Configure(start, set, members)
		p.Release(start, g, pool.Served{Rule: reads, Took: time.Millisecond})
		assert.Equal(t, p.Stats(start).InUse, 0)
	}
}

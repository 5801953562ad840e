package pool_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/admission"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// requestKind is a kind of request in a load, with the rate at which it arrives.
type requestKind struct {
	rule     site.RuleName
	account  site.AccountName
	class    site.Class
	priority int
	rate     func(at time.Duration) float64 // Requests per second, by the time since the start.
	work     time.Duration                  // Mean.
	target   time.Duration
	deadline time.Duration
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst returns a rate that is multiplied from the third second on for a time.
func burst(rate, by float64, length time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 3*time.Second && at < 3*time.Second+length {
			return rate * by
		}
		return rate
	}
}

// overload is a load of several kinds on one pool.
type overload struct {
	kinds   []requestKind
	servers int
	slots   int
	refuse  func(at time.Duration) float64 // Share of attempts that servers refuse without running them; nil for none.
	length  time.Duration
}

// kindResult is what became of the requests of a kind.
type kindResult struct {
	asked, onTime, late, refused int
	refusedWait                  time.Duration // Mean time until the refusal.
	longestRefusal               time.Duration
}

func (k kindResult) served() float64 { return float64(k.onTime+k.late) / float64(max(1, k.asked)) }

func (k kindResult) String() string {
	return fmt.Sprintf("asked %5d, on time %5d, late %4d, refused %4d after %v", k.asked, k.onTime, k.late, k.refused, k.refusedWait.Round(time.Millisecond))
}

// loadRequest is one request of a caller.
type loadRequest struct {
	kind    int
	arrived time.Time
	request pool.Request
	took    time.Duration // Time that a server needs for it.
	refuse  [4]float64    // For each attempt, the share of refusing servers from which on it is refused.
}

// loadEnd is the end of an attempt.
type loadEnd struct {
	at      time.Time
	grant   pool.Granted
	request *loadRequest
	report  pool.Report
}

type loadEnds []loadEnd

func (c loadEnds) Len() int           { return len(c) }
func (c loadEnds) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c loadEnds) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *loadEnds) Push(x any)        { *c = append(*c, x.(loadEnd)) }
func (c *loadEnds) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// loadRun plays a load on a pool in virtual time.
type loadRun struct {
	load    overload
	pool    *pool.Pool
	rng     []*rand.Rand // Of each kind, so that the load is the same under each policy.
	now     time.Time
	next    []time.Time // Next arrival of each kind.
	running loadEnds
	waiting map[pool.Ticket]*loadRequest
	results []kindResult
	retries int
}

func playLoad(l overload, policy admission.Policy, seed uint64) *loadRun {
	set := pool.Settings{ScoreThreshold: 11, Retry: pool.RetryLimits{Ratio: 0.2, MinRetries: 60, Window: 10 * time.Second}, Admission: policy}
	s := &loadRun{
		load: l, pool: pool.New(start, "s", set), now: start,
		waiting: make(map[pool.Ticket]*loadRequest), results: make([]kindResult, len(l.kinds)),
	}
	var members []pool.Member
	for i := range l.servers {
		n := site.ServerName(fmt.Sprintf("s-%d", i))
		members = append(members, pool.Member{Server: site.Server{Name: n, Address: string(n), Slots: l.slots}})
	}
	s.pool.Configure(start, set, members)
	for i := range l.kinds {
		s.next = append(s.next, start)
		s.rng = append(s.rng, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	for ; s.now.Before(start.Add(l.length)); s.now = s.now.Add(time.Millisecond) {
		s.step(true)
	}
	for ; len(s.running) > 0 || len(s.waiting) > 0; s.now = s.now.Add(time.Millisecond) {
		s.step(false)
	}
	for i := range s.results {
		if k := &s.results[i]; k.refused > 0 {
			k.refusedWait /= time.Duration(k.refused)
		}
	}
	return s
}

func (s *loadRun) step(arrivals bool) {
	for len(s.running) > 0 && !s.running[0].at.After(s.now) {
		s.finish(heap.Pop(&s.running).(loadEnd))
	}
	for i := range s.next {
		for arrivals && !s.next[i].After(s.now) {
			s.arrive(i)
			s.next[i] = s.next[i].Add(time.Duration(s.rng[i].ExpFloat64() / s.load.kinds[i].rate(s.now.Sub(start)) * float64(time.Second)))
		}
	}
	if s.now.Sub(start)%(50*time.Millisecond) == 0 {
		s.pool.Tick(s.now)
	}
	s.dispatch()
}

func (s *loadRun) arrive(i int) {
	k := s.load.kinds[i]
	s.results[i].asked++
	r := &loadRequest{kind: i, arrived: s.now, request: pool.Request{
		Account: k.account, Class: k.class, Rule: k.rule, Priority: k.priority, Jitter: s.rng[i].Float64(), MaxAttempts: 3,
		Deadline: s.now.Add(k.deadline), Target: s.now.Add(k.target),
	}}
	r.took = k.work/2 + exponential(s.rng[i], k.work/2)
	for a := range r.refuse {
		r.refuse[a] = s.rng[i].Float64()
	}
	s.dispatch()
	s.decide(r, s.pool.Admit(s.now, r.request))
}

func (s *loadRun) dispatch() {
	for _, d := range s.pool.DispatchQueue(s.now) {
		r := s.waiting[d.Ticket]
		delete(s.waiting, d.Ticket)
		s.decide(r, d.Decision)
	}
}

func (s *loadRun) decide(r *loadRequest, d pool.Decision) {
	switch d := d.(type) {
	case pool.Granted:
		s.send(r, d)
	case pool.Waiting:
		s.waiting[d.Ticket] = r
	case pool.Refused:
		s.results[r.kind].refused++
		k := &s.results[r.kind]
		k.refusedWait += s.now.Sub(r.arrived)
		k.longestRefusal = max(k.longestRefusal, s.now.Sub(r.arrived))
	}
}

// send runs an attempt. A server that refuses does so at once.
func (s *loadRun) send(r *loadRequest, g pool.Granted) {
	if r.request.Attempts > 0 {
		s.retries++
	}
	if s.load.refuse != nil && r.refuse[r.request.Attempts] < s.load.refuse(s.now.Sub(start)) {
		heap.Push(&s.running, loadEnd{s.now.Add(2 * time.Millisecond), g, r, pool.Declined{Reason: pool.Shed}})
		return
	}
	heap.Push(&s.running, loadEnd{s.now.Add(r.took), g, r, pool.Served{Rule: r.request.Rule, Took: r.took}})
}

func (s *loadRun) finish(e loadEnd) {
	s.pool.Release(s.now, e.grant, e.report)
	k, r := &s.results[e.request.kind], e.request
	if _, declined := e.report.(pool.Declined); declined {
		r.request.Attempts++
		r.request.AlreadyCounted = true
		r.request.Exclude = append(r.request.Exclude, e.grant.Server.Name)
		s.dispatch()
		s.decide(r, s.pool.Admit(s.now, r.request))
		return
	}
	switch {
	case s.now.After(r.request.Deadline): // The caller has gone.
	case s.now.After(r.request.Target):
		k.late++
	default:
		k.onTime++
	}
}

// playBoth plays a load under both policies and logs the results of each kind.
func playBoth(t *testing.T, l overload, seed uint64) (byPriority, byCost *loadRun) {
	t.Helper()
	byPriority, byCost = playLoad(l, admission.ByPriority, seed), playLoad(l, admission.CostAware, seed)
	for i, k := range l.kinds {
		t.Logf("seed %d %-12s %-6s p%d  %-9s %v", seed, k.rule, k.account, k.priority, admission.ByPriority, byPriority.results[i])
		t.Logf("seed %d %-12s %-6s p%d  %-9s %v", seed, k.rule, k.account, k.priority, admission.CostAware, byCost.results[i])
	}
	t.Logf("seed %d worth %.0f and %.0f; retries %d and %d", seed, byPriority.worth(), byCost.worth(), byPriority.retries, byCost.retries)
	return byPriority, byCost
}

// worth returns the worth of all responses to their callers.
func (s *loadRun) worth() float64 {
	sum := 0.0
	for i, k := range s.results {
		w := 1.0
		if s.load.kinds[i].class == site.AtMostOnce {
			w = 2
		}
		sum += w * (float64(k.onTime) + 0.35*float64(k.late))
	}
	return sum
}

const loadSeeds = 2

// assertUrgentServedAtLeast checks that no kind is served less than a less urgent one by
// more than 5 in 100.
func (s *loadRun) assertUrgentServedAtLeast(t *testing.T) {
	t.Helper()
	for i, a := range s.load.kinds {
		for j, b := range s.load.kinds {
			if a.priority < b.priority {
				assert.Check(t, s.results[i].served() >= s.results[j].served()-0.05, "%s is served %.3f, the less urgent %s %.3f",
					a.rule, s.results[i].served(), b.rule, s.results[j].served())
			}
		}
	}
}

// Kinds of courier dispatch.
func lookups(rate func(time.Duration) float64) requestKind {
	return requestKind{"lookups", "", site.Repeatable, 1, rate, 150 * time.Millisecond, time.Second, 3 * time.Second}
}

func settlements(rate func(time.Duration) float64) requestKind {
	return requestKind{"settlements", "", site.AtMostOnce, 1, rate, 240 * time.Millisecond, time.Second, 4 * time.Second}
}

func photos(rate func(time.Duration) float64) requestKind {
	return requestKind{"photos", "", site.AtMostOnce, 2, rate, 320 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second}
}

func assignments(rate func(time.Duration) float64) requestKind {
	return requestKind{"assignments", "", site.AtMostOnce, 0, rate, 200 * time.Millisecond, 500 * time.Millisecond, 2500 * time.Millisecond}
}

// assertRefusedSooner checks that a kind's refused requests wait at most half as long as
// under another policy.
func (s *loadRun) assertRefusedSooner(t *testing.T, kind int, other *loadRun) {
	t.Helper()
	got, before := s.results[kind].refusedWait, other.results[kind].refusedWait
	assert.Check(t, got <= before/2, "%s are refused after %v, under the other policy after %v", s.load.kinds[kind].rule, got, before)
}

// TestBurstOfLargeUploadsAlongsideUrgentAssignments guards against photos, which take
// long and may wait long, that crowd out assignments, and against photos that wait for
// seconds before they are refused.
func TestBurstOfLargeUploadsAlongsideUrgentAssignments(t *testing.T) {
	for seed := range uint64(loadSeeds) {
		byPriority, byCost := playBoth(t, overload{
			kinds:   []requestKind{assignments(steady(38)), photos(burst(53, 2.5, 6*time.Second))},
			servers: 15, slots: 2, length: 12 * time.Second,
		}, seed)
		byCost.assertUrgentServedAtLeast(t)
		byCost.assertRefusedSooner(t, 1, byPriority)
		assert.Check(t, byCost.results[0].served() > 0.99)
		assert.Check(t, byCost.worth() > byPriority.worth())
	}
}

// refuse55 returns the share of attempts that servers refuse: 0.55 for 8.5 s.
func refuse55(at time.Duration) float64 {
	if at >= 2*time.Second && at < 10500*time.Millisecond {
		return 0.55
	}
	return 0
}

// TestAllServersRefuse55Of100 guards against a retry budget that is spent on retries
// worth little, and against one that stays unused.
func TestAllServersRefuse55Of100(t *testing.T) {
	for seed := range uint64(loadSeeds) {
		byPriority, byCost := playBoth(t, overload{
			kinds:   []requestKind{assignments(steady(40)), settlements(steady(60)), photos(steady(60))},
			servers: 42, slots: 2, refuse: refuse55, length: 12 * time.Second,
		}, seed)
		byCost.assertUrgentServedAtLeast(t)
		assert.Check(t, byCost.results[0].served() > byPriority.results[0].served()+0.05)
		assert.Check(t, byCost.retries <= byPriority.retries && float64(byCost.retries) >= 0.9*float64(byPriority.retries))
	}
}

// TestOneAccountBeyondItsShare guards against an account whose burst delays the requests
// of others.
func TestOneAccountBeyondItsShare(t *testing.T) {
	of := func(a site.AccountName, k requestKind) requestKind {
		k.account = a
		return k
	}
	for seed := range uint64(loadSeeds) {
		byPriority, byCost := playBoth(t, overload{
			kinds: []requestKind{
				of("large", settlements(burst(30, 7.5, 6*time.Second))), of("small", settlements(steady(5))),
				of("medium", settlements(steady(20))), of("cheap", lookups(steady(30))),
			},
			servers: 15, slots: 2, length: 12 * time.Second,
		}, seed)
		byCost.assertRefusedSooner(t, 0, byPriority)
		for i, k := range byCost.results[1:] {
			assert.Check(t, k.onTime >= k.asked*99/100, "%s of %s: %v", byCost.load.kinds[i+1].rule, byCost.load.kinds[i+1].account, k)
		}
		assert.Check(t, byCost.worth() > byPriority.worth())
	}
}

// TestAccountsGetEqualServerTime guards against an account that gets more of the servers
// than another by sending more expensive requests.
func TestAccountsGetEqualServerTime(t *testing.T) {
	t.Parallel()
	expensive, cheap := settlements(steady(60)), settlements(steady(240))
	expensive.account, expensive.rule, expensive.work = "expensive", "expensive", 320*time.Millisecond
	cheap.account, cheap.rule, cheap.work = "cheap", "cheap", 80*time.Millisecond
	for seed := range uint64(loadSeeds) {
		byPriority, byCost := playBoth(t, overload{kinds: []requestKind{expensive, cheap}, servers: 6, slots: 2, length: 6 * time.Second}, seed)
		ratio := func(s *loadRun) float64 {
			return s.results[0].served() * 60 * 320 / (s.results[1].served() * 240 * 80)
		}
		t.Logf("seed %d: server time of the expensive requests is %.2f and %.2f times that of the cheap ones", seed, ratio(byPriority), ratio(byCost))
		assert.Check(t, ratio(byCost) > 0.8 && ratio(byCost) < 1.25)
	}
}

// TestLessUrgentAreServedWhileUrgentFillThePool guards against a priority of which nothing
// is served as long as more urgent requests alone exceed the capacity.
func TestLessUrgentAreServedWhileUrgentFillThePool(t *testing.T) {
	urgent := assignments(steady(90))
	s := playLoad(overload{kinds: []requestKind{urgent, photos(steady(15))}, servers: 6, slots: 2, length: 20 * time.Second}, admission.CostAware, 1)
	t.Logf("urgent: %v; photos: %v", s.results[0], s.results[1])
	s.assertUrgentServedAtLeast(t)
	served := s.results[1].onTime + s.results[1].late
	assert.Check(t, served >= 5 && served < 40, "%d photos are served", served)
}

// TestQueueFullOfRequestsThatWillMissTheirTarget guards against requests on time that
// wait behind late ones, and against late ones that wait for long in vain.
func TestQueueFullOfRequestsThatWillMissTheirTarget(t *testing.T) {
	before, after := 0.0, 0.0
	for seed := range uint64(loadSeeds) {
		byPriority, byCost := playBoth(t, overload{
			kinds:   []requestKind{settlements(burst(75, 4, 2*time.Second)), lookups(steady(20))},
			servers: 15, slots: 2, length: 12 * time.Second,
		}, seed)
		byCost.assertRefusedSooner(t, 0, byPriority)
		before, after = before+byPriority.worth(), after+byCost.worth()
	}
	assert.Check(t, after > before, "the responses are worth %.0f, under the other policy %.0f", after, before)
}

// TestLateRequestsAreServedWhileCapacityIsLeft guards against requests that are dropped
// because they miss their target, though they could complete by their deadline.
func TestLateRequestsAreServedWhileCapacityIsLeft(t *testing.T) {
	k := settlements(steady(40))
	k.target, k.work = 10*time.Millisecond, 100*time.Millisecond
	s := playLoad(overload{kinds: []requestKind{k}, servers: 3, slots: 2, length: 5 * time.Second}, admission.CostAware, 1)
	assert.Equal(t, s.results[0].late, s.results[0].asked)
}

// TestOverloadIsRefusedOnArrival guards against requests that are queued to the limit of
// what the estimated wait allows, and refused after seconds because it varies.
func TestOverloadIsRefusedOnArrival(t *testing.T) {
	t.Parallel()
	k := lookups(steady(600))
	k.work, k.target, k.deadline = 40*time.Millisecond, 3*time.Second, 3*time.Second
	s := playLoad(overload{kinds: []requestKind{k}, servers: 4, slots: 2, length: 6 * time.Second}, admission.CostAware, 1)
	t.Logf("%v, at most %v", s.results[0], s.results[0].longestRefusal)
	assert.Check(t, s.results[0].served() > 0.3)
	assert.Check(t, s.results[0].longestRefusal < 300*time.Millisecond)
}

// randomLoad draws a load of three priorities that needs between 0.8 and 2.5 times the
// slots, sometimes with a burst, or with servers that refuse requests.
func randomLoad(seed uint64) overload {
	rng := rand.New(rand.NewPCG(seed, 29))
	between := func(a, b float64) float64 { return a + (b-a)*rng.Float64() }
	l := overload{servers: 4 + rng.IntN(12), slots: 1 + rng.IntN(3), length: 10 * time.Second}
	need, shares := between(0.8, 2.5)*float64(l.servers*l.slots), [3]float64{between(0.2, 1), between(0.2, 1), between(0.2, 1)}
	for i, share := range shares {
		work, deadline := between(0.1, 0.4), between(0.8, 5)
		rate := need * share / (shares[0] + shares[1] + shares[2]) / work
		k := requestKind{
			site.RuleName(fmt.Sprint("rule-", i)), "", site.AtMostOnce, i, steady(rate), time.Duration(work * float64(time.Second)),
			time.Duration(deadline * between(0.2, 0.6) * float64(time.Second)), time.Duration(deadline * float64(time.Second)),
		}
		if rng.IntN(3) == 0 {
			k.rate = burst(rate, between(1.5, 2.5), 4*time.Second)
		}
		l.kinds = append(l.kinds, k)
	}
	if rng.IntN(3) == 0 {
		l.refuse = refuse55
	}
	return l
}

// TestNoKindIsServedLessThanALessUrgentOne guards against urgent requests that are
// refused, because they cannot wait for long, while less urgent ones wait and are served.
func TestNoKindIsServedLessThanALessUrgentOne(t *testing.T) {
	t.Parallel()
	for seed := range uint64(randomLoads) {
		l := randomLoad(seed)
		s := playLoad(l, admission.CostAware, seed)
		for i, k := range l.kinds {
			t.Logf("seed %d: work %v, target %v, deadline %v: %v", seed, k.work, k.target, k.deadline, s.results[i])
		}
		s.assertUrgentServedAtLeast(t)
	}
}

// randomLoads is the number of loads that are drawn.
const randomLoads = 20

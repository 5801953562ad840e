package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

const reads = site.RuleName("reads")

func newPool(servers, slots int) *pool.Pool {
	return newPoolWithFloor(servers, slots, nil)
}

func newPoolWithFloor(servers, slots int, floor func(int) int) *pool.Pool {
	return newPoolWith(servers, slots, pool.Settings{ScoreThreshold: 10, Retry: pool.DefaultRetryLimits, Floor: floor})
}

func newPoolWith(servers, slots int, set pool.Settings) *pool.Pool {
	p := pool.New(start, "s", set)
	var members []pool.Member
	for i := range servers {
		n := site.ServerName(fmt.Sprintf("s-%d", i))
		members = append(members, pool.Member{Server: site.Server{Name: n, Address: string(n) + ":80", Slots: slots}})
	}
	p.Configure(start, set, members)
	return p
}

func aRequest(account string) pool.Request {
	return pool.Request{
		Account: site.AccountName(account), Class: site.Repeatable, Rule: reads,
		Deadline: start.Add(time.Hour),
	}
}

func admit(t *testing.T, p *pool.Pool, now time.Time, r pool.Request) pool.Granted {
	t.Helper()
	g, ok := p.Admit(now, r).(pool.Granted)
	assert.Assert(t, ok)
	return g
}

// serve runs n requests one after the other. took returns how long a server takes for
// a response, and false if the request fails.
func serve(t *testing.T, p *pool.Pool, now time.Time, n int, took func(site.ServerName) (time.Duration, bool)) time.Time {
	t.Helper()
	for range n {
		now = now.Add(10 * time.Millisecond)
		g, ok := p.Admit(now, aRequest("a")).(pool.Granted)
		assert.Assert(t, ok)
		d, good := took(g.Server.Name)
		if good {
			p.Release(now, g, pool.Served{Rule: reads, Took: d})
		} else {
			p.Release(now, g, pool.Failed{Rule: reads, Took: d, Detail: "status 500"})
		}
	}
	return now
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(rt, "slots")
		p := newPool(rapid.IntRange(1, 4).Draw(rt, "servers"), slots)
		inUse := map[site.ServerName]int{}
		var running []pool.Granted
		got := func(g pool.Granted) {
			running = append(running, g)
			inUse[g.Server.Name]++
			if inUse[g.Server.Name] > slots {
				rt.Fatalf("server %s runs %d requests", g.Server.Name, inUse[g.Server.Name])
			}
		}
		waiting := map[pool.Ticket]bool{}
		now := start
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Millisecond)
			if rapid.Bool().Draw(rt, "arrives") || len(running) == 0 {
				switch d := p.Admit(now, aRequest(fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "account")))).(type) {
				case pool.Granted:
					got(d)
				case pool.Waiting:
					waiting[d.Ticket] = true
				}
			} else {
				i := rapid.IntRange(0, len(running)-1).Draw(rt, "ends")
				g := running[i]
				running = append(running[:i], running[i+1:]...)
				inUse[g.Server.Name]--
				p.Release(now, g, pool.Served{Rule: reads, Took: time.Millisecond})
			}
			for _, w := range p.DispatchQueue(now) {
				if !waiting[w.Ticket] {
					rt.Fatalf("ticket %d got a decision but does not wait", w.Ticket)
				}
				delete(waiting, w.Ticket)
				if g, ok := w.Decision.(pool.Granted); ok {
					got(g)
				}
			}
		}
	})
}

func TestQueueTakesAccountsInTurn(t *testing.T) {
	p := newPool(1, 1)
	g := admit(t, p, start, aRequest("greedy"))
	tickets := map[pool.Ticket]string{}
	for range 3 {
		tickets[p.Admit(start, aRequest("greedy")).(pool.Waiting).Ticket] = "greedy"
	}
	tickets[p.Admit(start, aRequest("modest")).(pool.Waiting).Ticket] = "modest"
	var order []string
	for range 4 {
		p.Release(start, g, pool.Dropped{})
		w := p.DispatchQueue(start)
		assert.Equal(t, len(w), 1)
		order = append(order, tickets[w[0].Ticket])
		g = w[0].Decision.(pool.Granted)
	}
	assert.DeepEqual(t, order, []string{"greedy", "modest", "greedy", "greedy"})
}

// TestFullQueueEvictsLargestAccount queues as many requests of one account as can be
// served in time. A request of another account must still be queued, and the last
// one of the first account is evicted for it.
func TestFullQueueEvictsLargestAccount(t *testing.T) {
	p := newPool(1, 1)
	admit(t, p, start, aRequest("greedy"))
	soon := func(account string) pool.Request {
		r := aRequest(account)
		r.Deadline = start.Add(400 * time.Millisecond)
		return r
	}
	var last pool.Ticket
	for range 4 {
		last = p.Admit(start, soon("greedy")).(pool.Waiting).Ticket
	}
	r := p.Admit(start, soon("greedy")).(pool.Refused)
	assert.Equal(t, r.Kind, outcome.Overload)
	assert.Assert(t, r.RetryAfter > 0)
	_, ok := p.Admit(start, soon("modest")).(pool.Waiting)
	assert.Assert(t, ok)
	w := p.DispatchQueue(start.Add(10 * time.Millisecond))
	assert.Equal(t, len(w), 1)
	assert.Equal(t, w[0].Ticket, last)
}

// TestBurstThatFitsIsNotRefused offers ten times as many requests as there are
// slots. All of them would finish long before their deadlines.
func TestBurstThatFitsIsNotRefused(t *testing.T) {
	p := newPool(2, 3)
	for range 60 {
		r := aRequest("a")
		r.Deadline = start.Add(5 * time.Second)
		_, refused := p.Admit(start, r).(pool.Refused)
		assert.Assert(t, !refused)
	}
}

// TestHopelessWaiterIsRefusedBeforeItsDeadline keeps the only slot busy. A queued
// request must be refused after half of the time to its deadline, not at the end of
// it.
func TestHopelessWaiterIsRefusedBeforeItsDeadline(t *testing.T) {
	p := newPool(1, 1)
	admit(t, p, start, aRequest("a"))
	r := aRequest("a")
	r.Deadline = start.Add(time.Second)
	p.Admit(start, r)
	assert.Equal(t, len(p.DispatchQueue(start.Add(475*time.Millisecond))), 0)
	w := p.DispatchQueue(start.Add(525 * time.Millisecond))
	assert.Equal(t, len(w), 1)
	_, refused := w[0].Decision.(pool.Refused)
	assert.Assert(t, refused)
}

// TestUrgentAndInTimeGoFirst queues requests of two priorities, one of which would
// miss its target. In a burst, the order in which requests are served decides how
// many are served in time.
func TestUrgentAndInTimeGoFirst(t *testing.T) {
	p := newPool(1, 1)
	g := admit(t, p, start, aRequest("a"))
	names := map[pool.Ticket]string{}
	push := func(name string, priority int, target time.Duration) {
		r := aRequest("a")
		r.Priority, r.Target = priority, start.Add(target)
		names[p.Admit(start, r).(pool.Waiting).Ticket] = name
	}
	push("late", 1, time.Millisecond)
	push("less urgent", 2, time.Hour)
	push("in time", 1, time.Hour)
	var order []string
	for range 3 {
		p.Release(start, g, pool.Dropped{})
		w := p.DispatchQueue(start)
		assert.Equal(t, len(w), 1)
		order = append(order, names[w[0].Ticket])
		g = w[0].Decision.(pool.Granted)
	}
	assert.DeepEqual(t, order, []string{"in time", "late", "less urgent"})
}

func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	p := newPool(1, 1)
	g := admit(t, p, start, aRequest("a"))
	for range 30 {
		p.Release(start, g, pool.Served{Rule: reads, Took: 2 * time.Second})
		g = admit(t, p, start, aRequest("a"))
	}
	r := aRequest("a")
	r.Deadline = start.Add(100 * time.Millisecond)
	d, ok := p.Admit(start, r).(pool.Refused)
	assert.Assert(t, ok)
	assert.Equal(t, d.Kind, outcome.Overload)
}

func TestUnhealthyServerIsSuspected(t *testing.T) {
	usual := 30 * time.Millisecond
	cases := []struct {
		name string
		took func(rng *rand.Rand, unhealthy bool) (time.Duration, bool)
		most int // Limit of the requests that reach the unhealthy server before it is suspected.
	}{
		{"ten times slower", func(rng *rand.Rand, unhealthy bool) (time.Duration, bool) {
			d := exponential(rng, usual)
			if unhealthy {
				d *= 10
			}
			return d, true
		}, 60},
		{"half of the requests fail", func(rng *rand.Rand, unhealthy bool) (time.Duration, bool) {
			return exponential(rng, usual), !unhealthy || rng.Float64() > 0.5
		}, 30},
		{"all requests fail", func(rng *rand.Rand, unhealthy bool) (time.Duration, bool) {
			return exponential(rng, usual), !unhealthy
		}, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			p := newPool(4, 3)
			now := serve(t, p, start, 200, func(site.ServerName) (time.Duration, bool) { return c.took(rng, false) })
			reached := 0
			serve(t, p, now, 1500, func(n site.ServerName) (time.Duration, bool) {
				if n == "s-1" && p.State(n) == pool.Healthy {
					reached++
				}
				return c.took(rng, n == "s-1")
			})
			assert.Equal(t, p.State("s-1"), pool.Suspected)
			assert.Equal(t, p.State("s-0"), pool.Healthy)
			assert.Assert(t, reached <= c.most, "%d requests reached the unhealthy server", reached)
		})
	}
}

func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return 10*time.Millisecond + time.Duration(rng.ExpFloat64()*float64(mean))
}

// TestHealthyServersAreLeftAlone checks that healthy servers stay in use under
// noise, while the service as a whole gets slower or fails, and when servers shed
// requests or start cold.
func TestHealthyServersAreLeftAlone(t *testing.T) {
	states := func(p *pool.Pool) map[pool.State]int {
		m := map[pool.State]int{}
		for _, s := range p.View().Servers {
			m[s.State]++
		}
		return m
	}
	t.Run("noise", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(3, 4))
		p := newPool(4, 3)
		serve(t, p, start, 20_000, func(site.ServerName) (time.Duration, bool) {
			return exponential(rng, 30*time.Millisecond), rng.Float64() > 0.002
		})
		assert.Equal(t, states(p)[pool.Healthy], 4)
	})
	t.Run("all get slower", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(5, 6))
		p := newPool(4, 3)
		now := start
		for factor := time.Duration(1); factor < 40; factor *= 3 {
			now = serve(t, p, now, 500, func(site.ServerName) (time.Duration, bool) {
				return factor * exponential(rng, 30*time.Millisecond), true
			})
			assert.Equal(t, states(p)[pool.Healthy], 4, "factor %d", factor)
		}
	})
	t.Run("all fail", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(7, 8))
		p := newPool(4, 3)
		now := serve(t, p, start, 500, func(site.ServerName) (time.Duration, bool) { return exponential(rng, 30*time.Millisecond), true })
		serve(t, p, now, 500, func(site.ServerName) (time.Duration, bool) { return time.Millisecond, rng.Float64() > 0.7 })
		assert.Equal(t, states(p)[pool.Healthy], 4)
	})
	for _, why := range []pool.DeclineReason{pool.Shed, pool.Cold} {
		t.Run(string(why), func(t *testing.T) {
			p := newPool(4, 3)
			now := start
			for range 100 {
				now = now.Add(time.Second)
				p.Release(now, admit(t, p, now, aRequest("a")), pool.Declined{Reason: why})
			}
			assert.Equal(t, states(p)[pool.Healthy], 4)
		})
	}
}

func TestEjectedServerRecovers(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 10))
	well := func(site.ServerName) (time.Duration, bool) { return exponential(rng, 30*time.Millisecond), true }
	p := newPool(4, 3)
	now := serve(t, p, start, 200, well)
	now = serve(t, p, now, 1500, func(n site.ServerName) (time.Duration, bool) { return 30 * time.Millisecond, n != "s-1" })
	assert.Equal(t, p.State("s-1"), pool.Suspected)
	p.EjectionRecorded(now, "s-1")
	assert.Equal(t, p.State("s-1"), pool.Ejected)

	once := aRequest("a")
	once.Class = site.AtMostOnce
	late := now.Add(10 * time.Second)
	once.Deadline = late.Add(time.Hour)
	for range 12 {
		g, ok := p.Admit(late, once).(pool.Granted)
		if ok {
			assert.Assert(t, g.Server.Name != "s-1", "an at-most-once request was sent to an ejected server")
			p.Release(late, g, pool.Dropped{})
		}
	}
	late = serve(t, p, late, 400, well)
	assert.Equal(t, p.State("s-1"), pool.Healthy)
	assert.Assert(t, late.After(now))
}

func TestFlappingServerWaitsLongerEachTime(t *testing.T) {
	p := newPool(4, 1)
	now := serve(t, p, start, 100, func(site.ServerName) (time.Duration, bool) { return 30 * time.Millisecond, true })
	var delays []time.Duration
	for range 4 {
		s1Fails := func(n site.ServerName) (time.Duration, bool) { return 30 * time.Millisecond, n != "s-1" }
		for p.State("s-1") != pool.Suspected {
			now = serve(t, p, now, 1, s1Fails)
		}
		suspectedAt := now
		for p.State("s-1") == pool.Suspected {
			now = serve(t, p, now, 1, func(site.ServerName) (time.Duration, bool) { return 30 * time.Millisecond, true })
		}
		delays = append(delays, now.Sub(suspectedAt).Round(time.Second))
	}
	for i := 1; i < len(delays); i++ {
		assert.Assert(t, delays[i] >= 2*delays[i-1]-time.Second, "delays before the server was used again: %v", delays)
	}
}

func TestSuspectedServerIsALastResort(t *testing.T) {
	p := newPool(1, 2)
	for range 40 {
		g := admit(t, p, start, aRequest("a"))
		p.Release(start, g, pool.Failed{Rule: reads, Detail: "x"})
	}
	assert.Equal(t, p.State("s-0"), pool.Suspected)
	once := aRequest("a")
	once.Class = site.AtMostOnce
	admit(t, p, start, once)
}

func TestLeavingServerGetsNoRequests(t *testing.T) {
	p := newPool(2, 1)
	g := admit(t, p, start, aRequest("a"))
	p.Release(start, g, pool.Declined{Reason: pool.Drain})
	for range 20 {
		h := admit(t, p, start.Add(time.Second), aRequest("a"))
		assert.Assert(t, h.Server.Name != g.Server.Name)
		p.Release(start.Add(time.Second), h, pool.Dropped{})
	}
}

func TestSuspectRequestsRunApart(t *testing.T) {
	p := newPool(2, 3)
	s := aRequest("a")
	s.Suspect = true
	first, second := admit(t, p, start, s), admit(t, p, start, s)
	assert.Assert(t, first.Server.Name != second.Server.Name)
	_, waits := p.Admit(start, s).(pool.Waiting)
	assert.Assert(t, waits)
	p.Release(start, first, pool.Dropped{})
	w := p.DispatchQueue(start)
	assert.Equal(t, len(w), 1)
	assert.Equal(t, w[0].Decision.(pool.Granted).Server.Name, first.Server.Name)
}

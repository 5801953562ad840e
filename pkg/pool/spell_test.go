package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// TestSpellOfFailuresIsSeenAtItsFirst has a third of the servers reset most
// requests, as backend servers do in spells of some seconds. The failures of
// the others tell nothing against them, so that comparison alone finds a spell
// too late.
func TestSpellOfFailuresIsSeenAtItsFirst(t *testing.T) {
	rng := rand.New(rand.NewPCG(15, 16))
	p := withFloor(12, 3, func(n int) int { return (7*n + 9) / 10 })
	once := aRequest("a")
	once.Class = site.AtMostOnce
	failed, sent := 0, 0
	for ms := 0; ms < 9000; ms += 20 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		g, ok := p.Admit(now, once).(pool.Granted)
		assert.Assert(t, ok)
		sent++
		if spell(g.Server.Name) && rng.Float64() < 0.85 {
			failed++
			p.Release(now, g, pool.Failed{Rule: reads, Detail: "reset"})
			continue
		}
		p.Release(now, g, pool.Served{Rule: reads, Took: 5 * time.Millisecond})
	}
	assert.Assert(t, failed <= sent/25, "%d of %d failed", failed, sent)
}

// TestAnswerFromBeforeTheFailureEndsNoRest lets a server that runs three requests
// break the last one's connection at once, as in the first moment of a spell. The
// first two, which came before, are answered later.
func TestAnswerFromBeforeTheFailureEndsNoRest(t *testing.T) {
	p := withPool(2, 3)
	once := aRequest("a")
	once.Class = site.AtMostOnce
	var early []pool.Granted
	for range 4 {
		early = append(early, admit(t, p, start, once))
	}
	now := start.Add(100 * time.Millisecond)
	broken := admit(t, p, now, once)
	p.Release(now, broken, pool.Failed{Rule: reads, Detail: "reset"})
	for _, g := range early {
		p.Release(now.Add(100*time.Millisecond), g, pool.Served{Rule: reads, Took: 200 * time.Millisecond})
	}
	for ms := 200; ms < 2000; ms += 100 {
		at := start.Add(time.Duration(ms) * time.Millisecond)
		g := admit(t, p, at, once)
		assert.Assert(t, g.Server.Name != broken.Server.Name, "used again after %d ms", ms)
		p.Release(at, g, pool.Served{Rule: reads, Took: 200 * time.Millisecond})
	}
}

// TestOnceOnlyWaitsForAProvenServer is a calm day with once-only requests: all
// slots of the servers that are not in a spell are in use for a moment. The next
// request waits for one of them; it is not used to try a server that has just
// broken a connection. Where many wait, one is.
func TestOnceOnlyWaitsForAProvenServer(t *testing.T) {
	p := withPool(4, 3)
	once := aRequest("a")
	once.Class = site.AtMostOnce
	broken := admit(t, p, start, once)
	p.Release(start, broken, pool.Failed{Rule: reads, Detail: "reset"})
	now := start.Add(2100 * time.Millisecond) // The rest is over.
	var busy []pool.Granted
	for range 9 {
		busy = append(busy, admit(t, p, now, once))
	}
	_, waits := p.Admit(now, once).(pool.Waiting)
	assert.Assert(t, waits, "sent to a server in a spell")
	p.Release(now, busy[0], pool.Served{Rule: reads, Took: 5 * time.Millisecond})
	woken := p.DispatchQueue(now)
	assert.Equal(t, len(woken), 1)
	assert.Assert(t, woken[0].Decision.(pool.Granted).Server.Name != broken.Server.Name)
	tried := false
	for range 6 {
		d, granted := p.Admit(now, once).(pool.Granted)
		tried = tried || (granted && d.Server.Name == broken.Server.Name)
	}
	assert.Assert(t, tried, "nobody tries the server although many wait")
}

// TestOneGoodAnswerProvesNothing lets a server of a spell answer one request well.
// It goes on getting one request at a time, of those that may be repeated, until a
// second one is answered.
func TestOneGoodAnswerProvesNothing(t *testing.T) {
	p := withPool(2, 3)
	once := aRequest("a")
	once.Class = site.AtMostOnce
	broken := admit(t, p, start, once)
	p.Release(start, broken, pool.Failed{Rule: reads, Detail: "reset"})
	now := start.Add(2100 * time.Millisecond)
	good := pool.Served{Rule: reads, Took: 5 * time.Millisecond}
	for range 2 {
		g := admit(t, p, now, aRequest("a"))
		assert.Equal(t, g.Server.Name, broken.Server.Name)
		var others []pool.Granted
		for range 3 {
			others = append(others, admit(t, p, now, once))
		}
		for _, o := range others {
			assert.Assert(t, o.Server.Name != broken.Server.Name)
			p.Release(now, o, good)
		}
		p.Release(now, g, good)
	}
	again := 0
	for range 4 {
		if admit(t, p, now, once).Server.Name == broken.Server.Name {
			again++
		}
	}
	assert.Equal(t, again, 2)
}

// spell reports whether a server of the test is in a spell of failures.
func spell(n site.ServerName) bool { return n == "s-1" || n == "s-10" || n == "s-11" || n == "s-3" }

// TestSpellsLeaveTheFloor lets servers fail that a service needs for its floor.
// They are used again as soon as their rest is over.
func TestSpellsLeaveTheFloor(t *testing.T) {
	p := withFloor(4, 1, func(n int) int { return (7*n + 9) / 10 })
	once := aRequest("a")
	once.Class = site.AtMostOnce
	for range 3 {
		p.Release(start, admit(t, p, start, once), pool.Failed{Rule: reads, Detail: "reset"})
	}
	used := map[site.ServerName]bool{}
	now := start.Add(3 * time.Second)
	for range 4 {
		used[admit(t, p, now, once).Server.Name] = true
	}
	assert.Equal(t, len(used), 4)
}

// TestFloorBoundsDoubts makes all servers but one fail in turn. Doubts must
// leave as many in use as the floor says.
func TestFloorBoundsDoubts(t *testing.T) {
	p := withFloor(10, 1, func(n int) int { return (7*n + 9) / 10 })
	now := serve(t, p, start, 200, func(site.ServerName) (time.Duration, bool) { return 5 * time.Millisecond, true })
	for _, sick := range []site.ServerName{"s-0", "s-1", "s-2", "s-3", "s-4"} {
		now = serve(t, p, now, 3000, func(n site.ServerName) (time.Duration, bool) { return 5 * time.Millisecond, n > sick || n == "s-9" })
		doubted := 0
		for _, v := range p.View().Servers {
			if v.State == pool.Suspected {
				doubted++
			}
		}
		assert.Assert(t, doubted <= 3, "%d of 10 servers are doubted", doubted)
	}
}

// TestServerThatStartedAnewHasNoPast replaces a doubted server under its name.
func TestServerThatStartedAnewHasNoPast(t *testing.T) {
	p := withPool(2, 1)
	now := serve(t, p, start, 100, func(site.ServerName) (time.Duration, bool) { return 5 * time.Millisecond, true })
	now = serve(t, p, now, 2000, func(n site.ServerName) (time.Duration, bool) { return 5 * time.Millisecond, n != "s-1" })
	assert.Equal(t, p.State("s-1"), pool.Suspected)
	old := admit(t, p, now, aRequest("a"))
	set := pool.Settings{ScoreThreshold: 10, Retry: pool.DefaultRetryLimits}
	p.Configure(now, set, []pool.Member{
		{Server: site.Server{Name: "s-0", Address: "s-0:80", Slots: 1, StartedMs: 2}},
		{Server: site.Server{Name: "s-1", Address: "s-1:80", Slots: 1, StartedMs: 2}},
	})
	assert.Equal(t, p.State("s-1"), pool.Healthy)
	admit(t, p, now, aRequest("a"))
	admit(t, p, now, aRequest("a"))
	p.Release(now, old, pool.Failed{Rule: reads})
	_, waits := p.Admit(now, aRequest("a")).(pool.Waiting)
	assert.Assert(t, waits, "a grant of the earlier start gave back a slot of the new one")
}

// TestLeavingServerIsBoundByItsRegistration marks a server as leaving. Neither
// ordinary requests nor trials may reach it, until it registers as staying.
func TestLeavingServerIsBoundByItsRegistration(t *testing.T) {
	p := withPool(2, 1)
	set := pool.Settings{ScoreThreshold: 10, Retry: pool.DefaultRetryLimits}
	members := []pool.Member{
		{Server: site.Server{Name: "s-0", Address: "s-0:80", Slots: 1}},
		{Server: site.Server{Name: "s-1", Address: "s-1:80", Slots: 1}, Leaving: true},
	}
	p.Configure(start, set, members)
	for i := range 600 {
		now := start.Add(time.Duration(i) * time.Second)
		r := aRequest("a")
		r.Deadline = now.Add(time.Hour)
		g := admit(t, p, now, r)
		assert.Equal(t, string(g.Server.Name), "s-0")
		p.Release(now, g, pool.Served{Rule: reads, Took: time.Millisecond})
	}
	members[1].Leaving = false
	p.Configure(start.Add(600*time.Second), set, members)
	assert.Assert(t, p.State("s-1") != pool.Leaving)
}

// TestLostGrantComesBack lets a VM vanish with a slot in hand.
func TestLostGrantComesBack(t *testing.T) {
	p := withPool(1, 1)
	r := aRequest("a")
	r.Deadline = start.Add(time.Second)
	admit(t, p, start, r)
	later := aRequest("a")
	_, waits := p.Admit(start, later).(pool.Waiting)
	assert.Assert(t, waits)
	p.Tick(start.Add(1400 * time.Millisecond))
	assert.Equal(t, len(p.DispatchQueue(start.Add(1400*time.Millisecond))), 0)
	p.Tick(start.Add(1600 * time.Millisecond))
	assert.Equal(t, len(p.DispatchQueue(start.Add(1600*time.Millisecond))), 1)
}

// TestAttemptsAndBudgetBoundSendings holds a route's bound on servers, and the
// service's on repeats.
func TestAttemptsAndBudgetBoundSendings(t *testing.T) {
	p := withPool(4, 8)
	again := aRequest("a")
	again.AlreadyCounted, again.Sends, again.MaxAttempts = true, 2, 2
	_, refused := p.Admit(start, again).(pool.Refused)
	assert.Assert(t, refused, "a third server on a route of two attempts")
	again.MaxAttempts = 9
	granted := 0
	for range 30 {
		if g, ok := p.Admit(start, again).(pool.Granted); ok {
			granted++
			p.Release(start, g, pool.Dropped{})
		}
	}
	// A home that has just taken over holds the slack for spent, but for two.
	assert.Equal(t, granted, 2)
}

// TestTroubleStarvesNobody gives four of twelve servers a spell of failures, then
// lets an eighth of the service's requests go unserved for another reason. The
// four are well again: each server must get a request within two seconds, or the
// fleet might leave out just the servers that are sound.
func TestTroubleStarvesNobody(t *testing.T) {
	p := withFloor(12, 3, func(n int) int { return (7*n + 9) / 10 })
	once, barred := aRequest("a"), aRequest("a")
	once.Class = site.AtMostOnce
	barred.AlreadyCounted, barred.Sends, barred.MaxAttempts = true, 1, 1
	got := map[site.ServerName]time.Time{}
	for ms := 0; ms < 30_000; ms += 20 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%160 == 0 {
			_, refused := p.Admit(now, barred).(pool.Refused)
			assert.Assert(t, refused)
		}
		g, ok := p.Admit(now, once).(pool.Granted)
		assert.Assert(t, ok)
		n := g.Server.Name
		got[n] = now
		if spell(n) && ms < 3000 {
			p.Release(now, g, pool.Failed{Rule: reads, Detail: "reset"})
		} else {
			p.Release(now, g, pool.Served{Rule: reads, Took: 5 * time.Millisecond})
		}
		for i := range 12 {
			n := site.ServerName(fmt.Sprintf("s-%d", i))
			assert.Assert(t, ms < 8000 || now.Sub(got[n]) <= 2*time.Second, "%s got nothing for %v", n, now.Sub(got[n]))
		}
	}
}

// TestTroubleCountsWhatMissedItsDeadline is the same with slow servers in place of
// refusals: callers leave as their deadline passes. What nobody failed counts all the
// same, since it was not served.
func TestTroubleCountsWhatMissedItsDeadline(t *testing.T) {
	p := withFloor(12, 3, func(n int) int { return (7*n + 9) / 10 })
	once := aRequest("a")
	once.Class = site.AtMostOnce
	const timeout = 1500 * time.Millisecond
	type run struct {
		g  pool.Granted
		at time.Time
	}
	var slow []run
	got := map[site.ServerName]time.Time{}
	for ms := 0; ms < 20_000; ms += 20 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for len(slow) > 0 && now.Sub(slow[0].at) >= timeout {
			p.Release(now, slow[0].g, pool.Dropped{Rule: reads, Took: timeout})
			slow = slow[1:]
		}
		once.Deadline = now.Add(timeout)
		g, ok := p.Admit(now, once).(pool.Granted)
		assert.Assert(t, ok)
		n := g.Server.Name
		got[n] = now
		switch {
		case spell(n) && ms < 3000:
			p.Release(now, g, pool.Failed{Rule: reads, Detail: "reset"})
		case ms%160 == 0:
			slow = append(slow, run{g, now})
		default:
			p.Release(now, g, pool.Served{Rule: reads, Took: 5 * time.Millisecond})
		}
		for i := range 12 {
			n := site.ServerName(fmt.Sprintf("s-%d", i))
			assert.Assert(t, ms < 8000 || now.Sub(got[n]) <= 2*time.Second, "%s got nothing for %v", n, now.Sub(got[n]))
		}
	}
}

// TestRestingServersServeBeforeARefusal rests most servers. A repeatable request
// that would have to wait too long for the others goes to one of them. One that
// may run once is refused: its caller can come back, while nobody could tell
// whether it ran on a server that breaks most connections.
func TestRestingServersServeBeforeARefusal(t *testing.T) {
	p := withPool(4, 1)
	once := aRequest("a")
	once.Class = site.AtMostOnce
	for range 3 {
		p.Release(start, admit(t, p, start, once), pool.Failed{Rule: reads, Detail: "reset"})
	}
	admit(t, p, start, once) // The server that has not failed.
	once.Deadline = start.Add(150 * time.Millisecond)
	_, refused := p.Admit(start, once).(pool.Refused)
	assert.Assert(t, refused)
	again := aRequest("a")
	again.Deadline = once.Deadline
	for range 3 {
		admit(t, p, start, again)
	}
	_, refused = p.Admit(start, again).(pool.Refused)
	assert.Assert(t, refused)
}

// TestServerWhoseAddressIsAnothersStaysOut refuses a request as meant for
// another server. Whatever else is registered meanwhile, the server is out until
// it registers anew.
func TestServerWhoseAddressIsAnothersStaysOut(t *testing.T) {
	p := withPool(1, 1)
	set := pool.Settings{ScoreThreshold: 10, Retry: pool.DefaultRetryLimits}
	p.Release(start, admit(t, p, start, aRequest("a")), pool.Declined{Reason: pool.Moved})
	m := pool.Member{Server: site.Server{Name: "s-0", Address: "s-0:80", Slots: 1}}
	p.Configure(start, set, []pool.Member{m})
	_, granted := p.Admit(start, aRequest("a")).(pool.Granted)
	assert.Assert(t, !granted)
	m.StartedMs = 7
	p.Configure(start, set, []pool.Member{m})
	admit(t, p, start, aRequest("a"))
}

// TestDoubtsEndWithoutTrials is the burst on a board's eve while servers have
// spells of failures: requests that run once wait, repeatable ones that could try
// the doubted servers are rare, and the doubted ones would stand idle for good.
func TestDoubtsEndWithoutTrials(t *testing.T) {
	rng := rand.New(rand.NewPCG(19, 20))
	p := withFloor(12, 3, func(n int) int { return (7*n + 9) / 10 })
	type run struct {
		g    pool.Granted
		ends time.Time
	}
	var running []run
	failed, refused, served := 0, 0, 0
	begin := func(now time.Time, g pool.Granted) {
		epoch := int(now.Sub(start) / (5 * time.Second))
		bad := (len(g.Server.Name)+int(g.Server.Name[len(g.Server.Name)-1])+epoch)%3 == 0
		if bad && rng.Float64() < 0.85 {
			failed++
			p.Release(now, g, pool.Failed{Rule: reads, Detail: "reset"})
			return
		}
		running = append(running, run{g, now.Add(exponential(rng, 230*time.Millisecond))})
	}
	for ms := 0; ms < 30_000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		left := running[:0]
		for _, r := range running {
			if now.Before(r.ends) {
				left = append(left, r)
				continue
			}
			served++
			p.Release(now, r.g, pool.Served{Rule: reads, Took: 240 * time.Millisecond})
		}
		running = left
		p.Tick(now)
		for _, w := range p.DispatchQueue(now) {
			if g, ok := w.Decision.(pool.Granted); ok {
				begin(now, g)
			} else {
				refused++
			}
		}
		r := aRequest("a")
		r.Class, r.Deadline = site.AtMostOnce, now.Add(2*time.Second)
		if ms%3000 == 0 {
			r.Class = site.Repeatable // Too few to try all servers that are doubted.
		}
		switch d := p.Admit(now, r).(type) {
		case pool.Granted:
			begin(now, d)
		case pool.Refused:
			refused++
		}
	}
	// A third of 36 slots is in a spell at any time; the others serve 100 a second.
	t.Logf("%d refused, %d failed, %d served", refused, failed, served)
	assert.Assert(t, refused <= 3000/20, "%d of 3000 refused", refused)
	assert.Assert(t, failed <= 3000/10, "%d of 3000 failed", failed)
}

// TestRequestIsEarnedOnce asks again and again for a request that no server
// could be reached for. The budget must not grow by it.
func TestRequestIsEarnedOnce(t *testing.T) {
	p := withPool(2, 8)
	r := aRequest("a")
	for i := range 1000 {
		r.AlreadyCounted = i > 0
		if g, ok := p.Admit(start, r).(pool.Granted); ok {
			p.Release(start, g, pool.Unreached{Detail: "refused"})
		}
	}
	retry := aRequest("a")
	retry.AlreadyCounted, retry.Sends = true, 1
	granted := 0
	for range 100 {
		if g, ok := p.Admit(start, retry).(pool.Granted); ok {
			granted++
			p.Release(start, g, pool.Dropped{})
		}
	}
	assert.Equal(t, granted, 2)
}

// TestServerThatOneVMCannotHearIsNotDoubted loses what a server sends to one of eight
// VMs. Each of its failures rests the server, but the others are answered: the link is
// at fault. Where each VM sees it fail as often, it is doubted.
func TestServerThatOneVMCannotHearIsNotDoubted(t *testing.T) {
	for _, cut := range []bool{true, false} {
		t.Run(fmt.Sprint("cut=", cut), func(t *testing.T) {
			p := withFloor(8, 3, func(n int) int { return (3 * n) / 4 })
			now := serve(t, p, start, 400, func(site.ServerName) (time.Duration, bool) { return 5 * time.Millisecond, true })
			r := aRequest("a")
			for i := 1; i < 8; i++ {
				r.Exclude = append(r.Exclude, site.ServerName(fmt.Sprintf("s-%d", i)))
			}
			end := func(vm string, report pool.Report) {
				r.VM = vm
				g, ok := p.Admit(now, r).(pool.Granted)
				assert.Assert(t, ok, "it rests longer each time")
				p.Release(now, g, report)
				now = now.Add(2100 * time.Millisecond)
			}
			for i := range 12 {
				if p.State("s-0") != pool.Healthy {
					break
				}
				vm := "vm-1"
				if !cut {
					vm = fmt.Sprintf("vm-%d", i%3)
				}
				end(vm, pool.Failed{Rule: reads, Detail: "no answer long after the usual time"})
				if p.State("s-0") == pool.Healthy {
					end("vm-5", pool.Served{Rule: reads, Took: 5 * time.Millisecond})
				}
			}
			assert.Equal(t, p.State("s-0") == pool.Healthy, cut)
		})
	}
}

package pool_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/standin"
)

// load describes a service and the requests for it.
type load struct {
	name        string
	servers     int
	dataCentres int
	rate        float64 // Requests per second.
	repeatable  float64 // Share of requests that may be repeated.
	work        time.Duration
	timeout     time.Duration
}

// streakServer is a simulated server that fails in streaks.
type streakServer struct {
	failing   bool
	changesAt time.Time // When it next begins or stops failing.
	soundFrom time.Time // Since when it is sound; meaningless while it fails.
	servedAt  time.Time // When it last got a request.
}

// simulation runs a pool in virtual time against servers that fail in streaks.
type simulation struct {
	load    load
	pool    *pool.Pool
	rng     *rand.Rand
	now     time.Time
	servers []*streakServer // By the number in the server's name.
	byName  map[site.ServerName]*streakServer
	running completions

	sent, failed, refused int
	leastUsed             float64 // Least share of the sound servers in use in any window.
	leastAt               time.Time
}

// completion is the end of a request.
type completion struct {
	at     time.Time
	grant  pool.Granted
	report pool.Report
}

// completions is a heap of completions, the earliest first.
type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

func newSimulation(l load, seed uint64) *simulation {
	s := &simulation{load: l, now: start, byName: make(map[site.ServerName]*streakServer), rng: rand.New(rand.NewPCG(seed, 17)), leastUsed: 1, leastAt: start}
	set := pool.Settings{
		ScoreThreshold: 11, Floor: func(n int) int { return (7*n + 9) / 10 },
		Retry: pool.RetryLimits{Ratio: 0.2, MinRetries: 60, Window: 10 * time.Second},
	}
	s.pool = pool.New(start, "s", set)
	var members []pool.Member
	for i := range l.servers {
		n := site.ServerName(fmt.Sprintf("s-%d", i))
		v := &streakServer{failing: s.rng.Float64() < standin.StreakShare, soundFrom: start}
		v.changesAt = start.Add(s.streakLength(v.failing))
		s.servers = append(s.servers, v)
		s.byName[n] = v
		dc := site.DataCentre(fmt.Sprint("dc-", i%l.dataCentres))
		members = append(members, pool.Member{Server: site.Server{Name: n, Address: string(n), DataCentre: dc, Slots: 3}})
	}
	s.pool.Configure(start, set, members)
	return s
}

func (s *simulation) streakLength(failing bool) time.Duration {
	if failing {
		return exponential(s.rng, standin.MeanStreak)
	}
	return exponential(s.rng, standin.MeanPause)
}

// run plays the load for a time, in steps of a millisecond.
func (s *simulation) run(length time.Duration) { s.runUntil(start.Add(length)) }

func (s *simulation) runUntil(end time.Time) {
	const step, check = time.Millisecond, 50 * time.Millisecond
	next := s.now
	for ; s.now.Before(end); s.now = s.now.Add(step) {
		s.updateServers()
		for len(s.running) > 0 && !s.running[0].at.After(s.now) {
			c := heap.Pop(&s.running).(completion)
			s.pool.Release(s.now, c.grant, c.report)
		}
		for !next.After(s.now) {
			s.arrive()
			next = next.Add(time.Duration(s.rng.ExpFloat64() / s.load.rate * float64(time.Second)))
		}
		if s.now.Sub(start)%check == 0 {
			s.pool.Tick(s.now)
			s.checkFloor()
		}
		for _, d := range s.pool.DispatchQueue(s.now) {
			s.decide(d.Decision)
		}
	}
}

func (s *simulation) updateServers() {
	for _, v := range s.servers {
		if v.changesAt.After(s.now) {
			continue
		}
		v.failing = !v.failing
		v.soundFrom = s.now.Add(standin.SoundAfter)
		v.changesAt = s.now.Add(s.streakLength(v.failing))
	}
}

func (s *simulation) arrive() {
	r := pool.Request{
		Account: "a", Class: site.AtMostOnce, Rule: reads, Deadline: s.now.Add(s.load.timeout), MaxAttempts: 2,
		DataCentre: site.DataCentre(fmt.Sprint("dc-", s.rng.IntN(s.load.dataCentres))),
	}
	if s.rng.Float64() < s.load.repeatable {
		r.Class = site.Repeatable
	}
	s.decide(s.pool.Admit(s.now, r))
}

func (s *simulation) decide(d pool.Decision) {
	switch d := d.(type) {
	case pool.Granted:
		s.send(d)
	case pool.Refused:
		s.refused++
	case pool.Waiting:
	}
}

func (s *simulation) send(g pool.Granted) {
	v := s.byName[g.Server.Name]
	v.servedAt = s.now
	s.sent++
	if v.failing && s.rng.Float64() < standin.BreakShare {
		s.failed++
		took := 2 * time.Millisecond
		heap.Push(&s.running, completion{s.now.Add(took), g, pool.Failed{Rule: reads, Took: took, Detail: "reset"}})
		return
	}
	took := s.load.work/2 + exponential(s.rng, s.load.work/2)
	heap.Push(&s.running, completion{s.now.Add(took), g, pool.Served{Rule: reads, Took: took}})
}

// checkFloor determines the share of the sound servers that got requests in the last
// window.
func (s *simulation) checkFloor() {
	from := s.now.Add(-standin.FloorWindow)
	if from.Sub(start) < 10*time.Second {
		return
	}
	sound, used := 0, 0
	for _, v := range s.servers {
		if v.failing || v.soundFrom.After(from) {
			continue
		}
		sound++
		if v.servedAt.After(from) {
			used++
		}
	}
	if share := float64(used) / float64(max(1, sound)); sound > 0 && share < s.leastUsed {
		s.leastUsed, s.leastAt = share, s.now
	}
}

// TestSoundServersAreUsedThoughOthersFail guards against sound servers that get no
// requests for two seconds, because they failed some time before (issue 17).
func TestSoundServersAreUsedThoughOthersFail(t *testing.T) {
	t.Parallel()
	for _, l := range []load{
		{name: "at most once", servers: 50, dataCentres: 4, rate: 210, work: 220 * time.Millisecond, timeout: 2500 * time.Millisecond},
		{name: "mostly repeatable", servers: 30, dataCentres: 4, rate: 100, repeatable: 0.95, work: 300 * time.Millisecond, timeout: 1500 * time.Millisecond},
		{name: "long requests", servers: 50, dataCentres: 4, rate: 82, repeatable: 0.95, work: 570 * time.Millisecond, timeout: 3 * time.Second},
		{name: "few servers", servers: 12, dataCentres: 3, rate: 48, work: 240 * time.Millisecond, timeout: 2 * time.Second},
	} {
		t.Run(l.name, func(t *testing.T) {
			for seed := range uint64(4) {
				s := newSimulation(l, seed)
				s.run(30 * time.Second)
				t.Logf("seed %d: least share %.2f at %v; %d sent, %d failed, %d refused", seed, s.leastUsed, s.leastAt.Sub(start), s.sent, s.failed, s.refused)
				assert.Check(t, s.leastUsed >= standin.FloorShare, "seed %d: after %v only %.2f of the sound servers had got requests for two seconds",
					seed, s.leastAt.Sub(start), s.leastUsed)
			}
		})
	}
}

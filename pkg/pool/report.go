package pool

import (
	"fmt"
	"time"

	"laburnumpick.org/pkg/site"
)

// Report is what became of a grant: Served, Failed, Declined, Dropped or
// Unreached.
type Report interface{ report() }

// Served means that a whole answer came.
type Served struct {
	Rule site.RuleName
	Took time.Duration
}

// Failed means that the server answered wrongly, or not in its patience.
type Failed struct {
	Rule     site.RuleName
	Took     time.Duration
	Detail   string
	Answered bool // It gave a whole answer, which tells of a failure.
}

// Declined means that the server refused before its handler ran.
type Declined struct{ Reason DeclineReason }

// Dropped means that nobody waited for the answer any more, or that a
// connection was at fault. A long wait still counts as slow.
type Dropped struct {
	Rule site.RuleName
	Took time.Duration
}

// Unreached means that no connection to the server could be opened from the VM
// that had the grant.
type Unreached struct {
	Detail  string
	Crashed bool // It went down while it ran the request.
}

func (Served) report()    {}
func (Failed) report()    {}
func (Declined) report()  {}
func (Dropped) report()   {}
func (Unreached) report() {}

// DeclineReason is why a server declined.
type DeclineReason string

// Refusals, none of which is sickness.
const (
	Shed  DeclineReason = "shed"
	Drain DeclineReason = "drain"
	Cold  DeclineReason = "cold"
	// Moved means that another server answered at the address.
	Moved DeclineReason = "moved"
)

// Event is a change of a server's state, for the journal.
type Event struct {
	Server site.ServerName
	From   State
	To     State
	Reason string
}

// Release ends a grant and takes its report as evidence.
func (p *Pool) Release(now time.Time, g Granted, r Report) []Event {
	o, ok := p.grants[g.ID]
	if !ok {
		return nil
	}
	delete(p.grants, g.ID)
	v := o.holder
	v.inUse = max(0, v.inUse-1)
	if g.Probe {
		v.trying = false
	}
	if g.Suspect {
		v.suspect = false
	}
	switch r := r.(type) {
	case Served:
		p.timed(now, o, r.Took)
	case Dropped:
		if r.Took > p.lateAfter(now, o) {
			v.late(now, g.ID, v.lastGrant)
		}
	}
	before := v.state
	p.count(now, o, r)
	p.weigh(now, v, o, r)
	if v.state == before || p.servers[v.cfg.Name] != v {
		return nil
	}
	return []Event{{v.cfg.Name, before, v.state, v.reason}}
}

// nearDeadline is how close to its deadline a request has ended that nobody waited
// for any more because of it. Callers' clocks run a little ahead of the fleet's.
const nearDeadline = 100 * time.Millisecond

// count notes how a request ended. One that may go to another server has not
// failed yet.
func (p *Pool) count(now time.Time, o *outstanding, r Report) {
	switch r.(type) {
	case Failed:
		o.holder.failedAt = now
		if !o.grant.MayRetry {
			p.trouble.ended(now, true)
		}
	case Unreached, Declined:
		o.holder.failedAt = now
	case Served:
		p.trouble.ended(now, false)
	case Dropped:
		if !now.Add(nearDeadline).Before(o.deadline) {
			p.trouble.ended(now, true)
		}
	}
}

// weigh takes a report as evidence.
func (p *Pool) weigh(now time.Time, v *server, o *outstanding, r Report) {
	switch r := r.(type) {
	case Served:
		p.served(now, v, o, r)
	case Failed:
		p.failed(now, v, o, r)
	case Declined:
		p.declined(now, v, r.Reason)
	case Dropped:
		p.dropped(now, v, r)
	case Unreached:
		p.unreached(now, v, o.grant, r)
	}
}

func (p *Pool) served(now time.Time, v *server, o *outstanding, r Served) {
	v.heard(o.vm)
	v.end(now, o.grant.ID, p.queue.len() > 0)
	v.servedAt = now
	ms := milliseconds(r.Took)
	v.addFailure(false, p.peersFailRate(v))
	if rank, ok := p.rank(v, r.Rule, ms); ok && !v.cold(now) {
		v.addRank(rank)
	}
	if !v.cold(now) {
		v.keep(r.Rule, ms)
	}
	if v.trusted() {
		p.meanMs += (ms - p.meanMs) / 32
	}
	if o.grant.Probe && !v.trusted() {
		p.tried(now, v, p.tooSlow(v, r.Rule, r.Took))
		return
	}
	p.judge(now, v, r.Rule, func() string {
		return fmt.Sprintf("its last answer took %.0f ms, its peers' median is %.0f ms", ms, p.peersMedian(r.Rule, v))
	})
	if v.state == Warming {
		p.warmUp(now, v)
	}
}

func (p *Pool) failed(now time.Time, v *server, o *outstanding, r Failed) {
	// Good servers answer a request with a failure of its own now and then. A
	// connection that breaks tells of the server.
	if !r.Answered || v.failRate >= answeredRate {
		v.begin(now, o.grant.ID, v.lastGrant)
	}
	if v.lost(o.vm) {
		return
	}
	v.addFailure(true, p.peersFailRate(v))
	if o.grant.Probe && !v.trusted() {
		p.tried(now, v, true)
		return
	}
	if v.spell >= spellsToDoubt && v.trusted() && p.mayDoubt() && !p.commonCause(v) {
		v.doubt(now, fmt.Sprintf("it failed %d times with a rest after each; its last failure: %s", v.spell, r.Detail))
		return
	}
	p.judge(now, v, r.Rule, func() string { return "its last failure: " + r.Detail })
}

// dropped takes in a request that nobody waited for to its end. That it took
// at least so long counts only against the server.
func (p *Pool) dropped(now time.Time, v *server, r Dropped) {
	rank, ok := p.rank(v, r.Rule, milliseconds(r.Took))
	if r.Took == 0 || !ok || rank < 0.5 {
		return
	}
	v.addRank(rank)
	p.judge(now, v, r.Rule, func() string { return fmt.Sprintf("no answer within %.0f ms", milliseconds(r.Took)) })
}

// judge doubts a trusted server whose score has passed the threshold, unless
// its peers get worse as well.
func (p *Pool) judge(now time.Time, v *server, rule site.RuleName, detail func() string) {
	limit := float64(p.set.ScoreThreshold)
	if !v.trusted() || v.score() < limit {
		return
	}
	if !p.mayDoubt() || p.commonCause(v) || (v.failScore < limit && !p.stillSlow(v, rule)) {
		v.failScore = min(v.failScore, limit*commonScore)
		v.slowScore = min(v.slowScore, limit*commonScore)
		return
	}
	test := "latency"
	if v.failScore >= limit {
		test = "failures"
	}
	v.doubt(now, fmt.Sprintf("%s score %.1f of %.1f, %.0f%% of its answers fail, its peers' %.1f%%; %s",
		test, v.score(), limit, 100*v.failRate, 100*p.peersFailRate(v), detail()))
}

func (p *Pool) warmUp(now time.Time, v *server) {
	v.passed++
	if v.passed < goodPerSlot {
		return
	}
	v.passed = 0
	v.warm++
	if v.warm >= v.cfg.Slots {
		v.move(now, Healthy, "warmed up")
	}
}

// tried takes the result of a trial.
func (p *Pool) tried(now time.Time, v *server, bad bool) {
	if bad {
		v.passed = 0
		v.strikes = min(v.strikes+1, maxStrikes)
		v.struckAt = now
		v.nextTrial = now.Add(v.trialGap())
		return
	}
	v.passed++
	v.nextTrial = now.Add(trialSpacing)
	if v.passed >= trialsToPass {
		v.failRate = 0
		v.move(now, Warming, fmt.Sprintf("passed %d trials", trialsToPass))
	}
}

// mayDoubt reports whether the service keeps its floor with one server less.
func (p *Pool) mayDoubt() bool {
	trusted, all := 0, 0
	for _, v := range p.order {
		if v.trusted() {
			trusted++
		}
		if v.state != Leaving && v.state != Down && v.state != Held {
			all++
		}
	}
	return p.set.Floor == nil || trusted-1 >= p.set.Floor(all)
}

func (p *Pool) declined(now time.Time, v *server, why DeclineReason) {
	switch why {
	case Shed:
		v.pausedUntil = now.Add(shedPause)
	case Cold:
		v.pausedUntil = now.Add(coldPause)
	case Drain:
		if v.state != Held {
			v.move(now, Leaving, "it drains")
			v.nextTrial = now.Add(leavingRecheck)
		}
	case Moved:
		v.moved = true // Until it registers anew.
		p.depart(now, v, "another server has its address")
	}
}

// unreached takes in that a VM could not open a connection. Where others have
// just been served, the link is cut for that VM alone, which leaves the server
// out by itself.
func (p *Pool) unreached(now time.Time, v *server, g Granted, r Unreached) {
	switch {
	case v.state == Held || v.state == Leaving:
	case r.Crashed:
		v.move(now, Down, "it went down during a request")
		v.nextTrial = now.Add(v.reachGap())
	case now.Sub(v.servedAt) > servedLately:
		v.begin(now, g.ID, v.lastGrant)
	}
}

// servedLately is how long after an answer a server counts as reachable.
const servedLately = time.Second

// depart takes a server out that registered as leaving.
func (p *Pool) depart(now time.Time, v *server, reason string) []Event {
	v.departing = true
	if v.state == Leaving || v.state == Held {
		return nil
	}
	from := v.state
	v.move(now, Leaving, reason)
	return []Event{{v.cfg.Name, from, Leaving, reason}}
}

// stay takes a server back that had registered as leaving.
func (p *Pool) stay(now time.Time, v *server) []Event {
	v.departing = false
	if v.state != Leaving {
		return nil
	}
	v.move(now, Warming, "it registered as staying")
	return []Event{{v.cfg.Name, Leaving, Warming, v.reason}}
}

// MarkLeaving takes a server out that somebody said is leaving.
func (p *Pool) MarkLeaving(now time.Time, n site.ServerName, reason string) []Event {
	v, ok := p.servers[n]
	if !ok || v.state == Leaving || v.state == Held {
		return nil
	}
	from := v.state
	v.move(now, Leaving, reason)
	v.nextTrial = now.Add(leavingRecheck)
	return []Event{{n, from, Leaving, reason}}
}

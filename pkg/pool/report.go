package pool

import (
	"fmt"
	"time"

	"laburnumpick.org/pkg/site"
)

// Report is the result of a grant: Served, Failed, Declined, Dropped or Unreached.
type Report interface{ report() }

// Served means that a complete response came that reports no failure.
type Served struct {
	Rule site.RuleName
	Took time.Duration
}

// Failed means that the server broke the connection, sent a bad response, or did not
// respond before its timeout.
type Failed struct {
	Rule     site.RuleName
	Took     time.Duration
	Detail   string
	Answered bool // The server gave a complete response that reports a failure.
}

// Declined means that the server refused the request before its handler ran.
type Declined struct{ Reason DeclineReason }

// Dropped means that nobody waited for the response any more, or that a connection
// failed through no fault of the server. A long wait still counts against the
// server.
type Dropped struct {
	Rule site.RuleName
	Took time.Duration
}

// Unreached means that the VM with the grant could not connect to the server, or
// that the server crashed.
type Unreached struct {
	Detail  string
	Crashed bool // The server went down while it ran the request.
}

func (Served) report()    {}
func (Failed) report()    {}
func (Declined) report()  {}
func (Dropped) report()   {}
func (Unreached) report() {}

// DeclineReason is why a server declined a request.
type DeclineReason string

// Reasons for declining. None of them counts as a failure of the server.
const (
	Shed  DeclineReason = "shed"
	Drain DeclineReason = "drain"
	Cold  DeclineReason = "cold"
	// Limited means that the server has got more requests than the limit that it names.
	Limited DeclineReason = "limited"
	// Paused means that the server wants no requests from the VM for a time. The VM keeps to
	// that, and tells the home (Notice).
	Paused DeclineReason = "paused"
	// AnnouncedLeaving means that the server has told the VM that it leaves.
	AnnouncedLeaving DeclineReason = "leaving"
	// Moved means that another server answered at the address.
	Moved DeclineReason = "moved"
	// Unlisted means that the VM's list of registered servers shows that the server has
	// left or is leaving, or lacks it. That list may be newer than the home's, or older.
	Unlisted DeclineReason = "unlisted"
)

// Event is a change of a server's state, for the journal.
type Event struct {
	Server site.ServerName
	From   State
	To     State
	Reason string
}

// Release frees the slot of a grant and updates the server's state from the report.
func (p *Pool) Release(now time.Time, g Granted, r Report) []Event {
	o, ok := p.grants[g.ID]
	if !ok {
		return nil
	}
	delete(p.grants, g.ID)
	v := o.server
	v.inUse = max(0, v.inUse-1)
	if g.Probe {
		v.probing = false
	}
	if g.Suspect {
		v.runsSuspect = false
	}
	p.recordEnd(now, o, r)
	switch r := r.(type) {
	case Served:
		p.updateSlowness(now, o, r.Took)
	case Dropped:
		if r.Took > p.slowAfter(now, o) {
			v.recordSlow(now, g.ID, v.lastGrant)
		}
		p.countVerySlow(now, o, r.Took)
	}
	before := v.state
	if saysServerFailed(r) {
		v.failedAt = now
	}
	p.applyReport(now, v, o, r)
	if v.state == before || p.servers[v.cfg.Name] != v {
		return nil
	}
	return []Event{{v.cfg.Name, before, v.state, v.reason}}
}

// saysServerFailed reports whether the server failed the request, declined it or was
// not reached.
func saysServerFailed(r Report) bool {
	switch r := r.(type) {
	case Failed, Unreached:
		return true
	case Declined:
		return r.Reason != Unlisted && r.Reason != Limited && r.Reason != Paused && r.Reason != AnnouncedLeaving
	case Served, Dropped:
	}
	return false
}

// applyReport updates the statistics and the state of the server.
func (p *Pool) applyReport(now time.Time, v *server, o *outstanding, r Report) {
	switch r := r.(type) {
	case Served:
		p.applyServed(now, v, o, r)
	case Failed:
		p.applyFailed(now, v, o, r)
	case Declined:
		p.applyDeclined(now, v, r.Reason)
	case Dropped:
		p.applyDropped(now, v, r)
	case Unreached:
		p.applyUnreached(now, v, o.grant, r)
	}
}

func (p *Pool) applyServed(now time.Time, v *server, o *outstanding, r Served) {
	v.linkAnswered(o.vm)
	v.recordSuccess(now, o.grant.ID, p.queue.len() > 0)
	v.servedAt = now
	ms := milliseconds(r.Took)
	v.addResult(false, p.peersFailRate(v))
	if rank, ok := p.rank(v, r.Rule, ms); ok && !v.cold(now) {
		v.addRank(rank)
	}
	if !v.cold(now) {
		v.addLatency(r.Rule, ms)
	}
	if v.trusted() {
		p.meanMs += (ms - p.meanMs) / 32
	}
	if o.grant.Probe && !v.trusted() {
		p.recordProbe(now, v, p.probeTooSlow(v, r.Rule, r.Took))
		return
	}
	p.checkScore(now, v, r.Rule, func() string {
		return fmt.Sprintf("last response took %.0f ms, median of its peers %.0f ms", ms, p.peersMedian(r.Rule, v))
	})
	if v.state == Warming {
		p.warmUp(now, v)
	}
}

func (p *Pool) applyFailed(now time.Time, v *server, o *outstanding, r Failed) {
	// Healthy servers now and then fail single requests with a complete response. A
	// broken connection or a timeout points to the server.
	if !r.Answered || v.failRate >= answeredFailRate {
		v.recordFailure(now, o.grant.ID, v.lastGrant, r.Took >= o.grant.Timeout)
	}
	if v.linkFailed(o.vm) {
		return
	}
	v.addResult(true, p.peersFailRate(v))
	if o.grant.Probe && !v.trusted() {
		p.recordProbe(now, v, true)
		return
	}
	if v.streak >= failuresToSuspect && v.trusted() && p.maySuspect() && !p.commonCause(v) {
		v.markSuspected(now, fmt.Sprintf("%d failures in a row with a back-off after each; last failure: %s", v.streak, r.Detail))
		return
	}
	p.checkScore(now, v, r.Rule, func() string { return "last failure: " + r.Detail })
}

// applyDropped handles a request whose response nobody waited for any longer. The
// time until then is a lower bound of its latency, so it counts only if it is slow.
func (p *Pool) applyDropped(now time.Time, v *server, r Dropped) {
	rank, ok := p.rank(v, r.Rule, milliseconds(r.Took))
	if r.Took == 0 || !ok || rank < 0.5 {
		return
	}
	v.addRank(rank)
	p.checkScore(now, v, r.Rule, func() string { return fmt.Sprintf("no response within %.0f ms", milliseconds(r.Took)) })
}

// checkScore suspects a trusted server whose score has reached the threshold. It
// lowers the scores instead if the service would fall below its floor, if the peers
// have got worse as well, or if only the latencies have reached the threshold and
// the server is no longer slow.
func (p *Pool) checkScore(now time.Time, v *server, rule site.RuleName, detail func() string) {
	limit := float64(p.settings.ScoreThreshold)
	if !v.trusted() || v.score() < limit {
		return
	}
	if !p.maySuspect() || p.commonCause(v) || (v.failScore < limit && !p.stillSlow(v, rule)) {
		v.failScore = min(v.failScore, limit*commonScore)
		v.slowScore = min(v.slowScore, limit*commonScore)
		return
	}
	test := "latency"
	if v.failScore >= limit {
		test = "failures"
	}
	v.markSuspected(now, fmt.Sprintf("%s score %.1f, threshold %.1f; %.0f%% of its requests failed, %.1f%% of its peers'; %s",
		test, v.score(), limit, 100*v.failRate, 100*p.peersFailRate(v), detail()))
}

// warmUp counts a good response of a warming server and opens its slots one by one.
func (p *Pool) warmUp(now time.Time, v *server) {
	v.stateCount++
	if v.stateCount < successesPerSlot {
		return
	}
	v.stateCount = 0
	v.openSlots++
	if v.openSlots >= v.cfg.Slots {
		v.setState(now, Healthy, "warmed up")
	}
}

// recordProbe records the result of a probe.
func (p *Pool) recordProbe(now time.Time, v *server, bad bool) {
	if bad {
		v.stateCount = 0
		v.strikes = min(v.strikes+1, maxStrikes)
		v.lastStrike = now
		v.nextProbe = now.Add(v.probeDelay())
		return
	}
	v.stateCount++
	v.nextProbe = now.Add(probeInterval)
	if v.stateCount >= probesToPass {
		v.failRate = 0
		v.setState(now, Warming, fmt.Sprintf("passed %d probes", probesToPass))
	}
}

// maySuspect reports whether the service keeps its floor with one server less.
func (p *Pool) maySuspect() bool {
	trusted, all := 0, 0
	for _, v := range p.order {
		if v.trusted() {
			trusted++
		}
		if v.state != Leaving && v.state != Down && v.state != Held {
			all++
		}
	}
	return p.settings.Floor == nil || trusted-1 >= p.settings.Floor(all)
}

func (p *Pool) applyDeclined(now time.Time, v *server, reason DeclineReason) {
	switch reason {
	case Shed:
		v.pausedUntil = now.Add(shedPause)
	case Cold:
		v.pausedUntil = now.Add(coldPause)
	case Drain:
		if v.state != Held {
			v.setState(now, Leaving, "it is draining")
			v.nextProbe = now.Add(leavingRecheck)
		}
	case Limited:
		v.pausedUntil = now.Add(shedPause)
		v.dropTokens(now)
	case Paused:
		v.pausedUntil = now.Add(shedPause)
	case AnnouncedLeaving: // The VM tells the home of it with its next request.
	case Unlisted:
		v.pausedUntil = now.Add(unlistedPause)
	case Moved:
		v.moved = true // Until it registers again with a new start time or address.
		p.markDeparting(now, v, "another server has its address")
	}
}

// applyUnreached handles a VM's failure to connect to the server. If the server has
// just answered other requests, only that VM's link is broken, and the VM itself
// avoids the server.
func (p *Pool) applyUnreached(now time.Time, v *server, g Granted, r Unreached) {
	switch {
	case v.state == Held || v.state == Leaving:
	case r.Crashed:
		v.setState(now, Down, "it went down during a request")
		v.nextProbe = now.Add(v.connectionCheckDelay())
	case now.Sub(v.servedAt) > reachableFor:
		v.recordFailure(now, g.ID, v.lastGrant, false)
	}
}

// reachableFor is how long after a good response a server counts as reachable.
const reachableFor = time.Second

// markDeparting takes a server out of use that registered as leaving or whose
// address another server has.
func (p *Pool) markDeparting(now time.Time, v *server, reason string) []Event {
	v.departing = true
	if v.state == Leaving || v.state == Held {
		return nil
	}
	from := v.state
	v.setState(now, Leaving, reason)
	return []Event{{v.cfg.Name, from, Leaving, reason}}
}

// cancelDeparture readmits a server that no longer registers as leaving.
func (p *Pool) cancelDeparture(now time.Time, v *server) []Event {
	v.departing = false
	if v.state != Leaving {
		return nil
	}
	v.setState(now, Warming, "it registered as staying")
	return []Event{{v.cfg.Name, Leaving, Warming, v.reason}}
}

// MarkLeaving takes a server out of use that is reported to be leaving.
func (p *Pool) MarkLeaving(now time.Time, n site.ServerName, reason string) []Event {
	v, ok := p.servers[n]
	if !ok || v.state == Leaving || v.state == Held {
		return nil
	}
	from := v.state
	v.setState(now, Leaving, reason)
	v.nextProbe = now.Add(leavingRecheck)
	return []Event{{n, from, Leaving, reason}}
}

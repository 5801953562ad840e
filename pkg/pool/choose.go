package pool

import (
	"cmp"
	"time"

	"laburnumpick.org/pkg/site"
)

// choose returns the best server with a free slot for the request, or nil. With
// lastResort, suspected servers and servers in back-off are considered as well.
func (p *Pool) choose(now time.Time, r Request, lastResort bool) *server {
	var best *server
	k := p.rankingFor(now, r)
	for _, v := range p.order {
		if p.obstacle(k, r, v, lastResort) != Unobstructed {
			continue
		}
		if best == nil || k.before(v, best) {
			best = v
		}
	}
	if p.trace != nil {
		p.trace.record(p, k, r, lastResort, best)
	}
	return best
}

// rankingFor returns the order in which servers are preferred for a request.
func (p *Pool) rankingFor(now time.Time, r Request) ranking {
	return ranking{
		now: now, dataCentre: r.DataCentre, probesRecovery: p.canProbeRecovery(now, r),
		testsIdle: !r.Suspect, overloaded: p.overloaded(now),
		avoidsUnknownOutcome: r.Class == site.AtMostOnce && p.hasUsableServer(now, r), atMostOnce: r.Class == site.AtMostOnce,
		staysNear:         r.DataCentre != "" && p.budget.requestRate(now) >= minFarRate,
		waitsForRecovered: r.Class == site.AtMostOnce && p.queue.len() < int(p.recoveredSlots(now, r)/2),
	}
}

// obstacle returns why the server must not get the request now, or Unobstructed.
func (p *Pool) obstacle(k ranking, r Request, v *server, lastResort bool) Obstacle {
	if o := v.obstacle(k, lastResort); o != Unobstructed {
		return o
	}
	if o := p.barrier(k.now, r, v); o != Unobstructed {
		return o
	}
	if r.Suspect && v.runsSuspect {
		return ObstacleSuspect
	}
	return Unobstructed
}

// overloaded reports whether more requests are queued than the usable servers can
// run at once.
func (p *Pool) overloaded(now time.Time) bool { return float64(p.queue.len()) > p.usableSlots(now) }

// recoveredSlots returns the number of slots of the servers that may take the
// request and have no failure streak that still limits them, as far as the servers'
// limits on requests let them be used.
func (p *Pool) recoveredSlots(now time.Time, r Request) float64 {
	n := 0.0
	for _, v := range p.order {
		if v.usable(now) && !v.recovering(now) && !p.isBarred(now, r, v) {
			n += p.withinLimitOf(v, v.openSlots)
		}
	}
	return n
}

// canProbeRecovery reports whether a request may test a server after its back-off:
// it must be repeatable, with time and budget left for a retry on another server.
func (p *Pool) canProbeRecovery(now time.Time, r Request) bool {
	return r.Class == site.Repeatable && r.Attempts == 0 && r.MaxAttempts != 1 && p.budget.allowsRetry(now) &&
		r.Deadline.Sub(now) > scale(p.latencyOf(now, r.Rule).median, probeTimeoutRatio+retryRatio)
}

// ranking orders servers for a request.
type ranking struct {
	now            time.Time
	dataCentre     site.DataCentre
	probesRecovery bool // The request may test a server after its back-off.
	// testsIdle means that the request may go to a server that must get one after a
	// time without requests.
	testsIdle bool
	// overloaded means that more requests are queued than the usable servers can run
	// at once.
	overloaded bool
	// avoidsUnknownOutcome means that the request may run at most once and that usable
	// servers exist. A refusal is then better for the caller than a failure that
	// leaves open whether the request has run.
	avoidsUnknownOutcome bool
	atMostOnce           bool // The request may run at most once.
	// staysNear means that idle servers in other data centres can wait for a request of
	// their own one.
	staysNear bool
	// waitsForRecovered means that the request may run at most once and that recovered
	// servers will soon have a slot for it. Such a request is not used to test a
	// recovering server.
	waitsForRecovered bool
}

// tier is a preference of servers; lower is better.
type tier int

const (
	tierFirst      tier = iota // Must get a request; nothing is held against it.
	tierTest                   // Must get a request, or is tested by it.
	tierNormal                 // Nothing is held against it.
	tierSlow                   // Cold, or slow for a request that may run at most once.
	tierRecovering             // Its failure streak has not ended.
	tierBackOff                // In back-off after a failure.
	tierProbation              // Not trusted.
)

// tier returns the server's preference tier.
func (k ranking) tier(v *server) tier {
	switch {
	case k.testsIdle && v.needsRequest(k):
		if v.idleReason(k.now) == IdleUnchosen {
			return tierFirst // If requests are too few for all, those that serve come first.
		}
		return tierTest
	case !v.trusted():
		return tierProbation
	case v.inBackOff(k.now):
		return tierBackOff
	case v.recovering(k.now) && k.probesRecovery:
		return tierTest
	case v.recovering(k.now):
		return tierRecovering
	case v.cold(k.now), k.atMostOnce && v.isSlow(k.now):
		return tierSlow
	default:
		return tierNormal
	}
}

// before reports whether server v is preferred to server o.
func (k ranking) before(v, o *server) bool {
	first, _ := k.compare(v, o)
	return first
}

// compare reports whether server v is preferred to server o, and by which criterion. It
// compares their tiers; then whether they are in the sender's data centre with more than
// one slot free, since traffic between data centres is expensive; then the share of
// their slots in use; then which of them got its last grant earlier.
//
// Scores below the suspicion threshold do not count: a server that got less traffic
// because of its score would never gather enough evidence to be suspected or
// cleared.
func (k ranking) compare(v, o *server) (bool, criterion) {
	if a, b := k.tier(v), k.tier(o); a != b {
		return a < b, byTier
	}
	if a, b := v.hasSpareSlotIn(k.dataCentre), o.hasSpareSlotIn(k.dataCentre); a != b {
		return a, byDataCentre
	}
	if c := cmp.Compare(v.inUse*o.openSlots, o.inUse*v.openSlots); c != 0 {
		return c < 0, byLoad
	}
	return v.lastGrant < o.lastGrant, byTurn
}

// criterion is what decides between two servers.
type criterion int

const (
	byTier criterion = iota
	byDataCentre
	byLoad
	byTurn
)

// probeTarget returns a server whose probe is due, or nil. Only repeatable requests
// with time left for a retry on another server are used as probes.
func (p *Pool) probeTarget(now time.Time, r Request) *server {
	if r.Class != site.Repeatable || r.Attempts > 0 || r.Suspect || r.MaxAttempts == 1 || !p.budget.allowsRetry(now) {
		return nil
	}
	m := p.latencyOf(now, r.Rule).median
	if r.Deadline.Sub(now) < scale(m, probeTimeoutRatio+retryRatio) {
		return nil
	}
	for _, v := range p.order {
		if v.probeDue(now) && !p.isBarred(now, r, v) {
			return v
		}
	}
	return nil
}

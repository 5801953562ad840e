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
	k := ranking{
		now: now, dataCentre: r.DataCentre, probesRecovery: p.canProbeRecovery(now, r),
		testsIdle: !r.Suspect, overloaded: p.overloaded(now),
		avoidsUnknownOutcome: r.Class == site.AtMostOnce && p.hasUsableServer(now, r), atMostOnce: r.Class == site.AtMostOnce,
		staysNear:         r.DataCentre != "" && p.budget.requestRate(now) >= minFarRate,
		waitsForRecovered: r.Class == site.AtMostOnce && p.queue.len() < int(p.recoveredSlots(now, r)/2),
	}
	for _, v := range p.order {
		if !v.hasFreeSlot(k, lastResort) || p.isBarred(now, r, v) || (r.Suspect && v.runsSuspect) {
			continue
		}
		if best == nil || k.before(v, best) {
			best = v
		}
	}
	return best
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

// tier returns the server's preference tier; lower is better.
func (k ranking) tier(v *server) int {
	switch {
	case k.testsIdle && v.needsRequest(k):
		if v.idleReason(k.now) == IdleUnchosen {
			return 0 // If requests are too few for all, those that serve come first.
		}
		return 1
	case !v.trusted():
		return 6
	case v.inBackOff(k.now):
		return 5
	case v.recovering(k.now) && k.probesRecovery:
		return 1
	case v.recovering(k.now):
		return 4
	case v.cold(k.now), k.atMostOnce && v.isSlow(k.now):
		return 3
	default:
		return 2
	}
}

// before reports whether server v is preferred to server o. It compares their tiers;
// then whether they are in the sender's data centre with more than one slot free,
// since traffic between data centres is expensive; then the share of their slots in
// use; then which of them got its last grant earlier.
//
// Scores below the suspicion threshold do not count: a server that got less traffic
// because of its score would never gather enough evidence to be suspected or
// cleared.
func (k ranking) before(v, o *server) bool {
	if a, b := k.tier(v), k.tier(o); a != b {
		return a < b
	}
	if a, b := v.hasSpareSlotIn(k.dataCentre), o.hasSpareSlotIn(k.dataCentre); a != b {
		return a
	}
	if c := cmp.Compare(v.inUse*o.openSlots, o.inUse*v.openSlots); c != 0 {
		return c < 0
	}
	return v.lastGrant < o.lastGrant
}

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

package pool

import "time"

// Limits of slow periods, in which a server ranks below the others.
const (
	firstSlowPeriod = 4 * time.Second
	maxSlowPeriod   = 8 * time.Second
	// slowResponseRatio is the latency above which a response is slow, as a multiple of
	// the 95th percentile. One in sixty responses of a healthy server is slow.
	slowResponseRatio = 1.5
	// verySlowRatio is the same for responses that are very slow, which is hardly ever
	// chance.
	verySlowRatio = 2
)

// slowness is a server's slow period, which begins with a slow or overdue response.
// Until it ends, at-most-once requests go to the server only if no other server has
// a free slot: it takes several responses to suspect a slow server, and each of them
// may miss its deadline. Repeatable requests still go there, so that the evidence
// accumulates.
type slowness struct {
	slowUntil   time.Time // End of the slow period.
	slowPeriods int       // Slow periods in a row, which lengthen the next one.
	slowGrant   GrantID   // The server's latest grant when the slow period began.
	verySlowAt  time.Time // When a response was last very slow or overdue by as much.
}

// recordSlow begins a slow period, because the response to grant g is slow or overdue.
// last is the server's latest grant. Grants from before the last slow period began,
// and slow responses during it, are ignored.
func (s *slowness) recordSlow(now time.Time, g, last GrantID) {
	if g <= s.slowGrant || s.isSlow(now) {
		return
	}
	s.slowUntil = now.Add(min(firstSlowPeriod<<min(s.slowPeriods, 8), maxSlowPeriod))
	s.slowPeriods++
	s.slowGrant = last
}

// recordVerySlow lengthens the slow period. Unless a response on time ends it, it lasts
// longer than the server goes without a request (server.needsRequest).
func (s *slowness) recordVerySlow(now time.Time) {
	s.verySlowAt = now
	s.slowUntil = now.Add(maxSlowPeriod)
}

// recordOnTime ends the slow period after a response on time, unless its grant is
// from before the slow period.
func (s *slowness) recordOnTime(g GrantID) {
	if g > s.slowGrant {
		*s = slowness{}
	}
}

// isSlow reports whether the server is in a slow period.
func (s *slowness) isSlow(now time.Time) bool { return now.Before(s.slowUntil) }

// markOverdue begins a slow period for each server with an overdue response.
func (p *Pool) markOverdue(now time.Time) {
	for _, o := range p.grants {
		took := now.Sub(o.grantedAt)
		if !o.server.isSlow(now) && took > p.slowAfter(now, o) {
			o.server.recordSlow(now, o.grant.ID, o.server.lastGrant)
		}
		if !o.verySlow && took > p.verySlowAfter(now, o) {
			o.verySlow = true
			o.server.recordVerySlow(now)
		}
	}
}

// slowAfter returns the latency above which the response to a grant is slow.
func (p *Pool) slowAfter(now time.Time, o *outstanding) time.Duration {
	return scale(p.latencyOf(now, o.rule).p95, slowResponseRatio)
}

// verySlowAfter returns the latency above which the response to a grant is very slow.
func (p *Pool) verySlowAfter(now time.Time, o *outstanding) time.Duration {
	return scale(p.latencyOf(now, o.rule).p95, verySlowRatio)
}

// updateSlowness begins or ends a slow period of the server, depending on how long
// the response to a grant took. Responses between the 95th percentile and slowAfter
// change nothing, nor do responses of a server that is slow after its start.
func (p *Pool) updateSlowness(now time.Time, o *outstanding, took time.Duration) {
	v := o.server
	switch {
	case v.cold(now) || took == 0:
	case took > p.slowAfter(now, o):
		v.recordSlow(now, o.grant.ID, v.lastGrant)
	case took <= scale(p.latencyOf(now, o.rule).p95, 1):
		v.recordOnTime(o.grant.ID)
	}
}

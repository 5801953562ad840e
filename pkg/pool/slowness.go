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
	// verySlowToLeaveOut is the number of very slow responses in a row after which a
	// server is left out for longer.
	verySlowToLeaveOut = 2
	// commonSlowShare is the share of a service's very slow responses in the
	// slowWindow above which the cause lies elsewhere, as in a VM that is paused.
	commonSlowShare = 0.085
	slowWindow      = 2 * time.Second
	slowWindowParts = 4
	slowWindowPart  = slowWindow / slowWindowParts
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
	verySlow    int       // Very slow responses without one on time between them.
	verySlowAt  time.Time // When verySlowToLeaveOut of them had come; zero if fewer have.
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

// leaveOut lengthens the slow period after several very slow responses; overdueAt is
// when the last one was certain to be very slow. Unless a response on time ends it, the
// period lasts longer than the server goes without a request (server.needsRequest).
func (s *slowness) leaveOut(now, overdueAt time.Time) {
	s.verySlowAt = overdueAt
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
		if !o.server.isSlow(now) && now.Sub(o.grantedAt) > p.slowAfter(now, o) {
			o.server.recordSlow(now, o.grant.ID, o.server.lastGrant)
		}
	}
}

// countVerySlow leaves the server out for longer if its responses, or the waits for them,
// are very slow again and again. took is the time that the VM with the request has
// measured: a grant that is merely overdue proves less, as its VM may be cut off from this
// home.
func (p *Pool) countVerySlow(now time.Time, o *outstanding, took time.Duration) {
	limit := p.verySlowAfter(now, o)
	part := p.slowResponses.current(now, slowWindowPart)
	part.total++
	if took <= limit {
		return
	}
	part.marked++
	o.server.verySlow++
	if o.server.verySlow >= verySlowToLeaveOut && !p.commonlySlow(now) {
		o.server.leaveOut(now, o.grantedAt.Add(limit))
	}
}

// commonlySlow reports whether so many of the service's responses are very slow that no
// single server is the cause.
func (p *Pool) commonlySlow(now time.Time) bool {
	s := p.slowResponses.sum(now, slowWindowPart)
	return float64(s.marked) > commonSlowShare*float64(s.total)
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
	if v.cold(now) || took == 0 {
		return
	}
	p.countVerySlow(now, o, took)
	switch {
	case took > p.slowAfter(now, o):
		v.recordSlow(now, o.grant.ID, v.lastGrant)
	case took <= scale(p.latencyOf(now, o.rule).p95, 1):
		v.recordOnTime(o.grant.ID)
	}
}

package pool

import "time"

// Times for which a server that was late comes after the others.
const (
	firstLag = 4 * time.Second
	maxLag   = 8 * time.Second
	// lateRatio is how many times the slowest usual answer a late one takes. One in
	// sixty answers of a healthy server is late.
	lateRatio = 1.5
)

// lag is a server's time after a late answer, or while one is overdue. It then gets
// once-only requests only where the others have no slot free: evidence that convicts
// a slow server takes several answers, and each may be one that misses its deadline.
// Repeatable requests go on gathering that evidence.
type lag struct {
	lagTill time.Time
	lates   int     // In a row.
	lagged  GrantID // The server's latest grant when it was last late.
}

// late notes that a grant's answer was late, or is overdue.
func (l *lag) late(now time.Time, g, last GrantID) {
	if g <= l.lagged || l.lagging(now) {
		return
	}
	l.lagTill = now.Add(min(firstLag<<min(l.lates, 8), maxLag))
	l.lates++
	l.lagged = last
}

// timely notes an answer in the usual time.
func (l *lag) timely(g GrantID) {
	if g > l.lagged {
		*l = lag{}
	}
}

// lagging reports whether the server should come after the others.
func (l *lag) lagging(now time.Time) bool { return now.Before(l.lagTill) }

// overdue notes the grants that have waited far longer than usual answers take.
func (p *Pool) overdue(now time.Time) {
	for _, o := range p.grants {
		if !o.holder.lagging(now) && now.Sub(o.since) > p.lateAfter(now, o) {
			o.holder.late(now, o.grant.ID, o.holder.lastGrant)
		}
	}
}

// lateAfter returns the time from which an answer to a grant is late.
func (p *Pool) lateAfter(now time.Time, o *outstanding) time.Duration {
	return scale(p.usualOf(now, o.rule).slowest, lateRatio)
}

// timed notes whether the answer to a grant came in the usual time.
func (p *Pool) timed(now time.Time, o *outstanding, took time.Duration) {
	v := o.holder
	switch {
	case v.cold(now) || took == 0:
	case took > p.lateAfter(now, o):
		v.late(now, o.grant.ID, v.lastGrant)
	case took <= scale(p.usualOf(now, o.rule).slowest, 1):
		v.timely(o.grant.ID)
	}
}

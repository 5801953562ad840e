package pool

import "time"

// lease bounds the retries that a home allows beyond those of which it has told the VM that
// would take over the pool. If the home is cut off or dies, that VM assumes that they were
// all sent.
type lease struct {
	granted int       // Retries that this VM has granted.
	covered int       // Retries that it may have granted before the next message is acknowledged.
	ackedAt time.Time // When a message was last acknowledged, or the wait for it began.
}

const (
	// leaseTimeout is how long a home waits for a successor that does not acknowledge. After
	// it, the home knows whether the successor is on the other side of a cut.
	leaseTimeout = 6 * time.Second
	// toldTimeout is how old the last message of a home may be when its successor takes
	// over. The failure of a home is noticed within this time.
	toldTimeout = 8 * time.Second
	// reserveParts divides the allowed retries for those that a lease covers, minReserve is
	// the least number of them. A takeover loses as many.
	reserveParts = 8
	minReserve   = 2
)

// covers reports whether one more retry may be granted.
func (l *lease) covers(now time.Time) bool {
	return l.granted < l.covered || now.Sub(l.ackedAt) > leaseTimeout
}

// BudgetUse is what a home tells its successor about the retry budget. A VM that has been
// home until now tells the new home the same.
type BudgetUse struct {
	Decides bool // The sender is the home; otherwise it has just ceased to be.
	Known   bool // The sender knows all retries in the window.
	Granted int  // Retries that the sender has granted since its pool was created.
	Reserve int  // Further retries that it may grant before it tells more.
	// Parts are the counts of the parts of the window, the latest first.
	Parts []BudgetPart
}

// BudgetPart holds the counts of a part of a budget's window.
type BudgetPart struct{ Requests, Retries int }

// receivedUse is a use of the budget as this VM was told it.
type receivedUse struct {
	use   BudgetUse
	at    time.Time
	index int64 // Of the part of the window that was current then.
}

// isCurrent reports whether the VM that told it was home, knew all retries, and told the rest
// a short time ago.
func (t *receivedUse) isCurrent(now time.Time) bool {
	return t.use.Decides && t.use.Known && now.Sub(t.at) <= toldTimeout
}

// use returns what to tell another VM. It reports false if this VM neither is home nor has
// just ceased to be.
func (b *budget) use(now time.Time) (BudgetUse, bool) {
	t := &b.tenure
	if t.homeAt.IsZero() || now.Sub(t.homeAt) > toldTimeout {
		return BudgetUse{}, false
	}
	u := BudgetUse{Decides: t.role.Decides, Known: t.known, Granted: b.lease.granted, Reserve: b.reserve(now)}
	last := b.currentPart(now).index
	for i := range b.requests {
		p := b.requests.part(last - int64(i))
		u.Parts = append(u.Parts, BudgetPart{p.total, p.marked})
	}
	return u, true
}

// reserve returns the retries that a home may grant before it tells more.
func (b *budget) reserve(now time.Time) int {
	_, allowed := b.usage(now)
	return max(minReserve, allowed/reserveParts)
}

// needsLease reports whether the successor must be told at once, because little of the lease
// is left.
func (b *budget) needsLease(now time.Time) bool {
	if !b.tenure.role.Decides {
		return false
	}
	return b.lease.covered-b.lease.granted <= b.reserve(now)/2
}

// acknowledge records that another VM has been told a use of the budget. If a successor has
// not accepted it, it has been home in the meantime, and this VM does not know its retries.
// What a new home has accepted is not told to a later one, which may have had others before.
func (b *budget) acknowledge(now time.Time, u BudgetUse, accepted bool) {
	switch {
	case !u.Decides && accepted:
		b.tenure.homeAt = time.Time{}
	case !u.Decides:
	case accepted:
		b.lease.ackedAt = now
		b.lease.covered = max(b.lease.covered, u.Granted+u.Reserve)
	case b.tenure.role.Decides:
		b.tenure.restart(now, b.unknownTime())
	}
}

// receive records what another VM tells of its use of the budget. It reports false if the VM is
// home and this one, too, or if it hands over and this one is not home.
func (b *budget) receive(now time.Time, u BudgetUse) bool {
	decides, known := b.tenure.role.Decides, !now.Before(b.tenure.next)
	t := &receivedUse{use: u, at: now, index: b.currentPart(now).index}
	switch {
	case u.Decides && decides && known:
		return false
	case u.Decides:
		b.told = t
		if u.Known {
			b.tenure.homeAt = time.Time{} // What this VM knows as home is out of date.
		}
		return true
	case decides && u.Known:
		b.adopt(now, t)
	}
	return decides
}

// adopt adds to the window what another VM has counted in the same time, and ends the time
// in which retries are unknown.
func (b *budget) adopt(now time.Time, t *receivedUse) {
	oldest := b.currentPart(now).index - int64(len(b.requests))
	for i, told := range t.use.Parts {
		index := t.index - int64(i)
		if index <= oldest {
			break
		}
		p := b.requests.part(index)
		p.total, p.marked = max(p.total, told.Requests), max(p.marked, told.Retries)
	}
	b.tenure.next, b.tenure.known = now, true
	b.told = nil
}

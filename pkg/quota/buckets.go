package quota

import (
	"sync"
	"time"
)

const (
	// TickPeriod is the time between two calls of Buckets.Beat.
	TickPeriod = 250 * time.Millisecond
	// maxStall is how late a tick may come before the VM counts as paused. Others may have
	// decided for its parts meanwhile.
	maxStall = 500 * time.Millisecond
	// sweepInterval is the time between two searches for idle buckets.
	sweepInterval = 10 * time.Second
	// idleTimeout is the time without calls after which a full bucket is deleted.
	idleTimeout = 30 * time.Second
)

// roleKind distinguishes the buckets that a VM has for a part by its role.
type roleKind int

const (
	asHome roleKind = iota
	asStandby
	asIsolated
)

// bucketID identifies a bucket of a Buckets.
type bucketID struct {
	part     PartID
	roleKind roleKind
}

// held is a bucket with what is known of its use.
type held struct {
	bucket
	terms  Terms
	demand demand
	taken  recent
	usedAt time.Time
}

// Buckets holds the token buckets of the parts for which a VM decides. It is safe for concurrent
// use.
type Buckets struct {
	tolerance func() Tolerance

	mu        sync.Mutex
	held      map[bucketID]*held
	tickedAt  time.Time // When Tick was last called; zero before the first call.
	emptiedAt time.Time // When the last pause ended.
	sweptAt   time.Time
}

// NewBuckets returns an empty set of buckets.
func NewBuckets(tolerance func() Tolerance) *Buckets {
	return &Buckets{tolerance: tolerance, held: make(map[bucketID]*held)}
}

// Tick must be called every TickPeriod. It reports whether the VM was paused; its buckets
// then hold what those of a new VM do.
func (k *Buckets) Tick(now time.Time) (paused bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	paused = k.emptyAfterPause(now)
	k.tickedAt = now
	if now.Sub(k.sweptAt) >= sweepInterval {
		k.sweptAt = now
		k.sweep(now)
	}
	return paused
}

// emptyAfterPause has all buckets start anew if ticks have been missing.
func (k *Buckets) emptyAfterPause(now time.Time) bool {
	if k.tickedAt.IsZero() || now.Sub(k.tickedAt) <= TickPeriod+maxStall {
		return false
	}
	k.emptiedAt, k.tickedAt = now, now
	return true
}

// sweep deletes the full buckets that are idle. A home that has been one for long starts with
// a full bucket again; the others start with what a new VM has.
func (k *Buckets) sweep(now time.Time) {
	for id, h := range k.held {
		h.refill(now)
		if now.Sub(h.usedAt) > idleTimeout && h.tokens >= h.capacity-tokenRounding {
			delete(k.held, id)
		}
	}
}

// Take takes a token of a part for which this VM has a role.
func (k *Buckets) Take(now time.Time, a Ask, s Role) Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.emptyAfterPause(now)
	h, ok := k.find(now, a.Part, a.Terms, s)
	if !ok {
		return NotHome{}
	}
	if !a.Again {
		h.demand.add(now, 1, 0)
	}
	if a.Skipped > 0 {
		h.demand.add(now, a.Skipped, a.SkippedFor)
	}
	h.usedAt = now
	hint := h.demand.hint(now, &h.bucket, Parts(h.terms.Quota))
	wait := h.wait()
	if wait > 0 && (wait > a.MaxWait || hint.Overall < 1) {
		return Exhausted{RetryAfter: wait, Hint: hint}
	}
	h.tokens--
	h.taken.add(now, k.tolerance().Window, 1)
	return Granted{Wait: wait, Hint: h.demand.hint(now, &h.bucket, Parts(h.terms.Quota))}
}

// find returns the bucket of a part, refilled, or false if this VM does not decide for it.
func (k *Buckets) find(now time.Time, p PartID, terms Terms, s Role) (*held, bool) {
	id := bucketID{part: p}
	since := k.emptiedAt
	switch s := s.(type) {
	case Home:
		id.roleKind, since = asHome, later(since, s.Since)
	case Standby:
		id.roleKind, since = asStandby, later(since, s.Since)
	case Isolated:
		id.roleKind = asIsolated
	case NoRole:
		return nil, false
	}
	h, known := k.held[id]
	if known && h.terms.Version > terms.Version {
		terms = h.terms
	}
	if id.roleKind != asIsolated && int(p.Index) >= Parts(terms.Quota) {
		return nil, false
	}
	rate, capacity, start := bounds(terms.Quota, k.tolerance(), s)
	if !known {
		h = &held{usedAt: now}
		h.rate, h.capacity, h.tokens, h.refilledAt = rate, capacity, min(start, capacity), now
		if id.roleKind == asHome {
			h.refilledAt = since
		}
		k.held[id] = h
	}
	if since.After(h.usedAt) {
		h.restart(since, start) // Other VMs may have decided between the last use and this time.
	}
	h.set(now, rate, capacity)
	h.terms = terms
	return h, true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Usage is the state of a part at the VM that decides for it.
type Usage struct {
	Tokens float64
	Taken  int // Tokens taken in the last window.
	Demand float64
}

// Usage returns the state of a part for which this VM is the home, or false if the part
// has not been used lately.
func (k *Buckets) Usage(now time.Time, p PartID) (Usage, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.held[bucketID{p, asHome}]
	if !ok {
		return Usage{}, false
	}
	h.refill(now)
	return Usage{h.tokens, h.taken.count(now, k.tolerance().Window), h.demand.now(now)}, true
}

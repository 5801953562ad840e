package pool

import (
	"time"

	"laburnumpick.org/pkg/admission"
	"laburnumpick.org/pkg/site"
)

// costAwareness is the state of a pool whose queue is ordered by cost.
type costAwareness struct {
	ledger   *admission.Ledger // Nil under admission.ByPriority.
	ends     window            // Attempts that have ended; those that were not served are the marked ones.
	hint     admission.Hint
	hintedAt time.Time
}

func newCostAwareness(p admission.Policy) costAwareness {
	if p != admission.CostAware {
		return costAwareness{}
	}
	return costAwareness{ledger: admission.NewLedger(), ends: newWindow(endsParts)}
}

// Window in which the share of attempts that are served is measured, and the least number
// of them that is evidence.
const (
	endsWindow  = 2 * time.Second
	endsParts   = 4
	endsPart    = endsWindow / endsParts
	minEnds     = 20
	hintRefresh = sweepInterval // Between two computations of the hint.
)

// workOf returns the server time that a request of a rule is expected to need.
func (p *Pool) workOf(now time.Time, rule site.RuleName) admission.Work {
	u := p.latencyOf(now, rule)
	return admission.Work{Mean: scale(u.mean, 1), High: scale(u.p95, 1)}
}

// admissionRequest converts a request to the form of package admission.
func (p *Pool) admissionRequest(now time.Time, r Request, t Ticket) admission.Request {
	return newAdmissionRequest(r, t, p.workOf(now, r.Rule))
}

func newAdmissionRequest(r Request, t Ticket, w admission.Work) admission.Request {
	return admission.Request{
		Arrival: int64(t), Priority: r.Priority, Account: r.Account, Class: r.Class, Attempts: r.Attempts,
		Target: r.Target, Deadline: r.Deadline, Work: w,
	}
}

// admissionQueue returns the queued requests in the form of package admission.
func (p *Pool) admissionQueue(now time.Time) []admission.Request {
	return p.admissionRequests(now, p.queue.waiters)
}

// admissionRequests returns waiters in the form of package admission.
func (p *Pool) admissionRequests(now time.Time, waiters []*waiter) []admission.Request {
	out := make([]admission.Request, len(waiters), len(waiters)+1)
	var work admission.Work
	for i, w := range waiters {
		if i == 0 || w.request.Rule != waiters[i-1].request.Rule {
			work = p.workOf(now, w.request.Rule)
		}
		out[i] = newAdmissionRequest(w.request, w.ticket, work)
	}
	return out
}

// orderByCost returns waiters in the order in which they are to be served.
func (p *Pool) orderByCost(now time.Time, waiters []*waiter) []*waiter {
	out := make([]*waiter, 0, len(waiters))
	for _, i := range p.ledger.Order(now, p.admissionRequests(now, waiters)) {
		out = append(out, waiters[i])
	}
	return out
}

// evictByCost evicts the waiter that would be served last to make room for a request. It
// reports false if the request itself would be served last.
func (p *Pool) evictByCost(now time.Time, r Request) bool {
	queued := p.admissionQueue(now)
	last := p.ledger.Last(now, append(queued, p.admissionRequest(now, r, p.queue.next+1)))
	if last == len(queued) {
		return false
	}
	p.queue.evict(last)
	return true
}

// backlog is what is served before a queued request.
type backlog struct {
	requests int
	work     time.Duration
}

func (b *backlog) add(w admission.Work) {
	b.requests++
	b.work += w.Mean
}

// capacity returns the pool's slots as package admission counts them.
func (p *Pool) capacity(slots float64) admission.Capacity {
	return admission.Capacity{Slots: slots, MeanHold: scale(p.meanMs, 1)}
}

// waitByWork estimates the wait for a slot by the work that is queued ahead of a request,
// and returns the number of queued requests that are about as much work.
func (p *Pool) waitByWork(now time.Time, r Request, slots float64) (time.Duration, int) {
	q := p.admissionRequest(now, r, p.queue.next+1)
	work := p.ledger.WorkAhead(now, p.admissionQueue(now), q)
	return p.ledger.Wait(now, p.capacity(slots), q, work), min(p.queue.len(), int(milliseconds(work)/p.meanMs))
}

// queuedWait estimates the wait of a queued request that has others ahead of it, apart
// from the wait for the first slot to become free.
func (p *Pool) queuedWait(now time.Time, r Request, ahead backlog, slots float64) time.Duration {
	if p.ledger == nil {
		return p.waitBehind(ahead.requests, slots) - p.waitBehind(0, slots)
	}
	c := p.capacity(slots)
	return p.ledger.Wait(now, c, p.admissionRequest(now, r, 0), ahead.work) - time.Duration(float64(c.MeanHold)/slots)
}

// allowsRetry reports whether the retry budget may be used for a retry of the request
// that waits for a time first.
func (p *Pool) allowsRetry(now time.Time, r Request, wait time.Duration) bool {
	inBudget := p.budget.allowsRetry(now)
	if p.ledger == nil || !inBudget {
		return inBudget
	}
	spent, allowed := p.budget.usage(now)
	left := float64(allowed-spent) / float64(max(allowed, 1))
	return admission.AllowsRetry(left, p.ledger.RetryOf(now, p.admissionRequest(now, r, 0), wait, p.servedShare(now)))
}

// allowsRetryAfterWait reports whether the retry budget may be used for a retry of a
// request that has yet to get a slot.
func (p *Pool) allowsRetryAfterWait(now time.Time, r Request) bool {
	if p.ledger == nil {
		return p.budget.allowsRetry(now)
	}
	return p.allowsRetry(now, r, p.expectedWait(now, r))
}

// servedShare returns the share of the latest attempts that were served, or 1 if there
// are too few.
func (p *Pool) servedShare(now time.Time) float64 {
	s := p.ends.sum(now, endsPart)
	if s.total < minEnds {
		return 1
	}
	return 1 - float64(s.marked)/float64(s.total)
}

// recordArrival counts a request that arrives.
func (p *Pool) recordArrival(now time.Time, r Request) {
	if p.ledger != nil {
		p.ledger.RecordArrival(now, p.admissionRequest(now, r, 0))
	}
}

// recordRefusal counts a request that is refused.
func (p *Pool) recordRefusal(now time.Time, r Request) {
	if p.ledger != nil {
		p.ledger.RecordRefusal(now, p.admissionRequest(now, r, 0))
	}
}

// recordGrant charges the request's account with a grant.
func (p *Pool) recordGrant(now time.Time, o *outstanding, r Request) {
	if p.ledger != nil {
		o.charge = p.ledger.RecordGrant(now, p.admissionRequest(now, r, 0))
	}
}

// recordEnd charges the request's account with the time for which the slot was held, and
// counts whether the server served the attempt. Attempts that ended for reasons of the
// caller or of a VM say nothing of that.
func (p *Pool) recordEnd(now time.Time, o *outstanding, r Report) {
	if p.ledger == nil || o.charge == (admission.Charge{}) {
		return // Not charged: granted under another policy.
	}
	p.ledger.RecordRelease(now, o.charge, now.Sub(o.grantedAt))
	switch r := r.(type) {
	case Served:
		p.ends.current(now, endsPart).total++
	case Failed, Unreached:
		p.countNotServed(now)
	case Declined:
		if r.Reason == Shed || r.Reason == Limited {
			p.countNotServed(now)
		}
	case Dropped:
	}
}

func (p *Pool) countNotServed(now time.Time) {
	part := p.ends.current(now, endsPart)
	part.total++
	part.marked++
}

// CapacityHint returns which requests the pool refuses at present, for the VMs that send
// them.
func (p *Pool) CapacityHint(now time.Time) admission.Hint {
	if p.ledger == nil {
		return admission.Hint{}
	}
	if now.Sub(p.hintedAt) >= hintRefresh {
		p.hint, p.hintedAt = p.ledger.Hint(now, p.capacity(p.usableSlots(now)), p.admissionQueue(now)), now
	}
	return p.hint
}

package pool

import (
	"time"
)

// CancelWait removes a request from the queue.
func (p *Pool) CancelWait(t Ticket) { p.queue.remove(t) }

// Queued returns the number of queued requests.
func (p *Pool) Queued() int { return p.queue.len() }

// QueueDecision is the decision that ends the wait of a queued request.
type QueueDecision struct {
	Ticket   Ticket
	Decision Decision // Granted or Refused.
}

// DispatchQueue grants free slots to queued requests in the queue's order, and
// refuses the requests that can no longer be served in time.
func (p *Pool) DispatchQueue(now time.Time) []QueueDecision {
	var out []QueueDecision
	for _, w := range p.queue.takeEvicted() {
		out = append(out, QueueDecision{w.ticket, p.refuseEvicted(now, w.request)})
	}
	if p.queue.len() == 0 {
		return out
	}
	free := p.freeSlots(now)
	if now.Sub(p.lastSweep) < sweepInterval {
		if free == 0 {
			return out
		}
		granted, exhausted := p.serveFront(now, free)
		out = append(out, granted...)
		if !exhausted {
			return out
		}
		free = p.freeSlots(now)
	}
	p.lastSweep = now
	return append(out, p.sweep(now, free)...)
}

// sweepInterval is the time between two sweeps of the queue, unless its front is used up. A
// sweep orders the whole queue and finds the requests that can no longer be served in time.
const sweepInterval = 25 * time.Millisecond

// serveFront grants free slots to the requests at the front of the queue. It reports whether
// requests that are not in the front may have a turn.
func (p *Pool) serveFront(now time.Time, free int) (out []QueueDecision, exhausted bool) {
	f := &p.queue.front
	next := f.next(func(ws []*waiter) []*waiter { return p.serviceOrder(now, ws) })
	for _, w := range next {
		if free == 0 {
			return out, false
		}
		if d, ok := p.serve(now, w); ok {
			free--
			out = append(out, d)
		}
	}
	return out, free > 0 && p.queue.len() > len(next)-len(out)
}

// serve grants a slot to a queued request, if a server can take it.
func (p *Pool) serve(now time.Time, w *waiter) (QueueDecision, bool) {
	v := p.choose(now, w.request, !p.hasUsableServer(now, w.request))
	if v == nil {
		return QueueDecision{}, false
	}
	p.queue.serve(w)
	return QueueDecision{w.ticket, p.grant(now, v, w.request, false)}, true
}

// freeSlots returns the number of free slots of all servers, including suspected
// ones and ones in back-off.
func (p *Pool) freeSlots(now time.Time) int {
	n := 0
	k := ranking{now: now, overloaded: p.overloaded(now)}
	for _, v := range p.order {
		if v.hasFreeSlot(k, true) {
			n += v.capacity(now) - v.inUse
		}
	}
	return n
}

// sweep goes through the queue in order, and grants or refuses requests.
func (p *Pool) sweep(now time.Time, free int) []QueueDecision {
	var out []QueueDecision
	var ahead backlog
	slots := p.usableSlots(now)
	if slots == 0 {
		slots = 1 // Servers in back-off will be usable again.
	}
	var left []*waiter
	for _, w := range p.serviceOrder(now, p.queue.waiters) {
		if free > 0 {
			if d, ok := p.serve(now, w); ok {
				free--
				out = append(out, d)
				continue
			}
		}
		wait := p.queuedWait(now, w.request, ahead, slots)
		if turn, limited := p.untilTurn(now, w.request, ahead.requests); limited {
			wait = turn
		}
		if left, paused := p.untilPauseEnds(now, w.request); paused {
			wait = max(wait, left)
		}
		if now.Add(wait).After(w.waitLimit) {
			if v := p.choose(now, w.request, true); v != nil {
				p.queue.serve(w)
				out = append(out, QueueDecision{w.ticket, p.grant(now, v, w.request, false)})
				continue
			}
			p.queue.remove(w.ticket)
			p.recordRefusal(now, w.request)
			out = append(out, QueueDecision{w.ticket, p.refuse(now, w.request, max(wait, p.waitBehind(0, slots)))})
			continue
		}
		ahead.add(p.workOf(now, w.request.Rule))
		left = append(left, w)
	}
	p.queue.front.reset(left)
	return out
}

// serviceOrder returns queued requests, which are sorted by ticket, in the order in which they
// are to be served.
func (p *Pool) serviceOrder(now time.Time, waiters []*waiter) []*waiter {
	if p.ledger != nil {
		return p.orderByCost(now, waiters)
	}
	return p.queue.inServiceOrder(waiters, func(r Request) bool { return p.missesTarget(now, r) })
}

// refuseEvicted refuses a request that was evicted from the queue.
func (p *Pool) refuseEvicted(now time.Time, r Request) Refused {
	if p.ledger == nil {
		r = Request{}
	}
	p.recordRefusal(now, r)
	return p.refuse(now, r, p.expectedWait(now, r))
}

// missesTarget reports whether a request that is sent now will most likely miss its
// target.
func (p *Pool) missesTarget(now time.Time, r Request) bool {
	return !r.Target.IsZero() && now.Add(scale(p.latencyOf(now, r.Rule).median, 1)).After(r.Target)
}

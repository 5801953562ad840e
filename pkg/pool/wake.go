package pool

import (
	"time"
)

// CancelWait takes a request out of the queue.
func (p *Pool) CancelWait(t Ticket) { p.queue.remove(t) }

// QueueDecision ends the wait of a queued request.
type QueueDecision struct {
	Ticket   Ticket
	Decision Decision // Granted or Refused.
}

// DispatchQueue hands free slots to waiting requests in the queue's order, and refuses
// those that cannot be served in time any more.
func (p *Pool) DispatchQueue(now time.Time) []QueueDecision {
	var out []QueueDecision
	for _, t := range p.queue.evicted() {
		out = append(out, QueueDecision{t, p.refuse(p.expectedWait(now, Request{}))})
	}
	if p.queue.len() == 0 {
		return out
	}
	free := p.free(now)
	if free == 0 && now.Sub(p.swept) < sweepGap {
		return out
	}
	p.swept = now
	return append(out, p.sweep(now, free)...)
}

// sweepGap is the rest between two looks for waiting requests that have become
// hopeless.
const sweepGap = 25 * time.Millisecond

// free returns how many more requests some server could take, resting and
// doubted ones included.
func (p *Pool) free(now time.Time) int {
	n := 0
	for _, v := range p.order {
		if v.open(ranking{now: now, pressed: p.pressed(now)}, true) {
			n += v.room(now) - v.inUse
		}
	}
	return n
}

// sweep goes through the queue in its order.
func (p *Pool) sweep(now time.Time, free int) []QueueDecision {
	var out []QueueDecision
	late := func(r Request) bool { return p.late(now, r) }
	place, slots := 0, max(1, p.slots(now))
	for _, w := range p.queue.inOrder(late) {
		if free > 0 {
			if v := p.choose(now, w.request, !p.usable(now, w.request)); v != nil {
				free--
				p.queue.serve(w)
				out = append(out, QueueDecision{w.ticket, p.grant(now, v, w.request, false)})
				continue
			}
		}
		if now.Add(p.waitBehind(place, slots) - p.waitBehind(0, slots)).After(w.latest) {
			if v := p.choose(now, w.request, true); v != nil {
				p.queue.serve(w)
				out = append(out, QueueDecision{w.ticket, p.grant(now, v, w.request, false)})
				continue
			}
			p.queue.remove(w.ticket)
			out = append(out, QueueDecision{w.ticket, p.refuse(p.waitBehind(place, slots))})
			continue
		}
		place++
	}
	return out
}

// late reports whether a request that is sent now will most likely miss its
// target.
func (p *Pool) late(now time.Time, r Request) bool {
	return !r.Target.IsZero() && now.Add(scale(p.usualOf(now, r.Rule).median, 1)).After(r.Target)
}

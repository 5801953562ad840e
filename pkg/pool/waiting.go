package pool

import (
	"time"

	"laburnumpick.org/pkg/admission"
	"laburnumpick.org/pkg/outcome"
)

// retryAfter returns how long a caller should wait before it retries a request that
// was refused for another reason than a full queue.
func (p *Pool) retryAfter(now time.Time, r Request) time.Duration {
	if p.ledger != nil {
		return admission.RetryAfter(p.expectedWait(now, r), r.Jitter)
	}
	return min(max(p.expectedWait(now, Request{}), minRetryAfter), maxRetryAfter)
}

// enqueue queues a request, or refuses it if it could not be served in time.
func (p *Pool) enqueue(now time.Time, r Request, wait time.Duration) Decision {
	if !p.hasCandidate(r) {
		return Refused{Kind: outcome.NoServer, Detail: "no server of the service can be used", RetryAfter: time.Second}
	}
	// By cost, evicting what would be served after the request gains nothing.
	if p.waitsTooLong(now, r, wait) && (p.ledger != nil || !p.queue.evictFor(r)) {
		return p.refuse(now, r, wait)
	}
	if p.queue.len() >= maxQueueLen && (p.ledger == nil || !p.evictByCost(now, r)) {
		return p.refuse(now, r, wait)
	}
	return Waiting{p.queue.push(r, p.waitLimit(now, r))}
}

// waitsTooLong reports whether a request that arrives now would most likely get its slot
// later than it may.
func (p *Pool) waitsTooLong(now time.Time, r Request, wait time.Duration) bool {
	if p.ledger != nil {
		wait = scaled(wait, waitMargin)
	}
	return now.Add(wait).After(p.waitLimit(now, r))
}

// waitMargin is the ratio of the time that a request may wait to its expected wait at or
// above which it is queued under admission.CostAware. Estimates vary while a request
// waits, and a refusal on arrival is worth more to its caller than one after seconds.
const waitMargin = 1.2

// scaled returns a multiple of a duration.
func scaled(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }

// waitLimit returns until when a request that arrives now may wait.
func (p *Pool) waitLimit(now time.Time, r Request) time.Time {
	if p.ledger != nil {
		return p.ledger.WaitLimit(now, p.admissionRequest(now, r, 0))
	}
	share := now.Add(time.Duration(maxWaitShare * float64(r.Deadline.Sub(now))))
	latestStart := r.Deadline.Add(-scale(p.latencyOf(now, r.Rule).p95, queuedRunRatio))
	if latestStart.Before(share) {
		return latestStart
	}
	return share
}

// refuse refuses a request because no slot becomes free in time, or the servers' limits
// allow none. wait is the expected wait for a slot.
func (p *Pool) refuse(now time.Time, r Request, wait time.Duration) Refused {
	out := Refused{Kind: outcome.Overload, Detail: "no slot of a server is free in time", RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
	if p.ledger != nil {
		out.RetryAfter = admission.RetryAfter(wait, r.Jitter)
	}
	if turn, limited := p.untilTurn(now, r, 0); limited && turn > 0 {
		out.Kind, out.Detail = outcome.ServerLimits, "the limits that the servers name allow no request in time"
	}
	if left, paused := p.untilPauseEnds(now, r); paused {
		out.Kind, out.Detail = outcome.ServerPauses, "the servers want no requests from this VM for a time"
		out.RetryAfter = max(out.RetryAfter, left)
	}
	return out
}

// expectedWait estimates how long a request would wait in the queue.
func (p *Pool) expectedWait(now time.Time, r Request) time.Duration {
	slots := p.usableSlots(now)
	if slots == 0 {
		return time.Second // A guess of when a server in back-off is usable again.
	}
	wait, ahead := p.waitInQueue(now, r, slots)
	if turn, limited := p.untilTurn(now, r, ahead); limited {
		wait = max(wait-p.waitBehind(0, slots), turn)
	}
	if left, paused := p.untilPauseEnds(now, r); paused {
		wait = max(wait, left)
	}
	for _, v := range p.order {
		if v.trusted() && v.pausedUntil.After(now) {
			wait += v.pausedUntil.Sub(now) / time.Duration(len(p.order))
		}
	}
	return wait
}

// waitInQueue estimates the wait for a slot behind the queued requests that go before a
// request, and returns their number.
func (p *Pool) waitInQueue(now time.Time, r Request, slots float64) (time.Duration, int) {
	if p.ledger != nil {
		return p.waitByWork(now, r, slots)
	}
	ahead := p.queue.ahead(r)
	return p.waitBehind(ahead, slots), ahead
}

// waitBehind estimates the wait for a slot behind n other requests.
func (p *Pool) waitBehind(n int, slots float64) time.Duration {
	return scale(p.meanMs, float64(n+1)/slots)
}

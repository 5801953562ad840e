package pool

import (
	"time"
)

// Tick takes back the grants whose VMs are held for lost and lets servers back
// that cannot be tried, and returns what changed.
func (p *Pool) Tick(now time.Time) []Event {
	var events []Event
	for _, o := range p.grants {
		if now.After(o.deadline.Add(grantGrace)) {
			events = append(events, p.Release(now, o.grant, Dropped{})...)
		}
	}
	p.overdue(now)
	patience := trialOverdue
	if now.Sub(p.repeatableAt) > repeatableMemory {
		patience = 0
	}
	for _, v := range p.order {
		if (v.state == Suspected || v.state == Ejected) && !v.trying && now.Sub(v.nextTrial) >= patience {
			events = append(events, p.parole(now, v))
		}
	}
	return events
}

const (
	// repeatableMemory is how long after a repeatable request more are expected.
	repeatableMemory = time.Minute
	// trialOverdue is how long a server waits for a request that may try it.
	trialOverdue = 2 * time.Second
)

// parole lets a server back without a trial, since the service gets too few
// requests that could be repeated. It has one slot, and fewer failures convict
// it.
func (p *Pool) parole(now time.Time, v *server) Event {
	from := v.state
	v.move(now, Warming, "its time is over, and no request may try it")
	v.failScore = float64(p.set.ScoreThreshold) * commonScore
	return Event{v.cfg.Name, from, Warming, v.reason}
}

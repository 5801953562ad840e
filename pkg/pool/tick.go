package pool

import (
	"time"
)

// Tick releases the grants whose VMs count as lost, begins the slow periods of
// servers with overdue responses, and readmits the servers on probation that no request
// came to probe. It returns the changes of state.
func (p *Pool) Tick(now time.Time) []Event {
	var events []Event
	for _, o := range p.grants {
		if now.After(o.deadline.Add(grantGrace)) {
			events = append(events, p.Release(now, o.grant, Dropped{})...)
		}
	}
	p.pauses.expire(now)
	p.markOverdue(now)
	wait := probeOverdue
	if now.Sub(p.lastRepeatable) > repeatableMemory {
		wait = 0
	}
	for _, v := range p.order {
		if (v.state == Suspected || v.state == Ejected) && !v.probing && now.Sub(v.nextProbe) >= wait {
			events = append(events, p.readmitUnprobed(now, v))
		}
	}
	return events
}

const (
	// repeatableMemory is how long after a repeatable request another one is expected.
	repeatableMemory = time.Minute
	// probeOverdue is how long a server whose probe is due waits for a request that
	// may probe it.
	probeOverdue = 2 * time.Second
)

// readmitUnprobed readmits a server without a probe, because the service gets too
// few repeatable requests. The server gets one slot, and starts with a score so that
// fewer failures make it suspected again.
func (p *Pool) readmitUnprobed(now time.Time, v *server) Event {
	from := v.state
	v.setState(now, Warming, "probation is over, and no repeatable request came to probe it")
	v.failScore = float64(p.settings.ScoreThreshold) * commonScore
	return Event{v.cfg.Name, from, Warming, v.reason}
}

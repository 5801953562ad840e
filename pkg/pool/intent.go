package pool

import (
	"time"

	"laburnumpick.org/pkg/site"
)

// Intent is an action that the pool requests from its home: Eject, RecordLeaving,
// Restore or CheckConnection. The home reports the result with EjectionRecorded or
// ConnectionChecked.
type Intent interface{ intent() }

// Eject requests that a suspected server's ejection be recorded in the platform's
// table.
type Eject struct {
	Server site.Server
	Reason string
}

// RecordLeaving requests that a leaving server be recorded as out of use, so that it
// does not count towards the floor when another server is to be ejected.
type RecordLeaving struct {
	Server site.Server
	Reason string
}

// Restore requests that a server that is in use again be no longer recorded as
// ejected or leaving.
type Restore struct{ Server site.Server }

// CheckConnection requests a test connection to a server that is down.
type CheckConnection struct{ Server site.Server }

func (Eject) intent()           {}
func (RecordLeaving) intent()   {}
func (Restore) intent()         {}
func (CheckConnection) intent() {}

// intentInterval is the least time between two requests for the same action. It
// limits the writes to the table.
const intentInterval = 3 * time.Second

// Intents returns the actions that are due now. recorded reports whether a server is
// recorded as ejected or leaving in the platform's table.
func (p *Pool) Intents(now time.Time, recorded func(site.ServerName) bool) []Intent {
	var out []Intent
	for _, v := range p.order {
		if in := p.intent(now, v, recorded(v.cfg.Name)); in != nil {
			out = append(out, in)
		}
	}
	return out
}

// intent returns the action that is due for one server, or nil.
func (p *Pool) intent(now time.Time, v *server, recorded bool) Intent {
	switch v.state {
	case Suspected:
		if p.intentDue(now, v) {
			return Eject{v.cfg, v.reason}
		}
	case Healthy, Warming:
		return p.intentOfTrusted(now, v, recorded)
	case Down:
		if !v.probing && !now.Before(v.nextProbe) {
			v.probing = true
			return CheckConnection{v.cfg}
		}
	case Leaving:
		if !recorded && p.intentDue(now, v) {
			return RecordLeaving{v.cfg, v.reason}
		}
	case Ejected, Held:
	}
	return nil
}

// intentOfTrusted returns the action that is due for a trusted server, or nil.
func (p *Pool) intentOfTrusted(now time.Time, v *server, recorded bool) Intent {
	if recorded && p.intentDue(now, v) {
		return Restore{v.cfg}
	}
	return nil
}

// intentDue reports whether an action may be requested for the server now. If so, it
// starts the next intentInterval.
func (p *Pool) intentDue(now time.Time, v *server) bool {
	if now.Sub(v.lastIntent) < intentInterval {
		return false
	}
	v.lastIntent = now
	return true
}

// EjectionRecorded marks a suspected server as ejected, once the table's record
// contains it.
func (p *Pool) EjectionRecorded(now time.Time, n site.ServerName) []Event {
	v, ok := p.servers[n]
	if !ok || v.state != Suspected {
		return nil
	}
	reason := v.reason
	next := v.nextProbe
	v.setState(now, Ejected, reason)
	v.nextProbe = next
	return []Event{{n, Suspected, Ejected, reason}}
}

// AdoptEjection marks a server as ejected that an earlier home of the pool ejected.
func (p *Pool) AdoptEjection(now time.Time, n site.ServerName, reason string) []Event {
	v, ok := p.servers[n]
	if !ok || v.state != Healthy {
		return nil
	}
	v.setState(now, Ejected, reason)
	v.nextProbe = now.Add(firstProbeDelay)
	return []Event{{n, Healthy, Ejected, reason}}
}

// Readmit readmits an ejected server at once, because its service needs the
// capacity.
func (p *Pool) Readmit(now time.Time, n site.ServerName, reason string) []Event {
	v, ok := p.servers[n]
	if !ok || v.state != Ejected {
		return nil
	}
	v.setState(now, Warming, reason)
	return []Event{{n, Ejected, Warming, reason}}
}

// SetHeld takes a server out of use, or readmits it, on an operator's command.
func (p *Pool) SetHeld(now time.Time, n site.ServerName, held bool, reason string) []Event {
	v, ok := p.servers[n]
	if !ok || held == (v.state == Held) {
		return nil
	}
	from, to := v.state, Held
	if !held {
		to = Warming
	}
	v.setState(now, to, reason)
	return []Event{{n, from, to, reason}}
}

// ConnectionChecked handles the result of a CheckConnection. The home's own link to
// the server may be broken, so after maxDownTime the server is readmitted even if
// the check failed.
func (p *Pool) ConnectionChecked(now time.Time, n site.ServerName, ok bool) []Event {
	v, known := p.servers[n]
	if !known {
		return nil
	}
	v.probing = false
	if v.state != Down {
		return nil
	}
	if !ok && now.Sub(v.since) < maxDownTime {
		v.stateCount++
		v.nextProbe = now.Add(v.connectionCheckDelay())
		return nil
	}
	v.setState(now, Warming, "it accepts connections again, or was down for too long")
	return []Event{{n, Down, Warming, v.reason}}
}

// maxDownTime is how long a crashed server is left out while connections to it fail.
// Servers that crash are usually back after some seconds.
const maxDownTime = 6 * time.Second

// ServerView is the pool's state of one server.
type ServerView struct {
	Server    site.Server `json:"server"`
	State     State       `json:"state"`
	Since     time.Time   `json:"since"`
	Reason    string      `json:"reason"`
	InUse     int         `json:"inUse"`
	OpenSlots int         `json:"open"` // Slots that are open; fewer than all while the server warms up.
	Score     float64     `json:"score"`
	FailRate  float64     `json:"failRate"`
	Strikes   int         `json:"strikes"`
	Failures  int         `json:"failures"` // Back-offs of the current failure streak.
	// Limit is the limit on requests that the server has named, at LimitNamedAt to the VM
	// LimitNamedTo. LimitedGrants counts the requests granted against it.
	Limit         site.RequestLimit `json:"limit"`
	LimitNamedTo  string            `json:"limitNamedTo"`
	LimitNamedAt  time.Time         `json:"limitNamedAt"`
	LimitedGrants int               `json:"limitedGrants"`
	// PausedVMs is the number of VMs from which the server wants no requests for a time.
	PausedVMs int `json:"pausedVMs"`
}

// View is the state of a pool, for operators.
type View struct {
	ID      ID           `json:"id"`
	Queued  int          `json:"queued"`
	Servers []ServerView `json:"servers"`
}

// View returns a copy of the pool's state.
func (p *Pool) View() View {
	out := View{ID: p.id, Queued: p.queue.len()}
	for _, v := range p.order {
		out.Servers = append(out.Servers, ServerView{
			Server: v.cfg, State: v.state, Since: v.since, Reason: v.reason, InUse: v.inUse,
			OpenSlots: v.openSlots, Score: v.score(), FailRate: v.failRate, Strikes: v.strikes, Failures: v.streak,
			Limit: v.limit, LimitNamedTo: v.namedTo, LimitNamedAt: v.namedAt, LimitedGrants: v.limitedGrants,
			PausedVMs: p.pauses.vmsOf(v),
		})
	}
	return out
}

// Stats are the pool's figures for metrics.
type Stats struct {
	Queued      int // Waiting requests.
	InUse       int // Slots in use.
	Slots       int // Slots of all servers that are not leaving, down or held.
	Servers     int // All servers.
	Usable      int // Trusted servers without a failure streak.
	Retries     int // Retries in the budget's window.
	RetryBudget int // Retries that the budget allows in its window.
	// Limited is the number of servers that name a limit on requests, LimitedRate the
	// requests per second that this home may send to them together.
	Limited     int
	LimitedRate float64
}

// Stats returns the pool's figures.
func (p *Pool) Stats(now time.Time) Stats {
	s := Stats{Queued: p.queue.len(), Servers: len(p.order)}
	s.Retries, s.RetryBudget = p.budget.usage(now)
	for _, v := range p.order {
		s.InUse += v.inUse
		if v.state != Leaving && v.state != Down && v.state != Held {
			s.Slots += v.cfg.Slots
		}
		if v.trusted() && v.streak == 0 {
			s.Usable++
		}
		if v.limit.Named {
			s.Limited++
			s.LimitedRate += v.requestRate()
		}
	}
	return s
}

// State returns the state of a server, or "" if the pool has no such server.
func (p *Pool) State(n site.ServerName) State {
	if v, ok := p.servers[n]; ok {
		return v.state
	}
	return ""
}

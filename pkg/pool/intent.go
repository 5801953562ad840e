package pool

import (
	"time"

	"laburnumpick.org/pkg/site"
)

// Intent is something that the pool wants its home to do: Eject, Depart,
// Restore or Reach. The home answers with Recorded, Adopt or Reached.
type Intent interface{ intent() }

// Eject wants a doubted server's ejection recorded in the platform's table.
type Eject struct {
	Server site.Server
	Reason string
}

// RecordLeaving wants a leaving server recorded as out, so that no other server is
// ejected in the belief that this one still serves.
type RecordLeaving struct {
	Server site.Server
	Reason string
}

// Restore wants the record of a server's ejection taken back.
type Restore struct{ Server site.Server }

// CheckConnection wants a connection to a server that is down.
type CheckConnection struct{ Server site.Server }

func (Eject) intent()           {}
func (RecordLeaving) intent()   {}
func (Restore) intent()         {}
func (CheckConnection) intent() {}

// askAgain is the rest between two wishes for the same thing, which bounds the
// writes to the table.
const askAgain = 3 * time.Second

// Intents returns what is wanted now. recorded says which servers the table's
// record of ejections names.
func (p *Pool) Intents(now time.Time, recorded func(site.ServerName) bool) []Intent {
	var out []Intent
	for _, v := range p.order {
		if in := p.intent(now, v, recorded(v.cfg.Name)); in != nil {
			out = append(out, in)
		}
	}
	return out
}

// intent returns what is wanted for one server, or nil.
func (p *Pool) intent(now time.Time, v *server, recorded bool) Intent {
	switch v.state {
	case Suspected:
		if p.ask(now, v) {
			return Eject{v.cfg, v.reason}
		}
	case Healthy, Warming:
		return p.intentOfTrusted(now, v, recorded)
	case Down:
		if !v.trying && !now.Before(v.nextTrial) {
			v.trying = true
			return CheckConnection{v.cfg}
		}
	case Leaving:
		if !recorded && p.ask(now, v) {
			return RecordLeaving{v.cfg, v.reason}
		}
	case Ejected, Held:
	}
	return nil
}

func (p *Pool) intentOfTrusted(now time.Time, v *server, recorded bool) Intent {
	if recorded && p.ask(now, v) {
		return Restore{v.cfg}
	}
	return nil
}

func (p *Pool) ask(now time.Time, v *server) bool {
	if now.Sub(v.asked) < askAgain {
		return false
	}
	v.asked = now
	return true
}

// EjectionRecorded tells that the table's record names the server as ejected.
func (p *Pool) EjectionRecorded(now time.Time, n site.ServerName) []Event {
	v, ok := p.servers[n]
	if !ok || v.state != Suspected {
		return nil
	}
	reason := v.reason
	next := v.nextTrial
	v.move(now, Ejected, reason)
	v.nextTrial = next
	return []Event{{n, Suspected, Ejected, reason}}
}

// AdoptEjection makes a server ejected that an earlier home of the pool had ejected.
func (p *Pool) AdoptEjection(now time.Time, n site.ServerName, reason string) []Event {
	v, ok := p.servers[n]
	if !ok || v.state != Healthy {
		return nil
	}
	v.move(now, Ejected, reason)
	v.nextTrial = now.Add(firstTrial)
	return []Event{{n, Healthy, Ejected, reason}}
}

// Readmit uses a server again at once, because its service needs the capacity.
func (p *Pool) Readmit(now time.Time, n site.ServerName, reason string) []Event {
	v, ok := p.servers[n]
	if !ok || v.state != Ejected {
		return nil
	}
	v.move(now, Warming, reason)
	return []Event{{n, Ejected, Warming, reason}}
}

// SetHeld takes a server out, or lets it back, by an operator's word.
func (p *Pool) SetHeld(now time.Time, n site.ServerName, held bool, reason string) []Event {
	v, ok := p.servers[n]
	if !ok || held == (v.state == Held) {
		return nil
	}
	from, to := v.state, Held
	if !held {
		to = Warming
	}
	v.move(now, to, reason)
	return []Event{{n, from, to, reason}}
}

// ConnectionChecked tells the result of a Reach. The home's own link may be cut, so after
// a while the server is used again all the same.
func (p *Pool) ConnectionChecked(now time.Time, n site.ServerName, ok bool) []Event {
	v, known := p.servers[n]
	if !known {
		return nil
	}
	v.trying = false
	if v.state != Down {
		return nil
	}
	if !ok && now.Sub(v.since) < longestDown {
		v.passed++
		v.nextTrial = now.Add(v.reachGap())
		return nil
	}
	v.move(now, Warming, "it takes connections again, or has been down for long")
	return []Event{{n, Down, Warming, v.reason}}
}

// longestDown is how long a server that crashed is left out. Those that crash
// are back after some seconds.
const longestDown = 6 * time.Second

// ServerView is what the pool believes of one server.
type ServerView struct {
	Server    site.Server `json:"server"`
	State     State       `json:"state"`
	Since     time.Time   `json:"since"`
	Reason    string      `json:"reason"`
	InUse     int         `json:"inUse"`
	OpenSlots int         `json:"open"` // Slots that are open.
	Score     float64     `json:"score"`
	FailRate  float64     `json:"failRate"`
	Strikes   int         `json:"strikes"`
}

// View is what the pool believes.
type View struct {
	ID      ID           `json:"id"`
	Queued  int          `json:"queued"`
	Servers []ServerView `json:"servers"`
}

// View returns a copy of what the pool believes.
func (p *Pool) View() View {
	out := View{ID: p.id, Queued: p.queue.len()}
	for _, v := range p.order {
		out.Servers = append(out.Servers, ServerView{
			Server: v.cfg, State: v.state, Since: v.since, Reason: v.reason, InUse: v.inUse,
			OpenSlots: v.warm, Score: v.score(), FailRate: v.failRate, Strikes: v.strikes,
		})
	}
	return out
}

// Stats are the pool's numbers.
type Stats struct {
	Queued      int // Requests that wait.
	InUse       int // Slots in use.
	Slots       int // Slots of all servers that are not leaving or down.
	Servers     int // Servers.
	Usable      int // Servers that are trusted and do not rest.
	Retries     int // Sendings beyond the first in the budget's window.
	RetryBudget int // How many of them the budget allows.
}

// Stats returns the pool's numbers.
func (p *Pool) Stats(now time.Time) Stats {
	s := Stats{Queued: p.queue.len(), Servers: len(p.order)}
	s.Retries, s.RetryBudget = p.budget.spent(now)
	for _, v := range p.order {
		s.InUse += v.inUse
		if v.state != Leaving && v.state != Down && v.state != Held {
			s.Slots += v.cfg.Slots
		}
		if v.trusted() && v.spell == 0 {
			s.Usable++
		}
	}
	return s
}

// State returns what the pool thinks of a server, or "" if it has none such.
func (p *Pool) State(n site.ServerName) State {
	if v, ok := p.servers[n]; ok {
		return v.state
	}
	return ""
}

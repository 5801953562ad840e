// Package floor keeps a service's floor over all VMs together.
//
// The platform's table holds one record for each service that names every
// server that is out: ejected by the fleet, leaving, or held by an operator.
// An ejection is in force only after a conditional write of that record has
// been accepted, and the write is made only where the floor stands after it.
// The row's revision is the fencing token: a VM that decided on an older
// record, or woke from a pause, gets a conflict and decides anew.
package floor

import (
	"fmt"
	"time"

	"laburnumpick.org/pkg/site"
)

// Cause is why a server is out.
type Cause string

// Causes.
const (
	Ejected Cause = "sick"    // Ejected by the fleet.
	Leaving Cause = "leaving" // It drains.
	Held    Cause = "held"    // Taken out by an operator.
)

// Entry is one server that is out.
type Entry struct {
	Cause  Cause     `json:"cause"`
	Reason string    `json:"reason"`
	By     string    `json:"by"` // The VM or operator.
	At     time.Time `json:"at"`
}

// Record names the servers of one service that are out.
type Record struct {
	Excluded map[site.ServerName]Entry `json:"out"`
}

// InServiceCount counts the service's servers that the record leaves in use.
func (r Record) InServiceCount(s *site.Service) int {
	n := 0
	for i := range s.Servers {
		if _, out := r.Excluded[s.Servers[i].Name]; !out {
			n++
		}
	}
	return n
}

// Decision is Allowed, Unneeded or Forbidden.
type Decision interface{ ruling() }

// Allowed is the record to write.
type Allowed struct{ Next Record }

// Unneeded means that the record already says so.
type Unneeded struct{}

// Forbidden means that the floor would fall.
type Forbidden struct{ Reason string }

func (Allowed) ruling()   {}
func (Unneeded) ruling()  {}
func (Forbidden) ruling() {}

// Exclude rules on taking a server out. A sick server, or an operator's hold that
// is not forced, must leave the floor standing. A server that is leaving goes
// anyway: the platform takes it, not the fleet.
func (r Record) Exclude(s *site.Service, n site.ServerName, e Entry, forced bool) Decision {
	old, out := r.Excluded[n]
	if out && (old.Cause == e.Cause || e.Cause == Ejected) {
		return Unneeded{}
	}
	if !out && e.Cause != Leaving && !forced {
		if left := r.InServiceCount(s) - 1; left < s.Floor {
			return Forbidden{fmt.Sprintf("%d of %d servers would be left in use, the floor of %s is %d",
				left, len(s.Servers), s.Name, s.Floor)}
		}
	}
	next := r.clone(s)
	next.Excluded[n] = e
	return Allowed{next}
}

// Readmit rules on letting a server back whose entry has the given cause.
func (r Record) Readmit(s *site.Service, n site.ServerName, c Cause) Decision {
	old, out := r.Excluded[n]
	if !out || old.Cause != c {
		return Unneeded{}
	}
	next := r.clone(s)
	delete(next.Excluded, n)
	return Allowed{next}
}

// clone copies the record without servers that the service no longer has.
func (r Record) clone(s *site.Service) Record {
	next := Record{Excluded: make(map[site.ServerName]Entry, len(r.Excluded)+1)}
	for i := range s.Servers {
		n := s.Servers[i].Name
		if e, ok := r.Excluded[n]; ok {
			next.Excluded[n] = e
		}
	}
	return next
}

// NextToReadmit returns the ejected server that should come back because the service
// is below its floor, as when another one leaves: the one ejected first.
func (r Record) NextToReadmit(s *site.Service) (site.ServerName, bool) {
	if r.InServiceCount(s) >= s.Floor {
		return "", false
	}
	var first site.ServerName
	for i := range s.Servers {
		n := s.Servers[i].Name
		e, out := r.Excluded[n]
		if out && e.Cause == Ejected && (first == "" || e.At.Before(r.Excluded[first].At)) {
			first = n
		}
	}
	return first, first != ""
}

// Package floor enforces the floor of a service, the minimum number of servers
// in service, across all VMs.
//
// The platform's table holds one record for each service that lists every
// server that is out of service: ejected by the fleet, leaving, or held by an
// operator. An ejection takes effect only after a conditional write of that
// record has been accepted, and it is written only if enough servers remain.
// The row's revision is the fencing token: a VM that decided on an older
// record, or resumed after a pause, gets a conflict and decides again on the
// current one.
package floor

import (
	"fmt"
	"time"

	"laburnumpick.org/pkg/site"
)

// Cause is the reason why a server is out of service.
type Cause string

// Causes of an Entry.
const (
	Ejected Cause = "sick"    // Ejected by the fleet.
	Leaving Cause = "leaving" // Drains, since the platform is about to remove it.
	Held    Cause = "held"    // Taken out by an operator.
)

// Entry describes one server that is out of service.
type Entry struct {
	Cause  Cause     `json:"cause"`
	Reason string    `json:"reason"`
	By     string    `json:"by"` // Name of the VM or operator.
	At     time.Time `json:"at"`
}

// Record lists the servers of one service that are out of service.
type Record struct {
	Excluded map[site.ServerName]Entry `json:"out"`
}

// InServiceCount returns the number of the service's servers that the record
// does not exclude.
func (r Record) InServiceCount(s *site.Service) int {
	n := 0
	for i := range s.Servers {
		if _, out := r.Excluded[s.Servers[i].Name]; !out {
			n++
		}
	}
	return n
}

// Decision says whether a change may be made: Allowed, Unneeded or Forbidden.
type Decision interface{ decision() }

// Allowed holds the record to write.
type Allowed struct{ Next Record }

// Unneeded means that the record needs no change.
type Unneeded struct{}

// Forbidden means that too few servers would remain in service.
type Forbidden struct{ Reason string }

func (Allowed) decision()   {}
func (Unneeded) decision()  {}
func (Forbidden) decision() {}

// Exclude decides whether a server may be taken out of service. An ejection, and
// an operator's hold unless forced, must not bring the service below its floor.
// The floor does not apply to a server that is leaving: the platform removes it,
// whatever the fleet decides.
func (r Record) Exclude(s *site.Service, n site.ServerName, e Entry, forced bool) Decision {
	old, out := r.Excluded[n]
	if out && (old.Cause == e.Cause || e.Cause == Ejected) {
		return Unneeded{}
	}
	if !out && e.Cause != Leaving && !forced {
		if left := r.InServiceCount(s) - 1; left < s.Floor {
			return Forbidden{fmt.Sprintf("%d of %d servers would remain in service, but the floor of service %s is %d",
				left, len(s.Servers), s.Name, s.Floor)}
		}
	}
	next := r.clone(s)
	next.Excluded[n] = e
	return Allowed{next}
}

// Readmit decides whether a server may come back. Only an entry with the given
// cause is removed.
func (r Record) Readmit(s *site.Service, n site.ServerName, c Cause) Decision {
	old, out := r.Excluded[n]
	if !out || old.Cause != c {
		return Unneeded{}
	}
	next := r.clone(s)
	delete(next.Excluded, n)
	return Allowed{next}
}

// clone copies the record, without the entries of servers that the service no
// longer has.
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

// NextToReadmit returns the server that was ejected first if the service is
// below its floor, for example because another server is leaving. It reports
// false if no server needs to come back or none is ejected.
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

package standin

import (
	"sync"
	"time"
)

// What a VM must keep to after a server has told it something about itself, as the users
// state it: from NoticeContact after the response to the end of the time in its Retry-After
// at most PauseSlack requests come from that VM. Nothing new comes from a VM that has got a
// response in which the server says that it leaves.
const (
	NoticeContact = 500 * time.Millisecond
	PauseSlack    = 2
)

// Absence is a time in which a VM did not run.
type Absence struct {
	VM       string
	From, To time.Time
}

// vmArrival is a request that arrived from a VM.
type vmArrival struct {
	vm string
	at time.Time
}

// notice is a response that tells a VM that the server leaves, or wants no requests from
// the VM until a time.
type notice struct {
	vm      string
	at      time.Time
	leaving bool
	until   time.Time
}

// NoticeLog records the requests that arrive at a server from each VM, and what the
// server's responses have told them. It is safe for concurrent use.
type NoticeLog struct {
	mu       sync.Mutex
	arrivals []vmArrival
	notices  []notice
	told     int // Responses that told a VM something, over all starts of the server.
}

// Arrive records that a request of a VM has arrived.
func (l *NoticeLog) Arrive(now time.Time, vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, vmArrival{vm, now})
}

// Leave records a response in which the server says that it leaves.
func (l *NoticeLog) Leave(now time.Time, vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(notice{vm: vm, at: now, leaving: true})
}

// Pause records a refusal after which the server wants no requests from the VM for a time.
func (l *NoticeLog) Pause(now time.Time, vm string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(notice{vm: vm, at: now, until: now.Add(d)})
}

// add adds a notice. The caller must hold the lock.
func (l *NoticeLog) add(n notice) {
	l.notices = append(l.notices, n)
	l.told++
}

// Restart records that the server has started anew: what it has said no longer counts.
func (l *NoticeLog) Restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notices, l.arrivals = nil, nil
}

// Told returns how many responses have told a VM something since the server's first start.
func (l *NoticeLog) Told() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.told
}

// NoticeViolation is a response after which more requests came from its VM than the server
// has allowed.
type NoticeViolation struct {
	VM      string
	At      time.Time
	Leaving bool
	Got     int
	Last    time.Time // The last of these requests.
}

// Violations returns the responses that a VM did not heed. A VM that was absent is excused
// for that time.
func (l *NoticeLog) Violations(absences []Absence) []NoticeViolation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []NoticeViolation
	for _, n := range l.notices {
		v := NoticeViolation{VM: n.vm, At: n.at, Leaving: n.leaving}
		for _, a := range l.arrivals {
			if a.vm == n.vm && n.forbids(a.at) && !isExcused(a, n.at, absences) {
				v.Got++
				v.Last = a.at
			}
		}
		if v.Got > n.slack() {
			out = append(out, v)
		}
	}
	return out
}

// forbids reports whether a request must not arrive at a time. Requests that arrive within
// NoticeContact may have been on their way.
func (n notice) forbids(at time.Time) bool {
	return at.After(n.at.Add(NoticeContact)) && (n.leaving || at.Before(n.until))
}

// slack returns how many requests may arrive although they must not.
func (n notice) slack() int {
	if n.leaving {
		return 0
	}
	return PauseSlack
}

// isExcused reports whether the VM was absent shortly before a request arrived, or when the
// response was on its way to it and has not been back for NoticeContact.
func isExcused(a vmArrival, noticed time.Time, absences []Absence) bool {
	for _, x := range absences {
		if x.VM != a.vm {
			continue
		}
		back := x.To.Add(NoticeContact)
		duringArrival := a.at.After(x.From) && a.at.Before(back)
		duringNotice := noticed.After(x.From.Add(-NoticeContact)) && noticed.Before(back) && a.at.Before(back)
		if duringArrival || duringNotice {
			return true
		}
	}
	return false
}

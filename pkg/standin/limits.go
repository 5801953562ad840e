package standin

import (
	"sync"
	"time"

	"laburnumpick.org/pkg/site"
)

// What a backend server that names a limit accepts, as the users state it: in any
// LimitWindow from LimitContact after it has named the limit, no more than LimitFactor
// times the requests that the limit allows, and LimitSlack.
const (
	LimitWindow  = 4 * time.Second
	LimitContact = 3 * time.Second
	LimitFactor  = 1.5
	LimitSlack   = 5
)

// limitStep is the resolution with which a window's allowance is summed.
const limitStep = 50 * time.Millisecond

// roundingError is what the sum of a window's allowance may lack, in requests.
const roundingError = 1e-6

// NamedLimit is a limit that a server names from a time on.
type NamedLimit struct {
	At    time.Time
	Limit site.RequestLimit
}

// LimitLog records the requests that arrive at a server and the limits that its
// responses name. It is safe for concurrent use.
type LimitLog struct {
	mu       sync.Mutex
	arrivals []time.Time
	named    []NamedLimit
}

// Arrive records that a request has arrived, whatever becomes of it.
func (l *LimitLog) Arrive(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, now)
}

// ArrivedSince returns the number of requests that arrived after a time.
func (l *LimitLog) ArrivedSince(t time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for i := len(l.arrivals) - 1; i >= 0 && l.arrivals[i].After(t); i-- {
		n++
	}
	return n
}

// Name records what a response says.
func (l *LimitLog) Name(now time.Time, limit site.RequestLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last site.RequestLimit
	if n := len(l.named); n > 0 {
		last = l.named[n-1].Limit
	}
	if limit != last {
		l.named = append(l.named, NamedLimit{now, limit})
	}
}

// WorstWindow returns the window that exceeds the server's limit the most.
func (l *LimitLog) WorstWindow() LimitViolation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return WorstLimitWindow(l.arrivals, l.named)
}

// LimitViolation is a window in which a server got more requests than its limit allows.
type LimitViolation struct {
	From     time.Time
	Got      int
	Allowed  float64
	AtMost   site.RequestRate // The highest rate in force in the window.
	Violated bool
}

// WorstLimitWindow returns the window in which the requests that arrived at a server
// exceed its allowance the most. Both lists are in order of time. Windows in which the
// server had no limit for a part of the time are not considered.
func WorstLimitWindow(arrivals []time.Time, named []NamedLimit) LimitViolation {
	var worst LimitViolation
	excess := 0.0
	for i, from := range arrivals {
		w, limited := allowance(from, named)
		if !limited {
			continue
		}
		for _, at := range arrivals[i:] {
			if at.Sub(from) > LimitWindow {
				break
			}
			w.Got++
		}
		if e := float64(w.Got) - w.Allowed; worst.Got == 0 || e > excess {
			worst, excess = w, e
		}
	}
	worst.Violated = worst.Got > 0 && excess > roundingError
	return worst
}

// allowance returns what a server accepts in the window from a time on, or false if it
// has no limit for a part of it.
func allowance(from time.Time, named []NamedLimit) (LimitViolation, bool) {
	w := LimitViolation{From: from, Allowed: LimitSlack}
	for at := from; at.Before(from.Add(LimitWindow)); at = at.Add(limitStep) {
		l := highestLimit(at.Add(-LimitContact), at, named)
		if !l.Named {
			return w, false
		}
		w.Allowed += LimitFactor * float64(l.Rate) * limitStep.Seconds()
		w.AtMost = max(w.AtMost, l.Rate)
	}
	return w, true
}

// highestLimit returns the highest limit that was in force at some time between two.
func highestLimit(from, to time.Time, named []NamedLimit) site.RequestLimit {
	highest := site.LimitOf(0)
	at := site.RequestLimit{} // In force at from.
	for _, n := range named {
		switch {
		case !n.At.After(from):
			at = n.Limit
		case !n.At.After(to) && highest.IsLowerThan(n.Limit):
			highest = n.Limit
		case !n.At.After(to) && !n.Limit.Named:
			return site.RequestLimit{}
		}
	}
	if !at.Named || highest.IsLowerThan(at) {
		return at
	}
	return highest
}

package pool

import "time"

// window counts over a sliding time, in parts of equal length: those that count,
// and one that is being left.
type window []windowPart

type windowPart struct {
	number int64 // Of the part since the zero time.
	all    int
	marked int // What the window is kept for: retries, failures.
}

// newWindow returns an empty window of so many parts that count.
func newWindow(parts int) window { return make(window, parts+1) }

// part returns the present part, where each has the length.
func (w window) part(now time.Time, length time.Duration) *windowPart {
	n := now.UnixNano() / max(1, int64(length))
	p := &w[n%int64(len(w))]
	if p.number != n {
		*p = windowPart{number: n}
	}
	return p
}

// sum returns what the parts that count hold together.
func (w window) sum(now time.Time, length time.Duration) windowPart {
	s := windowPart{number: w.part(now, length).number}
	for _, p := range w {
		if s.number-p.number < int64(len(w)) {
			s.all += p.all
			s.marked += p.marked
		}
	}
	return s
}

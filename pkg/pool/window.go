package pool

import "time"

// window counts events over a sliding time. It consists of parts of equal length:
// the last complete ones and the one that is in progress.
type window []windowPart

type windowPart struct {
	index  int64 // Number of the part since the Unix epoch.
	total  int
	marked int // The events that the window is kept for: retries or failures.
}

// newWindow returns an empty window with the given number of complete parts.
func newWindow(parts int) window { return make(window, parts+1) }

// current returns the part for the current time. length is the length of a part.
func (w window) current(now time.Time, length time.Duration) *windowPart {
	n := now.UnixNano() / max(1, int64(length))
	p := &w[n%int64(len(w))]
	if p.index != n {
		*p = windowPart{index: n}
	}
	return p
}

// sum returns the sums over all parts of the window.
func (w window) sum(now time.Time, length time.Duration) windowPart {
	s := windowPart{index: w.current(now, length).index}
	for _, p := range w {
		if s.index-p.index < int64(len(w)) {
			s.total += p.total
			s.marked += p.marked
		}
	}
	return s
}

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
	return w.part(now.UnixNano() / max(1, int64(length)))
}

// part returns the part with an index, which is emptied if it held another one.
func (w window) part(index int64) *windowPart {
	p := &w[index%int64(len(w))]
	if p.index != index {
		*p = windowPart{index: index}
	}
	return p
}

// sum returns the sums over all parts of the window.
func (w window) sum(now time.Time, length time.Duration) windowPart {
	return w.sumLast(now, length, len(w))
}

// sumLast returns the sums over the last n parts of the window, including the one that is in
// progress.
func (w window) sumLast(now time.Time, length time.Duration, n int) windowPart {
	s := windowPart{index: w.current(now, length).index}
	for _, p := range w {
		if s.index-p.index < int64(n) {
			s.total += p.total
			s.marked += p.marked
		}
	}
	return s
}

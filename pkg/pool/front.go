package pool

import "slices"

// frontSize is the number of waiters that a sweep puts at the front of the queue.
const frontSize = 64

// front holds the waiters that are served first. A sweep takes them from the whole queue; between
// two sweeps they are ordered among themselves and those that come, so that a slot that becomes
// free costs no look at the whole queue.
type front struct {
	waiters []*waiter // In the order of service, unless arrived is set.
	arrived bool      // Waiters have come since they were ordered.
}

// add adds a waiter that has come.
func (f *front) add(w *waiter) {
	f.waiters = append(f.waiters, w)
	f.arrived = true
}

// remove removes a waiter that is no longer in the queue.
func (f *front) remove(w *waiter) {
	if i := slices.Index(f.waiters, w); i >= 0 {
		f.waiters = slices.Delete(f.waiters, i, i+1)
	}
}

// reset takes the first of the waiters that a sweep has left in the queue, in order.
func (f *front) reset(left []*waiter) {
	f.waiters = slices.Clone(left[:min(len(left), frontSize)])
	f.arrived = false
}

// next returns the waiters in the order of service, which order works out for waiters that are
// sorted by ticket. The result is the caller's.
func (f *front) next(order func([]*waiter) []*waiter) []*waiter {
	if f.arrived {
		sortByTicket(f.waiters)
		f.waiters = order(f.waiters)
		f.arrived = false
	}
	return slices.Clone(f.waiters)
}

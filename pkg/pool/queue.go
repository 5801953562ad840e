package pool

import (
	"cmp"
	"slices"
	"time"

	"laburnumpick.org/pkg/site"
)

// Ticket names a waiting request.
type Ticket int64

// waiter is a request in the queue.
type waiter struct {
	ticket  Ticket
	request Request
	latest  time.Time // Until when it may wait.
}

// queue holds waiting requests. Its order is: the more urgent first; among
// equals those that can still be answered in time; then accounts in turn; then
// first come, first served.
type queue struct {
	next    Ticket
	waiters []waiter // In order of tickets.
	served  map[site.AccountName]Ticket
	turns   Ticket
	thrown  []Ticket
}

func newQueue() queue { return queue{served: make(map[site.AccountName]Ticket)} }

func (q *queue) len() int { return len(q.waiters) }

func (q *queue) push(r Request, latest time.Time) Ticket {
	q.next++
	q.waiters = append(q.waiters, waiter{q.next, r, latest})
	return q.next
}

// place is a waiter with its place among its account's waiters.
type place struct {
	waiter
	late bool
	rank int
}

// inOrder returns the waiters in the order in which they are served.
func (q *queue) inOrder(late func(Request) bool) []waiter {
	places := make([]place, len(q.waiters))
	ranks := make(map[site.AccountName]int)
	for i, w := range q.waiters {
		places[i] = place{w, late(w.request), ranks[w.request.Account]}
		ranks[w.request.Account]++
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(
			cmp.Compare(a.request.Priority, b.request.Priority),
			cmp.Compare(order(a.late), order(b.late)),
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(q.served[a.request.Account], q.served[b.request.Account]),
			cmp.Compare(a.ticket, b.ticket),
		)
	})
	out := make([]waiter, len(places))
	for i := range places {
		out[i] = places[i].waiter
	}
	return out
}

func order(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ahead counts the waiters that a new request would wait behind: all that are
// more urgent, and of its equals as many of each account as it has itself.
func (q *queue) ahead(r Request) int {
	own := 0
	counts := make(map[site.AccountName]int)
	n := 0
	for _, w := range q.waiters {
		switch {
		case w.request.Priority < r.Priority:
			n++
		case w.request.Priority > r.Priority:
		case w.request.Account == r.Account:
			own++
		default:
			counts[w.request.Account]++
		}
	}
	for _, c := range counts {
		n += min(c, own+1)
	}
	return n + own
}

// serve takes out a request that got a slot.
func (q *queue) serve(w waiter) {
	q.turns++
	q.served[w.request.Account] = q.turns
	q.remove(w.ticket)
}

func (q *queue) remove(t Ticket) {
	i, found := slices.BinarySearchFunc(q.waiters, t, func(w waiter, t Ticket) int { return cmp.Compare(w.ticket, t) })
	if !found {
		return
	}
	account := q.waiters[i].request.Account
	q.waiters = slices.Delete(q.waiters, i, i+1)
	left := func(w waiter) bool { return w.request.Account == account }
	if !slices.ContainsFunc(q.waiters, left) {
		delete(q.served, account)
	}
}

// evictFor makes room for a request by throwing out the last waiter of less
// urgent ones, or else of the account that waits most, if that waits with more
// than the request's own would.
func (q *queue) evictFor(r Request) bool {
	last := -1
	for i, w := range q.waiters {
		if w.request.Priority > r.Priority && (last < 0 || w.request.Priority >= q.waiters[last].request.Priority) {
			last = i
		}
	}
	if last < 0 {
		last = q.lastOfGreediest(r)
	}
	if last < 0 {
		return false
	}
	t := q.waiters[last].ticket
	q.thrown = append(q.thrown, t)
	q.remove(t)
	return true
}

// lastOfGreediest returns the place of the last waiter of the account that
// waits with most requests of the same urgency, or -1.
func (q *queue) lastOfGreediest(r Request) int {
	counts := make(map[site.AccountName]int)
	lasts := make(map[site.AccountName]int)
	for i, w := range q.waiters {
		if w.request.Priority == r.Priority {
			counts[w.request.Account]++
			lasts[w.request.Account] = i
		}
	}
	last, most := -1, counts[r.Account]+1
	for i, w := range q.waiters {
		a := w.request.Account
		if lasts[a] == i && counts[a] > most {
			last, most = i, counts[a]
		}
	}
	return last
}

// evicted returns the waiters that were thrown out since the last call.
func (q *queue) evicted() []Ticket {
	t := q.thrown
	q.thrown = nil
	return t
}

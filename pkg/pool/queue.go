package pool

import (
	"cmp"
	"slices"
	"time"

	"laburnumpick.org/pkg/site"
)

// Ticket identifies a queued request.
type Ticket int64

// waiter is a request in the queue.
type waiter struct {
	ticket    Ticket
	request   Request
	waitLimit time.Time // Until when the request may wait.
}

// queue holds waiting requests. Unless the pool decides by cost (admission.CostAware),
// they are served by priority; within a priority,
// those that can still meet their target come first; then accounts take turns; then
// requests are served in order of arrival.
type queue struct {
	next       Ticket
	waiters    []*waiter // Sorted by ticket.
	byPriority map[int]*waiterCount
	byAccount  map[site.AccountName]int
	lastTurn   map[site.AccountName]Ticket // The turn in which an account was last served.
	turns      Ticket                      // Number of requests served.
	evicted    []*waiter                   // Evicted since the last call of takeEvicted.
	front      front
}

// waiterCount counts the waiters of one priority.
type waiterCount struct {
	total     int
	byAccount map[site.AccountName]int
}

func newQueue() queue {
	return queue{
		byPriority: make(map[int]*waiterCount), byAccount: make(map[site.AccountName]int),
		lastTurn: make(map[site.AccountName]Ticket),
	}
}

func (q *queue) len() int { return len(q.waiters) }

// push appends a request to the queue.
func (q *queue) push(r Request, waitLimit time.Time) Ticket {
	q.next++
	w := &waiter{ticket: q.next, request: r, waitLimit: waitLimit}
	q.waiters = append(q.waiters, w)
	q.front.add(w)
	q.count(r, 1)
	return q.next
}

// count counts n more waiters like a request.
func (q *queue) count(r Request, n int) {
	c, ok := q.byPriority[r.Priority]
	if !ok {
		c = &waiterCount{byAccount: make(map[site.AccountName]int)}
		q.byPriority[r.Priority] = c
	}
	c.total += n
	c.byAccount[r.Account] += n
	q.byAccount[r.Account] += n
	if c.byAccount[r.Account] == 0 {
		delete(c.byAccount, r.Account)
	}
	if c.total == 0 {
		delete(q.byPriority, r.Priority)
	}
	if q.byAccount[r.Account] == 0 {
		delete(q.byAccount, r.Account)
		delete(q.lastTurn, r.Account)
	}
}

// rankedWaiter is a waiter with its sort keys.
type rankedWaiter struct {
	*waiter
	missesTarget bool // The request will most likely miss its target.
	rank         int  // Position among the waiters of the same account.
}

// inServiceOrder returns waiters, which are sorted by ticket, in the order in which they are
// served.
func (q *queue) inServiceOrder(waiters []*waiter, missesTarget func(Request) bool) []*waiter {
	ranked := make([]rankedWaiter, len(waiters))
	ranks := make(map[site.AccountName]int)
	for i, w := range waiters {
		ranked[i] = rankedWaiter{w, missesTarget(w.request), ranks[w.request.Account]}
		ranks[w.request.Account]++
	}
	slices.SortFunc(ranked, func(a, b rankedWaiter) int {
		return cmp.Or(
			cmp.Compare(a.request.Priority, b.request.Priority),
			cmp.Compare(boolToInt(a.missesTarget), boolToInt(b.missesTarget)),
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(q.lastTurn[a.request.Account], q.lastTurn[b.request.Account]),
			cmp.Compare(a.ticket, b.ticket),
		)
	})
	out := make([]*waiter, len(ranked))
	for i := range ranked {
		out[i] = ranked[i].waiter
	}
	return out
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ahead returns the number of waiters that would be served before a new request: all
// of higher priority; of equal priority, all of its own account, and of each other
// account at most one more than its own account has queued.
func (q *queue) ahead(r Request) int {
	n := 0
	for priority, c := range q.byPriority {
		if priority < r.Priority {
			n += c.total
		}
	}
	alike, ok := q.byPriority[r.Priority]
	if !ok {
		return n
	}
	own := alike.byAccount[r.Account]
	for account, c := range alike.byAccount {
		if account != r.Account {
			n += min(c, own+1)
		}
	}
	return n + own
}

// serve removes a request that got a slot and records its account's turn.
func (q *queue) serve(w *waiter) {
	q.turns++
	q.lastTurn[w.request.Account] = q.turns
	q.remove(w.ticket)
}

// remove removes a request from the queue.
func (q *queue) remove(t Ticket) {
	i, found := slices.BinarySearchFunc(q.waiters, t, func(w *waiter, t Ticket) int { return cmp.Compare(w.ticket, t) })
	if !found {
		return
	}
	w := q.waiters[i]
	q.waiters = slices.Delete(q.waiters, i, i+1)
	q.front.remove(w)
	q.count(w.request, -1)
}

// evictFor evicts one waiter to make room for a request, and reports whether it did.
// It evicts the last waiter of lowest priority, if that is below the request's.
// Otherwise it evicts the last waiter of the account with the most waiters of the
// same priority, if those are more than the request's own account would have.
func (q *queue) evictFor(r Request) bool {
	if !q.mayEvictFor(r) {
		return false
	}
	last := -1
	for i, w := range q.waiters {
		if w.request.Priority > r.Priority && (last < 0 || w.request.Priority >= q.waiters[last].request.Priority) {
			last = i
		}
	}
	if last < 0 {
		last = q.lastOfLargestAccount(r)
	}
	if last < 0 {
		return false
	}
	q.evict(last)
	return true
}

// mayEvictFor reports whether there is a waiter that evictFor would evict.
func (q *queue) mayEvictFor(r Request) bool {
	for priority := range q.byPriority {
		if priority > r.Priority {
			return true
		}
	}
	alike, ok := q.byPriority[r.Priority]
	if !ok {
		return false
	}
	for _, c := range alike.byAccount {
		if c > alike.byAccount[r.Account]+1 {
			return true
		}
	}
	return false
}

// evict removes a waiter, which is to be refused.
func (q *queue) evict(i int) {
	w := q.waiters[i]
	q.evicted = append(q.evicted, w)
	q.remove(w.ticket)
}

// lastOfLargestAccount returns the index of the last waiter of the account that has
// the most waiters of the request's priority. It returns -1 if no account has more
// of them than the request's own would have.
func (q *queue) lastOfLargestAccount(r Request) int {
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

// takeEvicted returns the waiters evicted since the last call.
func (q *queue) takeEvicted() []*waiter {
	w := q.evicted
	q.evicted = nil
	return w
}

func sortByTicket(waiters []*waiter) {
	slices.SortFunc(waiters, func(a, b *waiter) int { return cmp.Compare(a.ticket, b.ticket) })
}

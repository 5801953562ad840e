package admission

import (
	"cmp"
	"slices"
	"time"

	"laburnumpick.org/pkg/site"
)

// fairQuantum is the difference in used server time up to which accounts count as equal.
// Within it the cost of the requests decides.
const fairQuantum = 500 * time.Millisecond

// A less urgent priority of which nothing has been served for neglectTime is due for one
// request, provided that no larger share of its requests is served than of any more
// urgent priority's. After maxNeglectTime it is due whatever the shares are.
const (
	neglectTime    = 2 * time.Second
	maxNeglectTime = 10 * time.Second
)

// place is the place of a queued request in the order of service.
type place struct {
	Request
	index    int // In the queue.
	late     bool
	pressing bool
	perWork  float64       // Cost.PerWork.
	start    time.Duration // Server time that the account will have used when the request's turn comes.
	turn     int           // start as a multiple of fairQuantum above the least use of the accounts.
}

func newPlace(now time.Time, i int, r Request) place {
	return place{Request: r, index: i, late: MissesTarget(now, r), pressing: isPressing(now, r), perWork: CostOf(now, r).PerWork()}
}

// byCost compares requests that have equal priority and accounts with equal use. Those
// that meet their target come first; then those that are about to become impossible;
// then those whose refusal costs more for their work, which for requests of one class
// are the cheaper ones.
func byCost(a, b place) int {
	return cmp.Or(
		boolCompare(a.late, b.late),
		boolCompare(b.pressing, a.pressing),
		cmp.Compare(b.perWork, a.perWork),
	)
}

// inAccount orders the requests of one account.
func inAccount(a, b place) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), byCost(a, b), cmp.Compare(a.Arrival, b.Arrival))
}

// inQueue orders the requests of all accounts.
func inQueue(a, b place) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.turn, b.turn), byCost(a, b),
		cmp.Compare(a.start, b.start), cmp.Compare(a.Arrival, b.Arrival),
	)
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// Order returns the indices of queued requests in the order in which they are to be
// served: by priority, except that a neglected priority is due for one request; within a
// priority by the server time that the accounts have used, so that their shares become
// equal; among accounts with about the same use by cost.
func (l *Ledger) Order(now time.Time, queued []Request) []int {
	places := l.places(now, queued)
	slices.SortFunc(places, inQueue)
	l.moveNeglected(now, places)
	out := make([]int, len(places))
	for i := range places {
		out[i] = places[i].index
	}
	return out
}

// places returns the places of queued requests, with the turns of their accounts.
func (l *Ledger) places(now time.Time, queued []Request) []place {
	out := make([]place, len(queued))
	for i, r := range queued {
		out[i] = newPlace(now, i, r)
	}
	slices.SortFunc(out, inAccount)
	next := make(map[site.AccountName]time.Duration)
	least := time.Duration(-1)
	for i := range out {
		a := out[i].Account
		if _, ok := next[a]; !ok {
			next[a] = l.Used(now, a)
			if least < 0 || next[a] < least {
				least = next[a]
			}
		}
		out[i].start = next[a]
		next[a] += max(out[i].Work.Mean, minWork)
	}
	for i := range out {
		out[i].turn = int((out[i].start - least) / fairQuantum)
	}
	return out
}

// moveNeglected moves the first request of the most urgent neglected priority to the
// front.
func (l *Ledger) moveNeglected(now time.Time, places []place) {
	for i := range places {
		if i > 0 && places[i].Priority != places[i-1].Priority && l.isNeglected(now, places[i].Priority) {
			moved := places[i]
			copy(places[1:i+1], places[:i])
			places[0] = moved
			return
		}
	}
}

// isNeglected reports whether a priority is due for a request out of turn.
func (l *Ledger) isNeglected(now time.Time, priority int) bool {
	c := l.class(now, priority)
	waited := now.Sub(c.lastServed)
	if waited < neglectTime || waited >= maxNeglectTime {
		return waited >= maxNeglectTime
	}
	own := c.share(now, 1)
	for p, other := range l.classes {
		if p < priority && other.arrived.value(now, shareMemory) >= 1 && other.share(now, 0) < own {
			return false
		}
	}
	return true
}

// WorkAhead returns the server time of the queued requests that would be served before a
// new one: all of more urgent ones; of its own account those that go before it by cost;
// and of each other account as much as brings it to the use of the request's own. None is
// served before the only request of a neglected priority.
func (l *Ledger) WorkAhead(now time.Time, queued []Request, r Request) time.Duration {
	alike := func(q Request) bool { return q.Priority == r.Priority }
	if !slices.ContainsFunc(queued, alike) && l.isNeglected(now, r.Priority) {
		return 0
	}
	ahead, own := time.Duration(0), time.Duration(0)
	others := make(map[site.AccountName]time.Duration)
	p := newPlace(now, len(queued), r)
	for i, q := range queued {
		switch {
		case q.Priority < r.Priority:
			ahead += q.Work.Mean
		case q.Priority > r.Priority:
		case q.Account != r.Account:
			others[q.Account] += q.Work.Mean
		case inAccount(newPlace(now, i, q), p) < 0:
			own += q.Work.Mean
		}
	}
	start := l.Used(now, r.Account) + own
	for a, work := range others {
		ahead += min(work, max(0, start+fairQuantum/2-l.Used(now, a)))
	}
	return ahead + own
}

// Last returns the index of the request that is to be refused first if one must be: the
// last one in the order of service. It returns -1 if none is queued.
func (l *Ledger) Last(now time.Time, queued []Request) int {
	if len(queued) == 0 {
		return -1
	}
	return slices.MaxFunc(l.places(now, queued), inQueue).index
}

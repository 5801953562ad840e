package admission

import (
	"math"
	"time"

	"laburnumpick.org/pkg/site"
)

// Times over which a ledger forgets.
const (
	// usageMemory is the time constant of the server time used by an account. It is about
	// as long as the bursts of single accounts.
	usageMemory = 5 * time.Second
	// loadMemory is the time constant of the slots that each priority needs.
	loadMemory = time.Second
	// shareMemory is the time constant of the share of requests of a priority that are
	// served.
	shareMemory = 10 * time.Second
	// patienceMemory is how long the longest wait of a priority's requests is kept.
	patienceMemory = 5 * time.Second
)

// decaying is a sum whose terms lose their weight over time.
type decaying struct {
	sum float64
	at  time.Time
}

// value returns the sum at a time.
func (d decaying) value(now time.Time, memory time.Duration) float64 {
	if age := now.Sub(d.at); age > 0 {
		return d.sum * math.Exp(-age.Seconds()/memory.Seconds())
	}
	return d.sum
}

// add adds a term. The sum never falls below zero.
func (d *decaying) add(now time.Time, memory time.Duration, x float64) {
	d.sum = max(0, d.value(now, memory)+x)
	d.at = now
}

// class is what a ledger knows of the requests of one priority.
type class struct {
	arrived    decaying // Requests, over shareMemory.
	served     decaying // Requests, over shareMemory.
	refused    decaying // Requests, over shareMemory.
	work       decaying // Seconds of server time that they need, over loadMemory.
	lastServed time.Time
	patience   time.Duration // The longest time that a request could wait.
	patienceAt time.Time     // When a request could last wait so long.
}

// share returns the share of requests that is served, if more are served now.
func (c *class) share(now time.Time, more float64) float64 {
	return (c.served.value(now, shareMemory) + more) / max(1, c.arrived.value(now, shareMemory))
}

// Ledger keeps the server time that accounts and priorities have used lately.
type Ledger struct {
	accounts map[site.AccountName]*decaying // Seconds of server time, over usageMemory.
	pruneAt  int                            // Number of accounts at which idle ones are removed.
	classes  map[int]*class
}

// minPrune is the least number of accounts at which idle ones are looked for.
const minPrune = 1024

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[site.AccountName]*decaying), pruneAt: minPrune, classes: make(map[int]*class)}
}

// Clone returns a copy that shares no state with the ledger.
func (l *Ledger) Clone() *Ledger {
	c := &Ledger{accounts: make(map[site.AccountName]*decaying, len(l.accounts)), pruneAt: l.pruneAt, classes: make(map[int]*class, len(l.classes))}
	for n, use := range l.accounts {
		copied := *use
		c.accounts[n] = &copied
	}
	for p, known := range l.classes {
		copied := *known
		c.classes[p] = &copied
	}
	return c
}

// RecordArrival counts a request that arrives, and how long it could wait.
func (l *Ledger) RecordArrival(now time.Time, r Request) {
	c := l.class(now, r.Priority)
	c.arrived.add(now, shareMemory, 1)
	c.work.add(now, loadMemory, r.Work.Mean.Seconds())
	if wait := WaitLimit(now, r).Sub(now); wait >= c.patience || now.Sub(c.patienceAt) > patienceMemory {
		c.patience, c.patienceAt = wait, now
	}
}

// RecordRefusal counts a request that is refused, on arrival or later.
func (l *Ledger) RecordRefusal(now time.Time, r Request) {
	l.class(now, r.Priority).refused.add(now, shareMemory, 1)
}

// Charge is the expected work with which a request that has a slot is charged.
type Charge struct {
	account site.AccountName
	work    time.Duration
}

// RecordGrant charges a request that gets a slot with its expected work.
func (l *Ledger) RecordGrant(now time.Time, r Request) Charge {
	out := Charge{r.Account, max(r.Work.Mean, minWork)}
	c := l.class(now, r.Priority)
	if r.Attempts == 0 {
		c.served.add(now, shareMemory, 1)
	}
	c.lastServed = now
	l.charge(now, out.account, out.work)
	return out
}

// RecordRelease replaces the expected work of a request by the time for which it held
// its slot.
func (l *Ledger) RecordRelease(now time.Time, c Charge, held time.Duration) {
	l.charge(now, c.account, held-c.work)
}

// Used returns the server time that an account has used lately.
func (l *Ledger) Used(now time.Time, a site.AccountName) time.Duration {
	d, ok := l.accounts[a]
	if !ok {
		return 0
	}
	return time.Duration(d.value(now, usageMemory) * float64(time.Second))
}

// class returns what is known of a priority. A priority that is new has not been
// neglected yet.
func (l *Ledger) class(now time.Time, priority int) *class {
	c, ok := l.classes[priority]
	if !ok {
		c = &class{lastServed: now}
		l.classes[priority] = c
	}
	return c
}

// charge adds server time to an account's use.
func (l *Ledger) charge(now time.Time, a site.AccountName, d time.Duration) {
	u, ok := l.accounts[a]
	if !ok {
		l.prune(now)
		u = &decaying{}
		l.accounts[a] = u
	}
	u.add(now, usageMemory, d.Seconds())
}

// prune removes the accounts whose use is negligible, once there are many accounts.
func (l *Ledger) prune(now time.Time) {
	if len(l.accounts) < l.pruneAt {
		return
	}
	for a, u := range l.accounts {
		if u.value(now, usageMemory) < minWork.Seconds() {
			delete(l.accounts, a)
		}
	}
	l.pruneAt = max(minPrune, 2*len(l.accounts))
}

// refusedShare returns the share of the requests of a priority that were refused lately.
func (c *class) refusedShare(now time.Time) float64 {
	return c.refused.value(now, shareMemory) / max(1, c.arrived.value(now, shareMemory))
}

// WaitLimit returns until when a request that arrives now may wait. While more urgent
// requests are refused more often than those of its own priority, it may not wait for
// longer than they can: it would outlast an overload in which they are refused, and be
// served in their place.
func (l *Ledger) WaitLimit(now time.Time, r Request) time.Time {
	limit := WaitLimit(now, r)
	own := l.class(now, r.Priority).refusedShare(now)
	for p, c := range l.classes {
		if p >= r.Priority || now.Sub(c.patienceAt) > patienceMemory || c.refusedShare(now) <= own+refusalSlack {
			continue
		}
		if least := now.Add(c.patience); least.Before(limit) {
			limit = least
		}
	}
	return limit
}

// refusalSlack is the difference between the refused shares of two priorities that is
// left to chance.
const refusalSlack = 0.02

// mostUrgent returns the most urgent priority of which requests have come lately. The
// given one counts among them.
func (l *Ledger) mostUrgent(now time.Time, priority int) int {
	for p, c := range l.classes {
		if p < priority && now.Sub(c.patienceAt) <= patienceMemory {
			priority = p
		}
	}
	return priority
}

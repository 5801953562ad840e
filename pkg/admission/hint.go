package admission

import (
	"slices"
	"time"
)

// Hint tells a VM which requests the home of a pool refuses at present, so that the VM
// can refuse them itself.
type Hint struct {
	RefusesFrom int           // Requests of this priority and less urgent ones are refused.
	RetryAfter  time.Duration // The expected wait of a request of that priority.
	Validity    time.Duration // Zero if the home refuses no priority.
}

// MaxHintValidity bounds how long a hint holds. Capacity may be back within a fraction of
// a second, and requests that are refused by an old hint could have been served.
const MaxHintValidity = 300 * time.Millisecond

// Refuses reports whether a request is to be refused by a hint of an age. A request that
// has been sent to a server is not: its home decides, since that attempt may have run.
func (h Hint) Refuses(age time.Duration, priority, attempts int) bool {
	return attempts == 0 && age >= 0 && age < min(h.Validity, MaxHintValidity) && priority >= h.RefusesFrom
}

// Hint returns the hint for a pool with queued requests. A priority is refused if the
// work of more urgent requests alone makes its requests wait for longer than any of them
// could lately. Then neither the account nor the deadline of a request makes a
// difference. A neglected priority is left out, so that the home gets the requests that
// it serves out of turn.
func (l *Ledger) Hint(now time.Time, c Capacity, queued []Request) Hint {
	var h Hint
	for _, p := range slices.Backward(l.priorities()) {
		ahead := workOfUrgent(queued, p)
		wait := l.waitAt(now, c, p, false, ahead)
		if ahead == 0 || c.Slots <= 0 || wait <= l.classes[p].patience || l.isNeglected(now, p) {
			return h
		}
		h = Hint{RefusesFrom: p, RetryAfter: wait, Validity: MaxHintValidity}
	}
	return h
}

// priorities returns the known priorities, the most urgent one first.
func (l *Ledger) priorities() []int {
	out := make([]int, 0, len(l.classes))
	for p := range l.classes {
		out = append(out, p)
	}
	slices.Sort(out)
	return out
}

// workOfUrgent returns the work of the queued requests that are more urgent than a
// priority.
func workOfUrgent(queued []Request, priority int) time.Duration {
	sum := time.Duration(0)
	for _, q := range queued {
		if q.Priority < priority {
			sum += q.Work.Mean
		}
	}
	return sum
}

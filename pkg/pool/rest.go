package pool

import "time"

// Times of rest. Backend servers fail in spells of some seconds, and a spell
// shows in its first failure: a server that has just failed will most likely
// fail the next request as well, long before the evidence is enough to doubt it.
const (
	firstRest = 2 * time.Second
	maxRest   = 8 * time.Second
	// provenAfter is how long after its rest a server that got no request counts
	// as proven. Until then it is used where others have no slot free, so a long
	// time costs no capacity.
	provenAfter = 30 * time.Second
	// spellsToDoubt is how many rests in a row without a success between them make
	// a server doubted.
	spellsToDoubt = 3
	// answeredRate is the share of answers that tell of a failure from which on
	// they are the server's own.
	answeredRate = 0.06
)

// rest is a pause that a server is given after a failure. It stays capacity and
// is used where no other server has a slot in time.
type rest struct {
	till  time.Time
	spell int // Failures since the last success.
}

// begin starts a rest, longer with each failure in a row.
func (r *rest) begin(now time.Time) {
	if now.Before(r.till) {
		return // Requests that were under way tell nothing new.
	}
	r.till = now.Add(min(firstRest<<min(r.spell, 8), maxRest))
	r.spell++
}

// end notes a success.
func (r *rest) end() { *r = rest{} }

// resting reports whether the server should get no request.
func (r *rest) resting(now time.Time) bool { return now.Before(r.till) }

// unproven reports whether the server has rested and not yet succeeded again. It
// then gets one request at a time.
func (r *rest) unproven(now time.Time) bool {
	return r.spell > 0 && !r.resting(now) && now.Sub(r.till) < provenAfter
}

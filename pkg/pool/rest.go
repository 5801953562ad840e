package pool

import "time"

// Times of rest. Backend servers fail in spells of some seconds, and a spell
// shows in its first failure: a server that has just failed will most likely
// fail the next request as well, long before the evidence is enough to doubt it.
const (
	firstRest = 2 * time.Second
	maxRest   = 8 * time.Second
	// pressedRest is the rest after a failure while many requests wait for slots: what a
	// server could serve once its spell is over is worth more than the one request
	// that may find it in the spell still.
	pressedRest = time.Second
	// provenAfter is how long after its rest a server that got no request counts
	// as proven. Until then it is used where others have no slot free, so a long
	// time costs no capacity.
	provenAfter = 30 * time.Second
	// goodToProve is how many good answers end a spell.
	goodToProve = 2
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
	broke time.Time // When a request last failed.
	spell int       // Failures without a good answer between them; zero once proven.
	good  int       // Good answers since the last failure.
	// after is the server's last grant when the rest began. How that and earlier
	// ones end tells nothing of the time since.
	after GrantID
	// changed is when a rest began or the spell was over.
	changed time.Time
}

// begin starts a rest after the failure of a grant, longer with each failure in a
// row. last is the server's latest grant.
func (r *rest) begin(now time.Time, g, last GrantID) {
	if g <= r.after {
		return // It was under way when the rest began.
	}
	r.broke, r.after = now, last
	if r.resting(now) {
		return
	}
	if r.good > 0 {
		r.spell, r.good = 0, 0 // Not in a row.
	}
	r.till = now.Add(min(firstRest<<min(r.spell, 8), maxRest))
	r.spell++
	r.changed = now
}

// end notes the success of a grant. Some answers of a spell are good, so it takes
// more than one to prove a server, unless requests wait for its slots.
func (r *rest) end(now time.Time, g GrantID, needed bool) {
	if r.spell == 0 || g <= r.after {
		return
	}
	r.good++
	if needed || r.good >= goodToProve {
		*r = rest{changed: now}
		return
	}
	if r.resting(now) {
		r.till = now
	}
}

// resting reports whether the server should get no request.
func (r *rest) resting(now time.Time) bool { return now.Before(r.till) }

// pressable reports whether a resting server may get one request, since others
// wait for slots.
func (r *rest) pressable(now time.Time) bool { return now.Sub(r.broke) >= pressedRest }

// unproven reports whether the server has rested and not yet been proven again. It
// then gets one request at a time.
func (r *rest) unproven(now time.Time) bool {
	return r.spell > 0 && !r.resting(now) && now.Sub(r.till) < provenAfter
}

package pool

import (
	"cmp"
	"slices"
	"time"

	"laburnumpick.org/pkg/site"
)

// choose picks a server with a free slot. With lastResort, doubted servers are
// picked as well.
func (p *Pool) choose(now time.Time, r Request, lastResort bool) *server {
	var best *server
	by := ranking{
		now: now, near: r.DataCentre, proves: p.proves(now, r),
		trouble: p.trouble.is(now) && !r.Suspect, pressed: p.pressed(now),
		careful: r.Class == site.AtMostOnce && p.usable(now, r), once: r.Class == site.AtMostOnce,
		waits: r.Class == site.AtMostOnce && p.queue.len() < p.proven(now, r)/2,
	}
	for _, v := range p.order {
		if !v.open(by, lastResort) || slices.Contains(r.Exclude, v.cfg.Name) || (r.Suspect && v.suspect) {
			continue
		}
		if best == nil || by.before(v, best) {
			best = v
		}
	}
	return best
}

// pressed reports whether more requests wait than the servers that may be used run
// at once.
func (p *Pool) pressed(now time.Time) bool { return p.queue.len() > p.slots(now) }

// proven returns how many slots the servers have that are not in a spell and may
// take the request.
func (p *Pool) proven(now time.Time, r Request) int {
	n := 0
	for _, v := range p.order {
		if v.trusted() && !v.resting(now) && !v.unproven(now) && !slices.Contains(r.Exclude, v.cfg.Name) {
			n += v.warm
		}
	}
	return n
}

// proves reports whether a request may find out whether a server's spell of
// failures is over: it can be sent to another server after it.
func (p *Pool) proves(now time.Time, r Request) bool {
	return r.Class == site.Repeatable && r.Sends == 0 && r.MaxAttempts != 1 && p.budget.may(now) &&
		r.Deadline.Sub(now) > scale(p.usualOf(now, r.Rule).median, trialPatience+againRatio)
}

// ranking orders servers for a request.
type ranking struct {
	now    time.Time
	near   site.DataCentre
	proves bool // The request may find out whether a server works again.
	// trouble says that the service fails many requests.
	trouble bool
	// pressed says that many requests wait for slots.
	pressed bool
	// careful says that the request may run only once, and that other servers may
	// run it: a refusal is better for its caller than a failure, of which nobody
	// knows whether it ran.
	careful bool
	once    bool // The request may run only once.
	// waits says that the request may run only once and soon gets a slot of a
	// server that is proven: it is not used to prove another one.
	waits bool
}

// class puts servers into classes, the best first.
func (k ranking) class(v *server) int {
	switch {
	case k.trouble && v.starved(k.now):
		return 0
	case !v.trusted():
		return 5
	case v.resting(k.now):
		return 4
	case v.unproven(k.now) && k.proves:
		return 0
	case v.unproven(k.now):
		return 3
	case v.cold(k.now), k.once && v.lagging(k.now):
		return 2
	default:
		return 1
	}
}

// before reports whether one server goes before another: by their classes; then
// those in the sender's data centre that have more than one slot free, since
// bytes between data centres are dear; then those with the smallest share of
// their slots in use; then the one that has waited longest. Evidence short of a
// failure does not count: a server that got less work for it would never be
// proved sick or well.
func (k ranking) before(v, o *server) bool {
	if a, b := k.class(v), k.class(o); a != b {
		return a < b
	}
	if a, b := v.roomyIn(k.near), o.roomyIn(k.near); a != b {
		return a
	}
	if c := cmp.Compare(v.inUse*o.warm, o.inUse*v.warm); c != 0 {
		return c < 0
	}
	return v.lastGrant < o.lastGrant
}

// trial picks a server that is due to be tried. Only repeatable requests with
// time for another server are used.
func (p *Pool) trial(now time.Time, r Request) *server {
	if r.Class != site.Repeatable || r.Sends > 0 || r.Suspect || r.MaxAttempts == 1 || !p.budget.may(now) {
		return nil
	}
	m := p.usualOf(now, r.Rule).median
	if r.Deadline.Sub(now) < scale(m, trialPatience+againRatio) {
		return nil
	}
	for _, v := range p.order {
		if v.trialDue(now) && !slices.Contains(r.Exclude, v.cfg.Name) {
			return v
		}
	}
	return nil
}

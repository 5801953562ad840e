package pool

import (
	"time"

	"laburnumpick.org/pkg/site"
)

// State is what the pool thinks of a server.
type State string

// States of a server.
const (
	Healthy   State = "healthy"
	Warming   State = "warming" // Back from trials; its slots open one by one.
	Suspected State = "doubted" // Used only as a last resort; still capacity.
	Ejected   State = "ejected" // Recorded in the platform's table; not used.
	Leaving   State = "leaving" // It drains; not used.
	Down      State = "down"    // It takes no connections.
	Held      State = "held"    // Taken out by an operator.
)

// Times of probation.
const (
	firstTrial     = 2 * time.Second
	maxTrialGap    = 5 * time.Minute
	trialSpacing   = 100 * time.Millisecond
	leavingRecheck = 2 * time.Minute
	firstReach     = 500 * time.Millisecond
	maxReachGap    = 5 * time.Second
	strikeMemory   = 10 * time.Minute
	shedPause      = 20 * time.Millisecond
	coldPause      = 500 * time.Millisecond
)

// Counts of probation.
const (
	trialsToPass = 6 // Good trials in a row before a server warms up.
	goodPerSlot  = 4 // Good answers before a warming server gets another slot.
	maxStrikes   = 8
)

// server is the state of one backend server.
type server struct {
	cfg         site.Server
	state       State
	since       time.Time // When the state began.
	inUse       int
	warm        int     // Slots that are open.
	lastGrant   GrantID // The last one that it got.
	grantedAt   time.Time
	failedAt    time.Time // When a request last failed on it.
	servedAt    time.Time // When it last gave a good answer.
	pausedUntil time.Time
	coldTill    time.Time // Until when it is slow after its start.
	departing   bool      // It registered as leaving, or another server has its address.
	moved       bool      // Another server has its address.
	rest                  // After a failure.
	lag                   // After a late answer.

	link
	detector
	reason    string    // Why it is not healthy.
	strikes   int       // How often it was doubted lately.
	struckAt  time.Time // When it was last doubted.
	nextTrial time.Time
	suspect   bool      // It runs a request that has taken a server down.
	trying    bool      // A trial or a check of its reach is on its way.
	passed    int       // Good trials, or good answers while warming.
	asked     time.Time // When an ejection or restoration was last wanted.
}

func newServer(now time.Time, cfg site.Server) *server {
	return &server{cfg: cfg, state: Healthy, since: now, grantedAt: now, warm: cfg.Slots, detector: newDetector()}
}

// trusted reports whether requests of all classes may go to the server.
func (v *server) trusted() bool { return v.state == Healthy || v.state == Warming }

// open reports whether the server has a free slot for an ordinary request. As a
// last resort doubted and resting servers are open too, and in trouble those
// that got nothing for a while.
func (v *server) open(k ranking, lastResort bool) bool {
	now := k.now
	if k.trouble && v.starved(now) {
		return v.inUse < max(1, v.warm)
	}
	if !v.trusted() && (!lastResort || v.state != Suspected) {
		return false
	}
	if v.resting(now) && k.pressed && v.pressable(now) {
		return v.inUse == 0
	}
	if !v.admits(k, lastResort) {
		return false
	}
	return v.inUse < v.room(now) && !v.pausedUntil.After(now)
}

// admits reports whether the server's last failures let a request in.
func (v *server) admits(k ranking, lastResort bool) bool {
	switch {
	case v.resting(k.now):
		return lastResort && !k.careful
	case v.unproven(k.now):
		return lastResort || !k.waits
	default:
		return true
	}
}

// room returns how many requests the server may run at once by now.
func (v *server) room(now time.Time) int {
	if v.unproven(now) {
		return min(1, v.warm)
	}
	return v.warm
}

// cold reports whether the server is slow after its start.
func (v *server) cold(now time.Time) bool { return v.coldTill.After(now) }

// roomyIn reports whether the server is in a data centre and would have a slot
// free beside that of one more request.
func (v *server) roomyIn(dc site.DataCentre) bool {
	return dc != "" && v.cfg.DataCentre == dc && v.inUse+1 < max(2, v.warm)
}

// trialDue reports whether a repeatable request should try the server now.
func (v *server) trialDue(now time.Time) bool {
	onTrial := v.state == Suspected || v.state == Ejected || (v.state == Leaving && !v.departing)
	return onTrial && !v.trying && v.inUse < v.warm && !now.Before(v.nextTrial)
}

func (v *server) move(now time.Time, s State, reason string) {
	v.state, v.since, v.reason = s, now, reason
	v.passed, v.asked = 0, time.Time{}
	switch s {
	case Healthy:
		v.warm = v.cfg.Slots
		v.acquit()
	case Warming:
		v.warm = 1
		v.acquit()
	case Suspected:
		v.warm = v.cfg.Slots
	case Ejected, Leaving, Down, Held:
		v.warm = 1
	}
}

// doubt puts the server on probation. Servers that were doubted lately wait
// twice as long each time.
func (v *server) doubt(now time.Time, reason string) {
	if now.Sub(v.struckAt) > strikeMemory {
		v.strikes = 0
	}
	v.strikes = min(v.strikes+1, maxStrikes)
	v.struckAt = now
	v.move(now, Suspected, reason)
	v.nextTrial = now.Add(v.trialGap())
}

// trialGap is the rest before the next series of trials.
func (v *server) trialGap() time.Duration {
	return min(firstTrial<<max(0, v.strikes-1), maxTrialGap)
}

// reachGap is the rest before the next check of a server that was down.
func (v *server) reachGap() time.Duration {
	return min(firstReach<<min(v.passed, maxStrikes), maxReachGap)
}

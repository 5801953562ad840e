package pool

import (
	"time"

	"laburnumpick.org/pkg/site"
)

// State is the pool's assessment of a server.
type State string

// States of a server.
const (
	Healthy   State = "healthy"
	Warming   State = "warming" // Readmitted; its slots open one by one.
	Suspected State = "doubted" // Gets ordinary requests only as a last resort; still counts as capacity.
	Ejected   State = "ejected" // Its ejection is recorded in the platform's table; not used.
	Leaving   State = "leaving" // Draining or stopping; not used.
	Down      State = "down"    // Does not accept connections.
	Held      State = "held"    // Taken out of use by an operator.
)

// Times of probation.
const (
	firstProbeDelay         = 2 * time.Second // Doubled with each strike.
	maxProbeDelay           = 5 * time.Minute
	probeInterval           = 100 * time.Millisecond // Between good probes of a series.
	leavingRecheck          = 2 * time.Minute        // Before the probe of a leaving server that has not registered as leaving.
	firstConnectionCheck    = 500 * time.Millisecond // Doubled with each failed check.
	maxConnectionCheckDelay = 5 * time.Second
	strikeMemory            = 10 * time.Minute       // After that time without a strike, strikes are forgotten.
	shedPause               = 20 * time.Millisecond  // After the server shed a request.
	coldPause               = 500 * time.Millisecond // After the server declined a request as cold.
	unlistedPause           = time.Second            // After a VM's list lacked the server. By then the VMs' lists agree again.
)

// Counts of probation.
const (
	probesToPass     = 6 // Good probes in a row before a server warms up.
	successesPerSlot = 4 // Good responses before a warming server gets another slot.
	maxStrikes       = 8
)

// server is the state of one backend server.
type server struct {
	cfg         site.Server
	state       State
	since       time.Time // When the state began.
	inUse       int
	openSlots   int     // Slots that are open; fewer than cfg.Slots while the server warms up.
	lastGrant   GrantID // The latest grant of a slot of this server.
	grantedAt   time.Time
	failedAt    time.Time // When a request last failed on it, or it declined one or was not reached.
	servedAt    time.Time // When it last gave a good response.
	pausedUntil time.Time // Until when it gets no requests, after one was declined as Shed, Cold, Limited or Unlisted.
	coldUntil   time.Time // Until when it is slow after its start.
	departing   bool      // It registered as leaving, or another server has its address.
	moved       bool      // Another server has its address.
	announced   bool      // It has said in a response that it leaves.
	backOff               // After a failure.
	slowness              // After a slow response.
	pace                  // While the server names a limit on requests.

	link
	detector
	reason      string    // Why it is in this state.
	strikes     int       // How often it was suspected or failed a probe lately.
	lastStrike  time.Time // When that last happened.
	nextProbe   time.Time // When its next probe or connection check is due.
	runsSuspect bool      // It runs a request that has crashed a server.
	probing     bool      // A probe or a connection check is in progress.
	stateCount  int       // Good probes, good responses while warming, or failed connection checks while down.
	lastIntent  time.Time // When an Eject, RecordLeaving or Restore was last requested.
	// idleReported is the latest grant at the time when the server was last reported
	// as idle.
	idleReported GrantID
}

func newServer(now time.Time, cfg site.Server) *server {
	return &server{cfg: cfg, state: Healthy, since: now, grantedAt: now, idleReported: -1, openSlots: cfg.Slots, detector: newDetector()}
}

// trusted reports whether requests of all classes may go to the server.
func (v *server) trusted() bool { return v.state == Healthy || v.state == Warming }

// usable reports whether requests of all classes may go to the server now, as far as its
// failures are concerned.
func (v *server) usable(now time.Time) bool { return v.trusted() && !v.inBackOff(now) }

// hasFreeSlot reports whether the server has a free slot for a request that is not a
// probe. The limit that the server names goes before all else. With lastResort, suspected
// servers and servers in back-off are included. Servers that need a request always are;
// while the pool is overloaded, so are servers in back-off, for one request each.
func (v *server) hasFreeSlot(k ranking, lastResort bool) bool {
	return v.obstacle(k, lastResort) == Unobstructed
}

// obstacle returns why the server has no free slot for a request that is not a probe
// (hasFreeSlot), or Unobstructed.
func (v *server) obstacle(k ranking, lastResort bool) Obstacle {
	now := k.now
	if !v.withinLimit(now) {
		return ObstacleLimit
	}
	if k.testsIdle && v.needsRequest(k) {
		return Unobstructed
	}
	if !v.trusted() && (!lastResort || v.state != Suspected) {
		return v.state.obstacle()
	}
	if v.inBackOff(now) && k.overloaded && v.probeableUnderLoad(now) {
		if v.inUse == 0 {
			return Unobstructed
		}
		return ObstacleBackOff
	}
	if o := v.recoveryObstacle(k, lastResort); o != Unobstructed {
		return o
	}
	switch {
	case v.inUse >= v.capacity(now):
		return ObstacleBusy
	case v.pausedUntil.After(now):
		return ObstaclePause
	}
	return Unobstructed
}

// recoveryObstacle returns what in the server's back-off or recovery forbids the request,
// or Unobstructed.
func (v *server) recoveryObstacle(k ranking, lastResort bool) Obstacle {
	switch {
	case v.inBackOff(k.now) && (!lastResort || k.avoidsUnknownOutcome):
		return ObstacleBackOff
	case v.recovering(k.now) && !lastResort && k.waitsForRecovered:
		return ObstacleRecovering
	default:
		return Unobstructed
	}
}

// capacity returns how many requests the server may run at once now.
func (v *server) capacity(now time.Time) int {
	if v.recovering(now) {
		return min(1, v.openSlots)
	}
	return v.openSlots
}

// cold reports whether the server is slow after its start.
func (v *server) cold(now time.Time) bool { return v.coldUntil.After(now) }

// hasSpareSlotIn reports whether the server is in the data centre and would still
// have a free slot after one more request.
func (v *server) hasSpareSlotIn(dc site.DataCentre) bool {
	return dc != "" && v.cfg.DataCentre == dc && v.inUse+1 < max(2, v.openSlots)
}

// probeDue reports whether a repeatable request should probe the server now.
func (v *server) probeDue(now time.Time) bool {
	onProbation := v.state == Suspected || v.state == Ejected || (v.state == Leaving && !v.departing)
	return onProbation && !v.probing && v.inUse < v.openSlots && v.withinLimit(now) && !now.Before(v.nextProbe)
}

// setState changes the server's state and resets what belongs to the previous one.
func (v *server) setState(now time.Time, s State, reason string) {
	v.state, v.since, v.reason = s, now, reason
	v.stateCount, v.lastIntent = 0, time.Time{}
	switch s {
	case Healthy:
		v.openSlots = v.cfg.Slots
		v.resetScores()
	case Warming:
		v.openSlots = 1
		v.resetScores()
	case Suspected:
		v.openSlots = v.cfg.Slots
	case Ejected, Leaving, Down, Held:
		v.openSlots = 1
	}
}

// markSuspected puts the server on probation. The delay before the first probe
// doubles with each strike, until strikeMemory has passed without one.
func (v *server) markSuspected(now time.Time, reason string) {
	if now.Sub(v.lastStrike) > strikeMemory {
		v.strikes = 0
	}
	v.strikes = min(v.strikes+1, maxStrikes)
	v.lastStrike = now
	v.setState(now, Suspected, reason)
	v.nextProbe = now.Add(v.probeDelay())
}

// probeDelay returns the delay before the next series of probes.
func (v *server) probeDelay() time.Duration {
	return min(firstProbeDelay<<max(0, v.strikes-1), maxProbeDelay)
}

// connectionCheckDelay returns the delay before the next connection check of a
// server that is down.
func (v *server) connectionCheckDelay() time.Duration {
	return min(firstConnectionCheck<<min(v.stateCount, maxStrikes), maxConnectionCheckDelay)
}

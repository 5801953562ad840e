package pool

import (
	"time"

	"laburnumpick.org/pkg/site"
)

// Limits of the time without requests. A home cannot tell whether a server that it
// leaves out would serve again, and a sudden loss of the other servers' requests shows
// only when it is too late to have used it.
const (
	// maxIdle is how long a server that could be used goes without requests.
	maxIdle = 1200 * time.Millisecond
	// maxIdleAtMostOnce is the limit for at-most-once requests, so that repeatable
	// ones, if there are any, test the server first.
	maxIdleAtMostOnce = 1400 * time.Millisecond
	// maxIdleOverdue is the limit while a slow server runs a request, whose end would
	// tell more.
	maxIdleOverdue = 1800 * time.Millisecond
	// maxIdleFar is added to the limits for requests from other data centres, if nothing is
	// held against the server: traffic between data centres is expensive, and the server
	// most likely gets a request of its own one. Only pools with at least minFarRate requests
	// a second wait so long, since others may get none in the time that is left.
	maxIdleFar = 350 * time.Millisecond
	minFarRate = 40.0
	// failureExclusion is how long after a failure the time without requests begins.
	failureExclusion = 2400 * time.Millisecond
	// slowExclusion is the same after very slow responses.
	slowExclusion = 4 * time.Second
	// idleAfter is how long a server must have got no requests to be reported as idle.
	idleAfter = 2 * time.Second
)

// IdleReason is why a server that could be used gets no requests.
type IdleReason string

// Reasons of idle servers.
const (
	IdleBusy       IdleReason = "busy"       // Its open slots are in use.
	IdleLimited    IdleReason = "limited"    // The limit that it names allows no more requests now.
	IdlePaused     IdleReason = "paused"     // It shed a request, or declined one as cold.
	IdleProbation  IdleReason = "probation"  // It is suspected or ejected.
	IdleBackOff    IdleReason = "backOff"    // It is in back-off after a failure.
	IdleRecovering IdleReason = "recovering" // Its back-off is over, but its failure streak is not.
	IdleSlow       IdleReason = "slow"       // It is in a slow period, or slow after its start.
	IdleUnchosen   IdleReason = "unchosen"   // Nothing is held against it; other servers were preferred.
)

// IdleReasons lists all reasons.
var IdleReasons = []IdleReason{IdleBusy, IdleLimited, IdlePaused, IdleProbation, IdleBackOff, IdleRecovering, IdleSlow, IdleUnchosen}

// IdleServer is a server that could be used and gets no requests.
type IdleServer struct {
	Server    site.Server
	State     State
	Reason    IdleReason
	Idle      time.Duration // Since its last request.
	FailedAgo time.Duration // Since its last failure; zero if it has not failed.
}

// IdleServers returns the servers that are idle.
func (p *Pool) IdleServers(now time.Time) []IdleServer {
	var out []IdleServer
	for _, v := range p.order {
		if v.isIdle(now) {
			out = append(out, v.idleServer(now))
		}
	}
	return out
}

// NewlyIdleServers returns the idle servers that have not been returned since their
// last request.
func (p *Pool) NewlyIdleServers(now time.Time) []IdleServer {
	var out []IdleServer
	for _, v := range p.order {
		if v.isIdle(now) && v.idleReported != v.lastGrant {
			v.idleReported = v.lastGrant
			out = append(out, v.idleServer(now))
		}
	}
	return out
}

// needsRequest reports whether the server has been without requests for so long that
// it must get the next one, whatever is held against it.
func (v *server) needsRequest(k ranking) bool {
	now := k.now
	if v.inUse >= v.openSlots || !v.withinLimit(now) || (!v.trusted() && v.state != Suspected) {
		return false
	}
	limit := maxIdle
	switch {
	case v.inUse > 0 && v.isSlow(now):
		limit = maxIdleOverdue
	case k.atMostOnce:
		limit = maxIdleAtMostOnce
	}
	if k.staysNear && v.cfg.DataCentre != k.dataCentre && v.idleReason(now) == IdleUnchosen {
		limit += maxIdleFar
	}
	return now.Sub(v.grantedAt) > limit &&
		now.Sub(v.failedAt) > failureExclusion+limit &&
		now.Sub(v.verySlowAt) > slowExclusion+limit
}

// inService reports whether the server can be used, now or after probation.
func (v *server) inService() bool {
	return v.trusted() || v.state == Suspected || v.state == Ejected
}

// isIdle reports whether the server could be used and has got no requests for
// idleAfter.
func (v *server) isIdle(now time.Time) bool {
	return v.inService() && now.Sub(v.grantedAt) > idleAfter
}

func (v *server) idleServer(now time.Time) IdleServer {
	s := IdleServer{Server: v.cfg, State: v.state, Reason: v.idleReason(now), Idle: now.Sub(v.grantedAt)}
	if !v.failedAt.IsZero() {
		s.FailedAgo = now.Sub(v.failedAt)
	}
	return s
}

// idleReason returns what keeps requests away from the server.
func (v *server) idleReason(now time.Time) IdleReason {
	switch {
	case v.inUse >= v.openSlots:
		return IdleBusy
	case !v.withinLimit(now):
		return IdleLimited
	case v.pausedUntil.After(now):
		return IdlePaused
	case !v.trusted():
		return IdleProbation
	case v.inBackOff(now):
		return IdleBackOff
	case v.recovering(now):
		return IdleRecovering
	case v.isSlow(now) || v.cold(now):
		return IdleSlow
	default:
		return IdleUnchosen
	}
}

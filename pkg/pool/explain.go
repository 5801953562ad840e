package pool

import (
	"time"

	"laburnumpick.org/pkg/site"
)

// Obstacle is why a server does not get a request.
type Obstacle string

// Obstacles. The ones after Unobstructed forbid the request; the ones from ObstacleSlow on only make
// another server preferable.
const (
	Unobstructed       Obstacle = ""
	ObstacleBusy       Obstacle = "busy"       // Its open slots are in use.
	ObstacleLimit      Obstacle = "limited"    // The limit that it names allows no request now.
	ObstaclePause      Obstacle = "paused"     // It shed a request, or declined one as cold.
	ObstacleVMPause    Obstacle = "pausesVM"   // It wants no requests from the request's VM for a time.
	ObstacleBackOff    Obstacle = "backOff"    // It is in back-off after a failure.
	ObstacleRecovering Obstacle = "recovering" // Its back-off is over, but its failure streak is not.
	ObstacleProbation  Obstacle = "probation"  // It is suspected or ejected.
	ObstacleLeaving    Obstacle = "leaving"    // It stops soon.
	ObstacleDown       Obstacle = "down"       // It does not accept connections.
	ObstacleHeld       Obstacle = "held"       // An operator has taken it out of use.
	ObstacleExcluded   Obstacle = "excluded"   // The request has failed on it, or its VM avoids it.
	ObstacleSuspect    Obstacle = "suspect"    // It runs another request that has crashed a server.

	ObstacleSlow      Obstacle = "slow"            // It is in a slow period, or slow after its start.
	ObstacleFar       Obstacle = "otherDataCentre" // The chosen server is in the sender's data centre.
	ObstacleFuller    Obstacle = "fuller"          // More of its slots are in use.
	ObstacleUsedLater Obstacle = "usedLater"       // It has got a request later than the chosen server.
	ObstacleUnneeded  Obstacle = "otherTested"     // The chosen server must get a request, or is probed.
)

// obstacle returns why a server in a state that is not trusted gets no requests.
func (s State) obstacle() Obstacle {
	switch s {
	case Leaving:
		return ObstacleLeaving
	case Down:
		return ObstacleDown
	case Held:
		return ObstacleHeld
	default:
		return ObstacleProbation
	}
}

// Candidate is a server that was considered for a request.
type Candidate struct {
	Server    site.Server
	State     State
	InUse     int
	OpenSlots int
	Chosen    bool
	Obstacle  Obstacle // Why it was passed over; Unobstructed if it is chosen.
}

// Explanation is the decision on a request that would come now, and its reasons.
type Explanation struct {
	Decision   Decision
	Queued     int           // Requests in the queue.
	Ahead      int           // Of these, the ones that would be served before the request; by cost, an estimate.
	Wait       time.Duration // Expected wait for a slot.
	Candidates []Candidate
}

// Explain returns what Admit would decide on a request now, and why. It decides on a copy
// of the pool, which stays as it is.
func (p *Pool) Explain(now time.Time, r Request) Explanation {
	c := p.clone()
	if c.Queued() > 0 {
		c.DispatchQueue(now) // As the home does before it admits a request.
	}
	e := Explanation{Queued: c.queue.len(), Ahead: c.aheadOf(now, r), Wait: c.expectedWait(now, r)}
	c.trace = &trace{}
	c.choose(now, r, false) // For decisions that are made before a server is chosen.
	e.Decision = c.Admit(now, r)
	e.Candidates = c.trace.candidates
	g, _ := e.Decision.(Granted)
	markChosen(e.Candidates, g.Server.Name)
	return e
}

// aheadOf returns the number of queued requests that would be served before a request.
func (p *Pool) aheadOf(now time.Time, r Request) int {
	_, ahead := p.waitInQueue(now, r, max(1, p.usableSlots(now)))
	return ahead
}

// markChosen marks the server that was granted, if any. It differs from the preferred one if
// it is probed. If the request is refused before a server is chosen, the preferred one
// has no obstacle.
func markChosen(all []Candidate, n site.ServerName) {
	for i := range all {
		c := &all[i]
		switch {
		case c.Server.Name == n:
			c.Chosen, c.Obstacle = true, Unobstructed
		case c.Chosen && n != "":
			c.Chosen, c.Obstacle = false, ObstacleUnneeded
		default:
			c.Chosen = false
		}
	}
}

// trace records how servers are chosen for a request.
type trace struct{ candidates []Candidate }

// record records a choice. It replaces an earlier one, which was without last resort.
func (t *trace) record(p *Pool, k ranking, r Request, lastResort bool, best *server) {
	t.candidates = t.candidates[:0]
	for _, v := range p.order {
		c := Candidate{Server: v.cfg, State: v.state, InUse: v.inUse, OpenSlots: v.openSlots, Chosen: v == best}
		if !c.Chosen {
			c.Obstacle = p.obstacle(k, r, v, lastResort)
		}
		if !c.Chosen && c.Obstacle == Unobstructed {
			c.Obstacle = k.disadvantage(v, best)
		}
		t.candidates = append(t.candidates, c)
	}
}

// disadvantage returns why server best is preferred to server v.
func (k ranking) disadvantage(v, best *server) Obstacle {
	_, by := k.compare(v, best)
	switch by {
	case byDataCentre:
		return ObstacleFar
	case byLoad:
		return ObstacleFuller
	case byTurn:
		return ObstacleUsedLater
	}
	switch k.tier(v) {
	case tierProbation:
		return v.state.obstacle()
	case tierBackOff:
		return ObstacleBackOff
	case tierRecovering:
		return ObstacleRecovering
	case tierSlow:
		return ObstacleSlow
	default:
		return ObstacleUnneeded
	}
}

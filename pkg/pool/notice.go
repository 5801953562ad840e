package pool

import (
	"slices"
	"time"

	"laburnumpick.org/pkg/site"
)

// maxPauses is the largest number of pauses that a home keeps for a pool. A VM keeps its own
// pauses in any case; the home's only save it a declined grant.
const maxPauses = 1 << 16

// Notice is what a server has told a VM about itself in a response.
type Notice struct {
	Server    site.ServerName
	StartedMs int64         // Start time of the server, in Unix milliseconds; 0 if it is configured.
	Leaving   bool          // The server stops soon and must get no new requests from any VM.
	Pause     time.Duration // Time left for which it wants no requests from the VM; 0 if there is none.
}

// pauses holds until when servers want no requests from single VMs.
type pauses struct {
	byVM  map[string]map[*server]time.Time
	count int
}

func newPauses() pauses { return pauses{byVM: make(map[string]map[*server]time.Time)} }

// add keeps a server's pause. A pause that ends earlier does not cut one short.
func (s *pauses) add(vm string, v *server, until time.Time) {
	until0, known := s.byVM[vm][v]
	if !known && s.count >= maxPauses {
		return
	}
	if s.byVM[vm] == nil {
		s.byVM[vm] = make(map[*server]time.Time)
	}
	if !known {
		s.count++
	}
	if until.After(until0) {
		s.byVM[vm][v] = until
	}
}

// expire removes the pauses that are over.
func (s *pauses) expire(now time.Time) {
	for vm, servers := range s.byVM {
		for v, until := range servers {
			if !until.After(now) {
				delete(servers, v)
				s.count--
			}
		}
		if len(servers) == 0 {
			delete(s.byVM, vm)
		}
	}
}

// left returns how much longer a server wants no requests from a VM.
func (s *pauses) left(now time.Time, vm string, v *server) time.Duration {
	return max(0, s.byVM[vm][v].Sub(now))
}

// vmsOf returns the number of VMs from which a server wants no requests, as of the last call
// of expire.
func (s *pauses) vmsOf(v *server) int {
	n := 0
	for _, servers := range s.byVM {
		if _, paused := servers[v]; paused {
			n++
		}
	}
	return n
}

// MergeNotices applies what servers have told a VM. It returns the changes of state.
func (p *Pool) MergeNotices(now time.Time, vm string, notices []Notice) []Event {
	var events []Event
	for _, n := range notices {
		v, ok := p.serverSince(n.Server, n.StartedMs)
		if !ok {
			continue
		}
		if n.Leaving {
			events = append(events, p.announceLeaving(now, v)...)
		}
		if n.Pause > 0 {
			p.pauses.add(vm, v, now.Add(n.Pause))
		}
	}
	return events
}

// announceLeaving takes a server out of use that says in a response that it leaves. Only a
// restart ends that. A configured server's restart does not show, so such a server is probed
// after leavingRecheck.
func (p *Pool) announceLeaving(now time.Time, v *server) []Event {
	const reason = "it says in its responses that it leaves"
	v.announced = true
	if v.cfg.StartedMs == 0 {
		return p.MarkLeaving(now, v.cfg.Name, reason)
	}
	return p.markDeparting(now, v, reason)
}

// announcedLeaving returns the servers that have said that they leave.
func (p *Pool) announcedLeaving() []Notice {
	var out []Notice
	for _, v := range p.order {
		if v.announced && v.state == Leaving {
			out = append(out, Notice{Server: v.cfg.Name, StartedMs: v.cfg.StartedMs, Leaving: true})
		}
	}
	return out
}

// isBarred reports whether a server must not get a request: the request has failed on it, it
// has said that it leaves, or it wants no requests from the request's VM.
func (p *Pool) isBarred(now time.Time, r Request, v *server) bool {
	return p.barrier(now, r, v) != Unobstructed
}

// barrier returns why a server must not get a request (isBarred), or Unobstructed.
func (p *Pool) barrier(now time.Time, r Request, v *server) Obstacle {
	switch {
	case v.announced && v.cfg.StartedMs != 0:
		return ObstacleLeaving
	case slices.Contains(r.Exclude, v.cfg.Name):
		return ObstacleExcluded
	case p.pauses.left(now, r.VM, v) > 0:
		return ObstacleVMPause
	}
	return Unobstructed
}

// untilPauseEnds returns the time until the first of the servers that could be used accepts
// requests from the request's VM. It reports false if one does now, or none can be used.
func (p *Pool) untilPauseEnds(now time.Time, r Request) (time.Duration, bool) {
	if len(p.pauses.byVM[r.VM]) == 0 {
		return 0, false
	}
	first, found := time.Duration(0), false
	for _, v := range p.order {
		if !v.usable(now) || slices.Contains(r.Exclude, v.cfg.Name) {
			continue
		}
		left := p.pauses.left(now, r.VM, v)
		if left == 0 {
			return 0, false
		}
		if !found || left < first {
			first, found = left, true
		}
	}
	return first, found
}

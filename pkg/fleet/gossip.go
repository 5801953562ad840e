package fleet

import (
	"time"

	"laburnumpick.org/pkg/fleetapi"
)

// Bounds of gossip updates.
const (
	piggybackWindow = 5 * time.Second // How long an update is piggybacked on each heartbeat.
	seenWindow      = time.Minute     // How long an update's ID is remembered to detect duplicates.
	maxSeen         = 1024            // IDs remembered; further updates are dropped.
	maxPiggyback    = 16              // Updates on one message.
)

// gossip holds the updates that this VM has lately received or created.
type gossip struct {
	seen   map[string]time.Time // When each update arrived, by ID.
	recent []*fleetapi.Rumor    // In order of arrival.
}

func newGossip() *gossip { return &gossip{seen: make(map[string]time.Time)} }

// add stores an update and reports whether it is new. It drops new updates while
// the memory of IDs is full.
func (g *gossip) add(now time.Time, m *fleetapi.Rumor) bool {
	if _, known := g.seen[m.GetId()]; known {
		return false
	}
	g.expire(now)
	if len(g.seen) >= maxSeen {
		return false
	}
	g.seen[m.GetId()] = now
	g.recent = append(g.recent, m)
	return true
}

// piggyback returns the newest updates to send with a message.
func (g *gossip) piggyback(now time.Time) []*fleetapi.Rumor {
	for len(g.recent) > 0 && now.Sub(g.seen[g.recent[0].GetId()]) > piggybackWindow {
		g.recent = g.recent[1:]
	}
	return append([]*fleetapi.Rumor(nil), g.recent[max(0, len(g.recent)-maxPiggyback):]...)
}

// expire removes the IDs that are older than seenWindow.
func (g *gossip) expire(now time.Time) {
	for id, at := range g.seen {
		if now.Sub(at) > seenWindow {
			delete(g.seen, id)
		}
	}
}

package fleet

import (
	"time"

	"laburnumpick.org/pkg/fleetapi"
)

// Bounds of the facts that are spread.
const (
	rumorFresh  = 5 * time.Second // A fact rides on each heartbeat for so long.
	rumorMemory = time.Minute     // A fact is known again for so long.
	maxRumors   = 1024
	maxRiding   = 16 // Facts on one message.
)

// rumors holds the facts that this VM has heard lately.
type rumors struct {
	heard map[string]time.Time
	fresh []*fleetapi.Rumor // The newest last.
}

func newRumors() *rumors { return &rumors{heard: make(map[string]time.Time)} }

// add takes in a fact and reports whether it was new.
func (r *rumors) add(now time.Time, m *fleetapi.Rumor) bool {
	if _, known := r.heard[m.GetId()]; known {
		return false
	}
	r.forget(now)
	if len(r.heard) >= maxRumors {
		return false
	}
	r.heard[m.GetId()] = now
	r.fresh = append(r.fresh, m)
	return true
}

// riding returns the facts for a message.
func (r *rumors) riding(now time.Time) []*fleetapi.Rumor {
	for len(r.fresh) > 0 && now.Sub(r.heard[r.fresh[0].GetId()]) > rumorFresh {
		r.fresh = r.fresh[1:]
	}
	return append([]*fleetapi.Rumor(nil), r.fresh[max(0, len(r.fresh)-maxRiding):]...)
}

func (r *rumors) forget(now time.Time) {
	for id, at := range r.heard {
		if now.Sub(at) > rumorMemory {
			delete(r.heard, id)
		}
	}
}

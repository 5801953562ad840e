package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"laburnumpick.org/platform/standin"
)

// limitShare is the share of the servers that name limits.
const limitShare = 0.3

// limitChange is a change of the limit that a server names.
type limitChange struct {
	at   time.Duration // Since the start of the schedule.
	text string
}

// limitChanges returns when a server changes its limit, or nil if it names none. It draws
// from a source of its own, so that limits leave the events of a seed unchanged.
func limitChanges(seed uint64, index int, length time.Duration) []limitChange {
	rng := rand.New(rand.NewPCG(seed, uint64(1000+index)))
	if rng.Float64() > limitShare {
		return nil
	}
	values := []string{"0.5", "2", "5", "", "soon"}
	var out []limitChange
	for at := time.Second; at < length; at += time.Duration(3000+rng.IntN(15000)) * time.Millisecond {
		out = append(out, limitChange{at, values[rng.IntN(len(values))]})
	}
	return append(out, limitChange{length, ""})
}

// nameLimits lets servers name limits until the end of the schedule. The returned group
// ends with the last change.
func (s *soak) nameLimits(start time.Time) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i, srv := range s.servers {
		changes := limitChanges(s.cfg.Seed, i, s.cfg.Length)
		if changes == nil {
			continue
		}
		s.limited = append(s.limited, srv)
		wg.Go(func() {
			for _, c := range changes {
				time.Sleep(time.Until(start.Add(c.at)))
				srv.SetLimit(c.text)
			}
		})
	}
	return &wg
}

// checkLimits returns a description of each server that got more requests than the limit
// that it had named allows.
func checkLimits(servers []*standin.Server) []string {
	var broken []string
	for _, srv := range servers {
		if w := srv.Limits().WorstWindow(); w.Violated {
			broken = append(broken, fmt.Sprintf("server %s got %d requests in the four seconds from %s, allowed %.1f at a limit of %v",
				srv.Name, w.Got, w.From.Format("15:04:05.000"), w.Allowed, w.AtMost))
		}
	}
	return broken
}

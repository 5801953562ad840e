package catalog

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"laburnumpick.org/pkg/site"
)

// keptChanges is how many changes a replica can hand to peers. A peer that is
// further behind gets a snapshot.
const keptChanges = 512

// State is the configuration in force in a VM.
type State struct {
	Version   Version
	Directory *site.Directory
	Since     time.Time // When this VM put the version in force.
}

// Replica is one VM's copy of a site's configuration. Readers never wait.
type Replica struct {
	state atomic.Pointer[State]

	mu     sync.Mutex // Guards what follows and the order of versions.
	recent []Change   // The last changes, in order, without gaps.
	heard  Version    // The highest version that anybody told of.
}

// Source is where the accepted configuration is read.
type Source interface {
	// Follow brings a replica up to the newest version. It may wait for one
	// where there is none.
	Follow(ctx context.Context, now time.Time, r *Replica, wait time.Duration) error
}

// NewReplica returns a replica at version zero, without configuration.
func NewReplica() *Replica {
	r := &Replica{}
	r.state.Store(&State{Directory: site.NewDirectory()})
	return r
}

// State returns the configuration in force.
func (r *Replica) State() *State { return r.state.Load() }

// ObserveVersion notes that somebody has version v. It reports whether the replica is
// behind it.
func (r *Replica) ObserveVersion(v Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = max(r.heard, v)
	return r.heard > r.state.Load().Version
}

// Behind returns how many versions the replica knows that it lacks.
func (r *Replica) Behind() Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.heard-r.state.Load().Version)
}

// Apply puts changes in force. Those at or below the version in force are
// passed over, so late and repeated ones are harmless; a gap ends the call.
// It returns how many were new.
func (r *Replica) Apply(now time.Time, changes []Change) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for i := range changes {
		c := &changes[i]
		cur := r.state.Load()
		if c.Version <= cur.Version {
			continue
		}
		if c.Version != cur.Version+1 {
			return n, fmt.Errorf("change %d does not follow version %d", c.Version, cur.Version)
		}
		d, err := c.apply(cur.Directory)
		if err != nil {
			return n, fmt.Errorf("change %d: %w", c.Version, err)
		}
		r.publish(&State{c.Version, d, now})
		r.keep(*c)
		n++
	}
	return n, nil
}

// Load puts a snapshot in force if it is newer than what is.
func (r *Replica) Load(now time.Time, s *Snapshot) (bool, error) {
	if s.Version <= r.state.Load().Version {
		return false, nil
	}
	d, err := s.directory()
	if err != nil {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Version <= r.state.Load().Version {
		return false, nil
	}
	r.publish(&State{s.Version, d, now})
	r.recent = nil
	return true, nil
}

func (r *Replica) publish(s *State) {
	r.heard = max(r.heard, s.Version)
	r.state.Store(s)
}

func (r *Replica) keep(c Change) {
	r.recent = append(r.recent, c)
	if len(r.recent) > 2*keptChanges {
		r.recent = append([]Change(nil), r.recent[len(r.recent)-keptChanges:]...)
	}
}

// ChangesSince returns the changes after version v, or false where the replica no
// longer has them all.
func (r *Replica) ChangesSince(v Version) ([]Change, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cur := r.state.Load().Version
	if v >= cur {
		return nil, true
	}
	if len(r.recent) == 0 || r.recent[0].Version > v+1 {
		return nil, false
	}
	i := int(v + 1 - r.recent[0].Version)
	return append([]Change(nil), r.recent[i:]...), true
}

// RecentChanges returns the last changes that the replica can hand to peers.
func (r *Replica) RecentChanges() []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Change(nil), r.recent...)
}

// Snapshot returns the configuration in force as a snapshot.
func (r *Replica) Snapshot() (*Snapshot, error) {
	cur := r.state.Load()
	s := &Snapshot{Version: cur.Version}
	for _, o := range cur.Directory.Objects() {
		raw, err := site.EncodeJSON(o)
		if err != nil {
			return nil, err
		}
		s.Objects = append(s.Objects, json.RawMessage(raw))
	}
	return s, nil
}

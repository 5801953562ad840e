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

// retainedChanges is the number of changes that a replica keeps to send to other
// VMs. A VM that is further behind gets a snapshot.
const retainedChanges = 512

// State is the current configuration of a VM.
type State struct {
	Version   Version
	Directory *site.Directory
	Since     time.Time // When this VM applied the version.
}

// Replica is a VM's copy of a site's configuration. Readers call State, which does
// not block.
type Replica struct {
	state atomic.Pointer[State]

	mu           sync.Mutex // Guards the fields below and serializes updates of state.
	recent       []Change   // The last changes in the order of versions, without gaps.
	highestKnown Version    // The highest version that any VM is known to have.
}

// Source is where a replica gets the accepted configuration from.
type Source interface {
	// Follow updates a replica to the latest version. If there is no newer one, it
	// may wait for one for the given time.
	Follow(ctx context.Context, now time.Time, r *Replica, wait time.Duration) error
}

// NewReplica returns a replica at version zero with an empty configuration.
func NewReplica() *Replica {
	r := &Replica{}
	r.state.Store(&State{Directory: site.NewDirectory()})
	return r
}

// State returns the current configuration.
func (r *Replica) State() *State { return r.state.Load() }

// ObserveVersion records that another VM has version v. It reports whether the
// replica is behind the highest version recorded so far.
func (r *Replica) ObserveVersion(v Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highestKnown = max(r.highestKnown, v)
	return r.highestKnown > r.state.Load().Version
}

// Behind returns by how many versions the replica is behind the highest version
// that any VM is known to have.
func (r *Replica) Behind() Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.highestKnown-r.state.Load().Version)
}

// Apply applies changes in order. Changes at or below the current version are
// skipped, so that they can arrive late or more than once. A gap between versions
// is an error. It returns how many changes were applied, even if it returns an error.
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
			return n, fmt.Errorf("cannot apply change %d to version %d", c.Version, cur.Version)
		}
		d, err := c.apply(cur.Directory)
		if err != nil {
			return n, fmt.Errorf("change %d: %w", c.Version, err)
		}
		r.publish(&State{c.Version, d, now})
		r.retain(*c)
		n++
	}
	return n, nil
}

// Load applies a snapshot if it is newer than the current configuration, and
// reports whether it did.
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
	r.highestKnown = max(r.highestKnown, s.Version)
	r.state.Store(s)
}

// retain adds a change to those that can be sent to other VMs. It drops the oldest
// in bulk, so that most calls do not copy the others.
func (r *Replica) retain(c Change) {
	r.recent = append(r.recent, c)
	if len(r.recent) > 2*retainedChanges {
		r.recent = append([]Change(nil), r.recent[len(r.recent)-retainedChanges:]...)
	}
}

// ChangesSince returns the changes after version v, or false if the replica does
// not have all of them.
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

// RecentChanges returns the changes that the replica can send to other VMs.
func (r *Replica) RecentChanges() []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Change(nil), r.recent...)
}

// Snapshot returns a snapshot of the current configuration.
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

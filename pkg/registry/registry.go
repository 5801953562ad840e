// Package registry replicates the list of the backend servers that register
// themselves with the platform.
//
// One VM at a time reads the list and sends updates to the others; each VM holds
// a replica. A replica never goes back to an older revision, so it does not matter
// which VM's update arrives first. A server that is missing from the list after the
// platform was unreachable for a while may only have been unable to renew its
// entry: it stays in use until it has had time to register again.
package registry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laburnumpick.org/pkg/site"
)

// Entry describes one registered server.
type Entry struct {
	Service  site.ServiceName
	Server   site.Server
	Draining bool          // The server is shutting down and must get no new requests.
	ColdFor  time.Duration // How much longer the server is slow after its start.
	// Seq counts the writes of the entry since the server's start. It identifies an
	// old entry that a delayed writer delivers late.
	Seq int64
}

// sameContent reports whether two entries are equal, apart from their sequence
// numbers and the time for which the server is still cold.
func (e Entry) sameContent(o Entry) bool {
	e.ColdFor, o.ColdFor = 0, 0
	e.Seq, o.Seq = 0, 0
	return e == o
}

// Update holds what has changed in the list since a revision, or the full list.
type Update struct {
	Since    Revision
	Revision Revision
	Full     bool // Entries is the full list; Since and Removed have no meaning.
	Entries  []Entry
	Removed  []site.ServerName
}

// Timing of a replica.
const (
	// outageThreshold is the time without an update after which an entry's absence
	// from the list no longer proves that its server has gone. Entries expire after
	// three missed heartbeats, so an outage of the platform makes live servers
	// disappear from the list.
	outageThreshold = 2500 * time.Millisecond
	// reregisterGrace is how long a server may take to register again after an
	// outage.
	reregisterGrace = 2200 * time.Millisecond
	// removalRetention is how long a removal is kept so that Since can report it.
	removalRetention = time.Minute
)

// record is a replica's state of one server.
type record struct {
	Entry
	revision     Revision  // Of the entry's last change.
	coldUntil    time.Time // When the server stops being slow after its start.
	listedAt     time.Time // When an update last had the entry.
	missingSince time.Time // When the list first lacked it; zero if the list has it.
}

// removal records that a server was removed, and the last entry that it had.
type removal struct {
	revision Revision
	at       time.Time
	order    order
}

// State is an immutable snapshot of a replica.
type State struct {
	Revision   Revision
	Generation int64 // Increases whenever the servers change; a new Revision alone leaves it.
	services   map[site.ServiceName][]Listed
	servers    map[site.ServerName]Listed
}

// Listed is one server of a State.
type Listed struct {
	Entry
	ColdUntil time.Time
}

// Servers returns the servers of a service, including draining ones.
func (s *State) Servers(n site.ServiceName) []Listed { return s.services[n] }

// Server returns a server by name.
func (s *State) Server(n site.ServerName) (Listed, bool) {
	l, ok := s.servers[n]
	return l, ok
}

// Len returns the number of servers.
func (s *State) Len() int { return len(s.servers) }

// Replica is one VM's copy of the list. It is safe for concurrent use; State
// doesn't block.
type Replica struct {
	state atomic.Pointer[State]

	mu             sync.Mutex // Guards the fields below.
	records        map[site.ServerName]*record
	removals       map[site.ServerName]removal
	pendingChanges []Change  // Since the last TakeChanges.
	lastUpdate     time.Time // When Apply last got an update without a gap.
	recoversUntil  time.Time // Until when servers register again after an outage.
	compactedUpTo  Revision  // Newest revision of a removal that was dropped.
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	r := &Replica{records: make(map[site.ServerName]*record), removals: make(map[site.ServerName]removal)}
	r.state.Store(&State{})
	return r
}

// State returns the current snapshot.
func (r *Replica) State() *State { return r.state.Load() }

// Apply applies an update; an update that is older than the replica, or as old and without the
// full list, changes nothing. It returns false if the update starts after the replica's revision: the
// changes in between are missing, and the caller must get the full list.
func (r *Replica) Apply(now time.Time, u Update) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cur := r.state.Load().Revision; u.Revision < cur || (u.Revision == cur && cur > 0 && !u.Full) {
		r.lastUpdate = now
		return true
	} else if !u.Full && u.Since > cur {
		return false
	}
	if r.isAfterOutage(now, u.Revision) {
		r.recoversUntil = now.Add(reregisterGrace)
	}
	r.lastUpdate = now
	u = r.withoutImplausible(now, u)
	listed := make(map[site.ServerName]bool, len(u.Entries))
	changed := false
	for _, e := range u.Entries {
		listed[e.Server.Name] = true
		changed = r.put(now, e, u.Revision) || changed
	}
	for _, n := range r.removedServers(u, listed) {
		changed = r.removeOrMarkMissing(now, n, u.Revision) || changed
	}
	if u.Full {
		// What was removed before is not known, apart from the servers that were held here.
		r.compactedUpTo = max(r.compactedUpTo, u.Revision)
	}
	r.publish(u.Revision, changed)
	return true
}

// isAfterOutage reports whether an entry's absence from an update may mean that its server
// could not renew it, or that the platform has lost it by going back to an older copy.
func (r *Replica) isAfterOutage(now time.Time, next Revision) bool {
	cur := r.state.Load().Revision
	return !r.lastUpdate.IsZero() && (now.Sub(r.lastUpdate) > outageThreshold || next.Era() > cur.Era())
}

// withoutImplausible returns an update without the entries that no server can have made. They
// count as removed.
func (r *Replica) withoutImplausible(now time.Time, u Update) Update {
	latestStart := now.Add(maxClockSkew).UnixMilli()
	isImplausible := func(e Entry) bool { return e.Server.StartedMs > latestStart || e.Seq < 0 }
	if !slices.ContainsFunc(u.Entries, isImplausible) {
		return u
	}
	u.Removed = slices.Clone(u.Removed)
	var valid []Entry
	for _, e := range u.Entries {
		if !isImplausible(e) {
			valid = append(valid, e)
			continue
		}
		u.Removed = append(u.Removed, e.Server.Name)
		r.recordChange(Implausible, e)
	}
	u.Entries = valid
	return u
}

// removedServers returns the servers that an update removes.
func (r *Replica) removedServers(u Update, listed map[site.ServerName]bool) []site.ServerName {
	if !u.Full {
		return u.Removed
	}
	var out []site.ServerName
	for n := range r.records {
		if !listed[n] {
			out = append(out, n)
		}
	}
	return out
}

// put stores an entry and reports whether it changed the replica.
func (r *Replica) put(now time.Time, e Entry, rev Revision) bool {
	if removed, ok := r.removals[e.Server.Name]; ok && (e.wasMadeBefore(removed.order) || e.order() == removed.order) {
		return false // A delayed write of a server that has been removed.
	}
	rec, ok := r.records[e.Server.Name]
	if ok && e.wasMadeBefore(rec.order()) {
		return false
	}
	delete(r.removals, e.Server.Name)
	if ok && rec.sameContent(e) {
		rec.Seq, rec.listedAt = e.Seq, now
		wasMissing := !rec.missingSince.IsZero()
		if wasMissing || now.Before(r.recoversUntil) {
			// Other replicas may miss it too, so Since reports it to them.
			rec.missingSince, rec.revision = time.Time{}, rev
		}
		return wasMissing
	}
	r.recordChange(eventFor(rec, e), e)
	r.records[e.Server.Name] = &record{Entry: e, revision: rev, coldUntil: now.Add(e.ColdFor), listedAt: now}
	return true
}

// eventFor returns how an entry differs from the server's record, which is nil for
// a new server.
func eventFor(rec *record, e Entry) Event {
	switch {
	case e.Draining:
		return Draining
	case rec == nil || rec.Server.StartedMs != e.Server.StartedMs:
		return Registered
	default:
		return Changed
	}
}

// removeOrMarkMissing removes a server that the list no longer has and reports
// whether it did. If the server has not registered again yet after an outage it only records that it
// is missing; Expire removes it later.
func (r *Replica) removeOrMarkMissing(now time.Time, n site.ServerName, rev Revision) bool {
	rec, ok := r.records[n]
	if !ok || !rec.missingSince.IsZero() {
		return false
	}
	returned := r.recoversUntil.Add(-reregisterGrace)
	if now.Before(r.recoversUntil) && rec.listedAt.Before(returned) {
		rec.missingSince = returned
		r.recordChange(Missing, rec.Entry)
		return false
	}
	r.remove(now, n, rev)
	return true
}

// remove removes a server and keeps its removal for Since. The caller holds the
// lock.
func (r *Replica) remove(now time.Time, n site.ServerName, rev Revision) {
	rec := r.records[n]
	r.recordChange(Removed, rec.Entry)
	delete(r.records, n)
	r.removals[n] = removal{rev, now, rec.order()}
}

// Expire removes the servers that did not register again in time and drops old
// removals. It reports whether it removed a server.
func (r *Replica) Expire(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	cur := r.state.Load().Revision
	for n, rec := range r.records {
		if !rec.missingSince.IsZero() && now.Sub(rec.missingSince) >= reregisterGrace {
			r.remove(now, n, cur)
			changed = true
		}
	}
	for n, removed := range r.removals {
		if now.Sub(removed.at) > removalRetention {
			r.compactedUpTo = max(r.compactedUpTo, removed.revision)
			delete(r.removals, n)
		}
	}
	r.publish(cur, changed)
	return changed
}

// publish stores a new snapshot for readers. The caller holds the lock.
func (r *Replica) publish(rev Revision, changed bool) {
	old := r.state.Load()
	if !changed {
		if rev != old.Revision {
			next := *old
			next.Revision = rev
			r.state.Store(&next)
		}
		return
	}
	next := &State{
		Revision: rev, Generation: old.Generation + 1,
		services: make(map[site.ServiceName][]Listed), servers: make(map[site.ServerName]Listed, len(r.records)),
	}
	for _, n := range slices.Sorted(maps.Keys(r.records)) {
		rec := r.records[n]
		l := Listed{rec.Entry, rec.coldUntil}
		next.servers[n] = l
		next.services[rec.Service] = append(next.services[rec.Service], l)
	}
	r.state.Store(next)
}

// Since returns the changes after a revision, or the full list if the revision is zero
// or the replica no longer has all removals since then. A server that is missing is still in
// use, so that is not told.
func (r *Replica) Since(now time.Time, since Revision) Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := Update{Since: since, Revision: r.state.Load().Revision, Full: since < r.compactedUpTo || since == 0}
	for _, rec := range r.records {
		if u.Full || rec.revision > since {
			e := rec.Entry
			e.ColdFor = max(0, rec.coldUntil.Sub(now))
			u.Entries = append(u.Entries, e)
		}
	}
	for n, removed := range r.removals {
		if !u.Full && removed.revision > since {
			u.Removed = append(u.Removed, n)
		}
	}
	slices.SortFunc(u.Entries, func(x, y Entry) int { return cmp.Compare(x.Server.Name, y.Server.Name) })
	slices.Sort(u.Removed)
	return u
}

// Event is the kind of a Change.
type Event string

// Kinds of changes.
const (
	Registered Event = "seen"    // It registered for the first time, or restarted.
	Changed    Event = "changed" // Its entry changed.
	Draining   Event = "leaving" // It is shutting down.
	Missing    Event = "missing" // The list lacks it after an outage; it may register again.
	Removed    Event = "gone"    // It is no longer in use.
	// Implausible means that its entry holds a start in the future or a negative sequence
	// number, and was ignored.
	Implausible Event = "implausible"
)

// Change is a change of one server, for the event log.
type Change struct {
	Event
	Service site.ServiceName
	Server  site.ServerName
}

// maxPendingChanges bounds the changes that wait for TakeChanges; later ones are
// dropped.
const maxPendingChanges = 1024

// recordChange queues a change for TakeChanges. The caller holds the lock.
func (r *Replica) recordChange(ev Event, e Entry) {
	if len(r.pendingChanges) < maxPendingChanges {
		r.pendingChanges = append(r.pendingChanges, Change{ev, e.Service, e.Server.Name})
	}
}

// TakeChanges returns the changes since the last call.
func (r *Replica) TakeChanges() []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.pendingChanges
	r.pendingChanges = nil
	return out
}

// Source reads the list from the platform.
type Source interface {
	// Read returns the changes since a revision, or the full list if the revision
	// is zero or the source no longer has all changes since then.
	Read(ctx context.Context, since Revision) (Update, error)
}

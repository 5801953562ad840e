// Package registry keeps the list of the backend servers that register
// themselves with the platform.
//
// One VM at a time reads the list and tells the others; each keeps a book of
// its own. A book never goes back to an older revision, so it does not matter
// who told first. A server that is missing after the platform was out of reach
// for a while may only have been unable to renew its entry: it stays in use
// until it had the time to come back.
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

// Revision orders the states of the list.
type Revision int64

// Entry is one registered server.
type Entry struct {
	Service  site.ServiceName
	Server   site.Server
	Draining bool          // It ends soon and must get no new request.
	ColdFor  time.Duration // How much longer it is slow after its start.
	// Seq counts what the server has told since its start. A writer that was held
	// up may bring something old.
	Seq int64
}

// older reports whether an entry is from before another of the same server.
func (e Entry) older(started, seq int64) bool {
	if e.Server.StartedMs != started {
		return e.Server.StartedMs < started
	}
	return e.Seq < seq
}

// same reports whether two entries tell the same but for their count and for the
// time that the server is still cold.
func (e Entry) same(o Entry) bool {
	e.ColdFor, o.ColdFor = 0, 0
	e.Seq, o.Seq = 0, 0
	return e == o
}

// Update is what has changed in the list since a revision.
type Update struct {
	Since    Revision
	Revision Revision
	Full     bool // Entries are all there are; Since and Gone mean nothing.
	Entries  []Entry
	Removed  []site.ServerName
}

// Times of a book.
const (
	// outage is how long nothing must have been heard of the list for missing
	// entries to be doubted. Entries lapse after three silent heartbeats.
	outage = 2500 * time.Millisecond
	// grace is how long a server may take to register again after an outage.
	grace = 2200 * time.Millisecond
	// goneMemory is how long a book can tell others what has gone.
	goneMemory = time.Minute
)

// record is what a book keeps of one server.
type record struct {
	Entry
	revision Revision  // At which the entry last changed.
	coldTill time.Time // Until when the server is slow.
	missing  time.Time // Since when the list lacks it; zero where it does not.
}

// removal is a server that has gone.
type removal struct {
	revision Revision
	at       time.Time
	started  int64
	seq      int64
}

// State is a book's content at one moment. It is immutable.
type State struct {
	Revision   Revision
	Generation int64 // Counts the changes, so that readers see a new one.
	services   map[site.ServiceName][]Listed
	servers    map[site.ServerName]Listed
}

// Listed is one server of a state.
type Listed struct {
	Entry
	ColdUntil time.Time
}

// Servers returns the servers of a service, those that drain included.
func (s *State) Servers(n site.ServiceName) []Listed { return s.services[n] }

// Server returns a server by name.
func (s *State) Server(n site.ServerName) (Listed, bool) {
	l, ok := s.servers[n]
	return l, ok
}

// Len returns how many servers there are.
func (s *State) Len() int { return len(s.servers) }

// Replica is one VM's copy of the list. Readers of its state never wait.
type Replica struct {
	state atomic.Pointer[State]

	mu      sync.Mutex // Guards what follows.
	records map[site.ServerName]*record
	gone    map[site.ServerName]removal
	changes []Change  // Since they were last taken.
	heard   time.Time // When the list was last heard of.
	floor   Revision  // Of the oldest removal that is no longer known.
}

// NewReplica returns an empty book.
func NewReplica() *Replica {
	b := &Replica{records: make(map[site.ServerName]*record), gone: make(map[site.ServerName]removal)}
	b.state.Store(&State{})
	return b
}

// State returns the book's content.
func (b *Replica) State() *State { return b.state.Load() }

// Apply takes in an update and reports whether it could: one that begins after
// the book's revision has a gap before it, and the whole list must be asked for.
func (b *Replica) Apply(now time.Time, u Update) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cur := b.state.Load().Revision; u.Revision < cur || (u.Revision == cur && cur > 0) {
		b.heard = now
		return true
	} else if !u.Full && u.Since > cur {
		return false
	}
	doubtful := !b.heard.IsZero() && now.Sub(b.heard) > outage
	b.heard = now
	listed := make(map[site.ServerName]bool, len(u.Entries))
	changed := false
	for _, e := range u.Entries {
		listed[e.Server.Name] = true
		changed = b.put(now, e, u.Revision) || changed
	}
	for _, n := range b.absent(u, listed) {
		changed = b.remove(now, n, u.Revision, doubtful) || changed
	}
	b.publish(u.Revision, changed)
	return true
}

// absent returns the servers that an update says are gone.
func (b *Replica) absent(u Update, listed map[site.ServerName]bool) []site.ServerName {
	if !u.Full {
		return u.Removed
	}
	var out []site.ServerName
	for n := range b.records {
		if !listed[n] {
			out = append(out, n)
		}
	}
	return out
}

// put takes in an entry and reports whether it tells something new.
func (b *Replica) put(now time.Time, e Entry, at Revision) bool {
	if g, ok := b.gone[e.Server.Name]; ok && e.older(g.started, g.seq+1) {
		return false // A writer brings back what has ended.
	}
	r, ok := b.records[e.Server.Name]
	if ok && e.older(r.Server.StartedMs, r.Seq) {
		return false
	}
	delete(b.gone, e.Server.Name)
	if ok && r.same(e) {
		r.Seq = e.Seq
		if r.missing.IsZero() {
			return false
		}
		r.missing = time.Time{}
		r.revision = at // Other books must hear that it is back.
		return true
	}
	b.tell(newsOf(r, e), e)
	b.records[e.Server.Name] = &record{Entry: e, revision: at, coldTill: now.Add(e.ColdFor)}
	return true
}

// newsOf tells what an entry says that the record did not.
func newsOf(r *record, e Entry) Event {
	switch {
	case e.Draining:
		return Draining
	case r == nil || r.Server.StartedMs != e.Server.StartedMs:
		return Registered
	default:
		return Changed
	}
}

// remove takes a server out, or notes since when it is missing.
func (b *Replica) remove(now time.Time, n site.ServerName, at Revision, doubtful bool) bool {
	r, ok := b.records[n]
	if !ok {
		return false
	}
	if doubtful || !r.missing.IsZero() {
		if r.missing.IsZero() {
			r.missing = now
			b.tell(Missing, r.Entry)
		}
		return false
	}
	b.drop(now, n, at)
	return true
}

func (b *Replica) drop(now time.Time, n site.ServerName, at Revision) {
	r := b.records[n]
	b.tell(Removed, r.Entry)
	delete(b.records, n)
	b.gone[n] = removal{at, now, r.Server.StartedMs, r.Seq}
}

// Expire takes out the servers that did not come back in time and forgets old
// removals. It reports whether a server went.
func (b *Replica) Expire(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	cur := b.state.Load().Revision
	for n, r := range b.records {
		if !r.missing.IsZero() && now.Sub(r.missing) >= grace {
			b.drop(now, n, cur)
			changed = true
		}
	}
	for n, g := range b.gone {
		if now.Sub(g.at) > goneMemory {
			b.floor = max(b.floor, g.revision)
			delete(b.gone, n)
		}
	}
	b.publish(cur, changed)
	return changed
}

// publish makes the book's content known to readers. The caller holds the lock.
func (b *Replica) publish(at Revision, changed bool) {
	old := b.state.Load()
	if !changed {
		if at != old.Revision {
			next := *old
			next.Revision = at
			b.state.Store(&next)
		}
		return
	}
	next := &State{
		Revision: at, Generation: old.Generation + 1,
		services: make(map[site.ServiceName][]Listed), servers: make(map[site.ServerName]Listed, len(b.records)),
	}
	for _, n := range slices.Sorted(maps.Keys(b.records)) {
		r := b.records[n]
		l := Listed{r.Entry, r.coldTill}
		next.servers[n] = l
		next.services[r.Service] = append(next.services[r.Service], l)
	}
	b.state.Store(next)
}

// Since returns what has changed after a revision, or everything where the
// book no longer knows.
func (b *Replica) Since(now time.Time, since Revision) Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Update{Since: since, Revision: b.state.Load().Revision, Full: since < b.floor || since == 0}
	for n, r := range b.records {
		if !r.missing.IsZero() {
			u.Removed = append(u.Removed, n)
			continue
		}
		if u.Full || r.revision > since {
			e := r.Entry
			e.ColdFor = max(0, r.coldTill.Sub(now))
			u.Entries = append(u.Entries, e)
		}
	}
	for n, g := range b.gone {
		if !u.Full && g.revision > since {
			u.Removed = append(u.Removed, n)
		}
	}
	slices.SortFunc(u.Entries, func(x, y Entry) int { return cmp.Compare(x.Server.Name, y.Server.Name) })
	slices.Sort(u.Removed)
	return u
}

// Event is what has become of a server.
type Event string

// Kinds of news.
const (
	Registered Event = "seen"    // It registered, or started anew.
	Changed    Event = "changed" // It told something new of itself.
	Draining   Event = "leaving" // It ends soon.
	Missing    Event = "missing" // The list lacks it after an outage; it may come back.
	Removed    Event = "gone"
)

// Change is a change of one server, for the account.
type Change struct {
	Event
	Service site.ServiceName
	Server  site.ServerName
}

// mostChanges bounds the changes that nobody takes.
const mostChanges = 1024

// tell notes a change. The caller holds the lock.
func (b *Replica) tell(n Event, e Entry) {
	if len(b.changes) < mostChanges {
		b.changes = append(b.changes, Change{n, e.Service, e.Server.Name})
	}
}

// TakeChanges returns the changes since the last call.
func (b *Replica) TakeChanges() []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.changes
	b.changes = nil
	return out
}

// Source is where the list is read.
type Source interface {
	// Read returns what has changed since a revision, or the whole list where
	// that is zero or no longer known.
	Read(ctx context.Context, since Revision) (Update, error)
}

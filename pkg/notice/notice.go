// Package notice keeps what backend servers have told this VM about themselves in their
// responses: that they leave, or that they want no requests from it for a time.
//
// The VM checks it right before it writes a request. It so keeps to what it has been told
// whether or not it is in touch with other VMs, and whoever granted the request. The homes of
// the services' pools are told too, so that they grant such servers no more.
package notice

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// Limits of what is kept and sent.
const (
	// configuredMemory is how long a configured server counts as leaving. Its restart does
	// not show, unlike that of a server that registers itself.
	configuredMemory = 2 * time.Minute
	// maxPerService bounds the notices that are kept of a service. The oldest go first.
	maxPerService = 4096
	// maxBatch bounds the notices in one message.
	maxBatch = 256
)

// sequence numbers the notices of a service in the order in which they came.
type sequence int64

// serverLife identifies a server from its start to its end.
type serverLife struct {
	name      site.ServerName
	startedMs int64 // 0 for a configured server.
}

func lifeOf(s site.Server) serverLife { return serverLife{s.Name, s.StartedMs} }

// entry is what one server has told this VM.
type entry struct {
	seq         sequence // Of the latest change.
	leavingAt   time.Time
	pausedUntil time.Time
}

// isOver reports whether nothing of the entry is in force any more.
func (e *entry) isOver(now time.Time, l serverLife) bool {
	return !e.leaves(now, l) && e.pause(now) == 0
}

// leaves reports whether the server has said that it leaves.
func (e *entry) leaves(now time.Time, l serverLife) bool {
	if e.leavingAt.IsZero() {
		return false
	}
	return l.startedMs != 0 || now.Sub(e.leavingAt) < configuredMemory
}

// pause returns how much longer the server wants no requests.
func (e *entry) pause(now time.Time) time.Duration { return max(0, e.pausedUntil.Sub(now)) }

// notice returns the entry as it is told to a home.
func (e *entry) notice(now time.Time, l serverLife) pool.Notice {
	return pool.Notice{Server: l.name, StartedMs: l.startedMs, Leaving: e.leaves(now, l), Pause: e.pause(now)}
}

// service holds the notices of a service's servers.
type service struct {
	entries map[serverLife]*entry
	seq     sequence
	home    HomeID   // That has been told last.
	told    sequence // The latest notice that it has been told.
}

// HomeID identifies a VM as the home of a service's pool, from the time when it created the
// pool.
type HomeID struct {
	VM    roster.VMName
	Since int64 // In Unix microseconds.
}

// Memory holds the notices of all services. It is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	services map[site.ServiceName]*service
}

// NewMemory returns an empty memory.
func NewMemory() *Memory { return &Memory{services: make(map[site.ServiceName]*service)} }

// service returns the notices of a service, creating them if necessary.
func (m *Memory) service(n site.ServiceName) *service {
	s, ok := m.services[n]
	if !ok {
		s = &service{entries: make(map[serverLife]*entry)}
		m.services[n] = s
	}
	return s
}

// Record keeps what a response of a server says. A pause does not cut an earlier one short.
// It reports whether the homes have to be told of it.
func (m *Memory) Record(now time.Time, n site.ServiceName, srv site.Server, leaving bool, pause time.Duration) bool {
	if !leaving && pause <= 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s, life := m.service(n), lifeOf(srv)
	e, known := s.entries[life]
	if !known {
		s.makeRoom(now)
		e = &entry{}
		s.entries[life] = e
	}
	changed := pause > 0
	if leaving {
		changed = changed || !e.leaves(now, life)
		e.leavingAt = now
	}
	if until := now.Add(pause); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
	if changed {
		s.seq++
		e.seq = s.seq
	}
	return changed
}

// makeRoom removes the entries that are over, and the oldest one if there are still too many.
func (s *service) makeRoom(now time.Time) {
	if len(s.entries) < maxPerService {
		return
	}
	for l, e := range s.entries {
		if e.isOver(now, l) {
			delete(s.entries, l)
		}
	}
	if len(s.entries) < maxPerService {
		return
	}
	var oldest serverLife
	for l, e := range s.entries {
		if o, ok := s.entries[oldest]; !ok || e.seq < o.seq {
			oldest = l
		}
	}
	delete(s.entries, oldest)
}

// Check returns what is in force of what a server has told this VM. It reports false if the
// VM may send it a request.
func (m *Memory) Check(now time.Time, n site.ServiceName, srv site.Server) (pool.Notice, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.services[n]
	if !ok {
		return pool.Notice{}, false
	}
	life := lifeOf(srv)
	e, ok := s.entries[life]
	if !ok {
		return pool.Notice{}, false
	}
	if e.isOver(now, life) {
		delete(s.entries, life)
		return pool.Notice{}, false
	}
	return e.notice(now, life), true
}

// Batch holds the notices of a service that a home has not been told.
type Batch struct {
	Notices []pool.Notice
	first   sequence // The notices before it had been told.
	last    sequence // The latest notice in the batch.
}

// Untold returns the oldest notices of a service that a VM, as the home of its pool, has not
// been told.
func (m *Memory) Untold(now time.Time, n site.ServiceName, vm roster.VMName) Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.services[n]
	if !ok {
		return Batch{}
	}
	if s.home.VM != vm {
		s.home, s.told = HomeID{VM: vm}, 0
	}
	return s.untold(now)
}

// untoldEntry is a notice with its sequence number.
type untoldEntry struct {
	seq    sequence
	notice pool.Notice
}

func (s *service) untold(now time.Time) Batch {
	b := Batch{first: s.told, last: s.told}
	if s.told == s.seq {
		return b
	}
	var all []untoldEntry
	for l, e := range s.entries {
		switch {
		case e.isOver(now, l):
			delete(s.entries, l)
		case e.seq > s.told:
			all = append(all, untoldEntry{e.seq, e.notice(now, l)})
		}
	}
	slices.SortFunc(all, func(a, b untoldEntry) int { return cmp.Compare(a.seq, b.seq) })
	b.last = s.seq
	if len(all) > maxBatch {
		all = all[:maxBatch]
		b.last = all[maxBatch-1].seq
	}
	for _, u := range all {
		b.Notices = append(b.Notices, u.notice)
	}
	return b
}

// MarkTold records that a home has got a batch. If the home is not the one that got the
// notices before the batch, those are told again.
func (m *Memory) MarkTold(n site.ServiceName, h HomeID, b Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.services[n]
	if !ok || s.home.VM != h.VM {
		return
	}
	if s.home.Since != h.Since {
		s.home, s.told = h, 0
	}
	if b.first <= s.told {
		s.told = max(s.told, b.last)
	}
}

// TellAgain makes the home of a service's pool be told all notices again.
func (m *Memory) TellAgain(n site.ServiceName) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.services[n]; ok {
		s.told = 0
	}
}

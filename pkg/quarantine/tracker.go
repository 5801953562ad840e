// Package quarantine refuses requests that crash the backend servers that run them.
//
// Each loss of a server while it runs a request is told to all VMs, with what was known when the
// request was given its slot. Once two servers have been lost with the sends of one caller's
// request, or one after the other with several requests of one path, all VMs refuse it. It is let
// through again as a trial, later each time, until it is served, an operator releases it, or the
// trials are used up. docs/design/16-crash-requests.md gives the reasons.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laburnumpick.org/pkg/site"
)

// Limits of a Tracker.
const (
	maxLosses      = 2                // Servers lost with one caller's request before it is refused.
	maxClassLosses = 4                // Servers lost one after the other before all requests of a path are refused.
	lossTTL        = 10 * time.Minute // Losses that refuse nothing are forgotten after this time.
	blockTTL       = 24 * time.Hour   // What is refused is forgotten when it has not come for so long.
	maxEntries     = 4096             // Fingerprints with losses.
	maxEvidence    = 16               // Losses of a fingerprint that are kept.
	sweepInterval  = time.Second      // Least time between two sweeps of a Tracker.
)

// Delays until a refused request is let through again: after the last loss, and after each trial.
const (
	soonDelay   = 2 * time.Second // If the losses came at the same moment, which may have had another cause, or for a path.
	firstDelay  = time.Minute
	secondDelay = 10 * time.Minute
	lastDelay   = time.Hour
)

// Numbers of trials and losses.
const (
	maxTrials = 3 // Of one caller's request. Those of a path go on, since others wait for them.
	maxOfOne  = 2 // Losses of one caller's request that count for its class too: a request that is refused explains the others.
)

// Delays that callers are told.
const (
	storeRetry = 5 * time.Second // Where a trial is due that this VM could not record.
	minRetry   = time.Second
)

// Suspect describes a fingerprint with at least one loss.
type Suspect struct {
	Fingerprint Fingerprint      `json:"fingerprint"`
	IsClass     bool             `json:"isClass,omitempty"` // All requests of its method, host and path.
	Service     site.ServiceName `json:"service"`
	Request     string           `json:"request"`
	Evidence    []Evidence       `json:"evidence"`
	Trials      int              `json:"trials"`
	Blocked     bool             `json:"blocked"`
	Until       time.Time        `json:"until"` // When it may run again; zero if it is not blocked.
}

// Servers returns the names of the servers that were lost, sorted.
func (s *Suspect) Servers() []site.ServerName {
	var out []site.ServerName
	for _, e := range s.Evidence {
		out = append(out, e.Server)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Verdict says whether a request may run.
type Verdict struct {
	Basis       Basis
	Blocked     bool
	Fingerprint Fingerprint   // That the request is refused for.
	RetryAfter  time.Duration // Until it may be let through again.
	TrialDue    bool          // It may be let through now, by the VM that records the trial first.
}

// Tracker holds one VM's copy of the losses, releases and trials that the VMs share. It is safe
// for concurrent use.
type Tracker struct {
	size atomic.Int64  // Number of entries, for a check that takes no lock.
	wake chan struct{} // Signals that there is something to store.

	mu        sync.Mutex // Guards all below.
	entries   map[Fingerprint]*entry
	unsaved   map[Fingerprint]bool // That this VM is to store.
	lastSweep time.Time
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{wake: make(chan struct{}, 1), entries: make(map[Fingerprint]*entry), unsaved: make(map[Fingerprint]bool)}
}

// Len returns the number of fingerprints of which something is known.
func (t *Tracker) Len() int { return int(t.size.Load()) }

// Check returns whether a request may run, and what is known of its losses.
func (t *Tracker) Check(now time.Time, id Identity) Verdict {
	if t.size.Load() == 0 {
		return Verdict{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var v Verdict
	if e, ok := t.entries[id.Class]; ok && id.Class != "" && !e.isExpired(now) {
		v.Basis.Class = e.count()
		e.decide(now, id.Class, &v)
	}
	if e, ok := t.entries[id.Own]; ok && !e.isExpired(now) {
		v.Basis.Own = e.count()
		e.decide(now, id.Own, &v)
	}
	return v
}

// RecordLoss adds a loss and reports whether it was new. A loss of an epoch that has ended is
// dropped.
func (t *Tracker) RecordLoss(now time.Time, l Loss) bool {
	if now.Sub(l.At) > blockTTL {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.entry(now, l.Identity.Own, false, l)
	if own == nil {
		return false
	}
	if l.Basis == nil && own.hasLost(l.Server) {
		return false
	}
	ev := newEvidence(l, own)
	if !own.add(now, ev) {
		return false
	}
	if l.Identity.Class == "" || len(own.evidence) > maxOfOne {
		return true
	}
	if class := t.entry(now, l.Identity.Class, true, l); class != nil {
		class.add(now, ev)
	}
	return true
}

// RecordRelease adds a release and reports whether it was new. It deletes the losses of the epochs
// before.
func (t *Tracker) RecordRelease(now time.Time, r Release) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[r.Fingerprint]
	if !ok {
		e = t.entry(now, r.Fingerprint, false, Loss{})
	}
	return e != nil && e.clear(now, r.Epoch)
}

// RecordTrial adds a trial and reports whether it was new.
func (t *Tracker) RecordTrial(now time.Time, r Trial) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[r.Fingerprint]
	if !ok || e.epoch != r.Epoch || r.Number <= e.trials {
		return false
	}
	e.trials, e.triedAt, e.seenAt = r.Number, r.At, now
	return true
}

// Trial returns the next trial of a fingerprint, if one is due.
func (t *Tracker) Trial(now time.Time, f Fingerprint) (Trial, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[f]
	if !ok || !e.isBlocked() || e.hasNoTrialLeft() || e.nextTrial().After(now) {
		return Trial{}, false
	}
	return Trial{f, e.epoch, e.trials + 1, now}, true
}

// Served returns the releases that follow from a request that a server has served.
func (t *Tracker) Served(now time.Time, id Identity, b Basis) []Release {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Release
	if e, ok := t.entries[id.Own]; ok && e.isClearedBy(b.Own) {
		out = append(out, Release{id.Own, e.epoch + 1, Fleet, now})
	}
	if e, ok := t.entries[id.Class]; ok && id.Class != "" && e.isClearedBy(b.Class) {
		out = append(out, Release{id.Class, e.epoch + 1, Fleet, now})
	}
	return out
}

// Fleet is the operator of releases that follow from requests that were served.
const Fleet = "the fleet"

// Lost returns a text that names the losses of a fingerprint: each server with its start, the VM that
// saw the loss, and when.
func (t *Tracker) Lost(f Fingerprint) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[f]
	if !ok {
		return ""
	}
	texts := make([]string, len(e.evidence))
	for i := range e.evidence {
		texts[i] = e.evidence[i].String()
	}
	return strings.Join(texts, "; ")
}

// NextEpoch returns the epoch that begins with a release of a fingerprint now.
func (t *Tracker) NextEpoch(f Fingerprint) Epoch {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[f]; ok {
		return e.epoch + 1
	}
	return 1
}

// entry returns the entry of a fingerprint, which it adds if there is room, or nil. The caller
// must hold the lock.
func (t *Tracker) entry(now time.Time, f Fingerprint, isClass bool, l Loss) *entry {
	if e, ok := t.entries[f]; ok {
		if e.isExpired(now) {
			*e = entry{}
		}
		if len(e.evidence) == 0 {
			e.isClass, e.first, e.seenAt = isClass, l, now
		}
		return e
	}
	t.sweep(now)
	if len(t.entries) >= maxEntries && !t.makeRoom() {
		return nil
	}
	e := &entry{isClass: isClass, first: l, seenAt: now}
	t.entries[f] = e
	t.size.Store(int64(len(t.entries)))
	return e
}

// sweep deletes the expired entries, at most once per sweepInterval.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	maps.DeleteFunc(t.entries, func(_ Fingerprint, e *entry) bool { return e.isExpired(now) })
}

// makeRoom deletes the entry that has not been seen for longest among those that refuse nothing. It
// reports whether there was one.
func (t *Tracker) makeRoom() bool {
	var oldest Fingerprint
	found := false
	for f, e := range t.entries {
		if !e.isBlocked() && (!found || e.seenAt.Before(t.entries[oldest].seenAt)) {
			oldest, found = f, true
		}
	}
	delete(t.entries, oldest)
	return found
}

// List returns all suspects: blocked ones first, then by fingerprint.
func (t *Tracker) List(now time.Time) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Suspect
	for f, e := range t.entries {
		if len(e.evidence) > 0 && !e.isExpired(now) {
			out = append(out, e.suspect(now, f))
		}
	}
	slices.SortFunc(out, func(x, y Suspect) int {
		if x.Blocked != y.Blocked {
			if x.Blocked {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.Fingerprint, y.Fingerprint)
	})
	return out
}

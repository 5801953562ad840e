// Package quarantine blocks requests that crash the backend servers that run
// them.
//
// Requests are identified by fingerprint. Every loss of a server while it runs
// a request is shared with all VMs. Once two distinct servers have gone down while
// they ran a request, every VM refuses it until the losses expire or it is
// released. A request is released by an operator, or by the home of its pool (the
// VM that grants the slots of its servers) once a server has served it normally.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"laburnumpick.org/pkg/site"
)

// Fingerprint identifies identical requests.
type Fingerprint string

// NewFingerprint returns the truncated SHA-256 digest of a request's service,
// method, target and body.
func NewFingerprint(s site.ServiceName, method, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(s), []byte(method), []byte(target)} {
		h.Write(part)
		h.Write([]byte{0})
	}
	h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:12]))
}

// Limits of a Tracker.
const (
	maxLosses     = 2                // Distinct servers lost before a request is blocked.
	lossTTL       = 10 * time.Minute // A loss or release expires after this time.
	maxEntries    = 4096             // Fingerprints with losses.
	sweepInterval = time.Second      // Least time between two sweeps of a full Tracker.
)

// Loss records that a server went down while it ran a request.
type Loss struct {
	Fingerprint Fingerprint      `json:"fingerprint"`
	Service     site.ServiceName `json:"service"`
	Server      site.ServerName  `json:"server"`
	Request     string           `json:"request"` // Method and path, for display only.
	At          time.Time        `json:"at"`
}

// Release allows a request to run again. It cancels the losses that are not
// newer than it.
type Release struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Operator    string      `json:"operator"` // Name of the operator, or "the fleet".
	At          time.Time   `json:"at"`
}

// Suspect describes a request with at least one unexpired loss.
type Suspect struct {
	Fingerprint Fingerprint       `json:"fingerprint"`
	Service     site.ServiceName  `json:"service"`
	Request     string            `json:"request"`
	Servers     []site.ServerName `json:"servers"`
	Blocked     bool              `json:"blocked"`
	Until       time.Time         `json:"until"` // When the block ends; zero if the request is not blocked.
}

// entry holds the losses of one fingerprint.
type entry struct {
	first  Loss                          // Gives the service and the request of the others.
	losses map[site.ServerName]time.Time // Time of each server's last loss.
}

// Tracker holds one VM's copy of the losses and releases that the VMs share. It
// is not safe for concurrent use.
type Tracker struct {
	entries   map[Fingerprint]*entry
	released  map[Fingerprint]time.Time // Time of the last release.
	lastSweep time.Time
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{entries: map[Fingerprint]*entry{}, released: map[Fingerprint]time.Time{}}
}

// RecordLoss adds a loss and reports whether it was new. An expired loss and one
// that a release cancels are dropped, and so is the loss of a new fingerprint
// while the tracker is full.
func (t *Tracker) RecordLoss(now time.Time, l Loss) bool {
	if now.Sub(l.At) > lossTTL || !l.At.After(t.released[l.Fingerprint]) {
		return false
	}
	e, ok := t.entries[l.Fingerprint]
	if !ok {
		if len(t.entries) >= maxEntries && !t.sweep(now) {
			return false
		}
		e = &entry{first: l, losses: map[site.ServerName]time.Time{}}
		t.entries[l.Fingerprint] = e
	}
	if old, seen := e.losses[l.Server]; seen && !l.At.After(old) {
		return false
	}
	e.losses[l.Server] = l.At
	return true
}

// RecordRelease adds a release and reports whether it was new. It deletes the
// request's losses up to the time of the release.
func (t *Tracker) RecordRelease(now time.Time, r Release) bool {
	if now.Sub(r.At) > lossTTL || !r.At.After(t.released[r.Fingerprint]) {
		return false
	}
	t.released[r.Fingerprint] = r.At
	if e, ok := t.entries[r.Fingerprint]; ok {
		for s, at := range e.losses {
			if !at.After(r.At) {
				delete(e.losses, s)
			}
		}
	}
	return true
}

// LossCount returns the number of distinct servers with an unexpired loss for
// the request.
func (t *Tracker) LossCount(now time.Time, f Fingerprint) int {
	e, ok := t.entries[f]
	if !ok {
		return 0
	}
	n := 0
	for _, at := range e.losses {
		if now.Sub(at) <= lossTTL {
			n++
		}
	}
	return n
}

// Blocked reports whether a request is blocked, and for how long.
func (t *Tracker) Blocked(now time.Time, f Fingerprint) (time.Duration, bool) {
	if t.LossCount(now, f) < maxLosses {
		return 0, false
	}
	return t.blockedUntil(now, f).Sub(now), true
}

// blockedUntil returns the time at which enough losses have expired for the
// request to run again.
func (t *Tracker) blockedUntil(now time.Time, f Fingerprint) time.Time {
	var lossTimes []time.Time
	for _, at := range t.entries[f].losses {
		if now.Sub(at) <= lossTTL {
			lossTimes = append(lossTimes, at)
		}
	}
	slices.SortFunc(lossTimes, func(x, y time.Time) int { return y.Compare(x) })
	if len(lossTimes) < maxLosses {
		return now
	}
	return lossTimes[maxLosses-1].Add(lossTTL)
}

// List returns all suspects: blocked ones first, then by fingerprint.
func (t *Tracker) List(now time.Time) []Suspect {
	var out []Suspect
	for f, e := range t.entries {
		if t.LossCount(now, f) == 0 {
			continue
		}
		s := Suspect{Fingerprint: f, Service: e.first.Service, Request: e.first.Request}
		for n := range e.losses {
			s.Servers = append(s.Servers, n)
		}
		slices.Sort(s.Servers)
		_, s.Blocked = t.Blocked(now, f)
		if s.Blocked {
			s.Until = t.blockedUntil(now, f)
		}
		out = append(out, s)
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

// ActiveLosses returns the unexpired losses, to be sent to a VM that has just
// started.
func (t *Tracker) ActiveLosses(now time.Time) []Loss {
	var out []Loss
	for _, e := range t.entries {
		for s, at := range e.losses {
			if now.Sub(at) <= lossTTL {
				l := e.first
				l.Server, l.At = s, at
				out = append(out, l)
			}
		}
	}
	return out
}

// sweep deletes the fingerprints whose losses have all expired, and the expired
// releases, at most once per sweepInterval. It reports whether a new fingerprint can
// be added.
func (t *Tracker) sweep(now time.Time) bool {
	if now.Sub(t.lastSweep) < sweepInterval {
		return false
	}
	t.lastSweep = now
	for f := range t.entries {
		if t.LossCount(now, f) == 0 {
			delete(t.entries, f)
		}
	}
	for f, at := range t.released {
		if now.Sub(at) > lossTTL {
			delete(t.released, f)
		}
	}
	return len(t.entries) < maxEntries
}

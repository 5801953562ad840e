// Package quarantine stops requests that crash the backend servers that run
// them.
//
// A request is known by its fingerprint. Each loss of a server during it is a
// fact that all VMs share; after the second distinct server the request is
// refused everywhere, until time passes or an operator releases it.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"laburnumpick.org/pkg/site"
)

// Fingerprint identifies requests that are alike.
type Fingerprint string

// NewFingerprint digests what the request asks for.
func NewFingerprint(s site.ServiceName, method, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(s), []byte(method), []byte(target)} {
		h.Write(part)
		h.Write([]byte{0})
	}
	h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:12]))
}

// Bounds of the book.
const (
	maxLosses  = 2                // Servers lost before a request is stopped.
	memory     = 10 * time.Minute // How long a loss counts.
	maxEntries = 4096
	sweepGap   = time.Second
)

// Loss is the fact that a server went down while it ran a request.
type Loss struct {
	Fingerprint Fingerprint      `json:"fingerprint"`
	Service     site.ServiceName `json:"service"`
	Server      site.ServerName  `json:"server"`
	Request     string           `json:"request"` // Method and path, for people.
	At          time.Time        `json:"at"`
}

// Release is an operator's word that a request may run again.
type Release struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Operator    string      `json:"operator"`
	At          time.Time   `json:"at"`
}

// Suspect is a fingerprint with its losses.
type Suspect struct {
	Fingerprint Fingerprint       `json:"fingerprint"`
	Service     site.ServiceName  `json:"service"`
	Request     string            `json:"request"`
	Servers     []site.ServerName `json:"servers"`
	Blocked     bool              `json:"blocked"`
	Until       time.Time         `json:"until"`
}

type entry struct {
	first  Loss
	losses map[site.ServerName]time.Time
}

// Tracker is one VM's copy of the shared facts. One goroutine owns it.
type Tracker struct {
	entries  map[Fingerprint]*entry
	released map[Fingerprint]time.Time
	swept    time.Time
}

// NewTracker returns an empty book.
func NewTracker() *Tracker {
	return &Tracker{entries: map[Fingerprint]*entry{}, released: map[Fingerprint]time.Time{}}
}

// RecordLoss takes in a loss and reports whether it was new.
func (b *Tracker) RecordLoss(now time.Time, l Loss) bool {
	if now.Sub(l.At) > memory || !l.At.After(b.released[l.Fingerprint]) {
		return false
	}
	e, ok := b.entries[l.Fingerprint]
	if !ok {
		if len(b.entries) >= maxEntries && !b.sweep(now) {
			return false
		}
		e = &entry{first: l, losses: map[site.ServerName]time.Time{}}
		b.entries[l.Fingerprint] = e
	}
	if old, seen := e.losses[l.Server]; seen && !l.At.After(old) {
		return false
	}
	e.losses[l.Server] = l.At
	return true
}

// RecordRelease takes in an operator's release and reports whether it was new.
func (b *Tracker) RecordRelease(now time.Time, r Release) bool {
	if now.Sub(r.At) > memory || !r.At.After(b.released[r.Fingerprint]) {
		return false
	}
	b.released[r.Fingerprint] = r.At
	if e, ok := b.entries[r.Fingerprint]; ok {
		for s, at := range e.losses {
			if !at.After(r.At) {
				delete(e.losses, s)
			}
		}
	}
	return true
}

// LossCount counts the distinct servers that a request has taken down lately.
func (b *Tracker) LossCount(now time.Time, f Fingerprint) int {
	e, ok := b.entries[f]
	if !ok {
		return 0
	}
	n := 0
	for _, at := range e.losses {
		if now.Sub(at) <= memory {
			n++
		}
	}
	return n
}

// Blocked reports whether a request is stopped, and for how long.
func (b *Tracker) Blocked(now time.Time, f Fingerprint) (time.Duration, bool) {
	if b.LossCount(now, f) < maxLosses {
		return 0, false
	}
	return b.until(now, f).Sub(now), true
}

// until returns when so many losses are forgotten that the request may run.
func (b *Tracker) until(now time.Time, f Fingerprint) time.Time {
	var ats []time.Time
	for _, at := range b.entries[f].losses {
		if now.Sub(at) <= memory {
			ats = append(ats, at)
		}
	}
	slices.SortFunc(ats, func(x, y time.Time) int { return y.Compare(x) })
	if len(ats) < maxLosses {
		return now
	}
	return ats[maxLosses-1].Add(memory)
}

// List returns all suspects, the blocked ones first.
func (b *Tracker) List(now time.Time) []Suspect {
	var out []Suspect
	for f, e := range b.entries {
		if b.LossCount(now, f) == 0 {
			continue
		}
		s := Suspect{Fingerprint: f, Service: e.first.Service, Request: e.first.Request}
		for n := range e.losses {
			s.Servers = append(s.Servers, n)
		}
		slices.Sort(s.Servers)
		_, s.Blocked = b.Blocked(now, f)
		if s.Blocked {
			s.Until = b.until(now, f)
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

// ActiveLosses returns the losses that still count, for a VM that has just started.
func (b *Tracker) ActiveLosses(now time.Time) []Loss {
	var out []Loss
	for _, e := range b.entries {
		for s, at := range e.losses {
			if now.Sub(at) <= memory {
				l := e.first
				l.Server, l.At = s, at
				out = append(out, l)
			}
		}
	}
	return out
}

// sweep forgets what no longer counts, at most once in sweepGap, and reports
// whether there is room.
func (b *Tracker) sweep(now time.Time) bool {
	if now.Sub(b.swept) < sweepGap {
		return false
	}
	b.swept = now
	for f := range b.entries {
		if b.LossCount(now, f) == 0 {
			delete(b.entries, f)
		}
	}
	for f, at := range b.released {
		if now.Sub(at) > memory {
			delete(b.released, f)
		}
	}
	return len(b.entries) < maxEntries
}

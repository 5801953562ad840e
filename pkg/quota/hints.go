package quota

import (
	"fmt"
	"sync"
	"time"
)

const (
	// hintTimeout is the validity of a hint.
	hintTimeout = 2 * time.Second
	// askMargin is by how much more often a part is asked than its hint says, so that no
	// token stays unused.
	askMargin = 1.1
	// maxHinted is the number of parts whose hints a VM keeps. More need calls.
	maxHinted = 50_000
)

// partHint is what a VM knows of a part.
type partHint struct {
	hint       Hint
	retryAt    time.Time // When the part expected its next token.
	receivedAt time.Time
	skipped    int
	skippedAt  time.Time // Of the first skipped request since the last call.
}

// Hints are the hints that a VM holds, with the requests that it has refused by itself. It
// is safe for concurrent use.
type Hints struct {
	mu      sync.Mutex
	parts   map[PartID]*partHint
	sweptAt time.Time
}

// NewHints returns an empty set of hints.
func NewHints() *Hints { return &Hints{parts: make(map[PartID]*partHint)} }

// Choose returns the parts of its account that a request may ask, given a random number between
// 0 and 1. If a part has seen more requests than the whole quota allows, that is at most
// one part. The request counts as skipped at the others.
func (h *Hints) Choose(now time.Time, parts []PartID, draw float64) []PartID {
	h.mu.Lock()
	defer h.mu.Unlock()
	overall := 1.0
	for _, p := range parts {
		if k, ok := h.valid(now, p); ok {
			overall = min(overall, k.hint.Overall*askMargin)
		}
	}
	if overall >= 1 {
		return parts
	}
	chosen := int(draw / overall * float64(len(parts)))
	for i, p := range parts {
		if k, ok := h.parts[p]; ok && i != chosen {
			k.skip(now)
		}
	}
	if chosen >= len(parts) {
		return nil
	}
	return parts[chosen : chosen+1]
}

// Asks reports whether a request asks a part that it may ask, given a random number between 0 and
// 1. If not, it counts the request as skipped.
func (h *Hints) Asks(now time.Time, p PartID, draw float64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	k, ok := h.valid(now, p)
	if !ok || draw < k.hint.Admit/k.hint.Overall*askMargin {
		return true
	}
	k.skip(now)
	return false
}

// valid returns what is known of a part, or false if its hint has expired or says nothing.
func (h *Hints) valid(now time.Time, p PartID) (*partHint, bool) {
	k, ok := h.parts[p]
	return k, ok && k.hint != NoHint() && k.fresh(now)
}

// fresh reports whether the part has answered lately.
func (k *partHint) fresh(now time.Time) bool { return now.Sub(k.receivedAt) < hintTimeout }

func (k *partHint) skip(now time.Time) {
	if k.skipped == 0 {
		k.skippedAt = now
	}
	k.skipped++
}

// RetryAfter returns the time until one of the parts expects a token.
func (h *Hints) RetryAfter(now time.Time, parts []PartID) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.retryAfter(now, parts)
}

func (h *Hints) retryAfter(now time.Time, parts []PartID) time.Duration {
	least := MaxRetryAfter
	for _, p := range parts {
		if k, ok := h.parts[p]; ok && k.fresh(now) {
			least = min(least, max(minRetryAfter, k.retryAt.Sub(now)))
		}
	}
	return least
}

// minRetryAfter is the shortest delay after which a refused caller is asked to retry.
const minRetryAfter = 50 * time.Millisecond

// Describe returns what is known of a part, and how old that is.
func (h *Hints) Describe(now time.Time, p PartID) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	k, ok := h.parts[p]
	if !ok {
		return "nothing known"
	}
	return fmt.Sprintf("admits %.2f, token in %v, %v old", k.hint.Admit,
		max(0, k.retryAt.Sub(now)).Round(time.Millisecond), now.Sub(k.receivedAt).Round(time.Millisecond))
}

// TakeSkipped returns, and resets, the requests that were skipped at a part, and the time
// within which they came.
func (h *Hints) TakeSkipped(now time.Time, p PartID) (int, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k, ok := h.parts[p]
	if !ok || k.skipped == 0 {
		return 0, 0
	}
	n := k.skipped
	k.skipped = 0
	return n, now.Sub(k.skippedAt)
}

// Record stores what a part has answered.
func (h *Hints) Record(now time.Time, p PartID, a Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sweep(now)
	switch a := a.(type) {
	case Granted:
		if a.Hint == NoHint() {
			delete(h.parts, p)
			return
		}
		h.put(now, p, a.Hint, a.Wait)
	case Exhausted:
		h.put(now, p, a.Hint, a.RetryAfter)
	case NotHome:
		delete(h.parts, p)
	}
}

func (h *Hints) put(now time.Time, p PartID, hint Hint, retryAfter time.Duration) {
	k, ok := h.parts[p]
	if !ok {
		if len(h.parts) >= maxHinted {
			return
		}
		k = &partHint{}
		h.parts[p] = k
	}
	k.hint, k.receivedAt, k.retryAt = hint, now, now.Add(retryAfter)
}

// sweep deletes the expired hints every hintTimeout.
func (h *Hints) sweep(now time.Time) {
	if now.Sub(h.sweptAt) < hintTimeout {
		return
	}
	h.sweptAt = now
	for p, k := range h.parts {
		if now.Sub(k.receivedAt) > 2*hintTimeout {
			delete(h.parts, p)
		}
	}
}

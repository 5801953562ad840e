package control

import (
	"sync"
	"time"
)

// TTLSet is a set whose members leave it by themselves. It is safe for use by
// many goroutines.
type TTLSet[K comparable] struct {
	keep time.Duration

	mu    sync.Mutex
	until map[K]time.Time
}

// NewTTLSet returns an empty set that keeps each member for a time.
func NewTTLSet[K comparable](keep time.Duration) *TTLSet[K] {
	return &TTLSet[K]{keep: keep, until: make(map[K]time.Time)}
}

// Add puts a member into the set, or keeps it for longer.
func (r *TTLSet[K]) Add(now time.Time, k K) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until[k] = now.Add(r.keep)
}

// Has reports whether a member is in the set.
func (r *TTLSet[K]) Has(now time.Time, k K) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.until[k]
	return ok && now.Before(until)
}

// All returns the members in no particular order, and forgets those that have
// left.
func (r *TTLSet[K]) All(now time.Time) []K {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []K
	for k, until := range r.until {
		if !now.Before(until) {
			delete(r.until, k)
			continue
		}
		out = append(out, k)
	}
	return out
}

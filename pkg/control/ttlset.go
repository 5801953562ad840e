package control

import (
	"sync"
	"time"
)

// TTLSet is a set whose members expire. It is safe for concurrent use.
type TTLSet[K comparable] struct {
	ttl time.Duration

	mu     sync.Mutex
	expiry map[K]time.Time
}

// NewTTLSet returns an empty set whose members expire after ttl.
func NewTTLSet[K comparable](ttl time.Duration) *TTLSet[K] {
	return &TTLSet[K]{ttl: ttl, expiry: make(map[K]time.Time)}
}

// Add adds a member to the set, or renews it.
func (s *TTLSet[K]) Add(now time.Time, k K) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expiry[k] = now.Add(s.ttl)
}

// Has reports whether k is in the set.
func (s *TTLSet[K]) Has(now time.Time, k K) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	expiry, ok := s.expiry[k]
	return ok && now.Before(expiry)
}

// All returns the members in no particular order and deletes the expired ones.
func (s *TTLSet[K]) All(now time.Time) []K {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []K
	for k, expiry := range s.expiry {
		if !now.Before(expiry) {
			delete(s.expiry, k)
			continue
		}
		out = append(out, k)
	}
	return out
}

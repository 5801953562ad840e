package control

import "time"

// TTLSet is a set whose members expire. It is safe for concurrent use.
type TTLSet[K comparable] struct{ members *TTLMap[K, struct{}] }

// NewTTLSet returns an empty set whose members expire after ttl.
func NewTTLSet[K comparable](ttl time.Duration) *TTLSet[K] {
	return &TTLSet[K]{NewTTLMap[K, struct{}](ttl)}
}

// Add adds a member to the set, or renews it, and deletes the expired ones.
func (s *TTLSet[K]) Add(now time.Time, k K) { s.members.Put(now, k, struct{}{}) }

// Has reports whether k is in the set.
func (s *TTLSet[K]) Has(now time.Time, k K) bool {
	_, ok := s.members.Get(now, k)
	return ok
}

// All returns the members in no particular order and deletes the expired ones.
func (s *TTLSet[K]) All(now time.Time) []K { return s.members.Keys(now) }

package control

import (
	"sync"
	"time"
)

// TTLMap is a map whose entries expire. It is safe for concurrent use.
type TTLMap[K comparable, V any] struct {
	ttl time.Duration

	mu      sync.Mutex
	entries map[K]ttlEntry[V]
}

// ttlEntry is a value with the time at which it expires.
type ttlEntry[V any] struct {
	value  V
	expiry time.Time
}

// NewTTLMap returns an empty map whose entries expire after ttl.
func NewTTLMap[K comparable, V any](ttl time.Duration) *TTLMap[K, V] {
	return &TTLMap[K, V]{ttl: ttl, entries: make(map[K]ttlEntry[V])}
}

// Put adds an entry, or replaces it, and deletes the expired ones.
func (m *TTLMap[K, V]) Put(now time.Time, k K, v V) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deleteExpired(now)
	m.entries[k] = ttlEntry[V]{v, now.Add(m.ttl)}
}

// Get returns the value of k, or false if there is none.
func (m *TTLMap[K, V]) Get(now time.Time, k K) (V, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[k]
	if !ok || !now.Before(e.expiry) {
		var none V
		return none, false
	}
	return e.value, true
}

// Keys returns the keys in no particular order, and deletes the expired entries.
func (m *TTLMap[K, V]) Keys(now time.Time) []K {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deleteExpired(now)
	var out []K
	for k := range m.entries {
		out = append(out, k)
	}
	return out
}

// deleteExpired deletes the expired entries. The caller must hold m.mu.
func (m *TTLMap[K, V]) deleteExpired(now time.Time) {
	for k, e := range m.entries {
		if !now.Before(e.expiry) {
			delete(m.entries, k)
		}
	}
}

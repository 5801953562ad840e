package site

import "github.com/cespare/xxhash/v2"

// shardCount splits a large map, so that a change copies one part of it.
const shardCount = 1024

// shards is an immutable map from string in parts.
type shards[V any] struct {
	parts *[shardCount]map[string]V
	n     int
}

func newShards[V any]() *shards[V] {
	return &shards[V]{parts: new([shardCount]map[string]V)}
}

func shardOf(k string) uint64 { return xxhash.Sum64String(k) % shardCount }

func (s *shards[V]) size() int { return s.n }

func (s *shards[V]) get(k string) (V, bool) {
	v, ok := s.parts[shardOf(k)][k]
	return v, ok
}

func (s *shards[V]) each(do func(V)) {
	for _, p := range s.parts {
		for _, v := range p {
			do(v)
		}
	}
}

// insert adds a value in place. It is only for a map that nobody else has yet.
func (s *shards[V]) insert(k string, v V) {
	i := shardOf(k)
	if s.parts[i] == nil {
		s.parts[i] = make(map[string]V)
	}
	if _, ok := s.parts[i][k]; !ok {
		s.n++
	}
	s.parts[i][k] = v
}

func (s *shards[V]) with(k string, v V) *shards[V] {
	n := s.clone(k)
	part := n.parts[shardOf(k)]
	if _, ok := part[k]; !ok {
		n.n++
	}
	part[k] = v
	return n
}

func (s *shards[V]) without(k string) *shards[V] {
	n := s.clone(k)
	part := n.parts[shardOf(k)]
	if _, ok := part[k]; ok {
		n.n--
	}
	delete(part, k)
	return n
}

// clone copies the part that holds k.
func (s *shards[V]) clone(k string) *shards[V] {
	parts := *s.parts
	i := shardOf(k)
	part := make(map[string]V, len(parts[i])+1)
	for o, v := range parts[i] {
		part[o] = v
	}
	parts[i] = part
	return &shards[V]{parts: &parts, n: s.n}
}

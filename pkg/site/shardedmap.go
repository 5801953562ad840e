package site

import "github.com/cespare/xxhash/v2"

// shardCount is the number of shards of a map. A change copies only one of them.
const shardCount = 1024

// shardedMap is an immutable map with string keys. Versions of it share the shards
// that did not change.
type shardedMap[V any] struct {
	shards *[shardCount]map[string]V
	count  int
}

func newShardedMap[V any]() *shardedMap[V] {
	return &shardedMap[V]{shards: new([shardCount]map[string]V)}
}

func shardOf(k string) uint64 { return xxhash.Sum64String(k) % shardCount }

func (s *shardedMap[V]) size() int { return s.count }

func (s *shardedMap[V]) get(k string) (V, bool) {
	v, ok := s.shards[shardOf(k)][k]
	return v, ok
}

func (s *shardedMap[V]) each(fn func(V)) {
	for _, shard := range s.shards {
		for _, v := range shard {
			fn(v)
		}
	}
}

// insert adds or replaces a value in place. It may only be called while no other
// goroutine or version of the map uses the same shards.
func (s *shardedMap[V]) insert(k string, v V) {
	i := shardOf(k)
	if s.shards[i] == nil {
		s.shards[i] = make(map[string]V)
	}
	if _, ok := s.shards[i][k]; !ok {
		s.count++
	}
	s.shards[i][k] = v
}

// with returns a copy of the map with the value added or replaced.
func (s *shardedMap[V]) with(k string, v V) *shardedMap[V] {
	n := s.cloneShard(k)
	shard := n.shards[shardOf(k)]
	if _, ok := shard[k]; !ok {
		n.count++
	}
	shard[k] = v
	return n
}

// without returns a copy of the map without the key.
func (s *shardedMap[V]) without(k string) *shardedMap[V] {
	n := s.cloneShard(k)
	shard := n.shards[shardOf(k)]
	if _, ok := shard[k]; ok {
		n.count--
	}
	delete(shard, k)
	return n
}

// cloneShard returns a map with its own copy of the shard that holds k. The other
// shards stay shared.
func (s *shardedMap[V]) cloneShard(k string) *shardedMap[V] {
	shards := *s.shards
	i := shardOf(k)
	shard := make(map[string]V, len(shards[i])+1)
	for o, v := range shards[i] {
		shard[o] = v
	}
	shards[i] = shard
	return &shardedMap[V]{shards: &shards, count: s.count}
}

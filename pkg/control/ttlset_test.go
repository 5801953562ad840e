package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/control"
)

func TestTTLSetMembersExpire(t *testing.T) {
	start := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	s := control.NewTTLSet[string](time.Second)
	s.Add(start, "a")
	s.Add(start.Add(500*time.Millisecond), "b")
	assert.Assert(t, s.Has(start.Add(999*time.Millisecond), "a"))
	assert.Assert(t, !s.Has(start.Add(time.Second), "a"))
	assert.DeepEqual(t, s.All(start.Add(1200*time.Millisecond)), []string{"b"})
	assert.Equal(t, len(s.All(start.Add(2*time.Second))), 0)
}

// TestTTLMapKeepsTheLatestValue guards against a value that outlives its time or hides a later one.
func TestTTLMapKeepsTheLatestValue(t *testing.T) {
	start := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	m := control.NewTTLMap[string, int](time.Second)
	m.Put(start, "a", 1)
	m.Put(start.Add(500*time.Millisecond), "a", 2)
	v, ok := m.Get(start.Add(1400*time.Millisecond), "a")
	assert.Assert(t, ok)
	assert.Equal(t, v, 2)
	_, ok = m.Get(start.Add(1500*time.Millisecond), "a")
	assert.Assert(t, !ok)
}

package registry_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/registry"
)

// TestImplausibleEntries checks entries that no server can have made. None of them may keep the
// server's own entries from being followed.
func TestImplausibleEntries(t *testing.T) {
	cases := []struct {
		name    string
		started int64
		seq     int64
	}{
		{"start at the end of time", math.MaxInt64, 5},
		{"start beyond the clock skew", start.Add(6 * time.Minute).UnixMilli(), 5},
		{"sequence at its end", 1000, math.MaxInt64},
		{"sequence that jumps", 1000, 200},
		{"sequence below zero", 1000, -1},
		{"both at their end", math.MaxInt64, math.MaxInt64},
	}
	for _, c := range cases {
		r := registry.NewReplica()
		r.Apply(start, fullList(1, newEntry("a", 5), newEntry("b", 5)))
		odd := newEntry("a", c.seq)
		odd.Server.StartedMs = c.started
		r.Apply(start, registry.Update{Since: 1, Revision: 2, Entries: []registry.Entry{odd}})
		draining := newEntry("a", 7)
		draining.Draining = true
		r.Apply(start, registry.Update{Since: 2, Revision: 3, Entries: []registry.Entry{draining}})
		l, ok := r.State().Server("a")
		assert.Assert(t, ok && l.Draining, "%s: %+v", c.name, l)
		l, ok = r.State().Server("b")
		assert.Assert(t, ok && !l.Draining, c.name)
	}
}

// TestRevisionsOfALaterEra checks that any revision of an era is later than all of the era before,
// and that both parts can be had again.
func TestRevisionsOfALaterEra(t *testing.T) {
	numbers := []int64{0, 1, 500, 1 << 40, 1<<48 - 1}
	previous := registry.Revision(-1)
	for era := range int64(4) {
		for _, n := range numbers {
			r := registry.NewRevision(era, n)
			assert.Assert(t, r > previous)
			assert.Equal(t, r.Era(), era)
			assert.Equal(t, r.Number(), n)
			previous = r
		}
	}
	assert.Equal(t, registry.NewRevision(0, 500), registry.Revision(500), "a store that tells no era")
	assert.Assert(t, registry.NewRevision(math.MaxInt64, 1) > previous)
}

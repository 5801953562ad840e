package soak

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumpick.org/platform/standin"
)

// TestServerEndsOnce has two events end the server of one place, as seeds 1002 and
// 1005 did. The second one must leave it to the first.
func TestServerEndsOnce(t *testing.T) {
	s := &soak{store: standin.NewStore(), log: &standin.Log{}}
	assert.NilError(t, s.startServer(0))
	defer s.end()
	first := s.serverEnds(Event{Kind: ServerCrash}, 0)
	second := s.serverEnds(Event{Kind: ServerCrash}, 0)
	assert.NilError(t, second())
	assert.NilError(t, first())
	assert.NilError(t, s.serverEnds(Event{Kind: ServerCrash}, 0)())
	assert.Equal(t, s.started, 3)
}

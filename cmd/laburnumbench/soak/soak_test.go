package soak

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumpick.org/platform/standin"
)

// TestServerReplacedOnce crashes a server by two overlapping events, as seeds 1002
// and 1005 did. Only the first one may start a successor.
func TestServerReplacedOnce(t *testing.T) {
	s := &soak{store: standin.NewStore(), log: &standin.Log{}}
	assert.NilError(t, s.startServer(0))
	defer s.shutdown()
	first := s.replaceServer(Event{Kind: ServerCrash}, 0)
	second := s.replaceServer(Event{Kind: ServerCrash}, 0)
	assert.NilError(t, second())
	assert.NilError(t, first())
	assert.NilError(t, s.replaceServer(Event{Kind: ServerCrash}, 0)())
	assert.Equal(t, s.serversStarted, 3)
}

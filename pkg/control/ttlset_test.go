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

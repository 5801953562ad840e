package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/control"
)

func TestRecentMembersLeave(t *testing.T) {
	start := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	r := control.NewTTLSet[string](time.Second)
	r.Add(start, "a")
	r.Add(start.Add(500*time.Millisecond), "b")
	assert.Assert(t, r.Has(start.Add(999*time.Millisecond), "a"))
	assert.Assert(t, !r.Has(start.Add(time.Second), "a"))
	assert.DeepEqual(t, r.All(start.Add(1200*time.Millisecond)), []string{"b"})
	assert.Equal(t, len(r.All(start.Add(2*time.Second))), 0)
}

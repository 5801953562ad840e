package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// TestHomeIsToldChangedLimitsAtOnce guards against a home that decides on a request of a
// VM without the limits that this VM knows.
func TestHomeIsToldChangedLimitsAtOnce(t *testing.T) {
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	request := func(rate site.RequestRate) *home.SlotRequest {
		return &home.SlotRequest{Service: "s", Limits: []pool.NamedLimit{{Server: "s-0", Limit: site.LimitOf(rate)}}}
	}
	told := newLimitsTold()
	assert.Assert(t, !told.isDue(now, "vm-1", &home.SlotRequest{Service: "s"}), "no limit is known")
	assert.Assert(t, told.isDue(now, "vm-1", request(1)))
	told.record(now, "vm-1", request(1))
	assert.Assert(t, !told.isDue(now, "vm-1", request(1)), "told just now")
	assert.Assert(t, told.isDue(now, "vm-1", request(2)), "the limit has changed")
	assert.Assert(t, told.isDue(now, "vm-2", request(1)), "another home")
	assert.Assert(t, told.isDue(now.Add(limitsInterval), "vm-1", request(1)), "the home may have restarted")
}

package fleetapi_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/pool"
)

// TestDurationsOfMessagesAreBounded guards against a malformed duration that overflows, or
// that counts for years in the home's estimates.
func TestDurationsOfMessagesAreBounded(t *testing.T) {
	const day = 24 * time.Hour
	for _, n := range []int64{math.MinInt64, -1, 0, 1, math.MaxInt64 / 1000, math.MaxInt64} {
		r, served := fleetapi.ToGrantResult(&fleetapi.ReleaseRequest{Report: "served", TookUs: n}).Report.(pool.Served)
		assert.Assert(t, served)
		assert.Check(t, r.Took >= -day && r.Took <= day, "%d microseconds become %v", n, r.Took)
		assert.Check(t, (n < 0) == (r.Took < 0), "%d microseconds become %v", n, r.Took)
		left := fleetapi.ToSlotRequest(&fleetapi.AcquireRequest{LeftMs: n}).Left
		assert.Check(t, left >= -day && left <= day && (n < 0) == (left < 0), "%d ms become %v", n, left)
	}
}

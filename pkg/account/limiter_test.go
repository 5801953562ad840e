package account_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/account"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func TestRateAndBurst(t *testing.T) {
	l := account.NewLimiter()
	lim := account.Limits{Rate: 10, Burst: 2, InFlight: 100}
	assert.Equal(t, l.Acquire(start, "a", lim), time.Duration(0))
	assert.Equal(t, l.Acquire(start, "a", lim), time.Duration(0))
	wait := l.Acquire(start, "a", lim)
	assert.Equal(t, wait, 100*time.Millisecond)
	assert.Equal(t, l.Acquire(start, "b", lim), time.Duration(0), "account b is limited by the requests of account a")
	assert.Equal(t, l.Acquire(start.Add(wait), "a", lim), time.Duration(0), "a retry after the returned time is refused")
}

func TestInFlight(t *testing.T) {
	l := account.NewLimiter()
	lim := account.Limits{Rate: 1000, Burst: 1000, InFlight: 1}
	assert.Equal(t, l.Acquire(start, "a", lim), time.Duration(0))
	assert.Assert(t, l.Acquire(start, "a", lim) > 0)
	l.Release("a")
	assert.Equal(t, l.Acquire(start, "a", lim), time.Duration(0))
}

// TestSweepGrantsNoExtraRequests checks that an account whose idle state was
// deleted gets a full bucket and no more.
func TestSweepGrantsNoExtraRequests(t *testing.T) {
	l := account.NewLimiter()
	lim := account.Limits{Rate: 1, Burst: 3, InFlight: 9}
	for range 3 {
		l.Acquire(start, "a", lim)
		l.Release("a")
	}
	later := start.Add(2 * time.Minute)
	for range 3 {
		assert.Equal(t, l.Acquire(later, "a", lim), time.Duration(0))
	}
	assert.Assert(t, l.Acquire(later, "a", lim) > 0)
}

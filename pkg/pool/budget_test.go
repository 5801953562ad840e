package pool

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRetriesCannotMultiplyLoad lets every try fail. Retries stay a tenth of
// the requests beyond the first few.
func TestRetriesCannotMultiplyLoad(t *testing.T) {
	b := newBudget()
	const requests = 10_000
	retries := 0
	for range requests {
		b.earn()
		for range maxTries - 1 {
			if b.spend() {
				retries++
			}
		}
	}
	assert.Assert(t, retries <= requests*retriesPerRequest+budgetBurst, "%d", retries)
	assert.Assert(t, retries >= requests*retriesPerRequest, "%d", retries)
}

func TestQuietTimeSavesNoMoreThanABurst(t *testing.T) {
	b := newBudget()
	for range 100_000 {
		b.earn()
	}
	retries := 0
	for b.spend() {
		retries++
	}
	assert.Equal(t, retries, budgetBurst)
}

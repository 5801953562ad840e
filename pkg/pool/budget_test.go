package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var budgetStart = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// TestRetriesCannotMultiplyLoad lets every try fail. In each window retries
// stay a tenth of the requests beyond the first few.
func TestRetriesCannotMultiplyLoad(t *testing.T) {
	limits := RetryLimits{Ratio: 0.1, MinRetries: 10, Window: 10 * time.Second}
	b := newBudget(budgetStart, limits)
	const perWindow, windows, triesEach = 10_000, 3, 3
	now := budgetStart
	var at []time.Time
	for range windows * perWindow {
		now = now.Add(limits.Window / perWindow)
		b.earn(now)
		for range triesEach {
			if b.may(now) {
				b.spend(now)
				at = append(at, now)
			}
		}
	}
	most := int(limits.Ratio*perWindow) + limits.MinRetries
	for i, j := 0, 0; i < len(at); i++ {
		for at[i].Sub(at[j]) >= limits.Window {
			j++
		}
		assert.Assert(t, i-j+1 <= most, "%d retries in a window, %d allowed", i-j+1, most)
	}
	assert.Assert(t, len(at) >= windows*perWindow/10*7/10, "%d", len(at))
}

func TestQuietTimeSavesNoMoreThanTheSlack(t *testing.T) {
	b := newBudget(budgetStart, RetryLimits{Ratio: 0.1, MinRetries: 10, Window: 10 * time.Second})
	for i := range 100_000 {
		b.earn(budgetStart.Add(time.Duration(i) * time.Millisecond))
	}
	now := budgetStart.Add(time.Hour)
	retries := 0
	for b.may(now) {
		b.spend(now)
		retries++
	}
	assert.Equal(t, retries, 8)
}

// TestHomesThatFollowEachOtherKeepTheBudget lets a home spend all that it may,
// and four others take over one after the other and do the same, as when VMs are
// killed again and again.
func TestHomesThatFollowEachOtherKeepTheBudget(t *testing.T) {
	limits := RetryLimits{Ratio: 0.2, MinRetries: 62, Window: 10 * time.Second}
	const requests, homes = 272, 5 // Of minutevault in the window, on the day that found it.
	spent := 0
	now := budgetStart
	b := newBudget(now.Add(-time.Minute), limits)
	for i := range requests {
		if i > 0 && i%(requests/homes) == 0 {
			b = newBudget(now, limits)
		}
		now = now.Add(30 * time.Millisecond)
		b.earn(now)
		for b.may(now) {
			b.spend(now)
			spent++
		}
	}
	assert.Assert(t, float64(spent) <= limits.Ratio*requests+float64(limits.MinRetries), "%d", spent)
}

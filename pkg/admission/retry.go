package admission

import (
	"math"
	"time"
)

// Retry is a retry that asks for a part of the retry budget.
type Retry struct {
	LevelsBehind int     // Priority levels between the request and the most urgent one of its service.
	Chance       float64 // Chance that a server serves the attempt, between 0 and 1.
	Late         bool    // The attempt will most likely miss the target.
}

// RetryOf returns the retry of a request. wait is the expected wait for a slot, chance
// the share of the pool's attempts that were served lately.
func (l *Ledger) RetryOf(now time.Time, r Request, wait time.Duration, chance float64) Retry {
	return Retry{
		LevelsBehind: r.Priority - l.mostUrgent(now, r.Priority),
		Chance:       chance,
		Late:         MissesTarget(now.Add(wait), r),
	}
}

const (
	// reservedShare is the share of the budget that only the worthiest retries may use.
	// It is below a tenth, so that a service whose requests are all alike uses nearly all
	// of its budget.
	reservedShare = 0.06
	// levelWorth is the worth of a retry as a multiple of that of one a priority level
	// more urgent.
	levelWorth = 0.5
	// lateLevels is what a late retry counts as, in priority levels. It is below 1, since
	// priority goes before the target.
	lateLevels = 0.5
	// minRetryChance is the chance to be served below which a retry is not worth the
	// load.
	minRetryChance = 0.1
)

// AllowsRetry reports whether a retry may use the budget, of which a share is left. While
// more than reservedShare is left, each retry may that has a chance. What remains is kept
// for the more urgent and worthier ones: the less a retry is worth, the more must be
// left. The chance is the same for all retries of a pool at a time, so it decides only
// whether any is worth the load.
func AllowsRetry(left float64, r Retry) bool {
	if left <= 0 || r.Chance < minRetryChance {
		return false
	}
	behind := float64(r.LevelsBehind)
	if r.Late {
		behind += lateLevels
	}
	return left > reservedShare*(1-math.Pow(levelWorth, behind))
}

package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Capacity is the number of slots that a pool can use at present, and the mean time for
// which they are held.
type Capacity struct {
	Slots    float64
	MeanHold time.Duration
}

// minSlotShare is the least share of the slots that is taken to be left for a request.
// What others take varies, and a wait that is overestimated refuses a request that could
// have been served.
const minSlotShare = 0.2

// Wait returns the expected wait for a slot of a request that has work ahead of it in the
// queue. Requests that are still to come and will go before it, which are more urgent
// ones and, if it misses its target, those of its priority that do not, need as many slots
// as they have needed lately.
func (l *Ledger) Wait(now time.Time, c Capacity, r Request, ahead time.Duration) time.Duration {
	if c.Slots <= 0 {
		return noCapacityWait
	}
	wait := l.waitAt(now, c, r.Priority, MissesTarget(now, r), ahead)
	if MissesTarget(now.Add(wait), r) {
		return l.waitAt(now, c, r.Priority, true, ahead)
	}
	return wait
}

// waitAt returns the expected wait behind work ahead, for a request on time or late.
func (l *Ledger) waitAt(now time.Time, c Capacity, priority int, late bool, ahead time.Duration) time.Duration {
	left := max(c.Slots-l.slotsOfEarlier(now, priority, late), minSlotShare*c.Slots)
	return time.Duration(float64(ahead)/left + float64(c.MeanHold)/c.Slots)
}

// noCapacityWait is a guess of when a pool without usable servers has one again.
const noCapacityWait = time.Second

// slotsOfEarlier returns the number of slots that are needed by the requests that come
// and go before those of a priority that are on time or late.
func (l *Ledger) slotsOfEarlier(now time.Time, priority int, late bool) float64 {
	seconds := 0.0
	for p, c := range l.classes {
		if p < priority || (p == priority && late) {
			seconds += c.work.value(now, loadMemory)
		}
	}
	return seconds / loadMemory.Seconds()
}

// Bounds and spread of the delay that refused callers are told.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second // Before the spread.
	// retrySpread is the part of the wait over which callers are spread, so that those
	// who are refused together do not return together.
	retrySpread = 0.5
)

// RetryAfter returns how long a refused caller should wait: the expected wait for a
// slot, and a random part of it. random is a number in [0, 1).
func RetryAfter(wait time.Duration, random float64) time.Duration {
	base := min(max(wait, minRetryAfter), maxRetryAfter)
	return base + time.Duration(retrySpread*random*float64(base))
}

// RandomOf returns a number in [0, 1) that differs from request to request. All VMs
// derive the same one, and a repeated trial derives it again.
func RandomOf(requestID string) float64 {
	return float64(xxhash.Sum64String(requestID)>>surplusBits) / (1 << (64 - surplusBits))
}

// surplusBits is the number of bits of a hash that a float64 cannot hold exactly.
const surplusBits = 11

package quota

import (
	"math"
	"time"

	"laburnumpick.org/pkg/site"
)

// tokenRounding is what a token may lack by rounding.
const tokenRounding = 1e-9

// bucket is a token bucket. A request that can wait takes its token in advance, so that
// tokens may be negative.
type bucket struct {
	rate       float64 // Tokens per second.
	capacity   float64
	tokens     float64
	refilledAt time.Time
}

// set changes the rate and the capacity. A lower capacity applies at once; a higher one
// fills at the new rate.
func (b *bucket) set(now time.Time, rate, capacity float64) {
	b.refill(now)
	b.rate, b.capacity = rate, capacity
	b.tokens = min(b.tokens, capacity)
}

// restart leaves at most the given tokens at a time in the past, from which on the bucket
// fills.
func (b *bucket) restart(at time.Time, tokens float64) {
	b.refill(at)
	b.tokens, b.refilledAt = min(b.tokens, tokens), at
}

// refill adds the tokens for the time since the last call. Time that goes back adds none.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.capacity, b.tokens+elapsed.Seconds()*b.rate)
		b.refilledAt = now
	}
}

// wait returns the time until the bucket has a token.
func (b *bucket) wait() time.Duration {
	lack := 1 - tokenRounding - b.tokens
	switch {
	case lack <= 0:
		return 0
	case b.rate <= 0 || b.capacity < 1-tokenRounding:
		return MaxRetryAfter
	default:
		return min(MaxRetryAfter, time.Duration(math.Ceil(lack/b.rate*float64(time.Second))))
	}
}

// MaxRetryAfter is the longest delay after which a refused caller is asked to retry.
const MaxRetryAfter = time.Minute

// demandMemory is the time constant of the estimate of a part's demand.
const demandMemory = time.Second

// demand estimates the requests per second that would ask a part.
type demand struct {
	perSecond float64
	at        time.Time
}

// add counts n requests that came within a time.
func (d *demand) add(now time.Time, n int, within time.Duration) {
	d.perSecond = d.now(now) + float64(n)/max(demandMemory, within).Seconds()
	d.at = now
}

// now returns the present estimate.
func (d *demand) now(now time.Time) float64 {
	return d.perSecond * math.Exp(-max(0, now.Sub(d.at)).Seconds()/demandMemory.Seconds())
}

// hintDeviations is the number of standard deviations by which the estimate of a part's
// demand must exceed the rate before VMs refuse the excess by themselves. Requests of an
// account within its quota come at random times.
const hintDeviations = 3

// hint returns the hint for a part with n parts in all. Tokens that are left are admitted within
// a second, so that VMs ask more often where too many requests were refused by hints.
func (d *demand) hint(now time.Time, b *bucket, n int) Hint {
	asked := d.now(now)
	// The estimate averages over twice its time constant.
	sure := asked - hintDeviations*math.Sqrt(asked/(2*demandMemory.Seconds()))
	admitted := b.rate + max(0, b.tokens)
	if sure <= admitted || b.rate <= 0 {
		return NoHint()
	}
	out := Hint{Admit: min(1, admitted/asked), Overall: 1}
	if whole := admitted * float64(n); sure > whole {
		out.Overall = whole / asked
	}
	return out
}

// recentSlots is the number of slots of a recent counter.
const recentSlots = 5

// recent counts the tokens taken in the last window.
type recent struct {
	slots [recentSlots]int
	at    int64 // Number of the newest slot.
}

// add counts n tokens.
func (r *recent) add(now time.Time, window time.Duration, n int) {
	r.advance(now, window)
	r.slots[r.at%recentSlots] += n
}

// count returns the number of tokens in the window.
func (r *recent) count(now time.Time, window time.Duration) int {
	r.advance(now, window)
	n := 0
	for _, s := range r.slots {
		n += s
	}
	return n
}

func (r *recent) advance(now time.Time, window time.Duration) {
	at := now.UnixNano() / max(1, int64(window)/recentSlots)
	if at-r.at >= recentSlots {
		r.slots = [recentSlots]int{}
		r.at = at
	}
	for r.at < at {
		r.at++
		r.slots[r.at%recentSlots] = 0
	}
}

// bounds returns the rate and the capacity of a part's bucket at a VM with a role, and
// the tokens with which it starts.
func bounds(q site.Quota, t Tolerance, s Role) (rate, capacity, start float64) {
	n := float64(Parts(q))
	switch s := s.(type) {
	case Home:
		spare := min(1, t.Slack*spareSlack/n)
		return float64(q.Rate) / n * s.Share, max(1, (float64(q.Burst)/n+spare)*s.Share), s.Share
	case Standby:
		reserve := t.allows(q) * standbyReserve / n * s.Share
		filled := reserve * reserveFilled
		return (reserve - filled) / t.Window.Seconds(), filled, filled
	case Isolated:
		return float64(q.Rate) * s.Share, float64(q.Burst) * s.Share, 0
	case NoRole:
	}
	return 0, 0, 0
}

const (
	// spareSlack is the part of the slack by which the buckets of all parts may be larger
	// than the burst. Each part can hold a fraction of a token that no request can use.
	spareSlack = 0.25
	// standbyReserve is the part of the tolerance that the second candidates of all parts
	// may spend while the first ones are members.
	standbyReserve = 0.25
	// reserveFilled is the part of a reserve that may be spent at once; the rest is spread
	// over the window.
	reserveFilled = 0.8
)

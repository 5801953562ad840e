// Package admission decides which requests wait, and which are refused, when a pool has
// too little capacity. What costs callers least is delayed or refused first: it compares
// requests by their priority, by their deadlines and latency targets, and by the server
// time that they need, and keeps accounts at equal shares of that time.
//
// The package does no I/O and reads no clock: each function that decides takes the
// current time. Random numbers are arguments. A Ledger must be used by one goroutine
// only.
package admission

import (
	"time"

	"laburnumpick.org/pkg/site"
)

// Policy is how a pool orders its queue and chooses what to refuse.
type Policy string

// Policies.
const (
	// ByPriority serves by priority, then accounts in turn, and estimates waits by the
	// number of queued requests.
	ByPriority Policy = "priority"
	// CostAware serves as this package decides.
	CostAware Policy = "costAware"
)

// Policies lists the policies that can be configured.
var Policies = []Policy{ByPriority, CostAware}

// Work is the server time that a request needs, estimated from the latencies of its
// rule.
type Work struct {
	Mean time.Duration
	High time.Duration // The 95th percentile.
}

// Request holds the properties of a request that affect its place in the queue.
type Request struct {
	Arrival  int64 // Position in the order of arrival.
	Priority int   // 0 is the most urgent.
	Account  site.AccountName
	Class    site.Class
	Attempts int       // Servers that the request has been sent to.
	Target   time.Time // Latest time at which a response counts as on time; zero if there is none.
	Deadline time.Time
	Work     Work
}

// Worth of a response to its caller, as a multiple of that of a response on time to a
// request that may be repeated.
const (
	onTimeWorth = 1.0
	// lateWorth is the worth of a response after the target, which some callers can hardly
	// use and others nearly as well.
	lateWorth = 0.35
	// atMostOnceWorth is higher because a caller cannot safely send such a request again.
	atMostOnceWorth = 2.0
)

// Cost is what a decision against a request costs its caller, and the server time that
// the request takes if it is served.
type Cost struct {
	Refusal float64 // Loss of worth if the request is refused.
	Delay   float64 // Loss of worth if it is started so late that it misses its target.
	Work    time.Duration
}

// CostOf returns the cost of a request that could be started now. A request that cannot
// complete by its deadline is worth nothing.
func CostOf(now time.Time, r Request) Cost {
	c := Cost{Work: max(r.Work.Mean, minWork)}
	if now.Add(r.Work.Mean).After(r.Deadline) {
		return c
	}
	weight := 1.0
	if r.Class == site.AtMostOnce {
		weight = atMostOnceWorth
	}
	if MissesTarget(now, r) {
		c.Refusal = weight * lateWorth
		return c
	}
	c.Refusal = weight * onTimeWorth
	if !r.Target.IsZero() {
		c.Delay = weight * (onTimeWorth - lateWorth)
	}
	return c
}

// minWork is the least server time that a request is taken to need.
const minWork = time.Millisecond

// PerWork returns the loss by a refusal for each second of server time that the refusal
// saves.
func (c Cost) PerWork() float64 { return c.Refusal / c.Work.Seconds() }

// MissesTarget reports whether a request that is started now will most likely miss its
// target.
func MissesTarget(now time.Time, r Request) bool {
	return !r.Target.IsZero() && now.Add(r.Work.Mean).After(r.Target)
}

// LatestStart returns when a request must be started to complete by its deadline in all
// but a few cases. A request that runs at its deadline may have an unknown outcome, so
// the spread of the work counts as well.
func LatestStart(r Request) time.Time {
	return r.Deadline.Add(-time.Duration(startMargin * float64(r.Work.High)))
}

// startMargin is the time that must be left for a queued request, as a multiple of the
// 95th percentile of its work.
const startMargin = 1.2

// WaitLimit returns until when a request that arrives now may wait: until its latest
// start, or for a part of the time that its mean work leaves, if that is longer. A
// request whose work is close to its deadline would otherwise get no slot while less
// urgent ones, which can wait, take all that become free.
func WaitLimit(now time.Time, r Request) time.Time {
	latest := LatestStart(r)
	if least := now.Add(time.Duration(minWaitShare * float64(r.Deadline.Sub(now)-r.Work.Mean))); least.After(latest) {
		return least
	}
	return latest
}

// minWaitShare is the part of the time left beyond its mean work that a request may wait.
const minWaitShare = 0.25

// isPressing reports whether a request is about to miss its target, or its deadline if
// it misses its target anyway.
func isPressing(now time.Time, r Request) bool {
	latest := LatestStart(r)
	if !r.Target.IsZero() && !MissesTarget(now, r) {
		latest = r.Target.Add(-r.Work.Mean)
	}
	return latest.Sub(now) < pressingTime
}

// pressingTime is the time before a request's latest start in which it goes before
// cheaper ones. It covers a few sweeps of the queue, and is short, since an overloaded
// queue would otherwise serve all requests at the last moment.
const pressingTime = 75 * time.Millisecond

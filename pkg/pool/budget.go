package pool

import "time"

// RetryLimits bound how often requests are sent to more than one server.
type RetryLimits struct {
	Ratio      float64       // Retries allowed for each request.
	MinRetries int           // Retries allowed in a window in addition to the ratio's.
	Window     time.Duration // Length of the sliding window.
}

// DefaultRetryLimits equal the defaults of package settings. Tests use them.
var DefaultRetryLimits = RetryLimits{Ratio: 0.1, MinRetries: 10, Window: 10 * time.Second}

const (
	// budgetParts is the number of parts in which a budget's window is counted. The last
	// budgetParts ones, of which one is in progress, are never longer than the window.
	budgetParts = 50
	// lateParts is how many parts longer retries count than requests do: a grant may
	// reach its server later than one that was given after it.
	lateParts = 1
	// burstRatio is the part of the ratio's retries of a window that can be saved for a
	// shorter time. It limits what a home can have used up just before another one takes
	// over that does not know of it.
	burstRatio = 0.26
)

// budget limits the retries in a sliding window, so that they cannot multiply the
// load on servers that fail. Several VMs may decide on a pool's retries at a time; each
// uses its share of the limits, for the requests that it has counted.
type budget struct {
	limits   RetryLimits
	requests window // All requests; retries are the marked ones.
	tenure   tenure
	lease    lease
	told     *receivedUse // What the pool's home has told this VM last; nil for nothing.
}

// newBudget returns the budget of a VM that decides alone until its role is set.
func newBudget(l RetryLimits) budget {
	return budget{
		limits: l, requests: newWindow(budgetParts + lateParts),
		tenure: tenure{role: BudgetRole{Share: wholeBudget}}, lease: lease{covered: minReserve},
	}
}

// currentPart returns the current part of the window.
func (b *budget) currentPart(now time.Time) *windowPart {
	return b.requests.current(now, b.partLength())
}

// partLength returns the length of a part of the window, which changes with the
// limits.
func (b *budget) partLength() time.Duration { return b.limits.Window / budgetParts }

// recordRequest counts a request.
func (b *budget) recordRequest(now time.Time) { b.currentPart(now).total++ }

// requestRate returns the number of requests per second in the window.
func (b *budget) requestRate(now time.Time) float64 {
	return float64(b.countedRequests(now)) / b.limits.Window.Seconds()
}

// countedRequests returns the number of requests in the window.
func (b *budget) countedRequests(now time.Time) int {
	return b.requests.sumLast(now, b.partLength(), budgetParts).total
}

// recordRetry counts a retry: an attempt after a request's first.
func (b *budget) recordRetry(now time.Time) {
	b.currentPart(now).marked++
	b.lease.granted++
}

// allowsRetry reports whether one more retry is within the limits, and within what the
// VM that would take over the pool has been told.
func (b *budget) allowsRetry(now time.Time) bool {
	spent, allowed := b.usage(now)
	return spent < allowed && (b.tenure.role.Successor == "" || b.lease.covers(now))
}

// usage returns how many retries the window holds, and how many it may hold.
func (b *budget) usage(now time.Time) (spent, allowed int) {
	share := b.tenure.shareAt(now)
	perRequest := share.Ratio * b.limits.Ratio
	all := b.countedRequests(now)
	constant := b.constant(share)
	saved := burstRatio*perRequest*float64(all) + constant
	most := perRequest*float64(all) + constant
	spent = b.requests.sum(now, b.partLength()).marked
	var lately windowPart // The sums over the parts from the latest to that of the loop.
	last := b.currentPart(now).index
	for i := range b.requests {
		p := b.requests.part(last - int64(i))
		lately.total += p.total
		lately.marked += p.marked
		if left := perRequest*float64(lately.total) + saved - float64(lately.marked); i < budgetParts {
			most = min(most, left+float64(spent))
		}
	}
	return spent, max(0, int(most))
}

// constant returns the retries that the VM may allow in a window in addition to the ratio's.
func (b *budget) constant(s BudgetShare) float64 {
	all := float64(b.limits.MinRetries)
	if s == interimBudget {
		return min(interimRetries, all/4)
	}
	if b.tenure.role.Successor == "" {
		return s.Constant * all
	}
	return min(s.Constant*all, max(all-interimHomes*interimRetries, all/2))
}

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

// budgetParts is the number of parts in which a budget's window is counted.
const budgetParts = 20

// budget limits the retries in a sliding window, so that they cannot multiply the
// load on servers that fail.
type budget struct {
	limits   RetryLimits
	requests window // All requests; retries are the marked ones.
}

// A home that takes over a pool cannot know how many retries earlier homes have made
// in the current window. It therefore starts as if MinRetries were used up but for
// retriesAfterTakeover, and counts its own requests only. Each home uses only
// budgetShare of the limits, so that successive homes stay within them together.
const (
	budgetShare          = 0.8
	retriesAfterTakeover = 2
)

// newBudget returns the budget of a home that has just taken over.
func newBudget(now time.Time, l RetryLimits) budget {
	b := budget{limits: l, requests: newWindow(budgetParts)}
	b.currentPart(now).marked = max(0, int(budgetShare*float64(l.MinRetries))-retriesAfterTakeover)
	return b
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
	return float64(b.requests.sum(now, b.partLength()).total) / b.limits.Window.Seconds()
}

// recordRetry counts a retry: an attempt after a request's first.
func (b *budget) recordRetry(now time.Time) { b.currentPart(now).marked++ }

// allowsRetry reports whether one more retry is within the limits.
func (b *budget) allowsRetry(now time.Time) bool {
	spent, allowed := b.usage(now)
	return spent < allowed
}

// usage returns how many retries the window holds and how many are allowed.
func (b *budget) usage(now time.Time) (spent, allowed int) {
	s := b.requests.sum(now, b.partLength())
	return s.marked, int(budgetShare * (b.limits.Ratio*float64(s.total) + float64(b.limits.MinRetries)))
}

package pool

import "time"

// RetryLimits bound how often requests are sent to more than one server.
type RetryLimits struct {
	Ratio      float64       // Sendings beyond the first for each request.
	MinRetries int           // Such sendings in a window beside the ratio's.
	Window     time.Duration // Any window of this length.
}

// DefaultRetryLimits are those of a service that names none.
var DefaultRetryLimits = RetryLimits{Ratio: 0.1, MinRetries: 10, Window: 10 * time.Second}

// budgetParts is how many parts a budget's window is counted in.
const budgetParts = 20

// budget bounds the sendings beyond the first over a sliding window, so that
// retries cannot multiply the load on servers that fail.
type budget struct {
	limits RetryLimits
	sent   window // Requests, of which retries are marked.
}

// Bounds of a home's part of the limits. A home that takes over cannot know what
// those before it have spent in the window. It holds the slack for spent, but for
// a few retries, and goes by its own requests; and all homes keep below the whole.
const (
	budgetShare = 0.8
	firstSpends = 2
)

// newBudget returns the budget of a home that has just taken over.
func newBudget(now time.Time, l RetryLimits) budget {
	b := budget{limits: l, sent: newWindow(budgetParts)}
	b.part(now).marked = max(0, int(budgetShare*float64(l.MinRetries))-firstSpends)
	return b
}

// part returns the present part of the window.
func (b *budget) part(now time.Time) *windowPart { return b.sent.part(now, b.length()) }

// length returns that of a part. The limits may change under way.
func (b *budget) length() time.Duration { return b.limits.Window / budgetParts }

// earn counts a request.
func (b *budget) earn(now time.Time) { b.part(now).all++ }

// spend counts a sending beyond a request's first.
func (b *budget) spend(now time.Time) { b.part(now).marked++ }

// may reports whether one more such sending is within the limits.
func (b *budget) may(now time.Time) bool {
	spent, allowed := b.spent(now)
	return spent < allowed
}

// spent returns how many such sendings the window holds, and how many it may.
func (b *budget) spent(now time.Time) (spent, allowed int) {
	s := b.sent.sum(now, b.length())
	return s.marked, int(budgetShare * (b.limits.Ratio*float64(s.all) + float64(b.limits.MinRetries)))
}

package standin

import (
	"slices"
	"sync"
	"time"
)

// Attempt is the arrival of a request at a server, whatever became of it.
type Attempt struct {
	Mark string // Identifies the request.
	At   time.Time
}

// AttemptLog records the attempts that arrive at a server. It is safe for concurrent use.
type AttemptLog struct {
	mu       sync.Mutex
	attempts []Attempt
}

// Arrive records an attempt.
func (l *AttemptLog) Arrive(now time.Time, mark string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, Attempt{mark, now})
}

// All returns all attempts.
func (l *AttemptLog) All() []Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.attempts)
}

// RetryBudget is how many attempts beyond the first of each request the servers of a service
// take in a window: Ratio for each request that callers sent in that window, the one before
// it, or the one half a window before, whichever has most, and Constant.
type RetryBudget struct {
	Ratio    float64
	Constant int
	Window   time.Duration
}

// RetryWindow is a window with the retries that arrived in it, and those allowed.
type RetryWindow struct {
	From    time.Time
	Retries int
	Allowed float64
}

// Use returns the part of the allowed retries that the window holds.
func (w RetryWindow) Use() float64 { return float64(w.Retries) / w.Allowed }

// Retries returns the times of the attempts beyond the first of each request, in order.
func Retries(attempts []Attempt) []time.Time {
	slices.SortFunc(attempts, func(a, b Attempt) int { return a.At.Compare(b.At) })
	seen := make(map[string]bool)
	var out []time.Time
	for _, a := range attempts {
		if seen[a.Mark] {
			out = append(out, a.At)
		}
		seen[a.Mark] = true
	}
	return out
}

// Windows returns the windows that begin at a retry. requests and retries must be in order.
func (b RetryBudget) Windows(requests, retries []time.Time) []RetryWindow {
	var out []RetryWindow
	for _, from := range retries {
		out = append(out, b.WindowFrom(from, requests, retries))
	}
	return out
}

// WindowFrom returns the window that begins at a time.
func (b RetryBudget) WindowFrom(from time.Time, requests, retries []time.Time) RetryWindow {
	sent := 0
	for _, before := range []time.Duration{0, b.Window / 2, b.Window} {
		sent = max(sent, countBetween(requests, from.Add(-before), b.Window))
	}
	return RetryWindow{from, countBetween(retries, from, b.Window), b.Ratio*float64(sent) + float64(b.Constant)}
}

// countBetween returns how many of the times, which are in order, lie in a window.
func countBetween(times []time.Time, from time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return end - first
}

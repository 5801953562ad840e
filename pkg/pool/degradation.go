package pool

import "time"

// Thresholds of degradation. While a service fails more than a few of its requests,
// the home cannot tell which servers work: those that it leaves out may be the ones
// that would serve. Each server then gets a request from time to time.
const (
	degradedShare       = 0.085 // Share of failed requests in the degradedWindow above which the service is degraded.
	degradedMinRequests = 8     // With fewer requests the share is not significant.
	degradedWindow      = 2 * time.Second
	degradedParts       = 4
	// maxIdleWhileDegraded is how long a server may be without traffic while the
	// service is degraded.
	maxIdleWhileDegraded = 1200 * time.Millisecond
	// failureExclusion is how long after a failure a server may be left out while the
	// service is degraded.
	failureExclusion = 2 * time.Second
)

// degradedPartLength is the length of a part of the window.
const degradedPartLength = degradedWindow / degradedParts

// degradation counts finished and failed requests in a sliding window.
type degradation struct{ requests window }

// newDegradation returns the counts of a service that has had no requests.
func newDegradation() degradation { return degradation{requests: newWindow(degradedParts)} }

// recordRequest counts a request that was served, refused or failed.
func (d *degradation) recordRequest(now time.Time, failed bool) {
	p := d.requests.current(now, degradedPartLength)
	p.total++
	if failed {
		p.marked++
	}
}

// isDegraded reports whether the service fails more than a few of its requests.
func (d *degradation) isDegraded(now time.Time) bool {
	s := d.requests.sum(now, degradedPartLength)
	return s.total >= degradedMinRequests && float64(s.marked) > degradedShare*float64(s.total)
}

// withoutTraffic reports whether the server has been without traffic for so long
// that it must get a request while the service is degraded.
func (v *server) withoutTraffic(now time.Time) bool {
	if !v.inService() {
		return false
	}
	since := v.grantedAt
	if f := v.failedAt.Add(failureExclusion); f.After(since) {
		since = f
	}
	return now.Sub(since) > maxIdleWhileDegraded
}

package pool

import "time"

// Bounds of trouble. While a service fails more than a few of its requests, the
// home cannot tell which servers are sound: what it leaves out may be just the
// servers that would serve. Then each server gets a request now and then.
const (
	troubleShare = 0.085 // Of the requests of the last troubleTime.
	troubleLeast = 8     // Requests from which on a share means something.
	troubleTime  = 2 * time.Second
	troubleParts = 4
	// starvedAfter is how long a server may get nothing in trouble.
	starvedAfter = 1200 * time.Millisecond
	// failureCounts is how long after a failure a server may be left out in
	// trouble.
	failureCounts = 2 * time.Second
)

// troubleLength is that of a part of the window.
const troubleLength = troubleTime / troubleParts

// trouble counts how requests end, over a sliding window.
type trouble struct{ ends window }

// newTrouble returns the trouble of a service of which nothing is known.
func newTrouble() trouble { return trouble{ends: newWindow(troubleParts)} }

// ended counts a request's end.
func (t *trouble) ended(now time.Time, failed bool) {
	p := t.ends.part(now, troubleLength)
	p.all++
	if failed {
		p.marked++
	}
}

// is reports whether the service fails more than a few of its requests.
func (t *trouble) is(now time.Time) bool {
	s := t.ends.sum(now, troubleLength)
	return s.all >= troubleLeast && float64(s.marked) > troubleShare*float64(s.all)
}

// starved reports whether a server should get a request in trouble.
func (v *server) starved(now time.Time) bool {
	if !v.trusted() && v.state != Suspected && v.state != Ejected {
		return false
	}
	since := v.grantedAt
	if f := v.failedAt.Add(failureCounts); f.After(since) {
		since = f
	}
	return now.Sub(since) > starvedAfter
}

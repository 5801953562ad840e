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

// trouble counts how requests end, over a sliding window.
type trouble struct{ parts [troubleParts + 1]troublePart }

type troublePart struct {
	number        int64 // Of the part since the zero time.
	ended, failed int
}

// part returns the present part of the window.
func (t *trouble) part(now time.Time) *troublePart {
	n := now.UnixNano() / int64(troubleTime/troubleParts)
	p := &t.parts[n%int64(len(t.parts))]
	if p.number != n {
		*p = troublePart{number: n}
	}
	return p
}

// ended counts a request's end.
func (t *trouble) ended(now time.Time, failed bool) {
	p := t.part(now)
	p.ended++
	if failed {
		p.failed++
	}
}

// is reports whether the service fails more than a few of its requests.
func (t *trouble) is(now time.Time) bool {
	last := t.part(now).number
	ended, failed := 0, 0
	for _, p := range t.parts {
		if last-p.number <= troubleParts {
			ended += p.ended
			failed += p.failed
		}
	}
	return ended >= troubleLeast && float64(failed) > troubleShare*float64(ended)
}

// starved reports whether a server should get a request in trouble.
func (v *server) starved(now time.Time) bool {
	if !v.trusted() && v.state != Doubted && v.state != Ejected {
		return false
	}
	since := v.grantedAt
	if f := v.failedAt.Add(failureCounts); f.After(since) {
		since = f
	}
	return now.Sub(since) > starvedAfter
}

package store

import (
	"net/http"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Meter is a transport that counts the calls to the platform's store by their
// result.
type Meter struct {
	next  http.RoundTripper
	scope atomic.Pointer[tally.Scope]
}

// NewMeter returns a Meter that passes the calls on to next.
func NewMeter(next http.RoundTripper) *Meter { return &Meter{next: next} }

// SetScope sets the scope of the counters. Calls before it are not counted.
func (m *Meter) SetScope(scope tally.Scope) { m.scope.Store(&scope) }

// RoundTrip implements http.RoundTripper.
func (m *Meter) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := m.next.RoundTrip(req)
	if s := m.scope.Load(); s != nil {
		(*s).Tagged(map[string]string{"result": callResult(resp, err)}).Counter("calls").Inc(1)
	}
	return resp, err
}

// callResult returns the value of the metric's "result" tag.
func callResult(resp *http.Response, err error) string {
	switch {
	case err != nil:
		return "noAnswer"
	case resp.StatusCode < http.StatusMultipleChoices:
		return "done"
	case resp.StatusCode == http.StatusPreconditionFailed, resp.StatusCode == http.StatusConflict:
		return "conflict"
	case resp.StatusCode == http.StatusNotFound, resp.StatusCode == http.StatusGone:
		return "absent"
	default:
		return "refused"
	}
}

package store

import (
	"net/http"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Meter counts the calls to a platform's store by how they end.
type Meter struct {
	next  http.RoundTripper
	scope atomic.Pointer[tally.Scope]
}

// NewMeter returns a meter of the calls that next makes.
func NewMeter(next http.RoundTripper) *Meter { return &Meter{next: next} }

// SetScope has calls counted in a scope from now on.
func (m *Meter) SetScope(scope tally.Scope) { m.scope.Store(&scope) }

// RoundTrip implements http.RoundTripper.
func (m *Meter) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := m.next.RoundTrip(req)
	if s := m.scope.Load(); s != nil {
		(*s).Tagged(map[string]string{"result": resultOf(resp, err)}).Counter("calls").Inc(1)
	}
	return resp, err
}

// resultOf names how a call ended.
func resultOf(resp *http.Response, err error) string {
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

package store_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/store"
)

// fixedResponse is a transport that always returns the same status or error.
type fixedResponse struct {
	status int
	err    error
}

// RoundTrip implements http.RoundTripper.
func (f fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	if f.err != nil {
		return nil, f.err
	}
	return &http.Response{StatusCode: f.status, Body: http.NoBody}, nil
}

func TestMeterCountsCallsByResult(t *testing.T) {
	for _, c := range []struct {
		response fixedResponse
		want     string
	}{
		{fixedResponse{status: 200}, "done"},
		{fixedResponse{status: 412}, "conflict"},
		{fixedResponse{status: 409}, "conflict"},
		{fixedResponse{status: 404}, "absent"},
		{fixedResponse{status: 410}, "absent"},
		{fixedResponse{status: 503}, "refused"},
		{fixedResponse{err: errors.New("reset")}, "noAnswer"},
	} {
		t.Run(c.want, func(t *testing.T) {
			scope := tally.NewTestScope("store", nil)
			m := store.NewMeter(c.response)
			req, err := http.NewRequest(http.MethodGet, "http://store/rows", http.NoBody)
			assert.NilError(t, err)
			_, _ = m.RoundTrip(req) //nolint:bodyclose // There is no body. Not counted yet.
			m.SetScope(scope)
			_, _ = m.RoundTrip(req) //nolint:bodyclose // There is no body.
			n := scope.Snapshot().Counters()["store.calls+result="+c.want]
			assert.Assert(t, n != nil)
			assert.Equal(t, n.Value(), int64(1))
		})
	}
}

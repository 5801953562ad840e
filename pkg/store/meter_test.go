package store_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/store"
)

// answering is a transport that gives one answer.
type answering struct {
	status int
	err    error
}

// RoundTrip implements http.RoundTripper.
func (a answering) RoundTrip(*http.Request) (*http.Response, error) {
	if a.err != nil {
		return nil, a.err
	}
	return &http.Response{StatusCode: a.status, Body: http.NoBody}, nil
}

func TestMeterCountsCallsByTheirEnd(t *testing.T) {
	for _, c := range []struct {
		answer answering
		want   string
	}{
		{answering{status: 200}, "done"},
		{answering{status: 412}, "conflict"},
		{answering{status: 409}, "conflict"},
		{answering{status: 404}, "absent"},
		{answering{status: 410}, "absent"},
		{answering{status: 503}, "refused"},
		{answering{err: errors.New("reset")}, "noAnswer"},
	} {
		t.Run(c.want, func(t *testing.T) {
			scope := tally.NewTestScope("store", nil)
			m := store.NewMeter(c.answer)
			req, err := http.NewRequest(http.MethodGet, "http://store/rows", http.NoBody)
			assert.NilError(t, err)
			_, _ = m.RoundTrip(req) //nolint:bodyclose // There is none. Not counted yet.
			m.SetScope(scope)
			_, _ = m.RoundTrip(req) //nolint:bodyclose // There is none.
			n := scope.Snapshot().Counters()["store.calls+result="+c.want]
			assert.Assert(t, n != nil)
			assert.Equal(t, n.Value(), int64(1))
		})
	}
}

package backend_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"laburnumpick.org/pkg/backend"
)

// TestWhatServersSayOfThemselves guards against headers of servers that bring a VM down, pause a
// server for hours, or hide a good value beside a bad one. It compares what is concluded from the headers of responses
// with the golden file: no value panics, none pauses a server for hours, and a good value
// beside a bad one still counts.
func TestWhatServersSayOfThemselves(t *testing.T) {
	var b strings.Builder
	for _, values := range [][]string{
		{"1"},
		{"0.25"},
		{"0"},
		{"-1"},
		{"soon"},
		{""},
		{"NaN"},
		{"inf"},
		{"1e400"},
		{"-1e400"},
		{"1e9"},
		{"600"},
		{"601"},
		{" 2 "},
		{"0x10"},
		{"1_0"},
		{"Fri, 04 Dec 2026 10:00:00 GMT"},
		{"1", "3"},
		{"3", "1"},
		{"soon", "2"},
		{"1e-9"},
	} {
		h := http.Header{"Retry-After": values}
		d, err := backend.Contract{}.Pause(http.StatusServiceUnavailable, h)
		fmt.Fprintf(&b, "503 Retry-After %q: pause %v, %s\n", values, d, oneLine(err))
	}
	for _, status := range []int{200, 429, 500} {
		d, err := backend.Contract{}.Pause(status, http.Header{"Retry-After": {"5"}})
		fmt.Fprintf(&b, "%d Retry-After 5: pause %v, %s\n", status, d, oneLine(err))
	}
	for _, values := range [][]string{nil, {"1"}, {" 1"}, {"0"}, {"true"}, {""}, {"0", "1"}, {"1", "1"}} {
		h := http.Header{}
		for _, v := range values {
			h.Add(backend.HeaderServerLeaving, v)
		}
		leaves, err := backend.Contract{}.Leaving(h)
		fmt.Fprintf(&b, "leaving %q: %v, %s\n", values, leaves, oneLine(err))
	}
	golden.Assert(t, b.String(), "notices.golden")
}

// oneLine returns the text of an error in one line.
func oneLine(err error) string {
	if err == nil {
		return "ok"
	}
	return strings.ReplaceAll(err.Error(), "\n", "; ")
}

// TestConnectionToALeavingServerIsNotReused guards against requests on kept connections to a
// server that has said that it leaves.
func TestConnectionToALeavingServerIsNotReused(t *testing.T) {
	withPeer(t, leavingPeer, func(t *testing.T, _ *peer, pool *backend.ConnPool) {
		_, err := send(pool, newRequest("1", "GET", ""), backend.Options{})
		assert.Assert(t, err == nil)
		assert.Assert(t, pool.Prune(now()), "the connection was kept")
	})
}

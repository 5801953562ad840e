package egress

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/site"
)

var start = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func target(n int) Target {
	return Target{Service: "s", Server: site.Server{Name: site.ServerName(fmt.Sprint("s-", n))}}
}

// noTarget draws no server.
func noTarget() (Target, bool) { return Target{}, false }

// TestVMIsCutOffAfterFailuresInARow guards against a VM that takes the failure of single servers
// for its own, or its own for that of the servers.
func TestVMIsCutOffAfterFailuresInARow(t *testing.T) {
	const up, refused, hangs = backend.Connected, backend.ConnectionRefused, backend.ConnectTimedOut
	type result struct {
		server int
		r      backend.ConnectResult
	}
	for _, c := range []struct {
		name    string
		results []result
		cutOff  bool
		use     Use // Of the link to server 9, which has not been tried.
	}{
		{"one server", []result{{1, hangs}, {1, hangs}, {1, hangs}}, false, AnyConn},
		{"two servers", []result{{1, hangs}, {2, hangs}}, false, AnyConn},
		{"three servers", []result{{1, hangs}, {2, hangs}, {3, hangs}}, true, NoConn},
		{"three servers refuse", []result{{1, refused}, {2, refused}, {3, refused}}, true, KeptConns},
		{"one reached in between", []result{{1, hangs}, {2, hangs}, {4, up}, {3, hangs}}, false, AnyConn},
		{"one reached afterwards", []result{{1, hangs}, {2, hangs}, {3, hangs}, {4, up}}, false, AnyConn},
		{"a server of them reached", []result{{1, hangs}, {2, hangs}, {3, hangs}, {1, up}}, false, AnyConn},
		{"nobody waited", []result{{1, hangs}, {2, hangs}, {3, backend.ConnectCanceled}}, false, AnyConn},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := NewLinks()
			now := start
			for _, r := range c.results {
				now = now.Add(10 * time.Millisecond)
				k.Record(now, target(r.server), r.r)
			}
			assert.Equal(t, k.Isolated(), c.cutOff)
			assert.Equal(t, k.Use(now, "s-9"), c.use)
		})
	}
}

// TestLinksThatAreDownAreChecked guards against links that are never tried again, and against
// checks without a bound.
func TestLinksThatAreDownAreChecked(t *testing.T) {
	k := NewLinks()
	k.Record(start, target(0), backend.Connected)
	for i := 1; i <= 2; i++ {
		k.Record(start, target(i), backend.ConnectTimedOut)
	}
	checks := 0
	now := start
	for range 600 { // A minute.
		now = now.Add(100 * time.Millisecond)
		k.Use(now, "s-1")
		k.Use(now, "s-2")
		due := k.TakeDue(now, noTarget)
		assert.Assert(t, len(due) <= checksAtOnce)
		for _, d := range due {
			checks++
			k.Record(now, d, backend.ConnectTimedOut)
			k.Record(now, target(0), backend.Connected)
		}
	}
	assert.Assert(t, checks >= 2*12 && checks <= 2*20, "%d checks of two links in a minute", checks)
	k.Record(now, target(1), backend.Connected)
	k.Record(now, target(2), backend.Connected)
	assert.Assert(t, k.Idle())
	assert.Equal(t, k.Use(now, "s-1"), AnyConn)
}

// TestCutOffVMTriesOneServerAtATime guards against a herd of checks by a VM that is cut off.
func TestCutOffVMTriesOneServerAtATime(t *testing.T) {
	k := NewLinks()
	for i := range 200 {
		k.Record(start, target(i), backend.ConnectTimedOut)
	}
	checks := 0
	for i := range 100 { // Ten seconds.
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		checks += len(k.TakeDue(now, func() (Target, bool) { return target(7), true }))
	}
	assert.Assert(t, checks >= 20 && checks <= 40, "%d checks in ten seconds", checks)
}

// TestAttemptsBehindAFailedLink guards against failures that are blamed on servers although this
// VM's links had failed meanwhile, and the other way round.
func TestAttemptsBehindAFailedLink(t *testing.T) {
	k := NewLinks()
	sent := start.Add(time.Second)
	assert.Assert(t, !k.FailedSince("s-1", sent))
	k.Record(start, target(1), backend.ConnectTimedOut)
	assert.Assert(t, !k.FailedSince("s-1", sent), "the link had failed before")
	k.Record(start, target(1), backend.Connected)
	k.Record(sent.Add(time.Millisecond), target(1), backend.ConnectTimedOut)
	assert.Assert(t, k.FailedSince("s-1", sent))
	assert.Assert(t, !k.FailedSince("s-2", sent), "only the link to another server has failed")
	k.Prove(sent.Add(2 * time.Millisecond))
	assert.Assert(t, k.FailedSince("s-2", sent))
	k.Forget("s-1")
	assert.Equal(t, k.Use(sent, "s-1"), AnyConn)
}

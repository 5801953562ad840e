package pool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// TestStandbyKnowsFailureStreaks replaces the home of a pool. The next home must
// know which servers have a failure streak, and not find out at the cost of
// at-most-once requests.
func TestStandbyKnowsFailureStreaks(t *testing.T) {
	home, next := newPool(4, 1), newPool(4, 1)
	once := aRequest("a")
	once.Class = site.AtMostOnce
	var bad []site.ServerName
	for range 2 {
		g := admit(t, home, start, once)
		bad = append(bad, g.Server.Name)
		home.Release(start, g, pool.Failed{Rule: reads, Detail: "reset"})
	}
	now := start.Add(500 * time.Millisecond)
	next.MergeFailureStreaks(now, home.FailureStreaks(now, time.Time{}))
	for range 2 {
		n := admit(t, next, now, once).Server.Name
		assert.Assert(t, n != bad[0] && n != bad[1], "%s has a failure streak", n)
	}
	_, waits := next.Admit(now, once).(pool.Waiting)
	assert.Assert(t, waits)
	assert.Equal(t, len(home.FailureStreaks(now, now)), 0, "nothing has changed since")

	good := pool.Served{Rule: reads, Took: 5 * time.Millisecond}
	for range 2 {
		serveOthers(t, home, start.Add(1900*time.Millisecond), once, good, bad[0])
	}
	now = start.Add(2100 * time.Millisecond)
	for range 4 {
		g := admit(t, home, now, aRequest("a"))
		home.Release(now, g, good)
	}
	next.MergeFailureStreaks(now, home.FailureStreaks(now, start))
	assert.Equal(t, next.Stats(now).Usable, 4)
}

// TestNewHomeDoesNotTestServersThatHaveJustFailed guards against a standby that takes
// over and sends at-most-once requests to servers in a failure streak, since to it they
// have been idle for long.
func TestNewHomeDoesNotTestServersThatHaveJustFailed(t *testing.T) {
	next := newPool(4, 2)
	now := start.Add(10 * time.Second)
	once := aRequest("a")
	once.Class = site.AtMostOnce
	next.MergeFailureStreaks(now, []pool.FailureStreak{{Server: "s-1", Failures: 1, BackOff: time.Second, Age: time.Second}})
	for range 5 {
		g := admit(t, next, now, once)
		assert.Assert(t, g.Server.Name != "s-1", "sent to a server that failed a second ago")
	}
}

// TestNewerObservationsOutweighMergedStreaks merges a failure that is older than a
// response that the home has got from the server itself.
func TestNewerObservationsOutweighMergedStreaks(t *testing.T) {
	p := newPool(1, 1)
	now := start.Add(time.Second)
	p.Release(now, admit(t, p, now, aRequest("a")), pool.Served{Rule: reads, Took: 5 * time.Millisecond})
	p.MergeFailureStreaks(now, []pool.FailureStreak{{Server: "s-0", Failures: 1, BackOff: time.Second, Age: 100 * time.Millisecond}})
	assert.Equal(t, p.Stats(now).Usable, 1)
	p.MergeFailureStreaks(now, []pool.FailureStreak{{Server: "s-0", Failures: 1, BackOff: time.Second}})
	assert.Equal(t, p.Stats(now).Usable, 0)
	p.MergeFailureStreaks(now.Add(time.Second), []pool.FailureStreak{{Server: "s-0", Age: 2 * time.Second}})
	assert.Equal(t, p.Stats(now).Usable, 0)
}

package pool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
)

// pauseServer tells the home that a server wants no requests from vm-1.
func pauseServer(p *pool.Pool, now time.Time, i int, d time.Duration) {
	p.MergeNotices(now, "vm-1", []pool.Notice{{Server: p.View().Servers[i].Server.Name, Pause: d}})
}

// requestOf returns a request of a VM.
func requestOf(vm string) pool.Request {
	r := aRequest("a")
	r.VM = vm
	return r
}

// TestPauseBindsOneVM guards against a pause that is granted to its VM or kept from the
// others.
func TestPauseBindsOneVM(t *testing.T) {
	p := newPool(1, 3)
	pauseServer(p, start, 0, 2*time.Second)
	r := requestOf("vm-1")
	r.NoWait = true
	refused, ok := p.Admit(start, r).(pool.Refused)
	assert.Assert(t, ok)
	assert.Equal(t, refused.Kind, outcome.ServerPauses)
	assert.Equal(t, refused.RetryAfter, 2*time.Second)
	admit(t, p, start, requestOf("vm-2"))
	admit(t, p, start.Add(2*time.Second), r)
}

// TestLaterShorterPauseDoesNotCutTheFirstShort guards against requests during a pause that a
// later refusal with a shorter one seemed to end.
func TestLaterShorterPauseDoesNotCutTheFirstShort(t *testing.T) {
	p := newPool(1, 3)
	pauseServer(p, start, 0, 3*time.Second)
	pauseServer(p, start.Add(time.Second), 0, time.Second)
	r := requestOf("vm-1")
	r.NoWait = true
	_, refused := p.Admit(start.Add(2500*time.Millisecond), r).(pool.Refused)
	assert.Assert(t, refused)
}

// TestPausedVMUsesOtherServers guards against a VM that waits for a paused server while
// others are free, and against one that waits at all if all pauses outlast its time.
func TestPausedVMUsesOtherServers(t *testing.T) {
	p := newPool(2, 3)
	pauseServer(p, start, 0, time.Minute)
	for range 3 {
		g := admit(t, p, start, requestOf("vm-1"))
		assert.Equal(t, g.Server.Name, p.View().Servers[1].Server.Name)
	}
	pauseServer(p, start, 1, 30*time.Second)
	r := requestOf("vm-1")
	r.Deadline = start.Add(10 * time.Second)
	refused, ok := p.Admit(start, r).(pool.Refused)
	assert.Assert(t, ok, "the request waits")
	assert.Equal(t, refused.Kind, outcome.ServerPauses)
	assert.Equal(t, refused.RetryAfter, 30*time.Second)
}

// TestShortPauseIsWaitedFor guards against a refusal though the pause ends in time.
func TestShortPauseIsWaitedFor(t *testing.T) {
	p := newPool(1, 3)
	pauseServer(p, start, 0, 50*time.Millisecond)
	w, ok := p.Admit(start, requestOf("vm-1")).(pool.Waiting)
	assert.Assert(t, ok)
	assert.Equal(t, len(p.DispatchQueue(start.Add(30*time.Millisecond))), 0)
	decisions := p.DispatchQueue(start.Add(60 * time.Millisecond))
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Ticket, w.Ticket)
	_, granted := decisions[0].Decision.(pool.Granted)
	assert.Assert(t, granted)
}

// TestRegisteredServerLeavesUntilItRestarts guards against a list that still shows a server
// as ready after it has said that it leaves, and against a restarted server that gets no
// requests.
func TestRegisteredServerLeavesUntilItRestarts(t *testing.T) {
	p, later := newPool(2, 3), start.Add(10*time.Minute)
	members := make([]pool.Member, 2)
	for i, v := range p.View().Servers {
		members[i] = pool.Member{Server: v.Server}
		members[i].StartedMs = 1
	}
	p.Configure(start, pool.Settings{ScoreThreshold: 11}, members)
	n := members[0].Name
	events := p.MergeNotices(start, "vm-1", []pool.Notice{{Server: n, StartedMs: 1, Leaving: true}})
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].To, pool.Leaving)
	assert.Equal(t, len(p.StandbyState(start, start).Leaving), 1)
	p.MergeNotices(start, "vm-1", []pool.Notice{{Server: members[1].Name, StartedMs: 2, Leaving: true}}) // Of another start.
	p.Configure(later, pool.Settings{ScoreThreshold: 11}, members)
	assert.Equal(t, p.View().Servers[0].State, pool.Leaving)
	for range 3 {
		assert.Equal(t, admit(t, p, later, requestOf("vm-2")).Server.Name, members[1].Name)
	}
	members[0].StartedMs = 2
	p.Configure(later, pool.Settings{ScoreThreshold: 11}, members)
	assert.Equal(t, admit(t, p, later, requestOf("vm-2")).Server.Name, n)
}

// TestRefusalWithAPauseIsNoFailure guards against a back-off of a server for all VMs because
// it has paused one.
func TestRefusalWithAPauseIsNoFailure(t *testing.T) {
	p := newPool(1, 3)
	g := admit(t, p, start, requestOf("vm-1"))
	p.Release(start, g, pool.Declined{Reason: pool.Paused})
	admit(t, p, start.Add(25*time.Millisecond), requestOf("vm-2"))
	assert.Equal(t, p.FailureStreakOf(start, g.Server.Name).Failures, 0)
}

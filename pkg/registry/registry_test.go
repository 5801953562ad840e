package registry_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/site"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func newEntry(name string, seq int64) registry.Entry {
	return registry.Entry{
		Service: "s", Seq: seq,
		Server: site.Server{Name: site.ServerName(name), Address: name + ":80", Slots: 1, StartedMs: 1000},
	}
}

func fullList(rev registry.Revision, entries ...registry.Entry) registry.Update {
	return registry.Update{Revision: rev, Full: true, Entries: entries}
}

func names(r *registry.Replica) []string {
	var out []string
	for _, l := range r.State().Servers("s") {
		out = append(out, string(l.Server.Name))
	}
	return out
}

func TestReplicaNeverGoesBack(t *testing.T) {
	r := registry.NewReplica()
	assert.Assert(t, r.Apply(start, fullList(10, newEntry("a", 1), newEntry("b", 1))))
	assert.Assert(t, r.Apply(start, fullList(8, newEntry("c", 1))), "an older revision is ignored")
	assert.DeepEqual(t, names(r), []string{"a", "b"})
	gap := registry.Update{Since: 12, Revision: 14, Removed: []site.ServerName{"a"}}
	assert.Assert(t, !r.Apply(start, gap), "the changes from 10 to 12 are missing")
	assert.Assert(t, r.Apply(start, registry.Update{Since: 9, Revision: 14, Removed: []site.ServerName{"a"}}))
	assert.DeepEqual(t, names(r), []string{"b"})
}

// TestStaleEntries applies entries that arrive late, since their writer was
// delayed, and must not replace newer ones or bring back a removed server.
func TestStaleEntries(t *testing.T) {
	draining := newEntry("a", 9)
	draining.Draining = true
	restarted := newEntry("a", 1)
	restarted.Server.StartedMs = 2000
	r := registry.NewReplica()
	r.Apply(start, fullList(1, draining))
	state := func() registry.Listed {
		l, ok := r.State().Server("a")
		assert.Assert(t, ok)
		return l
	}
	r.Apply(start, registry.Update{Since: 1, Revision: 2, Entries: []registry.Entry{newEntry("a", 7)}})
	assert.Assert(t, state().Draining, "an entry older than the draining one was applied")
	r.Apply(start, registry.Update{Since: 2, Revision: 3, Entries: []registry.Entry{restarted}})
	assert.Assert(t, !state().Draining, "the server has restarted")
	r.Apply(start, registry.Update{Since: 3, Revision: 4, Entries: []registry.Entry{newEntry("a", 99)}})
	assert.Equal(t, state().Server.StartedMs, int64(2000), "an entry from before its restart was applied")
	r.Apply(start, registry.Update{Since: 4, Revision: 5, Removed: []site.ServerName{"a"}})
	r.Apply(start, registry.Update{Since: 5, Revision: 6, Entries: []registry.Entry{restarted}})
	assert.Equal(t, r.State().Len(), 0, "a late entry brought back a removed server")
}

// TestServersMissingAfterOutage has entries expire while the platform is
// unreachable. Servers that register again soon after must stay in use throughout.
func TestServersMissingAfterOutage(t *testing.T) {
	r := registry.NewReplica()
	r.Apply(start, fullList(1, newEntry("a", 1), newEntry("b", 1), newEntry("c", 1)))
	r.Apply(at(20*time.Second), fullList(9, newEntry("c", 8)))
	assert.DeepEqual(t, names(r), []string{"a", "b", "c"})
	r.Apply(at(21*time.Second), registry.Update{Since: 9, Revision: 10, Entries: []registry.Entry{newEntry("a", 9)}})
	r.Expire(at(22 * time.Second))
	assert.DeepEqual(t, names(r), []string{"a", "b", "c"})
	r.Expire(at(22300 * time.Millisecond))
	assert.DeepEqual(t, names(r), []string{"a", "c"})
	r.Apply(at(23*time.Second), registry.Update{Since: 10, Revision: 11, Removed: []site.ServerName{"c"}})
	assert.DeepEqual(t, names(r), []string{"a"}) // Without an outage a server is removed at once.
}

// TestReplicasSync sends changes from one replica to another, and the full list
// if the sender no longer has all changes.
func TestReplicasSync(t *testing.T) {
	from, to := registry.NewReplica(), registry.NewReplica()
	from.Apply(start, fullList(1, newEntry("a", 1), newEntry("b", 1)))
	sync := func(now time.Time) {
		assert.Assert(t, to.Apply(now, from.Since(now, to.State().Revision)))
		assert.DeepEqual(t, names(to), names(from))
		assert.Equal(t, to.State().Revision, from.State().Revision)
	}
	sync(start)
	from.Apply(at(time.Second), registry.Update{Since: 1, Revision: 5, Removed: []site.ServerName{"a"}, Entries: []registry.Entry{newEntry("d", 1)}})
	u := from.Since(at(time.Second), 1)
	assert.Assert(t, !u.Full && len(u.Entries) == 1 && len(u.Removed) == 1, "%+v", u)
	sync(at(time.Second))
	from.Apply(at(2*time.Second), registry.Update{Since: 5, Revision: 7, Removed: []site.ServerName{"b"}})
	from.Expire(at(2 * time.Minute))
	assert.Assert(t, from.Since(at(2*time.Minute), 5).Full)
	to.Apply(at(2*time.Minute), registry.Update{Since: 5, Revision: 6})
	sync(at(2*time.Minute + 2400*time.Millisecond)) // Later than servers register again after an outage of to.
}

func TestHeartbeatsAreNoChanges(t *testing.T) {
	r := registry.NewReplica()
	r.Apply(start, fullList(1, newEntry("a", 1)))
	before := r.State().Generation
	r.TakeChanges()
	for i := range 20 {
		rev := registry.Revision(i + 1)
		r.Apply(start, registry.Update{Since: rev, Revision: rev + 1, Entries: []registry.Entry{newEntry("a", int64(i+2))}})
	}
	assert.Equal(t, r.State().Generation, before)
	assert.Equal(t, len(r.TakeChanges()), 0)
	assert.Equal(t, r.State().Revision, registry.Revision(21))
}

func TestColdTimeIsRelativeToReader(t *testing.T) {
	cold := newEntry("a", 1)
	cold.ColdFor = 3 * time.Second
	r, other := registry.NewReplica(), registry.NewReplica()
	r.Apply(start, fullList(1, cold))
	other.Apply(at(2*time.Second), r.Since(at(2*time.Second), 0))
	l, _ := other.State().Server("a")
	assert.Equal(t, l.ColdUntil, at(3*time.Second))
}

// TestReturnedServerReachesOtherReplicas has all servers expire in an outage. One
// replica sends that to another, and then that one server has registered again:
// the other must not remove it after the grace period.
func TestReturnedServerReachesOtherReplicas(t *testing.T) {
	from, to := registry.NewReplica(), registry.NewReplica()
	for _, r := range []*registry.Replica{from, to} {
		r.Apply(start, fullList(1, newEntry("a", 1), newEntry("b", 1)))
	}
	sync := func(now time.Time) { assert.Assert(t, to.Apply(now, from.Since(now, to.State().Revision))) }
	from.Apply(at(10*time.Second), fullList(5))
	sync(at(10 * time.Second))
	assert.DeepEqual(t, names(to), []string{"a", "b"}) // What is missing is still in use.
	from.Apply(at(11*time.Second), registry.Update{Since: 5, Revision: 6, Entries: []registry.Entry{newEntry("a", 9)}})
	sync(at(11 * time.Second))
	from.Expire(at(13 * time.Second))
	to.Expire(at(13 * time.Second))
	assert.DeepEqual(t, names(from), []string{"a"})
	from.Apply(at(13*time.Second), registry.Update{Since: 6, Revision: 7, Entries: []registry.Entry{newEntry("a", 10)}})
	assert.Assert(t, to.Apply(at(13*time.Second), from.Since(at(13*time.Second), 5)))
	assert.DeepEqual(t, names(to), []string{"a"})
}

// TestRemovalBeforeAFullListIsPassedOn guards against a server that left and is used again
// after a restart: a VM that has just started has the full list and has never heard of that
// server, so the changes that it passes on must not lack the removal.
func TestRemovalBeforeAFullListIsPassedOn(t *testing.T) {
	behind := registry.NewReplica()
	behind.Apply(start, fullList(138, newEntry("a", 1), newEntry("b", 1)))
	restarted := registry.NewReplica()
	restarted.Apply(start, fullList(140, newEntry("b", 1)))
	assert.Assert(t, behind.Apply(start, restarted.Since(start, behind.State().Revision)))
	assert.DeepEqual(t, names(behind), []string{"b"})
	assert.Equal(t, behind.State().Revision, registry.Revision(140))
	restarted.Apply(start, registry.Update{Since: 140, Revision: 141, Entries: []registry.Entry{newEntry("c", 1)}})
	assert.Assert(t, !restarted.Since(start, 140).Full, "what came after the full list is known")
}

// TestServerThatIsBackReachesAllReplicasThroughAnotherReader guards against servers that VMs take for
// gone after an outage although they have registered again: several VMs read the list in turn, and
// the last one has never missed them.
func TestServerThatIsBackReachesAllReplicasThroughAnotherReader(t *testing.T) {
	for _, takeOver := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		first, second, other := registry.NewReplica(), registry.NewReplica(), registry.NewReplica()
		all := []*registry.Replica{first, second, other}
		for _, r := range all {
			r.Apply(start, fullList(10, newEntry("a", 1), newEntry("b", 1), newEntry("c", 1)))
		}
		back := at(10 * time.Second)
		first.Apply(back, fullList(20))
		assert.Assert(t, other.Apply(back, fullList(21)))
		now := back.Add(takeOver)
		send := func(base registry.Revision) {
			for _, r := range []*registry.Replica{first, other} {
				assert.Assert(t, r.Apply(now, second.Since(now, base)))
			}
		}
		before := second.State().Revision
		second.Apply(now, registry.Update{
			Since: 10, Revision: 23, Entries: []registry.Entry{newEntry("a", 9), newEntry("b", 9)}, Removed: []site.ServerName{"c"},
		})
		send(before)
		for i := range 10 {
			now = now.Add(400 * time.Millisecond)
			for _, r := range all {
				r.Expire(now)
			}
			rev := registry.Revision(24 + i)
			second.Apply(now, registry.Update{Since: rev - 1, Revision: rev, Entries: []registry.Entry{newEntry("a", int64(10+i))}})
			send(before)
			for _, r := range all {
				assert.Assert(t, slices.Contains(names(r), "b"))
			}
		}
		for _, r := range all {
			assert.DeepEqual(t, names(r), []string{"a", "b"})
		}
	}
}

// TestRemovalAfterAServerRegisteredAgain checks a server that registers again after an outage and
// then leaves, while others may still register again: it is removed at once.
func TestRemovalAfterAServerRegisteredAgain(t *testing.T) {
	r, other := registry.NewReplica(), registry.NewReplica()
	for _, o := range []*registry.Replica{r, other} {
		o.Apply(start, fullList(10, newEntry("a", 1), newEntry("b", 1)))
	}
	r.Apply(at(10*time.Second), fullList(20, newEntry("a", 9)))
	assert.Assert(t, other.Apply(at(10*time.Second), r.Since(at(10*time.Second), 10)))
	r.Apply(at(11*time.Second), registry.Update{Since: 20, Revision: 21, Removed: []site.ServerName{"a", "b"}})
	assert.Assert(t, other.Apply(at(11*time.Second), r.Since(at(11*time.Second), 10)))
	for _, o := range []*registry.Replica{r, other} {
		assert.DeepEqual(t, names(o), []string{"b"})
	}
}

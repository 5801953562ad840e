package registry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/site"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func anEntry(name string, seq int64) registry.Entry {
	return registry.Entry{
		Service: "s", Seq: seq,
		Server: site.Server{Name: site.ServerName(name), Address: name + ":80", Slots: 1, StartedMs: 1000},
	}
}

func whole(rev registry.Revision, entries ...registry.Entry) registry.Update {
	return registry.Update{Revision: rev, Full: true, Entries: entries}
}

func names(b *registry.Replica) []string {
	var out []string
	for _, l := range b.State().Servers("s") {
		out = append(out, string(l.Server.Name))
	}
	return out
}

func TestBookNeverGoesBack(t *testing.T) {
	b := registry.NewReplica()
	assert.Assert(t, b.Apply(start, whole(10, anEntry("a", 1), anEntry("b", 1))))
	assert.Assert(t, b.Apply(start, whole(8, anEntry("c", 1))), "a read that is behind is passed over")
	assert.DeepEqual(t, names(b), []string{"a", "b"})
	gap := registry.Update{Since: 12, Revision: 14, Removed: []site.ServerName{"a"}}
	assert.Assert(t, !b.Apply(start, gap), "what came between is missing")
	assert.Assert(t, b.Apply(start, registry.Update{Since: 9, Revision: 14, Removed: []site.ServerName{"a"}}))
	assert.DeepEqual(t, names(b), []string{"b"})
}

// TestOldWordsOfAServer brings entries that a writer was held up with.
func TestOldWordsOfAServer(t *testing.T) {
	leaving := anEntry("a", 9)
	leaving.Draining = true
	reborn := anEntry("a", 1)
	reborn.Server.StartedMs = 2000
	b := registry.NewReplica()
	b.Apply(start, whole(1, leaving))
	state := func() registry.Listed {
		l, ok := b.State().Server("a")
		assert.Assert(t, ok)
		return l
	}
	b.Apply(start, registry.Update{Since: 1, Revision: 2, Entries: []registry.Entry{anEntry("a", 7)}})
	assert.Assert(t, state().Draining, "it said that it leaves after that")
	b.Apply(start, registry.Update{Since: 2, Revision: 3, Entries: []registry.Entry{reborn}})
	assert.Assert(t, !state().Draining, "it has started anew")
	b.Apply(start, registry.Update{Since: 3, Revision: 4, Entries: []registry.Entry{anEntry("a", 99)}})
	assert.Equal(t, state().Server.StartedMs, int64(2000), "a word of its earlier start")
	b.Apply(start, registry.Update{Since: 4, Revision: 5, Removed: []site.ServerName{"a"}})
	b.Apply(start, registry.Update{Since: 5, Revision: 6, Entries: []registry.Entry{reborn}})
	assert.Equal(t, b.State().Len(), 0, "a writer brings back what has ended")
}

// TestServersThatLapsedInAnOutage loses all entries while the platform is away.
// Those that register again soon after were never out of use.
func TestServersThatLapsedInAnOutage(t *testing.T) {
	b := registry.NewReplica()
	b.Apply(start, whole(1, anEntry("a", 1), anEntry("b", 1), anEntry("c", 1)))
	b.Apply(at(20*time.Second), whole(9, anEntry("c", 8)))
	assert.DeepEqual(t, names(b), []string{"a", "b", "c"})
	b.Apply(at(21*time.Second), registry.Update{Since: 9, Revision: 10, Entries: []registry.Entry{anEntry("a", 9)}})
	b.Expire(at(22 * time.Second))
	assert.DeepEqual(t, names(b), []string{"a", "b", "c"})
	b.Expire(at(22300 * time.Millisecond))
	assert.DeepEqual(t, names(b), []string{"a", "c"})
	b.Apply(at(23*time.Second), registry.Update{Since: 10, Revision: 11, Removed: []site.ServerName{"c"}})
	assert.DeepEqual(t, names(b), []string{"a"}) // Without an outage what has gone is gone at once.
}

// TestBooksLevelEachOther hands changes from one book to another, and the whole
// list where they no longer reach back.
func TestBooksLevelEachOther(t *testing.T) {
	from, to := registry.NewReplica(), registry.NewReplica()
	from.Apply(start, whole(1, anEntry("a", 1), anEntry("b", 1)))
	level := func(now time.Time) {
		assert.Assert(t, to.Apply(now, from.Since(now, to.State().Revision)))
		assert.DeepEqual(t, names(to), names(from))
		assert.Equal(t, to.State().Revision, from.State().Revision)
	}
	level(start)
	from.Apply(at(time.Second), registry.Update{Since: 1, Revision: 5, Removed: []site.ServerName{"a"}, Entries: []registry.Entry{anEntry("d", 1)}})
	u := from.Since(at(time.Second), 1)
	assert.Assert(t, !u.Full && len(u.Entries) == 1 && len(u.Removed) == 1, "%+v", u)
	level(at(time.Second))
	from.Apply(at(2*time.Second), registry.Update{Since: 5, Revision: 7, Removed: []site.ServerName{"b"}})
	from.Expire(at(2 * time.Minute))
	assert.Assert(t, from.Since(at(2*time.Minute), 5).Full)
	to.Apply(at(2*time.Minute), registry.Update{Since: 5, Revision: 6})
	level(at(2 * time.Minute))
}

func TestHeartbeatsAreNoNews(t *testing.T) {
	b := registry.NewReplica()
	b.Apply(start, whole(1, anEntry("a", 1)))
	was := b.State().Generation
	b.TakeChanges()
	for i := range 20 {
		rev := registry.Revision(i + 1)
		b.Apply(start, registry.Update{Since: rev, Revision: rev + 1, Entries: []registry.Entry{anEntry("a", int64(i+2))}})
	}
	assert.Equal(t, b.State().Generation, was)
	assert.Equal(t, len(b.TakeChanges()), 0)
	assert.Equal(t, b.State().Revision, registry.Revision(21))
}

func TestColdServersWarmByTheReadersClock(t *testing.T) {
	cold := anEntry("a", 1)
	cold.ColdFor = 3 * time.Second
	b, other := registry.NewReplica(), registry.NewReplica()
	b.Apply(start, whole(1, cold))
	other.Apply(at(2*time.Second), b.Since(at(2*time.Second), 0))
	l, _ := other.State().Server("a")
	assert.Equal(t, l.ColdUntil, at(3*time.Second))
}

// TestOtherBooksHearWhoIsBack lets all servers lapse in an outage and one book
// tell another of it, then of the server that registered again.
func TestOtherBooksHearWhoIsBack(t *testing.T) {
	from, to := registry.NewReplica(), registry.NewReplica()
	for _, b := range []*registry.Replica{from, to} {
		b.Apply(start, whole(1, anEntry("a", 1), anEntry("b", 1)))
	}
	tell := func(now time.Time) { assert.Assert(t, to.Apply(now, from.Since(now, to.State().Revision))) }
	from.Apply(at(10*time.Second), whole(5))
	tell(at(10 * time.Second))
	from.Apply(at(11*time.Second), registry.Update{Since: 5, Revision: 6, Entries: []registry.Entry{anEntry("a", 9)}})
	tell(at(11 * time.Second))
	from.Expire(at(13 * time.Second))
	to.Expire(at(13 * time.Second))
	assert.DeepEqual(t, names(from), []string{"a"})
	assert.DeepEqual(t, names(to), []string{"a"})
}

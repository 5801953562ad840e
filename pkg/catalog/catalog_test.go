package catalog_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func aChange(t *testing.T, command string, o site.Object) catalog.Change {
	t.Helper()
	raw, err := site.EncodeJSON(o)
	assert.NilError(t, err)
	return catalog.Change{Command: catalog.CommandID(command), Operator: "ann", Put: raw}
}

func anAccount(name string, rate float64) *site.Account {
	return &site.Account{Name: site.AccountName(name), Rate: rate, Burst: 1, InFlight: 1}
}

// desk is one operator's VM.
type desk struct {
	log     *catalog.Log
	replica *catalog.Replica
}

func newDesk(s store.Store) *desk { return &desk{catalog.NewLog(s, "north"), catalog.NewReplica()} }

func (d *desk) write(t *testing.T, base catalog.Version, c catalog.Change) catalog.Verdict {
	t.Helper()
	return d.log.Write(context.Background(), start, d.replica, base, c)
}

func assertAccepted(t *testing.T, v catalog.Verdict, want catalog.Version) {
	t.Helper()
	a, ok := v.(catalog.Accepted)
	assert.Assert(t, ok, "%+v", v)
	assert.Equal(t, a.Version, want)
}

func TestRaceForOneObject(t *testing.T) {
	m := store.NewMemory()
	a, b := newDesk(m), newDesk(m)
	assertAccepted(t, a.write(t, 0, aChange(t, "c1", anAccount("x", 1))), 1)
	v := b.write(t, 0, aChange(t, "c2", anAccount("x", 2)))
	r, ok := v.(catalog.Rejected)
	assert.Assert(t, ok, "%+v", v)
	assert.Equal(t, r.Beaten.Command, catalog.CommandID("c1"))
	assertAccepted(t, b.write(t, 1, aChange(t, "c3", anAccount("x", 3))), 2)
}

func TestRaceForTwoObjectsBothWin(t *testing.T) {
	m := store.NewMemory()
	a, b := newDesk(m), newDesk(m)
	assertAccepted(t, a.write(t, 0, aChange(t, "c1", anAccount("x", 1))), 1)
	assertAccepted(t, b.write(t, 0, aChange(t, "c2", anAccount("y", 2))), 2)
}

// TestLostAnswers checks each bad answer of the store at an operator's write,
// and that repeating the command settles it.
func TestLostAnswers(t *testing.T) {
	cases := []struct {
		name   string
		write  store.Fault
		read   store.Fault // Of the read that settles the write.
		first  string
		second catalog.Version
	}{
		{"away", store.FaultUnavailable, store.FaultNone, "rejected", 1},
		{"answer lost", store.FaultLostResponse, store.FaultNone, "accepted", 1},
		{"call lost", store.FaultLostRequest, store.FaultNone, "unsure", 1},
		{"answer lost, then away", store.FaultLostResponse, store.FaultUnavailable, "unsure", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := store.NewMemory()
			d := newDesk(m)
			wrote := false
			m.SetFaults(func(op store.Op) store.Fault {
				if op.Write {
					wrote = true
					return c.write
				}
				if wrote {
					return c.read
				}
				return store.FaultNone
			})
			ch := aChange(t, "c1", anAccount("x", 1))
			var got string
			switch d.write(t, 0, ch).(type) {
			case catalog.Accepted:
				got = "accepted"
			case catalog.Rejected:
				got = "rejected"
			case catalog.Unsure:
				got = "unsure"
			}
			assert.Equal(t, got, c.first)
			m.SetFaults(func(store.Op) store.Fault { return store.FaultNone })
			assertAccepted(t, d.write(t, 0, ch), c.second)
			assertAccepted(t, newDesk(m).write(t, 0, ch), c.second)
		})
	}
}

func TestReplicaNeverGoesBack(t *testing.T) {
	m := store.NewMemory()
	d := newDesk(m)
	for i := range 5 {
		assertAccepted(t, d.write(t, catalog.Version(i), aChange(t, fmt.Sprint(i), anAccount("x", float64(i+1)))), catalog.Version(i+1))
	}
	changes, err := d.log.Poll(context.Background(), 0)
	assert.NilError(t, err)
	rapid.Check(t, func(rt *rapid.T) {
		r := catalog.NewReplica()
		last := catalog.Version(0)
		for range rapid.IntRange(1, 20).Draw(rt, "deliveries") {
			from := rapid.IntRange(0, len(changes)-1).Draw(rt, "from")
			to := rapid.IntRange(from, len(changes)).Draw(rt, "to")
			_, _ = r.Apply(start, changes[from:to]) // Gaps are refused; that is the point.
			st := r.State()
			if st.Version < last {
				rt.Fatalf("went back from %d to %d", last, st.Version)
			}
			if a := st.Directory.Account("x"); a != nil && a.Rate != float64(st.Version) {
				rt.Fatalf("version %d has rate %v", st.Version, a.Rate)
			}
			last = st.Version
		}
	})
}

func TestSnapshotReplacesALongLog(t *testing.T) {
	m := store.NewMemory()
	d := newDesk(m)
	const n = 300
	for i := range n {
		v := catalog.Version(i)
		assertAccepted(t, d.write(t, v, aChange(t, fmt.Sprint(i), anAccount(fmt.Sprintf("a-%d", i), 1))), v+1)
	}
	before := m.Counts().Reads
	late := newDesk(m)
	assert.NilError(t, late.log.Boot(context.Background(), start, late.replica))
	assert.Equal(t, late.replica.State().Version, catalog.Version(n))
	assert.Assert(t, m.Counts().Reads-before < 5)
	assert.Equal(t, late.replica.State().Directory.Accounts(), n)
	_, ok := late.replica.Since(0)
	assert.Assert(t, !ok)
}

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

// operatorVM is a VM to which an operator sends changes.
type operatorVM struct {
	log     *catalog.Log
	replica *catalog.Replica
}

func newOperatorVM(s store.Store) *operatorVM {
	return &operatorVM{catalog.NewLog(s, "north"), catalog.NewReplica()}
}

func (vm *operatorVM) write(t *testing.T, base catalog.Version, c catalog.Change) catalog.WriteResult {
	t.Helper()
	return vm.log.Write(context.Background(), start, vm.replica, base, c)
}

func assertAccepted(t *testing.T, result catalog.WriteResult, want catalog.Version) {
	t.Helper()
	a, ok := result.(catalog.Accepted)
	assert.Assert(t, ok, "%+v", result)
	assert.Equal(t, a.Version, want)
}

func TestConflictingChanges(t *testing.T) {
	m := store.NewMemory()
	a, b := newOperatorVM(m), newOperatorVM(m)
	assertAccepted(t, a.write(t, 0, aChange(t, "c1", anAccount("x", 1))), 1)
	result := b.write(t, 0, aChange(t, "c2", anAccount("x", 2)))
	r, ok := result.(catalog.Rejected)
	assert.Assert(t, ok, "%+v", result)
	assert.Equal(t, r.Conflict.Command, catalog.CommandID("c1"))
	assertAccepted(t, b.write(t, 1, aChange(t, "c3", anAccount("x", 3))), 2)
}

func TestConcurrentChangesToDifferentObjects(t *testing.T) {
	m := store.NewMemory()
	a, b := newOperatorVM(m), newOperatorVM(m)
	assertAccepted(t, a.write(t, 0, aChange(t, "c1", anAccount("x", 1))), 1)
	assertAccepted(t, b.write(t, 0, aChange(t, "c2", anAccount("y", 2))), 2)
}

// TestWriteResultUnderStoreFaults checks the result of a write for each way in
// which the store can fail, and that repeating the command applies the change
// exactly once.
func TestWriteResultUnderStoreFaults(t *testing.T) {
	cases := []struct {
		name   string
		write  store.Fault
		read   store.Fault // In the read that determines the outcome of the write.
		first  string
		second catalog.Version
	}{
		{"store unavailable", store.FaultUnavailable, store.FaultNone, "rejected", 1},
		{"response lost", store.FaultLostResponse, store.FaultNone, "accepted", 1},
		{"request lost", store.FaultLostRequest, store.FaultNone, "unsure", 1},
		{"response lost, then store unavailable", store.FaultLostResponse, store.FaultUnavailable, "unsure", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := store.NewMemory()
			vm := newOperatorVM(m)
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
			switch vm.write(t, 0, ch).(type) {
			case catalog.Accepted:
				got = "accepted"
			case catalog.Rejected:
				got = "rejected"
			case catalog.Indeterminate:
				got = "unsure"
			}
			assert.Equal(t, got, c.first)
			m.SetFaults(func(store.Op) store.Fault { return store.FaultNone })
			assertAccepted(t, vm.write(t, 0, ch), c.second)
			assertAccepted(t, newOperatorVM(m).write(t, 0, ch), c.second)
		})
	}
}

func TestReplicaNeverGoesBack(t *testing.T) {
	m := store.NewMemory()
	vm := newOperatorVM(m)
	for i := range 5 {
		assertAccepted(t, vm.write(t, catalog.Version(i), aChange(t, fmt.Sprint(i), anAccount("x", float64(i+1)))), catalog.Version(i+1))
	}
	changes, err := vm.log.Poll(context.Background(), 0)
	assert.NilError(t, err)
	rapid.Check(t, func(rt *rapid.T) {
		r := catalog.NewReplica()
		last := catalog.Version(0)
		for range rapid.IntRange(1, 20).Draw(rt, "deliveries") {
			from := rapid.IntRange(0, len(changes)-1).Draw(rt, "from")
			to := rapid.IntRange(from, len(changes)).Draw(rt, "to")
			_, _ = r.Apply(start, changes[from:to]) // Apply returns an error at a gap.
			st := r.State()
			if st.Version < last {
				rt.Fatalf("replica went back from version %d to version %d", last, st.Version)
			}
			if a := st.Directory.Account("x"); a != nil && a.Rate != float64(st.Version) {
				rt.Fatalf("account in version %d has rate %v", st.Version, a.Rate)
			}
			last = st.Version
		}
	})
}

func TestBootstrapFromSnapshot(t *testing.T) {
	m := store.NewMemory()
	vm := newOperatorVM(m)
	const n = 300
	for i := range n {
		v := catalog.Version(i)
		assertAccepted(t, vm.write(t, v, aChange(t, fmt.Sprint(i), anAccount(fmt.Sprintf("a-%d", i), 1))), v+1)
	}
	before := m.Counts().Reads
	newVM := newOperatorVM(m)
	assert.NilError(t, newVM.log.Bootstrap(context.Background(), start, newVM.replica))
	assert.Equal(t, newVM.replica.State().Version, catalog.Version(n))
	assert.Assert(t, m.Counts().Reads-before < 5)
	assert.Equal(t, newVM.replica.State().Directory.Accounts(), n)
	_, ok := newVM.replica.ChangesSince(0)
	assert.Assert(t, !ok)
}

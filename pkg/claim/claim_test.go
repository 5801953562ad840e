package claim_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumpick.org/pkg/claim"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/store"
)

var (
	start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	id    = claim.ID{Site: "north", Service: "votes", Account: "ann", Key: "k/1"}
)

func request(attempt string, base store.Revision) claim.Request {
	return claim.Request{ID: id, Attempt: claim.AttemptID(attempt), Digest: "d", BaseRevision: base, SendDeadline: start.Add(time.Second)}
}

func newLedger(m *store.Memory, vm string) *claim.Ledger {
	return claim.NewLedger(m, claim.Holder{VM: vm, Address: vm + ":81"})
}

// TestWriteResults checks the result of each kind of write under each fault of the
// store. A lost response must not be reported as a write or as a conflict unless the
// row that is read back proves it.
func TestWriteResults(t *testing.T) {
	ctx := context.Background()
	writes := map[string]func(l *claim.Ledger, rev store.Revision) claim.WriteResult{
		"claim": func(l *claim.Ledger, rev store.Revision) claim.WriteResult {
			return l.Claim(ctx, start, request("a", rev))
		},
		"fence": func(l *claim.Ledger, rev store.Revision) claim.WriteResult {
			return l.Fence(ctx, start, request("a", rev))
		},
		"release": func(l *claim.Ledger, rev store.Revision) claim.WriteResult {
			return l.Release(ctx, start, request("a", 0), rev)
		},
		"end": func(l *claim.Ledger, rev store.Revision) claim.WriteResult {
			return l.RecordOutcome(ctx, start, request("a", 0), rev, claim.StoredOutcome{Outcome: outcome.Answered, Status: 200})
		},
	}
	cases := []struct {
		name        string
		write, read store.Fault
		conflict    bool // Another VM wrote first.
		want        string
	}{
		{"no fault", store.FaultNone, store.FaultNone, false, "claim.Written"},
		{"conflict", store.FaultNone, store.FaultNone, true, "claim.Conflict"},
		{"unavailable", store.FaultUnavailable, store.FaultNone, false, "claim.NotWritten"},
		{"response lost, read back", store.FaultLostResponse, store.FaultNone, false, "claim.Written"},
		{"response lost, conflict", store.FaultLostResponse, store.FaultNone, true, "claim.Conflict"},
		{"response lost, then unavailable", store.FaultLostResponse, store.FaultUnavailable, false, "claim.Indeterminate"},
		{"request lost", store.FaultLostRequest, store.FaultNone, false, "claim.Indeterminate"},
	}
	for name, write := range writes {
		for _, c := range cases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				m := store.NewMemory()
				l := newLedger(m, "vm-1")
				if c.conflict {
					written, ok := newLedger(m, "vm-2").Claim(ctx, start, request("b", 0)).(claim.Written)
					assert.Assert(t, ok && written.Revision == 1)
				}
				m.SetFaults(func(op store.Op) store.Fault {
					if op.Write {
						return c.write
					}
					return c.read
				})
				assert.Equal(t, fmt.Sprintf("%T", write(l, 0)), c.want)
			})
		}
	}
}

// TestLargeBodiesAreOmitted checks that an outcome is marked as stored without its
// body if, and only if, the body exceeds MaxStoredBody.
func TestLargeBodiesAreOmitted(t *testing.T) {
	m := store.NewMemory()
	l := newLedger(m, "vm-1")
	ctx := context.Background()
	for _, size := range []int{0, claim.MaxStoredBody, claim.MaxStoredBody + 1} {
		k := claim.ID{Service: "votes", Key: fmt.Sprint(size)}
		req := claim.Request{ID: k, Attempt: "a"}
		l.Claim(ctx, start, req)
		l.RecordOutcome(ctx, start, req, 1, claim.StoredOutcome{Outcome: outcome.Answered, Status: 200, Body: make([]byte, size)})
		s, err := l.Read(ctx, k)
		assert.NilError(t, err)
		stored := s.(claim.Ended).Stored
		assert.Equal(t, stored.BodyOmitted, size > claim.MaxStoredBody)
	}
}

// TestKeysOfAccountsAreDistinct uses two accounts and keys whose concatenations are
// equal. Without a separator in the hash they would share a row.
func TestKeysOfAccountsAreDistinct(t *testing.T) {
	m := store.NewMemory()
	l := newLedger(m, "vm-1")
	a, b := id, id
	a.Account, a.Key = "ann", "bk"
	b.Account, b.Key = "annb", "k"
	l.Claim(context.Background(), start, claim.Request{ID: a})
	s, err := l.Read(context.Background(), b)
	assert.NilError(t, err)
	assert.Equal(t, s, claim.State(claim.Free{}))
}

// attempt is one attempt that follows the protocol of package claim: read the row,
// claim the key at its revision, run the request and record the outcome; or fence
// the key and report "not run".
type attempt struct {
	name       string
	base       store.Revision
	rev        store.Revision
	next       int // Number of the next step; 9 if the attempt has ended.
	written    bool
	reported   string
	runAt      int // Tick at which the attempt ran the request, or -1.
	reportedAt int // Tick at which "not run" was reported, or -1.
	began      int // Tick at which the attempt read the row, or -1.
}

// TestInterleavings runs the steps of several attempts with the same key in random
// order, with random store faults. The request must run at most once, and "not run"
// must be true: no attempt ran before it was reported, and no attempt that had
// begun by then runs later.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := store.NewMemory()
		l := newLedger(m, "vm")
		ctx := context.Background()
		var all []*attempt
		for i := range rapid.IntRange(1, 4).Draw(rt, "attempts") {
			all = append(all, &attempt{name: fmt.Sprint(i), runAt: -1, reportedAt: -1, began: -1})
		}
		for tick := range rapid.IntRange(1, 25).Draw(rt, "ticks") {
			a := all[rapid.IntRange(0, len(all)-1).Draw(rt, "attempt")]
			write := store.Fault(rapid.IntRange(0, 3).Draw(rt, "write fault"))
			readUnavailable := rapid.Bool().Draw(rt, "read unavailable")
			m.SetFaults(func(op store.Op) store.Fault {
				if op.Write {
					return write
				}
				if readUnavailable {
					return store.FaultUnavailable
				}
				return store.FaultNone
			})
			a.step(ctx, l, tick, rapid.Bool().Draw(rt, "gives up"))
		}
		checkAttempts(rt, all)
	})
}

// step runs the attempt's next step. An attempt that gives up before sending
// fences the key, or releases its claim, before it reports "not run".
func (a *attempt) step(ctx context.Context, l *claim.Ledger, tick int, givesUp bool) {
	switch a.next {
	case 0:
		s, err := l.Read(ctx, id)
		free, ok := s.(claim.Free)
		if err != nil || !ok {
			return
		}
		a.base, a.began, a.next = free.Revision, tick, 1
	case 1:
		if givesUp {
			a.recordNotRun(l.Fence(ctx, start, request(a.name, a.base)), tick)
			return
		}
		written, ok := l.Claim(ctx, start, request(a.name, a.base)).(claim.Written)
		a.written, a.rev, a.next = ok, written.Revision, 2
		if !ok {
			a.next = 9
		}
	case 2:
		if givesUp {
			a.recordNotRun(l.Release(ctx, start, request(a.name, a.base), a.rev), tick)
			return
		}
		a.runAt, a.next = tick, 3
	case 3:
		l.RecordOutcome(ctx, start, request(a.name, a.base), a.rev, claim.StoredOutcome{Outcome: outcome.Answered})
		a.next = 9
	}
}

func (a *attempt) recordNotRun(result claim.WriteResult, tick int) {
	a.next = 9
	if _, written := result.(claim.Written); written {
		a.reported, a.reportedAt = "not run", tick
	}
}

func checkAttempts(rt *rapid.T, all []*attempt) {
	runs := 0
	for _, a := range all {
		if a.runAt >= 0 {
			runs++
		}
		for _, b := range all {
			if a.reportedAt < 0 || b.runAt < 0 {
				continue
			}
			if b.runAt < a.reportedAt || b.began < a.reportedAt {
				rt.Fatalf("attempt %s was reported as not run at tick %d, but attempt %s began at tick %d and ran at tick %d",
					a.name, a.reportedAt, b.name, b.began, b.runAt)
			}
		}
	}
	if runs > 1 {
		rt.Fatalf("the request ran %d times, want at most once", runs)
	}
}

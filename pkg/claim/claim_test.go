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

func bid(attempt string, base store.Revision) claim.Request {
	return claim.Request{ID: id, Attempt: claim.AttemptID(attempt), Digest: "d", BaseRevision: base, SendDeadline: start.Add(time.Second)}
}

func withLedger(m *store.Memory, vm string) *claim.Ledger {
	return claim.NewLedger(m, claim.Holder{VM: vm, Address: vm + ":81"})
}

// TestEachBadAnswer checks what each bad answer of the store at each write may
// be taken for.
func TestEachBadAnswer(t *testing.T) {
	ctx := context.Background()
	writes := map[string]func(l *claim.Ledger, rev store.Revision) claim.WriteResult{
		"claim": func(l *claim.Ledger, rev store.Revision) claim.WriteResult { return l.Claim(ctx, start, bid("a", rev)) },
		"forbid": func(l *claim.Ledger, rev store.Revision) claim.WriteResult {
			return l.Fence(ctx, start, bid("a", rev))
		},
		"release": func(l *claim.Ledger, rev store.Revision) claim.WriteResult {
			return l.Release(ctx, start, bid("a", 0), rev)
		},
		"end": func(l *claim.Ledger, rev store.Revision) claim.WriteResult {
			return l.RecordOutcome(ctx, start, bid("a", 0), rev, claim.StoredOutcome{Outcome: outcome.Answered, Status: 200})
		},
	}
	cases := []struct {
		name        string
		write, read store.Fault
		moved       bool // Another VM wrote first.
		want        string
	}{
		{"good", store.FaultNone, store.FaultNone, false, "claim.Won"},
		{"moved", store.FaultNone, store.FaultNone, true, "claim.Beaten"},
		{"away", store.FaultAway, store.FaultNone, false, "claim.Away"},
		{"answer lost, read back", store.FaultLostAnswer, store.FaultNone, false, "claim.Won"},
		{"answer lost, moved", store.FaultLostAnswer, store.FaultNone, true, "claim.Beaten"},
		{"answer lost, then away", store.FaultLostAnswer, store.FaultAway, false, "claim.Unsure"},
		{"call lost", store.FaultLostCall, store.FaultNone, false, "claim.Unsure"},
	}
	for name, write := range writes {
		for _, c := range cases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				m := store.NewMemory()
				l := withLedger(m, "vm-1")
				if c.moved {
					won, ok := withLedger(m, "vm-2").Claim(ctx, start, bid("b", 0)).(claim.Written)
					assert.Assert(t, ok && won.Revision == 1)
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

func TestLargeBodiesAreNotKept(t *testing.T) {
	m := store.NewMemory()
	l := withLedger(m, "vm-1")
	ctx := context.Background()
	for _, size := range []int{0, claim.MaxStoredBody, claim.MaxStoredBody + 1} {
		k := claim.ID{Service: "votes", Key: fmt.Sprint(size)}
		b := claim.Request{ID: k, Attempt: "a"}
		l.Claim(ctx, start, b)
		l.RecordOutcome(ctx, start, b, 1, claim.StoredOutcome{Outcome: outcome.Answered, Status: 200, Body: make([]byte, size)})
		s, err := l.Read(ctx, k)
		assert.NilError(t, err)
		kept := s.(claim.Ended).Stored
		assert.Equal(t, kept.BodyOmitted, size > claim.MaxStoredBody)
	}
}

func TestKeysOfAccountsAreApart(t *testing.T) {
	m := store.NewMemory()
	l := withLedger(m, "vm-1")
	a, b := id, id
	a.Account, a.Key = "ann", "bk"
	b.Account, b.Key = "annb", "k"
	l.Claim(context.Background(), start, claim.Request{ID: a})
	s, err := l.Read(context.Background(), b)
	assert.NilError(t, err)
	assert.Equal(t, s, claim.State(claim.Free{}))
}

// attempt is one caller's attempt as the fleet's protocol runs it: look, then
// claim at what was seen, send, end; or forbid, and tell "not run".
type attempt struct {
	name   string
	base   store.Revision
	rev    store.Revision
	at     int // The next step.
	won    bool
	told   string
	runAt  int // The tick of its run, if any.
	toldAt int
	began  int
}

// TestInterleavings draws orders of the steps of several attempts with one key
// and faults of the store. The key must run at most once, and "not run" must
// be true: no run before it was told, and none later by an attempt that had
// begun by then.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := store.NewMemory()
		l := withLedger(m, "vm")
		ctx := context.Background()
		var all []*attempt
		for i := range rapid.IntRange(1, 4).Draw(rt, "attempts") {
			all = append(all, &attempt{name: fmt.Sprint(i), runAt: -1, toldAt: -1, began: -1})
		}
		for tick := range rapid.IntRange(1, 25).Draw(rt, "ticks") {
			a := all[rapid.IntRange(0, len(all)-1).Draw(rt, "attempt")]
			write := store.Fault(rapid.IntRange(0, 3).Draw(rt, "write fault"))
			readAway := rapid.Bool().Draw(rt, "read away")
			m.SetFaults(func(op store.Op) store.Fault {
				if op.Write {
					return write
				}
				if readAway {
					return store.FaultAway
				}
				return store.FaultNone
			})
			a.step(ctx, l, tick, rapid.Bool().Draw(rt, "gives up"))
		}
		checkAttempts(rt, all)
	})
}

// step does the attempt's next step. An attempt that gives up before sending
// forbids the key, or releases its claim, before it tells "not run".
func (a *attempt) step(ctx context.Context, l *claim.Ledger, tick int, givesUp bool) {
	switch a.at {
	case 0:
		s, err := l.Read(ctx, id)
		free, ok := s.(claim.Free)
		if err != nil || !ok {
			return
		}
		a.base, a.began, a.at = free.Revision, tick, 1
	case 1:
		if givesUp {
			a.tell(l.Fence(ctx, start, bid(a.name, a.base)), tick)
			return
		}
		won, ok := l.Claim(ctx, start, bid(a.name, a.base)).(claim.Written)
		a.won, a.rev, a.at = ok, won.Revision, 2
		if !ok {
			a.at = 9
		}
	case 2:
		if givesUp {
			a.tell(l.Release(ctx, start, bid(a.name, a.base), a.rev), tick)
			return
		}
		a.runAt, a.at = tick, 3
	case 3:
		l.RecordOutcome(ctx, start, bid(a.name, a.base), a.rev, claim.StoredOutcome{Outcome: outcome.Answered})
		a.at = 9
	}
}

func (a *attempt) tell(ans claim.WriteResult, tick int) {
	a.at = 9
	if _, won := ans.(claim.Written); won {
		a.told, a.toldAt = "not run", tick
	}
}

func checkAttempts(rt *rapid.T, all []*attempt) {
	runs := 0
	for _, a := range all {
		if a.runAt >= 0 {
			runs++
		}
		for _, b := range all {
			if a.toldAt < 0 || b.runAt < 0 {
				continue
			}
			if b.runAt < a.toldAt || b.began < a.toldAt {
				rt.Fatalf("attempt %s was told not run at %d, attempt %s began at %d and ran at %d",
					a.name, a.toldAt, b.name, b.began, b.runAt)
			}
		}
	}
	if runs > 1 {
		rt.Fatalf("ran %d times", runs)
	}
}

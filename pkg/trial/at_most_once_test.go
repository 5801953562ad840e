package trial_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/store"
	"laburnumpick.org/pkg/trial"
)

var bg = context.Background()

func smallFleet() trial.Options { return trial.Options{VMs: 8, Seed: 1, Downtime: 3 * time.Second} }

func newVote(mark string) trial.Call {
	return trial.Call{
		Service: "ballotline", Method: "POST", Path: "/votes", Key: "key-" + mark, Account: "director",
		Mark: mark, Body: "vote " + mark, Size: 200,
	}
}

func newRead(mark string) trial.Call {
	return trial.Call{Service: "packshelf", Method: "GET", Path: "/packs", Account: "director", Mark: mark, Size: 200}
}

func assertOutcome(t *testing.T, r trial.Reply, want outcome.Outcome, kind outcome.Kind) {
	t.Helper()
	assert.NilError(t, r.Err)
	assert.Equal(t, r.Outcome, want, "%s %s", r.Kind, r.Body)
	assert.Equal(t, r.Kind, kind, "%s", r.Body)
}

func TestRetryGetsStoredResponse(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		c := newVote("a")
		first := f.Call(bg, f.VMs[0], c)
		assert.Assert(t, first.Matches(c), "%s", first.Body)
		for _, vm := range f.VMs {
			r := f.Call(bg, vm, c)
			assertOutcome(t, r, outcome.Answered, "")
			assert.Assert(t, r.Replayed && r.Matches(c))
		}
		assert.Equal(t, f.RunCounts()["a"], 1)
	})
}

func TestConcurrentRetriesRunOnce(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		for round := range 10 {
			c := newVote(fmt.Sprint(round))
			replies := make([]trial.Reply, len(f.VMs))
			var wg sync.WaitGroup
			for i, vm := range f.VMs {
				wg.Go(func() { replies[i] = f.Call(bg, vm, c) })
			}
			wg.Wait()
			for _, r := range replies {
				assertOutcome(t, r, outcome.Answered, "")
				assert.Assert(t, r.Matches(c))
			}
			assert.Equal(t, f.RunCounts()[c.Mark], 1)
		}
	})
}

func TestIdempotencyKeyReused(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		c := newVote("a")
		f.Call(bg, f.VMs[0], c)
		c.Body = "another vote"
		assertOutcome(t, f.Call(bg, f.VMs[1], c), outcome.NotRun, outcome.KeyReused)
	})
}

func TestIdempotencyKeyRequired(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		c := newVote("a")
		c.Key = ""
		assertOutcome(t, f.Call(bg, f.VMs[0], c), outcome.NotRun, outcome.KeyMissing)
		assert.Equal(t, f.RunCounts()["a"], 0)
	})
}

func TestLargeResponseIsNotStored(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		c := newVote("a")
		c.Size = 20_000
		assert.Assert(t, f.Call(bg, f.VMs[0], c).Matches(c))
		time.Sleep(time.Second)
		assertOutcome(t, f.Call(bg, f.VMs[1], c), outcome.Answered, outcome.ResponseNotStored)
	})
}

// TestAtMostOnceUnderStoreFaults injects faults of the store into an at-most-once
// request: into all calls, or into one of its two writes, which are the claim of its key
// and the record of its outcome. TestClaimWriteLost covers a claim whose write is lost.
func TestAtMostOnceUnderStoreFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault store.Fault
		at    int // Number of the write to the key that fails; 0 for all calls.
		first bool
		want  outcome.Outcome
		kind  outcome.Kind
		runs  int
		later outcome.Outcome // Outcome of a retry after the store has recovered.
		total int             // Runs after the retry.
	}{
		{"store unavailable", store.FaultUnavailable, 0, false, outcome.Unknown, outcome.EarlierAttemptUnknown, 0, outcome.Answered, 1},
		{"store unavailable, first attempt", store.FaultUnavailable, 0, true, outcome.NotRun, outcome.StoreUnavailable, 0, outcome.Answered, 1},
		{"store unavailable for claim", store.FaultUnavailable, 1, false, outcome.NotRun, outcome.StoreUnavailable, 0, outcome.Answered, 1},
		{"response to claim lost", store.FaultLostResponse, 1, false, outcome.Answered, "", 1, outcome.Answered, 1},
		{"store unavailable for outcome", store.FaultUnavailable, 2, false, outcome.Answered, "", 1, outcome.Answered, 1},
		{"response to outcome lost", store.FaultLostResponse, 2, false, outcome.Answered, "", 1, outcome.Answered, 1},
		{"write of outcome lost", store.FaultLostRequest, 2, false, outcome.Answered, "", 1, outcome.Answered, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
				writes := 0
				f.Store.SetFaults(func(op store.Op) store.Fault {
					if c.at == 0 {
						return c.fault
					}
					if !op.Write || !strings.Contains(string(op.Key), "/once/") {
						return store.FaultNone
					}
					if writes++; writes == c.at {
						return c.fault
					}
					return store.FaultNone
				})
				call := newVote("a")
				call.FirstAttempt = c.first
				r := f.Call(bg, f.VMs[0], call)
				assertOutcome(t, r, c.want, c.kind)
				assert.Assert(t, r.Duration < time.Second, "%v", r.Duration)
				assert.Equal(t, f.RunCounts()["a"], c.runs)
				if c.want != outcome.Answered {
					assert.Assert(t, r.RetryAfterMs != "")
				}
				f.Store.SetFaults(func(store.Op) store.Fault { return store.FaultNone })
				time.Sleep(5 * time.Second)
				call.FirstAttempt = false
				assertOutcome(t, f.Call(bg, f.VMs[3], call), c.later, "")
				assert.Equal(t, f.RunCounts()["a"], c.total)
			})
		})
	}
}

// TestClaimWriteLost loses the write of a claim. Either the fleet abandons the claim
// and reports that the request has not run, or it finds the key free and runs the
// request.
func TestClaimWriteLost(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		for i := range 10 {
			lost := false
			f.Store.SetFaults(func(op store.Op) store.Fault {
				if op.Write && !lost && strings.Contains(string(op.Key), "/once/") {
					lost = true
					return store.FaultLostRequest
				}
				return store.FaultNone
			})
			c := newVote(fmt.Sprint(i))
			r := f.Call(bg, f.VMs[i%len(f.VMs)], c)
			want := map[outcome.Outcome]int{outcome.NotRun: 0, outcome.Answered: 1}
			runs, known := want[r.Outcome]
			assert.Assert(t, known, "%s", r.Body)
			time.Sleep(5 * time.Second)
			assert.Equal(t, f.RunCounts()[c.Mark], runs)
		}
	})
}

// TestHolderPausedBetweenClaimAndSend pauses the holder of a claim right after the
// claim is written, until long after the deadline. It must not send the request when
// it resumes.
func TestHolderPausedBetweenClaimAndSend(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		paused := false
		f.PauseAfterWrite = func(_ string, k store.Key) time.Duration {
			if paused || !strings.Contains(string(k), "/once/") {
				return 0
			}
			paused = true
			return 20 * time.Second
		}
		c := newVote("a")
		r := f.Call(bg, f.VMs[0], c)
		assert.Assert(t, r.Outcome != outcome.Answered, "%s", r.Body)
		assert.Assert(t, paused)
		for range 10 {
			time.Sleep(5 * time.Second)
			assert.Equal(t, f.RunCounts()["a"], 0, "the holder sent the request after its deadline")
		}
		assertOutcome(t, f.Call(bg, f.VMs[5], c), outcome.Answered, "")
		assert.Equal(t, f.RunCounts()["a"], 1)
	})
}

// homeOf returns the home of a service's pool, which is the VM that grants the slots of
// the service's servers, in the view of a VM.
func homeOf(t *testing.T, f *trial.Fleet, vm *trial.VM, service site.ServiceName) *trial.VM {
	t.Helper()
	name := vm.Daemon.View().Homes(string(service), 0)[0].Name
	for _, v := range f.VMs {
		if v.Name == string(name) {
			return v
		}
	}
	t.Fatalf("home %s is not a VM of the fleet", name)
	return nil
}

// otherVM returns a VM other than vm.
func otherVM(f *trial.Fleet, vm *trial.VM) *trial.VM {
	for _, v := range f.VMs {
		if v != vm {
			return v
		}
	}
	return nil
}

// TestHomeKilledDuringAtMostOnceRequest kills the home at different times of an
// at-most-once request. The entry VM must still report the true outcome.
func TestHomeKilledDuringAtMostOnceRequest(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration // Time from the call to the kill.
		want  outcome.Outcome
		runs  int
	}{
		{"before the request", -time.Millisecond, outcome.Answered, 1},
		// The entry VM sends the request itself, so nothing is lost with the home.
		{"while the server runs it", 14 * time.Millisecond, outcome.Answered, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
				home := homeOf(t, f, f.VMs[0], "ballotline")
				entry := otherVM(f, home)
				call := newVote("a")
				if c.after < 0 {
					f.Kill(home)
				} else {
					time.AfterFunc(c.after, func() { f.Kill(home) })
				}
				r := f.Call(bg, entry, call)
				assert.NilError(t, r.Err)
				assert.Equal(t, r.Outcome, c.want, "%s", r.Body)
				assert.Equal(t, f.RunCounts()["a"], c.runs)
				again := f.Call(bg, f.VMs[6], call)
				assert.Equal(t, again.Outcome, c.want, "%s", again.Body)
				assert.Equal(t, f.RunCounts()["a"], c.runs)
			})
		})
	}
}

// TestHomeIsolatedBeforeClaim isolates the pool's home before the entry VM asks it for a
// slot: all that the home sends to the entry VM is dropped, and so are its calls to the
// store and the responses to them. The entry VM cannot learn whether the home has granted
// a slot. It must still get one, claim the key and answer the request while the links are
// cut, and the request must not run again once they are restored.
func TestHomeIsolatedBeforeClaim(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		home := homeOf(t, f, f.VMs[0], "ballotline")
		entry := otherVM(f, home)
		f.CutStore(home.Name, true, true)
		f.Net.SetCut(standin.Link{From: home.Name, To: entry.Name}, true)
		r := f.Call(bg, entry, newVote("a"))
		assertOutcome(t, r, outcome.Answered, "")
		f.CutStore(home.Name, false, false)
		f.Net.SetCut(standin.Link{From: home.Name, To: entry.Name}, false)
		time.Sleep(30 * time.Second)
		assert.Equal(t, f.RunCounts()["a"], 1)
	})
}

// TestServerClosesAfterReading loses the response to an at-most-once request: the
// server closes the connection after it has run the request. The outcome must be
// unknown, and a retry must not run the request again.
func TestServerClosesAfterReading(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		for _, s := range f.Servers {
			s.SetFaults(standin.Faults{CloseShare: 1})
		}
		c := newVote("a")
		assertOutcome(t, f.Call(bg, f.VMs[0], c), outcome.Unknown, outcome.ServerLost)
		for _, s := range f.Servers {
			s.SetFaults(standin.Faults{})
		}
		time.Sleep(3 * time.Second)
		r := f.Call(bg, f.VMs[4], c)
		assertOutcome(t, r, outcome.Unknown, outcome.ServerLost)
		assert.Equal(t, f.RunCounts()["a"], 1)
	})
}

// TestOutcomeQuery checks that the outcome of a key can be queried at the path that
// the reply names.
func TestOutcomeQuery(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		ask := func(key string) string {
			r := f.Call(bg, f.VMs[2], trial.Call{
				Service: "ballotline", Method: "GET", Account: "director",
				Path: "/.laburnumpick/outcome?service=ballotline&key=" + key,
			})
			return string(r.Outcome)
		}
		c := newVote("a")
		r := f.Call(bg, f.VMs[0], c)
		assert.Equal(t, r.Header.Get(outcome.HeaderAskAt), "/.laburnumpick/outcome?key=key-a&service=ballotline")
		time.Sleep(time.Second)
		assert.Equal(t, ask("key-a"), "answered")
		assert.Equal(t, ask("never-sent"), "notRun")
	})
}

// TestOlderAttemptDoesNotRunAfterNotRun delays an attempt on its way to the home.
// Meanwhile a second attempt with the same key is refused with the outcome "not run",
// which fences the key. The first must not run when it arrives, as that would make the
// outcome false.
func TestOlderAttemptDoesNotRunAfterNotRun(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		home := homeOf(t, f, f.VMs[0], "ballotline")
		entry := otherVM(f, home)
		var remote *trial.VM
		for _, vm := range f.VMs {
			if vm.DataCentre != home.DataCentre {
				remote = vm
			}
		}
		f.Net.Pause(home.Name, 1200*time.Millisecond)
		older := make(chan trial.Reply, 1)
		go func() { older <- f.Call(bg, entry, newVote("a")) }()
		time.Sleep(100 * time.Millisecond)
		setCold := func(on bool) {
			for _, s := range f.Servers {
				s.SetFaults(standin.Faults{Cold: on})
			}
		}
		setCold(true)
		c := newVote("a")
		c.Deadline = 15 * time.Millisecond
		second := f.Call(bg, remote, c)
		assert.Equal(t, second.Outcome, outcome.NotRun, "%s", second.Body)
		setCold(false)
		first := <-older
		assertOutcome(t, first, outcome.NotRun, outcome.Superseded)
		assert.Equal(t, f.RunCounts()["a"], 0)
		time.Sleep(2 * time.Second)
		assertOutcome(t, f.Call(bg, entry, newVote("a")), outcome.Answered, "")
		assert.Equal(t, f.RunCounts()["a"], 1)
	})
}

// TestRefusedAttemptDoesNotAffectOthers sends four concurrent attempts with one key
// while all slots are in use. One is refused because its deadline is too short, and
// the caller of another disconnects. Neither may release the key, which the other two
// must run once.
func TestRefusedAttemptDoesNotAffectOthers(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		for _, s := range f.Servers {
			s.SetFaults(standin.Faults{SlowFactor: 40}) // 0.4 s and more.
		}
		for i := range 8 * 3 { // The slots of ballotline.
			go f.Call(bg, f.VMs[i%len(f.VMs)], newVote(fmt.Sprint("other-", i)))
		}
		time.Sleep(100 * time.Millisecond)
		waiting := make(chan trial.Reply, 2)
		for i := range cap(waiting) {
			go func() { waiting <- f.Call(bg, f.VMs[i], newVote("a")) }()
		}
		canceledCtx, cancel := context.WithCancel(bg)
		go f.Call(canceledCtx, f.VMs[2], newVote("a"))
		time.Sleep(50 * time.Millisecond)
		c := newVote("a")
		c.Deadline = 60 * time.Millisecond
		assertOutcome(t, f.Call(bg, f.VMs[3], c), outcome.Unknown, outcome.InProgress)
		cancel()
		for range cap(waiting) {
			assertOutcome(t, <-waiting, outcome.Answered, "")
		}
		assert.Equal(t, f.RunCounts()["a"], 1)
	})
}

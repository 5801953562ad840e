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

func small() trial.Options { return trial.Options{VMs: 8, Seed: 1, Downtime: 3 * time.Second} }

func aVote(mark string) trial.Call {
	return trial.Call{
		Service: "ballotline", Method: "POST", Path: "/votes", Key: "key-" + mark, Account: "director",
		Mark: mark, Body: "vote " + mark, Size: 200,
	}
}

func aRead(mark string) trial.Call {
	return trial.Call{Service: "packshelf", Method: "GET", Path: "/packs", Account: "director", Mark: mark, Size: 200}
}

func assertOutcome(t *testing.T, r trial.Reply, want outcome.Outcome, kind outcome.Kind) {
	t.Helper()
	assert.NilError(t, r.Err)
	assert.Equal(t, r.Outcome, want, "%s %s", r.Kind, r.Body)
	assert.Equal(t, r.Kind, kind, "%s", r.Body)
}

func TestResendAfterGetsTheFirstAnswer(t *testing.T) {
	withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
		c := aVote("a")
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

func TestResendsThroughAllVMsAtOnceRunOnce(t *testing.T) {
	withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
		for round := range 10 {
			c := aVote(fmt.Sprint(round))
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

func TestKeyOfAnotherRequest(t *testing.T) {
	withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
		c := aVote("a")
		f.Call(bg, f.VMs[0], c)
		c.Body = "another vote"
		assertOutcome(t, f.Call(bg, f.VMs[1], c), outcome.NotRun, outcome.KeyReused)
	})
}

func TestKeyIsRequired(t *testing.T) {
	withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
		c := aVote("a")
		c.Key = ""
		assertOutcome(t, f.Call(bg, f.VMs[0], c), outcome.NotRun, outcome.KeyMissing)
		assert.Equal(t, f.RunCounts()["a"], 0)
	})
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
		c := aVote("a")
		c.Size = 20_000
		assert.Assert(t, f.Call(bg, f.VMs[0], c).Matches(c))
		time.Sleep(time.Second)
		assertOutcome(t, f.Call(bg, f.VMs[1], c), outcome.Answered, outcome.AnswerNotKept)
	})
}

// TestOnceUnderStoreFaults checks each bad answer of the store at each write of
// a once-only request.
func TestOnceUnderStoreFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault store.Fault
		at    int // Which write of the key shows the fault; 0 for all calls.
		first bool
		want  outcome.Outcome
		kind  outcome.Kind
		runs  int
		later outcome.Outcome // Of a resend after the store is well.
		total int
	}{
		{"away", store.FaultAway, 0, false, outcome.Unknown, outcome.EarlierUnsure, 0, outcome.Answered, 1},
		{"away, first attempt", store.FaultAway, 0, true, outcome.NotRun, outcome.StoreAway, 0, outcome.Answered, 1},
		{"claim away", store.FaultAway, 1, false, outcome.NotRun, outcome.StoreAway, 0, outcome.Answered, 1},
		{"claim's answer lost", store.FaultLostAnswer, 1, false, outcome.Answered, "", 1, outcome.Answered, 1},
		{"end away", store.FaultAway, 2, false, outcome.Answered, "", 1, outcome.Answered, 1},
		{"end's answer lost", store.FaultLostAnswer, 2, false, outcome.Answered, "", 1, outcome.Answered, 1},
		{"end lost", store.FaultLostCall, 2, false, outcome.Answered, "", 1, outcome.Answered, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
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
				call := aVote("a")
				call.FirstAttempt = c.first
				r := f.Call(bg, f.VMs[0], call)
				assertOutcome(t, r, c.want, c.kind)
				assert.Assert(t, r.Took < time.Second, "%v", r.Took)
				assert.Equal(t, f.RunCounts()["a"], c.runs)
				if c.want != outcome.Answered {
					assert.Assert(t, r.RetryMs != "")
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

// TestClaimLostOnItsWay loses the write of a claim. Either the fleet gives the
// claim up and says "not run", or it finds the key free and runs the request.
func TestClaimLostOnItsWay(t *testing.T) {
	withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
		for i := range 10 {
			lost := false
			f.Store.SetFaults(func(op store.Op) store.Fault {
				if op.Write && !lost && strings.Contains(string(op.Key), "/once/") {
					lost = true
					return store.FaultLostCall
				}
				return store.FaultNone
			})
			c := aVote(fmt.Sprint(i))
			r := f.Call(bg, f.VMs[i%len(f.VMs)], c)
			want := map[outcome.Outcome]int{outcome.NotRun: 0, outcome.Answered: 1}
			runs, known := want[r.Outcome]
			assert.Assert(t, known, "%s", r.Body)
			time.Sleep(5 * time.Second)
			assert.Equal(t, f.RunCounts()[c.Mark], runs)
		}
	})
}

// TestHolderPausedBetweenClaimAndSend stops a home right after its claim was
// written, until long after the deadline. It must not send then.
func TestHolderPausedBetweenClaimAndSend(t *testing.T) {
	withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
		paused := false
		f.PauseAfterWrite = func(_ string, k store.Key) time.Duration {
			if paused || !strings.Contains(string(k), "/once/") {
				return 0
			}
			paused = true
			return 20 * time.Second
		}
		c := aVote("a")
		r := f.Call(bg, f.VMs[0], c)
		assert.Assert(t, r.Outcome != outcome.Answered, "%s", r.Body)
		assert.Assert(t, paused)
		for range 10 {
			time.Sleep(5 * time.Second)
			assert.Equal(t, f.RunCounts()["a"], 0, "the holder sent late")
		}
		assertOutcome(t, f.Call(bg, f.VMs[5], c), outcome.Answered, "")
		assert.Equal(t, f.RunCounts()["a"], 1)
	})
}

// homeOf returns the VM that a VM takes for the home of a service's pool.
func homeOf(t *testing.T, f *trial.Fleet, vm *trial.VM, service site.ServiceName) *trial.VM {
	t.Helper()
	name := vm.Daemon.View().Homes(string(service), 0)[0].Name
	for _, v := range f.VMs {
		if v.Name == string(name) {
			return v
		}
	}
	t.Fatalf("no VM %s", name)
	return nil
}

// otherThan returns another VM.
func otherThan(f *trial.Fleet, vm *trial.VM) *trial.VM {
	for _, v := range f.VMs {
		if v != vm {
			return v
		}
	}
	return nil
}

// TestHomeDiesWithOnceInHand kills the home at different moments of a once-only
// request. The entry must find out what is true.
func TestHomeDiesWithOnceInHand(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration // From the call to the kill.
		want  outcome.Outcome
		runs  int
	}{
		{"before the request", -time.Millisecond, outcome.Answered, 1},
		// The VM that has the caller sends by itself, so the home takes nothing
		// with it.
		{"while the server runs it", 14 * time.Millisecond, outcome.Answered, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
				home := homeOf(t, f, f.VMs[0], "ballotline")
				entry := otherThan(f, home)
				call := aVote("a")
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

// TestHomeCutOffBeforeItsClaim isolates the home right after it has taken the
// request, while the store is slow. The entry forbids the claim, so that
// another home may run it and "answered" is once.
func TestHomeCutOffBeforeItsClaim(t *testing.T) {
	withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
		home := homeOf(t, f, f.VMs[0], "ballotline")
		entry := otherThan(f, home)
		f.CutStore(home.Name, true, true)
		f.Net.SetCut(standin.Link{From: home.Name, To: entry.Name}, true)
		r := f.Call(bg, entry, aVote("a"))
		assertOutcome(t, r, outcome.Answered, "")
		f.CutStore(home.Name, false, false)
		f.Net.SetCut(standin.Link{From: home.Name, To: entry.Name}, false)
		time.Sleep(30 * time.Second)
		assert.Equal(t, f.RunCounts()["a"], 1)
	})
}

// TestServerClosesAfterReading loses the answer of a once-only request. The
// caller must not be told that it did not run, nor may a resend run it.
func TestServerClosesAfterReading(t *testing.T) {
	withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
		for _, s := range f.Servers {
			s.SetFaults(standin.Faults{CloseShare: 1})
		}
		c := aVote("a")
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

func TestOutcomeCanBeAsked(t *testing.T) {
	withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
		ask := func(key string) string {
			r := f.Call(bg, f.VMs[2], trial.Call{
				Service: "ballotline", Method: "GET", Account: "director",
				Path: "/.laburnumpick/outcome?service=ballotline&key=" + key,
			})
			return string(r.Outcome)
		}
		c := aVote("a")
		r := f.Call(bg, f.VMs[0], c)
		assert.Equal(t, r.Header.Get(outcome.HeaderAskAt), "/.laburnumpick/outcome?key=key-a&service=ballotline")
		time.Sleep(time.Second)
		assert.Equal(t, ask("key-a"), "answered")
		assert.Equal(t, ask("never-sent"), "notRun")
	})
}

// TestOlderAttemptDoesNotRunAfterNotRun delays an attempt on its way to the
// home. Meanwhile a second one with the same key is refused and told "not run".
// When the first gets there, it must not run.
func TestOlderAttemptDoesNotRunAfterNotRun(t *testing.T) {
	withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
		home := homeOf(t, f, f.VMs[0], "ballotline")
		entry := otherThan(f, home)
		var elsewhere *trial.VM
		for _, vm := range f.VMs {
			if vm.DataCentre != home.DataCentre {
				elsewhere = vm
			}
		}
		f.Net.Pause(home.Name, 1200*time.Millisecond)
		older := make(chan trial.Reply, 1)
		go func() { older <- f.Call(bg, entry, aVote("a")) }()
		time.Sleep(100 * time.Millisecond)
		cold := func(on bool) {
			for _, s := range f.Servers {
				s.SetFaults(standin.Faults{Cold: on})
			}
		}
		cold(true)
		c := aVote("a")
		c.Deadline = 15 * time.Millisecond
		second := f.Call(bg, elsewhere, c)
		assert.Equal(t, second.Outcome, outcome.NotRun, "%s", second.Body)
		cold(false)
		first := <-older
		assertOutcome(t, first, outcome.NotRun, outcome.Superseded)
		assert.Equal(t, f.RunCounts()["a"], 0)
		time.Sleep(2 * time.Second)
		assertOutcome(t, f.Call(bg, entry, aVote("a")), outcome.Answered, "")
		assert.Equal(t, f.RunCounts()["a"], 1)
	})
}

// TestRefusedAttemptSparesTheOthers sends four attempts with one key at once
// while all slots are in use. The one that has too little time is refused, and
// the caller of the next one leaves; the two others must run the key all the
// same.
func TestRefusedAttemptSparesTheOthers(t *testing.T) {
	withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
		for _, s := range f.Servers {
			s.SetFaults(standin.Faults{SlowFactor: 40}) // 0.4 s and more.
		}
		for i := range 8 * 3 { // The slots of ballotline.
			go f.Call(bg, f.VMs[i%len(f.VMs)], aVote(fmt.Sprint("other-", i)))
		}
		time.Sleep(100 * time.Millisecond)
		patient := make(chan trial.Reply, 2)
		for i := range cap(patient) {
			go func() { patient <- f.Call(bg, f.VMs[i], aVote("a")) }()
		}
		leaving, leave := context.WithCancel(bg)
		go f.Call(leaving, f.VMs[2], aVote("a"))
		time.Sleep(50 * time.Millisecond)
		c := aVote("a")
		c.Deadline = 60 * time.Millisecond
		assertOutcome(t, f.Call(bg, f.VMs[3], c), outcome.Unknown, outcome.InProgress)
		leave()
		for range cap(patient) {
			assertOutcome(t, <-patient, outcome.Answered, "")
		}
		assert.Equal(t, f.RunCounts()["a"], 1)
	})
}

package trial_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/store"
	"laburnumpick.org/pkg/trial"
)

// attempt is an attempt of a request with the reply that its caller received.
type attempt struct {
	mark       string
	start, end time.Time
	reply      trial.Reply
}

// TestAtMostOnceUnderRandomFaults sends several attempts per key through random VMs
// while the store, links, servers and VMs fail at random. A key must run at most
// once. The outcome "not run" must be true: no run before the caller received it, and
// none later by an attempt that had started by then.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withFleet(t, "tt-north", trial.Options{VMs: 6, Seed: seed, StoreDelay: 2 * time.Millisecond, Downtime: time.Second},
				func(t *testing.T, f *trial.Fleet) {
					rng := rand.New(rand.NewPCG(seed, 99))
					stop := make(chan struct{})
					done := make(chan struct{})
					go func() {
						defer close(done)
						injectFaults(f, rand.New(rand.NewPCG(seed, 7)), stop)
					}()
					all := sendAttempts(f, rng)
					close(stop)
					<-done
					f.Store.SetFaults(storeHealthy)
					time.Sleep(time.Minute)
					checkOutcomes(t, f, all)
				})
		})
	}
}

// sendAttempts sends requests with 40 keys, 1 to 4 attempts each.
func sendAttempts(f *trial.Fleet, rng *rand.Rand) []attempt {
	var mu sync.Mutex
	var all []attempt
	var wg sync.WaitGroup
	for k := range 40 {
		c := newVote(fmt.Sprintf("k-%d", k))
		for range 1 + rng.IntN(4) {
			wait := time.Duration(rng.IntN(1500)) * time.Millisecond
			c.Deadline = time.Duration(50+rng.IntN(2000)) * time.Millisecond
			vms := f.Serving()
			call, vm := c, vms[rng.IntN(len(vms))]
			wg.Go(func() {
				time.Sleep(wait)
				a := attempt{mark: call.Mark, start: time.Now()}
				a.reply = f.Call(bg, vm, call)
				a.end = time.Now()
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
			})
		}
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
	wg.Wait()
	return all
}

// injectFaults injects random faults until stop is closed.
func injectFaults(f *trial.Fleet, rng *rand.Rand, stop chan struct{}) {
	servers := f.Plan.Services[3].ServerNames() // Of ballotline, the service of newVote.
	killed := false
	for {
		select {
		case <-stop:
			return
		default:
		}
		vms := f.Serving()
		vm := vms[rng.IntN(len(vms))]
		server := f.Servers[servers[rng.IntN(len(servers))]]
		d := time.Duration(rng.IntN(400)) * time.Millisecond
		switch rng.IntN(8) {
		case 0:
			fault := store.Fault(1 + rng.IntN(3))
			share := rng.Float64()
			faultRNG := rand.New(rand.NewPCG(rng.Uint64(), 3)) // Guarded by the store's lock.
			f.Store.SetFaults(func(store.Op) store.Fault {
				if faultRNG.Float64() < share {
					return fault
				}
				return store.FaultNone
			})
			time.Sleep(d)
			f.Store.SetFaults(storeHealthy)
		case 1:
			f.CutStore(vm.Name, rng.IntN(2) == 0, true)
			time.Sleep(d)
			f.CutStore(vm.Name, false, false)
		case 2:
			other := vms[rng.IntN(len(vms))].Name
			f.Net.SetCut(standin.Link{From: vm.Name, To: other}, true)
			time.Sleep(d)
			f.Net.SetCut(standin.Link{From: vm.Name, To: other}, false)
		case 3:
			server.SetFaults(standin.Faults{CloseShare: 0.5, TruncateShare: 0.3})
			time.Sleep(d)
			server.SetFaults(standin.Faults{})
		case 4:
			f.Net.BlackholeOpenConns(vm.Name)
		case 5:
			f.Net.Pause(vm.Name, d)
		case 6:
			if !killed && rng.IntN(4) == 0 {
				killed = true
				f.Kill(vm)
			}
		case 7:
			time.Sleep(d)
		}
		time.Sleep(d / 4)
	}
}

// replyDelay bounds the time that a reply takes from a VM to its caller.
const replyDelay = 20 * time.Millisecond

// checkOutcomes compares the outcomes that callers received with the runs that the
// servers recorded.
func checkOutcomes(t *testing.T, f *trial.Fleet, all []attempt) {
	t.Helper()
	runs := map[string][]time.Time{}
	for _, s := range f.Servers {
		for _, r := range s.Runs() {
			runs[r.Mark] = append(runs[r.Mark], r.At)
		}
	}
	counts := map[outcome.Outcome]int{}
	for _, a := range all {
		ran := runs[a.mark]
		counts[a.reply.Outcome]++
		if len(ran) > 1 {
			t.Errorf("%s ran %d times", a.mark, len(ran))
		}
		if a.reply.Outcome == outcome.Answered && len(ran) != 1 {
			t.Errorf("%s was answered but ran %d times", a.mark, len(ran))
		}
		if a.reply.Outcome != outcome.NotRun {
			continue
		}
		for _, at := range ran {
			if at.Before(a.end) || !ranByLaterAttempt(all, a, at) {
				t.Errorf("%s: outcome notRun (%s) received at %v, but it ran at %v", a.mark, a.reply.Kind, a.end, at)
			}
		}
	}
	t.Logf("attempts by outcome: %v", counts)
}

// ranByLaterAttempt reports whether an attempt that began after a's VM had replied
// accounts for a run. The reply may still have been on its way to the caller.
func ranByLaterAttempt(all []attempt, a attempt, at time.Time) bool {
	for _, b := range all {
		if b.mark == a.mark && b.start.After(a.end.Add(-replyDelay)) && b.start.Before(at) {
			return true
		}
	}
	return false
}

package trial_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/trial"
)

// limitCase is a disturbance during which no server may get more requests than the
// limit that it has named allows.
type limitCase struct {
	name    string
	share   float64 // Share of the servers that name a limit.
	faults  standin.Faults
	limit   func(rng *rand.Rand) []string // Values that a server names, one after the other.
	disturb func(f *trial.Fleet, rng *rand.Rand)
}

// limitedLoads are the loads of a trial of the limits. Without limits each server gets
// 5 requests a second.
var limitedLoads = []floorLoad{
	{service: "sealbook", rate: 60, keyed: true, path: "/resolutions/1"},
	{service: "packshelf", rate: 40, path: "/packs/1"},
}

// constantLimit draws a limit that a server names until the end.
func constantLimit(rng *rand.Rand) []string {
	return []string{[]string{"0.3", "0.5", "1", "2.1", "3"}[rng.IntN(5)]}
}

// changingLimits draws limits that rise, fall, end and come back.
func changingLimits(rng *rand.Rand) []string {
	all := []string{"0", "0.2", "1", "2.1", "4", "1000000", "", "-1", "NaN", "1e400", "soon"}
	out := make([]string, 5)
	for i := range out {
		out[i] = all[rng.IntN(len(all))]
	}
	return out
}

// servingHome returns the VM that ranks first as the home of a service's pool among those that serve.
func servingHome(f *trial.Fleet, n site.ServiceName) *trial.VM {
	var vms []roster.VM
	for _, vm := range f.Serving() {
		vms = append(vms, roster.VM{Name: roster.VMName(vm.Name), DataCentre: vm.DataCentre})
	}
	slices.SortFunc(vms, func(a, b roster.VM) int { return cmp.Compare(a.Name, b.Name) })
	first := roster.NewView(vms).Homes(string(n), 0)[0].Name
	i := slices.IndexFunc(f.Serving(), func(vm *trial.VM) bool { return vm.Name == string(first) })
	return f.Serving()[i]
}

// cutBetween cuts, or restores, both directions of the links between two groups of VMs.
func cutBetween(f *trial.Fleet, a, b []*trial.VM, cut bool) {
	for _, x := range a {
		for _, y := range b {
			if x != y {
				f.Net.SetCut(standin.Link{From: x.Name, To: y.Name}, cut)
				f.Net.SetCut(standin.Link{From: y.Name, To: x.Name}, cut)
			}
		}
	}
}

// limitedServerCases are the ways in which servers name limits.
var limitedServerCases = []limitCase{
	{name: "some servers limited"},
	{name: "all servers limited", share: 1},
	{name: "limits change", limit: changingLimits},
	{name: "late responses", faults: standin.Faults{SlowFactor: 12}},
	{name: "servers refuse the excess", faults: standin.Faults{RefuseOverLimit: true}},
}

// changingHomeCases are the ways in which a pool gets another home.
var changingHomeCases = []limitCase{
	{name: "homes die", disturb: func(f *trial.Fleet, _ *rand.Rand) {
		for i := range 3 {
			time.Sleep(4 * time.Second)
			f.Kill(servingHome(f, limitedLoads[i%2].service))
		}
	}},
	{name: "homes die shortly one after the other, late responses", share: 1, faults: standin.Faults{SlowFactor: 12}, disturb: killHomes(3)},
	{name: "homes pause and resume", disturb: func(f *trial.Fleet, rng *rand.Rand) {
		for i := range 4 {
			time.Sleep(3 * time.Second)
			f.Net.Pause(servingHome(f, limitedLoads[i%2].service).Name, time.Duration(500+rng.IntN(2500))*time.Millisecond)
		}
	}},
	{name: "homes are replaced", disturb: func(f *trial.Fleet, _ *rand.Rand) {
		for i := range 3 {
			time.Sleep(4 * time.Second)
			vm := servingHome(f, limitedLoads[i%2].service)
			restart := trial.Fault{Kind: trial.RestartedVM, Target: vm.Name}
			_ = restart.Run(f) // A VM that does not start gets no requests.
		}
	}},
}

// killHomes returns a disturbance in which n homes of packshelf die so shortly one after
// the other that the others still rank them as candidates.
func killHomes(n int) func(*trial.Fleet, *rand.Rand) {
	return func(f *trial.Fleet, _ *rand.Rand) {
		time.Sleep(7 * time.Second)
		for range n {
			f.Kill(servingHome(f, "packshelf"))
			time.Sleep(900 * time.Millisecond)
		}
	}
}

// severalHomesCases are the ways in which several VMs decide for a pool at a time.
var severalHomesCases = []limitCase{
	{name: "all candidates for the home die, late responses", share: 1, faults: standin.Faults{SlowFactor: 12}, disturb: killHomes(4)},
	{name: "a home does not reach half of the VMs", disturb: func(f *trial.Fleet, _ *rand.Rand) {
		time.Sleep(3 * time.Second)
		home := []*trial.VM{servingHome(f, "sealbook")}
		others := f.Serving()[:len(f.Serving())/2]
		cutBetween(f, home, others, true)
		time.Sleep(10 * time.Second)
		cutBetween(f, home, others, false)
	}},
	{name: "the fleet is parted", disturb: func(f *trial.Fleet, _ *rand.Rand) {
		time.Sleep(3 * time.Second)
		vms := f.Serving()
		cutBetween(f, vms[:len(vms)/2], vms[len(vms)/2:], true)
		time.Sleep(10 * time.Second)
		cutBetween(f, vms[:len(vms)/2], vms[len(vms)/2:], false)
	}},
	{name: "every VM is alone", disturb: func(f *trial.Fleet, _ *rand.Rand) {
		time.Sleep(3 * time.Second)
		vms := f.Serving()
		cutBetween(f, vms, vms, true)
		time.Sleep(10 * time.Second)
		cutBetween(f, vms, vms, false)
	}},
}

// TestServersGetNoMoreThanTheLimitTheyName guards against a backend server that gets more
// requests from all VMs together than the limit that its responses name.
func TestServersGetNoMoreThanTheLimitTheyName(t *testing.T) { runLimitCases(t, limitedServerCases) }

// TestLimitsOutliveTheHome guards against a limit that is forgotten when its pool gets
// another home.
func TestLimitsOutliveTheHome(t *testing.T) { runLimitCases(t, changingHomeCases) }

// TestSeveralHomesKeepOneLimit guards against a limit that several VMs use up at the same
// time, each for itself.
func TestSeveralHomesKeepOneLimit(t *testing.T) { runLimitCases(t, severalHomesCases) }

func runLimitCases(t *testing.T, cases []limitCase) {
	t.Helper()
	for _, c := range cases {
		for seed := range *limitSeeds {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				withFleet(t, "tt-north", trial.Options{VMs: 8, Seed: seed, StoreDelay: time.Millisecond, Downtime: time.Second}, func(t *testing.T, f *trial.Fleet) {
					checkLimitsHold(t, f, c, seed)
				})
			})
		}
	}
}

// limitSeeds is the number of seeds of each case.
var limitSeeds = flag.Uint64("limit.seeds", 1, "seeds of each trial of the servers' limits")

// limitLength is the length of a trial of the limits.
const limitLength = 18 * time.Second

func checkLimitsHold(t *testing.T, f *trial.Fleet, c limitCase, seed uint64) {
	t.Helper()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, l := range limitedLoads {
		wg.Go(func() { l.send(f, f.Serving, rand.New(rand.NewPCG(seed, uint64(i))), stop) })
		for j, n := range f.Plan.Service(l.service).ServerNames() {
			rng := rand.New(rand.NewPCG(seed, uint64(100*i+j+10)))
			wg.Go(func() { nameLimits(f.Servers[n], c, rng, stop) })
		}
	}
	if c.disturb != nil {
		wg.Go(func() { c.disturb(f, rand.New(rand.NewPCG(seed, 5))) })
	}
	begin := time.Now()
	time.Sleep(limitLength)
	close(stop)
	wg.Wait()
	for _, l := range limitedLoads {
		for _, n := range f.Plan.Service(l.service).ServerNames() {
			w := f.Servers[n].Limits().WorstWindow()
			assert.Check(t, !w.Violated, "%s got %d requests in the %v from %v, allowed %.1f at a limit of %v",
				n, w.Got, standin.LimitWindow, w.From.Sub(begin), w.Allowed, w.AtMost)
		}
	}
}

// nameLimits lets a server name the limits of a case until stop is closed.
func nameLimits(s *standin.Server, c limitCase, rng *rand.Rand, stop <-chan struct{}) {
	share, limits := c.share, constantLimit
	if share == 0 {
		share = 0.4
	}
	if c.limit != nil {
		limits = c.limit
	}
	if rng.Float64() > share {
		return
	}
	faults := c.faults
	for _, text := range limits(rng) {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(500+rng.IntN(3000)) * time.Millisecond):
		}
		faults.Limit = text
		s.SetFaults(faults)
	}
}

// TestExcessOverTheLimitsIsRefusedAtOnceByTheFleet guards against callers that wait for
// slots that the servers' limits do not let them use, only to be refused, and against an
// account that takes the turns of the others.
func TestExcessOverTheLimitsIsRefusedAtOnceByTheFleet(t *testing.T) {
	withFleet(t, "tt-north", trial.Options{VMs: 8, Seed: 1}, func(t *testing.T, f *trial.Fleet) {
		for _, n := range f.Plan.Service("packshelf").ServerNames() {
			f.Servers[n].SetFaults(standin.Faults{Limit: "1"})
		}
		sendAccounts(f, 40, 5*time.Second) // Lets the servers name their limits.
		replies := sendAccounts(f, 40, 20*time.Second)
		refused, late := 0, map[site.AccountName]int{}
		served := map[site.AccountName]int{}
		for _, r := range replies {
			switch {
			case r.reply.Status == 200:
				served[r.account]++
			case r.reply.Outcome == outcome.NotRun:
				refused++
				if r.reply.Duration > refusedAtOnce {
					late[r.account]++
				}
				assert.Check(t, r.reply.Kind == outcome.ServerLimits || r.reply.Kind == outcome.Overload, "%s", r.reply.Kind)
				assert.Check(t, r.reply.RetryAfterMs != "", "%s: %s", r.reply.Kind, r.reply.Body)
			default:
				t.Errorf("%s %s: %s", r.reply.Outcome, r.reply.Kind, r.reply.Body)
			}
		}
		t.Logf("served %v, %d refused, late %v", served, refused, late)
		assert.Check(t, served["few"]+served["many"] >= 8*20*9/10, "served %v, the limits allow 160", served)
		assert.Check(t, late["few"] == 0, "%d refusals of account few came late", late["few"])
		assert.Check(t, late["many"] <= served["few"], "%d refusals of account many came late, more than made room for the other account", late["many"])
		assert.Check(t, served["few"]*10 >= served["many"]*8, "served %v, though both accounts ask for more", served)
	})
}

// refusedAtOnce is the longest time after which a refusal counts as given at once. It
// covers the ways between caller, VM and home.
const refusedAtOnce = 100 * time.Millisecond

// accountReply is the reply to a request of an account.
type accountReply struct {
	account site.AccountName
	reply   trial.Reply
}

// sendAccounts sends reads of packshelf at a rate for a time, three in four of account many
// and the others of account few.
func sendAccounts(f *trial.Fleet, perSecond int, length time.Duration) []accountReply {
	n := perSecond * int(length/time.Second)
	replies := make([]accountReply, n)
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(time.Second / time.Duration(perSecond))
		account := site.AccountName("many")
		if i%4 == 0 {
			account = "few"
		}
		vms := f.Serving()
		c := trial.Call{Service: "packshelf", Method: "GET", Path: "/packs/1", Account: account, Mark: fmt.Sprintf("%p-%d", replies, i), Deadline: 2 * time.Second}
		wg.Go(func() { replies[i] = accountReply{account, f.Call(bg, vms[i%len(vms)], c)} })
	}
	wg.Wait()
	return replies
}

// TestFloorAndLimitsHoldTogether guards against limits that keep requests from the sound
// servers without one, and against a floor that is met beyond the limits. A third of the
// servers name limits, the others fail in streaks.
func TestFloorAndLimitsHoldTogether(t *testing.T) {
	for seed := range *limitSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withFleet(t, "tt-north", trial.Options{VMs: 8, Seed: seed}, func(t *testing.T, f *trial.Fleet) {
				checkFloorAndLimits(t, f, seed)
			})
		})
	}
}

func checkFloorAndLimits(t *testing.T, f *trial.Fleet, seed uint64) {
	t.Helper()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	results := make([]soundServers, len(limitedLoads))
	var limited []*standin.Server
	for i, l := range limitedLoads {
		wg.Go(func() { l.send(f, f.Serving, rand.New(rand.NewPCG(seed, uint64(i))), stop) })
		names := f.Plan.Service(l.service).ServerNames()
		cut := len(names) / 3
		results[i].streaks = make([][]streak, len(names)-cut)
		for j, n := range names {
			rng := rand.New(rand.NewPCG(seed, uint64(100*i+j+10)))
			if j < cut {
				limited = append(limited, f.Servers[n])
				f.Servers[n].SetFaults(standin.Faults{Limit: constantLimit(rng)[0]})
				continue
			}
			wg.Go(func() { results[i].streaks[j-cut] = failInStreaks(f.Servers[n], rng, stop) })
		}
	}
	begin := time.Now()
	time.Sleep(floorLength)
	close(stop)
	wg.Wait()
	for i, l := range limitedLoads {
		arrivals := f.ArrivalsOf(l.service)
		results[i].runs = arrivals[len(arrivals)/3:]
		least, at := results[i].leastUsed(begin.Add(4*time.Second), begin.Add(floorLength))
		assert.Check(t, least >= standin.FloorShare, "%s: in the two seconds before %v only %.2f of the sound servers got requests", l.service, at.Sub(begin), least)
	}
	for _, s := range limited {
		w := s.Limits().WorstWindow()
		assert.Check(t, !w.Violated, "%s got %d requests, allowed %.1f at a limit of %v", s.Name(), w.Got, w.Allowed, w.AtMost)
		assert.Check(t, s.Limits().ArrivedSince(begin.Add(floorLength/2)) > 0, "%s got no request in the last ten seconds", s.Name())
	}
}

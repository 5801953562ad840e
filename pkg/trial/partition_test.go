package trial_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/trial"
)

// partitionSeeds is the number of seeds of each case, and partitionFirst the first of them.
var (
	partitionSeeds = flag.Uint64("partition.seeds", 1, "seeds of each trial of VMs that are cut off from servers")
	partitionFirst = flag.Uint64("partition.first", 0, "first seed of the trials of VMs that are cut off from servers")
)

// Times of a trial of VMs that are cut off, from its start.
const (
	cutAt     = 4 * time.Second
	cutSettle = time.Second // From the cut until the promise holds.
	cutEnd    = 11 * time.Second
	cutLength = 13 * time.Second // Ends the load.
)

// maxServedLoss is by how much the share of requests served may differ between VMs that are
// cut off and others, and from the time before the cut.
const maxServedLoss = 0.05

// partitionedLoads are the loads of a trial of VMs that are cut off.
var partitionedLoads = []floorLoad{
	{service: "sealbook", rate: 40, keyed: true, path: "/resolutions/1"},
	{service: "packshelf", rate: 25, path: "/packs/1"},
	{service: "ballotline", rate: 15, keyed: true, path: "/votes/1"},
	{service: "minutevault", rate: 15, path: "/minutes/1"},
}

// partitionCase is a set of links that are cut, and what happens besides.
type partitionCase struct {
	name string
	mode standin.CutMode
	// vms draws the VMs that are cut off; nil draws any number but all.
	vms func(f *trial.Fleet, rng *rand.Rand) []*trial.VM
	// servers reports whether the VMs are cut off from a server; nil for all servers.
	servers func(f *trial.Fleet, n string) bool
	disturb func(f *trial.Fleet, rng *rand.Rand, cut []*trial.VM)
	// unsteady means that the disturbance takes VMs or servers away by itself, so that servers
	// may be out of use for it.
	unsteady bool
	// storeAway means that the store is away during the cut, so that only requests without a key
	// count.
	storeAway bool
}

// cutMode returns the mode of the case, or one that is drawn.
func (c partitionCase) cutMode(rng *rand.Rand) standin.CutMode {
	drawn := standin.CutModes()[rng.IntN(len(standin.CutModes()))]
	if c.mode != "" {
		return c.mode
	}
	return drawn
}

// someVMs draws any number of VMs but all.
func someVMs(f *trial.Fleet, rng *rand.Rand) []*trial.VM {
	vms := slices.Clone(f.Serving())
	rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	return vms[:1+rng.IntN(len(vms)-1)]
}

// allButOne draws all VMs but one.
func allButOne(f *trial.Fleet, rng *rand.Rand) []*trial.VM {
	vms := slices.Clone(f.Serving())
	i := rng.IntN(len(vms))
	return slices.Delete(vms, i, i+1)
}

// ofDataCentre returns the VMs of the first data centre.
func ofDataCentre(f *trial.Fleet, _ *rand.Rand) []*trial.VM {
	var out []*trial.VM
	for _, vm := range f.Serving() {
		if vm.DataCentre == f.Plan.DataCentre(0) {
			out = append(out, vm)
		}
	}
	return out
}

var partitionCases = []partitionCase{
	{name: "connections hang", mode: standin.CutHangs},
	{name: "connections are reset", mode: standin.CutResets},
	{name: "new connections are refused", mode: standin.CutRefusesNew},
	{name: "all VMs but one", vms: allButOne},
	{name: "a data centre", vms: ofDataCentre},
	{name: "one service", servers: func(_ *trial.Fleet, n string) bool { return strings.HasPrefix(n, "sealbook") }},
	{name: "one server", servers: func(_ *trial.Fleet, n string) bool { return n == "packshelf-3" }},
	{name: "homes are cut off", vms: func(f *trial.Fleet, _ *rand.Rand) []*trial.VM {
		var out []*trial.VM
		for _, l := range partitionedLoads {
			if h := servingHome(f, l.service); !slices.Contains(out, h) {
				out = append(out, h)
			}
		}
		return out
	}},
	{name: "links flap", disturb: func(f *trial.Fleet, rng *rand.Rand, cut []*trial.VM) {
		for range 5 {
			time.Sleep(400 * time.Millisecond)
			cutFromServers(f, cut, nil, "")
			time.Sleep(400 * time.Millisecond)
			cutFromServers(f, cut, nil, standin.CutModes()[rng.IntN(3)])
		}
	}},
}

// halfOf draws half of the VMs.
func halfOf(f *trial.Fleet, rng *rand.Rand) []*trial.VM {
	vms := slices.Clone(f.Serving())
	rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	return vms[:len(vms)/2]
}

// eachOther calls do for some VMs that are not cut off, and so carry requests of those that are.
func eachOther(f *trial.Fleet, cut []*trial.VM, n int, do func(vm *trial.VM)) {
	for range n {
		time.Sleep(1500 * time.Millisecond)
		for _, vm := range f.Serving() {
			if !slices.Contains(cut, vm) {
				do(vm)
				break
			}
		}
	}
}

// disturbedPartitionCases are cuts with other failures of the VMs that carry requests, of
// servers and of the store.
var disturbedPartitionCases = []partitionCase{
	{name: "VMs that carry are killed", vms: halfOf, unsteady: true, disturb: func(f *trial.Fleet, _ *rand.Rand, cut []*trial.VM) {
		eachOther(f, cut, 3, f.Kill)
	}},
	{name: "VMs that carry pause", vms: halfOf, unsteady: true, disturb: func(f *trial.Fleet, rng *rand.Rand, cut []*trial.VM) {
		eachOther(f, cut, 3, func(vm *trial.VM) { f.Net.Pause(vm.Name, time.Duration(200+rng.IntN(800))*time.Millisecond) })
	}},
	{name: "VMs that carry are replaced", vms: halfOf, unsteady: true, disturb: func(f *trial.Fleet, _ *rand.Rand, cut []*trial.VM) {
		eachOther(f, cut, 2, func(vm *trial.VM) {
			restart := trial.Fault{Kind: trial.RestartedVM, Target: vm.Name}
			_ = restart.Run(f) // A VM that does not start gets no requests.
		})
	}},
	{name: "VMs that carry are cut off in their turn", vms: halfOf, disturb: func(f *trial.Fleet, rng *rand.Rand, cut []*trial.VM) {
		eachOther(f, cut, 2, func(vm *trial.VM) {
			m := standin.CutModes()[rng.IntN(3)]
			cutFromServers(f, []*trial.VM{vm}, nil, m)
			time.Sleep(700 * time.Millisecond)
			cutFromServers(f, []*trial.VM{vm}, nil, "")
		})
	}},
	{name: "servers leave and pause", unsteady: true, disturb: func(f *trial.Fleet, rng *rand.Rand, _ []*trial.VM) {
		for _, l := range partitionedLoads {
			names := f.Plan.Service(l.service).ServerNames()
			f.Servers[names[0]].SetFaults(standin.Faults{Leaving: true})
			f.Servers[names[1]].SetFaults(standin.Faults{RetryAfter: "1.5", RetryAfterShare: 0.3 + 0.5*rng.Float64()})
		}
	}},
	{name: "servers crash", unsteady: true, disturb: func(f *trial.Fleet, rng *rand.Rand, _ []*trial.VM) {
		for range 3 {
			time.Sleep(time.Second)
			names := f.Plan.Service("packshelf").ServerNames()
			f.Net.Kill(string(names[rng.IntN(len(names))]))
		}
	}},
	{name: "the store is away", unsteady: true, storeAway: true, disturb: func(f *trial.Fleet, _ *rand.Rand, _ []*trial.VM) {
		f.Store.SetFaults(storeUnavailable)
		time.Sleep(5 * time.Second)
		f.Store.SetFaults(storeHealthy)
	}},
}

// cutFromServers cuts VMs off from servers, or restores the links if the mode is empty.
func cutFromServers(f *trial.Fleet, vms []*trial.VM, servers func(*trial.Fleet, string) bool, m standin.CutMode) {
	for n := range f.Servers {
		if servers != nil && !servers(f, string(n)) {
			continue
		}
		for _, vm := range vms {
			if m == "" {
				f.Net.Heal(vm.Name, string(n))
			} else {
				f.Net.Partition(vm.Name, string(n), m)
			}
		}
	}
}

// sentCall is a request with the VM that got it and how it ended.
type sentCall struct {
	call   trial.Call
	vm     *trial.VM
	sentAt time.Time
	reply  trial.Reply
}

// callLog collects the requests of a trial. It is safe for concurrent use.
type callLog struct {
	mu    sync.Mutex
	calls []sentCall
}

// send sends a load's requests through random VMs until stop is closed.
func (g *callLog) send(f *trial.Fleet, l floorLoad, rng *rand.Rand, stop <-chan struct{}) {
	l.run(f.Serving, rng, stop, func(vm *trial.VM, c trial.Call) {
		s := sentCall{call: c, vm: vm, sentAt: time.Now()}
		s.reply = f.Call(bg, vm, c)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.calls = append(g.calls, s)
	})
}

// served returns the share of the requests sent between two times that accept takes which were
// answered with the right response, and their number.
func (g *callLog) served(from, to time.Time, accept func(sentCall) bool) (share float64, n int) {
	ok := 0
	for _, s := range g.calls {
		if s.sentAt.Before(from) || !s.sentAt.Before(to) || !accept(s) {
			continue
		}
		n++
		if s.reply.Status == http.StatusOK && s.reply.Matches(s.call) {
			ok++
		}
	}
	return float64(ok) / float64(max(1, n)), n
}

// TestVMsCutOffFromServersServeTheirCallers guards against callers of VMs whose links to the
// backend servers are cut that are served worse than others, and against VMs that spoil the
// servers for the rest of the fleet because they cannot reach them.
func TestVMsCutOffFromServersServeTheirCallers(t *testing.T) {
	for i, c := range slices.Concat(partitionCases, disturbedPartitionCases) {
		for seed := *partitionFirst; seed < *partitionFirst+*partitionSeeds; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				o := trial.Options{VMs: 8, Seed: seed, StoreDelay: time.Millisecond, Registered: true, SteadyTimes: true}
				withFleet(t, "tt-north", o, func(t *testing.T, f *trial.Fleet) { checkPartition(t, f, c, rand.New(rand.NewPCG(seed, uint64(i)))) })
			})
		}
	}
}

func checkPartition(t *testing.T, f *trial.Fleet, c partitionCase, rng *rand.Rand) {
	t.Helper()
	var calls callLog
	var unsound []string
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, l := range partitionedLoads {
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		wg.Go(func() { calls.send(f, l, own, stop) })
	}
	begin := time.Now()
	time.Sleep(cutAt)
	draw := someVMs
	if c.vms != nil {
		draw = c.vms
	}
	cut, mode := draw(f, rng), c.cutMode(rng)
	cutFromServers(f, cut, c.servers, mode)
	if c.disturb != nil {
		wg.Go(func() { c.disturb(f, rng, cut) })
	}
	time.Sleep(cutSettle)
	for time.Since(begin) < cutEnd {
		time.Sleep(100 * time.Millisecond)
		if !c.unsteady {
			unsound = append(unsound, unsoundServers(f, time.Since(begin))...)
		}
	}
	cutFromServers(f, cut, nil, "")
	time.Sleep(cutLength - cutEnd)
	close(stop)
	wg.Wait()
	counts := func(s sentCall) bool { return !c.storeAway || s.call.Key == "" }
	isCut := func(s sentCall) bool { return counts(s) && slices.Contains(cut, s.vm) }
	others := func(s sentCall) bool { return counts(s) && !slices.Contains(cut, s.vm) }
	from, to := begin.Add(cutAt+cutSettle), begin.Add(cutEnd)
	before, _ := calls.served(begin.Add(time.Second), begin.Add(cutAt), others)
	atCut, nCut := calls.served(from, to, isCut)
	atOthers, nOthers := calls.served(from, to, others)
	after, _ := calls.served(to.Add(cutSettle), begin.Add(cutLength), counts)
	t.Logf("%d of 8 VMs cut (%s): served %.3f of %d there, %.3f of %d elsewhere, %.3f before, %.3f after", len(cut), mode, atCut, nCut, atOthers, nOthers, before, after)
	assert.Check(t, atCut >= atOthers-maxServedLoss, "VMs that are cut off served %.3f of %d requests, the others %.3f of %d", atCut, nCut, atOthers, nOthers)
	assert.Check(t, atOthers >= before-maxServedLoss, "VMs that are not cut off served %.3f, before the cut %.3f", atOthers, before)
	assert.Check(t, after >= before-maxServedLoss, "after the cut %.3f are served, before it %.3f", after, before)
	checkNone(t, "sound servers kept back", unsound)
	checkNone(t, "requests against a server's word", noticeViolations(f, begin))
	checkNone(t, "false replies", falseReplies(f, &calls))
}

// unsoundServers returns a line for each server that is out of use, or kept back, because of
// VMs that cannot reach it.
func unsoundServers(f *trial.Fleet, at time.Duration) []string {
	var out []string
	for _, l := range partitionedLoads {
		for _, p := range servingHome(f, l.service).Daemon.Pools(bg) {
			if p.ID != pool.ID(l.service) {
				continue
			}
			for _, s := range p.Servers {
				if s.Failures > 0 || (s.State != pool.Healthy && s.State != pool.Warming) {
					out = append(out, fmt.Sprintf("%v: %s is %s with %d failures: %s", at, s.Server.Name, s.State, s.Failures, s.Reason))
				}
			}
		}
	}
	return out
}

// noticeViolations returns a line for each VM that sent a server requests which that server had
// told it not to send.
func noticeViolations(f *trial.Fleet, begin time.Time) []string {
	var out []string
	for n, srv := range f.Servers {
		for _, v := range srv.Notices().Violations(nil) {
			out = append(out, fmt.Sprintf("%s got %d requests of %s, the last at %v, after it told it at %v", n, v.Got, v.VM, v.Last.Sub(begin), v.At.Sub(begin)))
		}
	}
	return out
}

// falseReplies returns a line for each request that may run once and ran twice, for each that
// ran although its caller was told that it had not, and for each of which the caller was told
// that it crashes servers.
func falseReplies(f *trial.Fleet, calls *callLog) []string {
	runs := f.RunCounts()
	var out []string
	for _, s := range calls.calls {
		n := runs[s.call.Mark]
		if s.call.Key != "" && n > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times", s.call.Mark, n))
		}
		if n > 0 && s.reply.Outcome == outcome.NotRun {
			out = append(out, fmt.Sprintf("%s ran, and its caller was told that it had not (%s)", s.call.Mark, s.reply.Kind))
		}
		if s.reply.Kind == outcome.CrashedServers || s.reply.Kind == outcome.Quarantined {
			out = append(out, fmt.Sprintf("the caller of %s was told that its request crashes servers", s.call.Mark))
		}
	}
	return out
}

// checkNone fails the test if there are violations, and shows the first of them.
func checkNone(t *testing.T, what string, violations []string) {
	t.Helper()
	if n := len(violations); n > 0 {
		t.Errorf("%s: %d times, first: %s", what, n, violations[0])
	}
}

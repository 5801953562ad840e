package trial_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/trial"
)

// noticeSeeds is the number of seeds of each case, and noticeFirst the first of them.
var (
	noticeSeeds = flag.Uint64("notice.seeds", 1, "seeds of each trial of what servers tell VMs")
	noticeFirst = flag.Uint64("notice.first", 0, "first seed of the trials of what servers tell VMs")
)

// noticeLength is the length of a trial of what servers tell VMs.
const noticeLength = 14 * time.Second

// noticeCase is a disturbance during which each VM must keep to what servers have told it.
type noticeCase struct {
	name string
	// tell returns the faults of a server for some time.
	tell    func(rng *rand.Rand) standin.Faults
	all     bool // All servers of a service tell the same at the same time.
	disturb func(d *noticeTrial)
}

// noticeTrial is a running trial.
type noticeTrial struct {
	fleet *trial.Fleet
	rng   *rand.Rand

	mu       sync.Mutex
	absences []standin.Absence
}

// pause pauses a VM.
func (d *noticeTrial) pause(vm string, length time.Duration) {
	now := time.Now()
	d.mu.Lock()
	d.absences = append(d.absences, standin.Absence{VM: vm, From: now, To: now.Add(length)})
	d.mu.Unlock()
	d.fleet.Net.Pause(vm, length)
}

// leaves makes a server say that it leaves; some of these also name a limit.
func leaves(rng *rand.Rand) standin.Faults {
	f := standin.Faults{Leaving: true}
	if rng.IntN(3) == 0 {
		f.Limit = "4"
	}
	return f
}

// pauses makes a server refuse requests for a time; some of these also fail requests.
func pauses(rng *rand.Rand) standin.Faults {
	f := standin.Faults{
		RetryAfter: []string{"0.7", "1", "2.5", "4", "1000"}[rng.IntN(5)], RetryAfterShare: 0.2 + 0.8*rng.Float64(),
	}
	if rng.IntN(4) == 0 {
		f.CloseShare = 0.2
	}
	return f
}

// leavesAndPauses makes a server do one of the two, or both.
func leavesAndPauses(rng *rand.Rand) standin.Faults {
	switch rng.IntN(3) {
	case 0:
		return leaves(rng)
	case 1:
		return pauses(rng)
	}
	f := pauses(rng)
	f.Leaving = true
	return f
}

// lateNotices makes a server do both while its responses take long.
func lateNotices(rng *rand.Rand) standin.Faults {
	f := leavesAndPauses(rng)
	f.SlowFactor = 12
	return f
}

// noticeCases are the ways in which servers tell VMs something, and in which those are
// disturbed meanwhile.
var noticeCases = []noticeCase{
	{name: "servers leave", tell: leaves},
	{name: "servers pause", tell: pauses},
	{name: "all servers of a service pause", tell: pauses, all: true},
	{name: "all servers of a service leave", tell: leaves, all: true},
	{name: "late responses", tell: lateNotices},
	{name: "homes die", tell: leavesAndPauses, disturb: func(d *noticeTrial) {
		for i := range 3 {
			time.Sleep(3 * time.Second)
			d.fleet.Kill(servingHome(d.fleet, limitedLoads[i%2].service))
		}
	}},
	{name: "homes pause and resume", tell: leavesAndPauses, disturb: func(d *noticeTrial) {
		for i := range 4 {
			time.Sleep(2500 * time.Millisecond)
			length := time.Duration(500+d.rng.IntN(2000)) * time.Millisecond
			d.pause(servingHome(d.fleet, limitedLoads[i%2].service).Name, length)
		}
	}},
	{name: "homes are replaced", tell: leavesAndPauses, disturb: func(d *noticeTrial) {
		for i := range 3 {
			time.Sleep(3 * time.Second)
			vm := servingHome(d.fleet, limitedLoads[i%2].service)
			restart := trial.Fault{Kind: trial.RestartedVM, Target: vm.Name}
			_ = restart.Run(d.fleet) // A VM that does not start gets no requests.
		}
	}},
	{name: "the fleet is parted", tell: leavesAndPauses, disturb: func(d *noticeTrial) {
		time.Sleep(2 * time.Second)
		vms := d.fleet.Serving()
		cutBetween(d.fleet, vms[:len(vms)/2], vms[len(vms)/2:], true)
		time.Sleep(7 * time.Second)
		cutBetween(d.fleet, vms[:len(vms)/2], vms[len(vms)/2:], false)
	}},
	{name: "every VM is alone", tell: leavesAndPauses, disturb: func(d *noticeTrial) {
		time.Sleep(2 * time.Second)
		vms := d.fleet.Serving()
		cutBetween(d.fleet, vms, vms, true)
		time.Sleep(7 * time.Second)
		cutBetween(d.fleet, vms, vms, false)
	}},
	{name: "VMs are cut off from the store", tell: leavesAndPauses, disturb: func(d *noticeTrial) {
		time.Sleep(2 * time.Second)
		for _, vm := range d.fleet.Serving()[:4] {
			d.fleet.CutStore(vm.Name, true, true)
		}
	}},
}

// TestVMsKeepToWhatServersTellThem guards against requests from a VM to a backend server that
// has told that VM that it leaves, or that it wants none for a time, whoever granted them.
// Limits and at most once hold at the same time.
func TestVMsKeepToWhatServersTellThem(t *testing.T) {
	for _, c := range noticeCases {
		for seed := *noticeFirst; seed < *noticeFirst+*noticeSeeds; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				o := trial.Options{VMs: 8, Seed: seed, StoreDelay: time.Millisecond, Downtime: time.Second, Registered: true}
				withFleet(t, "tt-north", o, func(t *testing.T, f *trial.Fleet) { checkNotices(t, f, c, seed) })
			})
		}
	}
}

func checkNotices(t *testing.T, f *trial.Fleet, c noticeCase, seed uint64) {
	t.Helper()
	d := &noticeTrial{fleet: f, rng: rand.New(rand.NewPCG(seed, 5))}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	told := 0
	for i, l := range limitedLoads {
		wg.Go(func() { l.send(f, f.Serving, rand.New(rand.NewPCG(seed, uint64(i))), stop) })
		names := f.Plan.Service(l.service).ServerNames()
		for j, n := range names {
			stream := uint64(100*i + j + 10)
			if c.all {
				stream = uint64(100*i + 10)
			}
			wg.Go(func() { tellVMs(f, n, c, rand.New(rand.NewPCG(seed, stream)), stop) })
		}
	}
	if c.disturb != nil {
		wg.Go(func() { c.disturb(d) })
	}
	begin := time.Now()
	time.Sleep(noticeLength)
	for _, s := range f.Servers {
		told += s.Notices().Told()
	}
	close(stop)
	wg.Wait()
	checkNoViolations(t, d, begin)
	assert.Check(t, told > 0, "no server told a VM anything")
	for mark, n := range f.RunCounts() {
		atMostOnce := len(mark) > 8 && mark[:8] == "sealbook"
		assert.Check(t, !atMostOnce || n == 1, "%s ran %d times", mark, n)
	}
}

func checkNoViolations(t *testing.T, d *noticeTrial, begin time.Time) {
	t.Helper()
	var names []site.ServerName
	for n := range d.fleet.Servers {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		for _, v := range d.fleet.Servers[n].Notices().Violations(d.absences) {
			t.Errorf("%s got %d requests of %s, the last at %v, after it told it at %v (leaving %v)",
				n, v.Got, v.VM, v.Last.Sub(begin), v.At.Sub(begin), v.Leaving)
		}
		w := d.fleet.Servers[n].Limits().WorstWindow()
		assert.Check(t, !w.Violated, "%s got %d requests from %v on, allowed %.1f", n, w.Got, w.From.Sub(begin), w.Allowed)
	}
}

// restartKnown is how long all VMs take to learn of a server's restart. Until then they
// take its responses for those of the server that ended; the users' servers have a new name
// after each start, and refuse requests for another one.
const restartKnown = 3 * time.Second

// tellVMs lets a server tell the VMs something from time to time, until stop is closed. It
// restarts in between, or stays as it is.
func tellVMs(f *trial.Fleet, n site.ServerName, c noticeCase, rng *rand.Rand, stop <-chan struct{}) {
	if !c.all && rng.IntN(2) == 0 {
		return
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(500+rng.IntN(3500)) * time.Millisecond):
		}
		if rng.IntN(3) == 0 {
			f.RestartServer(n)
			time.Sleep(restartKnown)
			continue
		}
		f.Servers[n].SetFaults(c.tell(rng))
	}
}

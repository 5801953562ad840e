package trial_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/settings"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/trial"
)

// Parameters of TestPlannedStopsCutNothingOff. Together its stops get over 10,000 requests.
const (
	stopsPerGrace    = 34
	requestsPerStop  = 110
	longestDeadline  = 5 * time.Second // The services' own.
	deadlineSlack    = 20 * time.Millisecond
	slowFactorOfStop = 20 // Requests take 0.2 s at least, and 0.8 s in the mean.
)

// stopTrial sends requests to VMs that stop.
type stopTrial struct {
	t   *testing.T
	f   *trial.Fleet
	rng *rand.Rand

	mu      sync.Mutex
	replies map[string]trial.Reply
	timeout map[string]time.Duration // The time that each request has.
}

// TestPlannedStopsCutNothingOff guards against requests that arrive late in the grace time of a
// planned stop, are passed on and cut off at its end. It stops VMs, homes of pools among them, under
// at-most-once requests on kept and on new connections, with deadlines and without. Each
// connection that a VM has read a request from gets a response; one that promises that the
// request has not run is true, and one that leaves it open comes only when the request's time is over.
func TestPlannedStopsCutNothingOff(t *testing.T) {
	for _, grace := range []time.Duration{0, 6 * time.Second, 10 * time.Second} {
		t.Run(fmt.Sprintf("grace %v", grace), func(t *testing.T) {
			o := trial.Options{VMs: 4, Seed: 1, EditSettings: func(s *settings.Settings) { s.Stop.Grace = grace }}
			withFleet(t, "tt-north", o, func(t *testing.T, f *trial.Fleet) {
				for _, s := range f.Servers {
					s.SetFaults(standin.Faults{SlowFactor: slowFactorOfStop})
				}
				p := &stopTrial{
					t: t, f: f, rng: rand.New(rand.NewPCG(uint64(grace), 1)),
					replies: make(map[string]trial.Reply), timeout: make(map[string]time.Duration),
				}
				for i := range stopsPerGrace {
					p.stop(i, grace)
				}
				p.check()
			})
		})
	}
}

// stop stops the oldest VM while requests arrive at it and at another one, and replaces it.
func (p *stopTrial) stop(i int, grace time.Duration) {
	vm, other := p.f.VMs[0], p.f.VMs[1]
	kept := &http.Transport{DialContext: p.f.DialAsCaller, MaxIdleConnsPerHost: 8}
	defer kept.CloseIdleConnections()
	end := time.Duration(float64(grace) * 1.05)
	if grace == 0 {
		end = 12 * time.Second
	}
	var wg sync.WaitGroup
	for j := range requestsPerStop {
		at := time.Duration(p.rng.Float64()*float64(end+time.Second)) - time.Second
		c := trial.Call{
			Service: []site.ServiceName{"packshelf", "sealbook", "minutevault", "ballotline"}[j%4], Method: "DELETE", Path: "/x",
			Mark: fmt.Sprintf("stop %d, request %d", i, j),
		}
		if p.rng.IntN(3) > 0 {
			c.Deadline = time.Duration(100+p.rng.IntN(4900)) * time.Millisecond
		}
		var rt http.RoundTripper = kept
		if j%2 == 0 {
			rt = p.f.CallerTransport()
		}
		to := vm
		if j%5 == 0 {
			to = other
		}
		wg.Go(func() {
			time.Sleep(at + time.Second)
			p.send(rt, to, c)
		})
	}
	time.Sleep(time.Second)
	stopped := time.Now()
	vm.Stop()
	if grace > 0 {
		assert.Assert(p.t, time.Since(stopped) <= grace, "the stop took %v", time.Since(stopped))
	}
	wg.Wait()
	p.f.Retire(vm)
	_, err := p.f.StartVM(fmt.Sprintf("vm-%d", 100+i), vm.DataCentre)
	assert.NilError(p.t, err)
	time.Sleep(3 * time.Second)
}

// send sends a request and keeps its reply.
func (p *stopTrial) send(rt http.RoundTripper, vm *trial.VM, c trial.Call) {
	r := trial.Send(bg, &http.Client{Transport: rt}, vm.Daemon.Addresses().Callers, c)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replies[c.Mark], p.timeout[c.Mark] = r, longestDeadline
	if c.Deadline > 0 {
		p.timeout[c.Mark] = c.Deadline
	}
}

// check checks each request's reply against what the servers ran.
func (p *stopTrial) check() {
	runs := p.f.RunCounts()
	answered := 0
	for mark, r := range p.replies {
		ran := runs[mark]
		switch {
		case r.Err != nil:
			assert.Equal(p.t, ran, 0, "%s was cut off: %v", mark, r.Err)
		case r.Outcome == outcome.NotRun:
			assert.Equal(p.t, ran, 0, "%s has run: %d %s", mark, r.Status, r.Kind)
		case r.Outcome == outcome.Answered:
			answered++
			assert.Equal(p.t, ran, 1, "%s", mark)
		default:
			assert.Assert(p.t, r.Duration >= p.timeout[mark]-deadlineSlack, "%s: %d %s after %v of %v", mark, r.Status, r.Kind, r.Duration, p.timeout[mark])
		}
	}
	assert.Assert(p.t, answered > len(p.replies)/4, "%d of %d were answered", answered, len(p.replies))
}

package trial_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/store"
	"laburnumpick.org/pkg/trial"
)

// sendReads sends reads through random VMs at a mean rate for a duration, and returns
// the replies.
func sendReads(f *trial.Fleet, service site.ServiceName, perSecond int, d time.Duration) []trial.Reply {
	rng := rand.New(rand.NewPCG(42, uint64(time.Now().UnixNano())))
	var mu sync.Mutex
	var out []trial.Reply
	var wg sync.WaitGroup
	for i := range int(d.Seconds() * float64(perSecond)) {
		c := newRead(fmt.Sprintf("%s-%d-%d", service, time.Now().UnixNano(), i))
		c.Service = service
		vm := f.VMs[rng.IntN(len(f.VMs))]
		wg.Go(func() {
			r := f.Call(bg, vm, c)
			if r.Err == nil && r.Status == 200 && !r.Matches(c) {
				r.Err = fmt.Errorf("response to %s is incomplete or wrong: %q", c.Mark, r.Body)
			}
			mu.Lock()
			out = append(out, r)
			mu.Unlock()
		})
		time.Sleep(time.Duration(rng.ExpFloat64() / float64(perSecond) * float64(time.Second)))
	}
	wg.Wait()
	return out
}

// assertAnswered checks that no reply is an error, and that all but a share are
// answered with status 200.
func assertAnswered(t *testing.T, replies []trial.Reply, maxBadShare float64) {
	t.Helper()
	bad := 0
	var last trial.Reply
	for _, r := range replies {
		assert.NilError(t, r.Err)
		if r.Outcome != outcome.Answered || r.Status != 200 {
			bad++
			last = r
		}
	}
	assert.Assert(t, float64(bad) <= maxBadShare*float64(len(replies)), "%d of %d requests were not answered with status 200, the last of them: %s %s", bad, len(replies), last.Kind, last.Body)
}

// serverState returns the state of a server in the view of its pool's home.
func serverState(t *testing.T, f *trial.Fleet, service site.ServiceName, server string) string {
	t.Helper()
	for _, vm := range f.VMs {
		view, err := f.OperatorClient(vm).Believe(bg, &fleetapi.BelieveRequest{})
		if err != nil {
			continue
		}
		for _, p := range view.GetPools() {
			for _, s := range p.GetServers() {
				if s.GetName() == server && vm == homeOf(t, f, f.VMs[0], service) {
					return s.GetState()
				}
			}
		}
	}
	return "unknown"
}

// TestGrayServersAreEjectedAndRecover injects each fault that the health check does
// not show. The server must be ejected within ten seconds, recover after the fault is
// cleared, and no other server may be ejected.
func TestGrayServersAreEjectedAndRecover(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.Faults
	}{
		{"ten times slower", standin.Faults{SlowFactor: 10}},
		{"errors", standin.Faults{ErrorShare: 0.5}},
		{"truncated responses", standin.Faults{TruncateShare: 0.5}},
		{"responses to other requests", standin.Faults{MismatchShare: 0.5}},
		{"surplus bytes", standin.Faults{TrailingBytes: true}},
		{"connections closed", standin.Faults{CloseShare: 0.7}},
		{"no responses", standin.Faults{Unresponsive: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
				assertAnswered(t, sendReads(f, "packshelf", 60, 5*time.Second), 0)
				f.Servers["packshelf-3"].SetFaults(c.faults)
				assertAnswered(t, sendReads(f, "packshelf", 60, 10*time.Second), 0.05)
				assert.Equal(t, serverState(t, f, "packshelf", "packshelf-3"), "ejected")
				f.Servers["packshelf-3"].SetFaults(standin.Faults{})
				assertAnswered(t, sendReads(f, "packshelf", 60, 60*time.Second), 0)
				assert.Equal(t, serverState(t, f, "packshelf", "packshelf-3"), "healthy")
				for _, s := range f.Servers {
					assert.Assert(t, s.Name() == "packshelf-3" || serverState(t, f, "packshelf", s.Name()) != "ejected")
				}
			})
		})
	}
}

// TestBlackholedConnections drops all traffic of the open connections of a server or
// a VM. Requests must be retried on new connections well before their deadline of
// 5 s.
func TestBlackholedConnections(t *testing.T) {
	for _, host := range []string{"packshelf-1", "packshelf-2", "vm-2", "vm-5"} {
		t.Run(host, func(t *testing.T) {
			withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
				assertAnswered(t, sendReads(f, "packshelf", 60, 5*time.Second), 0)
				f.Net.BlackholeOpenConns(host)
				f.VMs = f.VMs[:1] // Send the reads through vm-1 only, which is none of the hosts.
				after := sendReads(f, "packshelf", 40, 5*time.Second)
				assertAnswered(t, after, 0)
				for _, r := range after {
					assert.Assert(t, r.Duration < 2500*time.Millisecond, "%v", r.Duration)
				}
			})
		})
	}
}

// TestOneWayPartitionToHome drops what the servers of one data centre send to the
// pool's home. Reads must succeed, and no server may be ejected, since the servers
// are reachable from other VMs.
func TestOneWayPartitionToHome(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		assertAnswered(t, sendReads(f, "packshelf", 60, 3*time.Second), 0)
		home := homeOf(t, f, f.VMs[0], "packshelf")
		for i, n := range f.Plan.Services[0].ServerNames() {
			if f.Plan.DataCentre(i) == home.DataCentre {
				f.Net.SetCut(standin.Link{From: string(n), To: home.Name}, true)
			}
		}
		assertAnswered(t, sendReads(f, "packshelf", 60, 20*time.Second), 0.01)
		for _, n := range f.Plan.Services[0].ServerNames() {
			assert.Assert(t, serverState(t, f, "packshelf", string(n)) != "ejected")
		}
	})
}

// TestCrashRequestAffectsAtMostTwoServers sends the same crashing request sixteen
// times, through all VMs in turn, among ordinary reads. After two crashes the request
// must be quarantined until an operator releases it.
func TestCrashRequestAffectsAtMostTwoServers(t *testing.T) {
	for _, gap := range []time.Duration{20 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(fmt.Sprint(gap), func(t *testing.T) {
			withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
				assertAnswered(t, sendReads(f, "minutevault", 60, 3*time.Second), 0)
				var wg sync.WaitGroup
				wg.Go(func() { assertAnswered(t, sendReads(f, "minutevault", 60, 10*time.Second), 0.02) })
				var mu sync.Mutex
				kinds := map[outcome.Kind]int{}
				for i := range 16 {
					c := newRead("crash")
					c.Service, c.Body = "minutevault", standin.CrashTrigger
					wg.Go(func() {
						r := f.Call(bg, f.VMs[i%len(f.VMs)], c)
						mu.Lock()
						kinds[r.Kind]++
						mu.Unlock()
					})
					time.Sleep(gap)
				}
				wg.Wait()
				crashed := map[string]bool{}
				for _, s := range f.Servers {
					for _, r := range s.Runs() {
						if r.Mark == "crash" {
							crashed[s.Name()] = true
						}
					}
				}
				assert.Assert(t, len(crashed) <= 2, "servers %v crashed; replies by kind: %v", crashed, kinds)
				assert.Assert(t, kinds[outcome.Quarantined] > 0, "replies by kind: %v", kinds)
				for n := range crashed {
					assert.Assert(t, serverState(t, f, "minutevault", n) != "ejected")
				}
				view, err := f.OperatorClient(f.VMs[0]).Believe(bg, &fleetapi.BelieveRequest{})
				assert.NilError(t, err)
				blocked := 0
				for _, s := range view.GetSuspects() {
					if s.GetBlocked() {
						blocked++
						_, err := f.OperatorClient(f.VMs[1]).Free(bg, &fleetapi.FreeRequest{Fingerprint: s.GetFingerprint()})
						assert.NilError(t, err)
					}
				}
				assert.Equal(t, blocked, 1)
				time.Sleep(2 * time.Second)
				view, err = f.OperatorClient(f.VMs[0]).Believe(bg, &fleetapi.BelieveRequest{})
				assert.NilError(t, err)
				for _, s := range view.GetSuspects() {
					assert.Assert(t, !s.GetBlocked(), "the request is still quarantined after an operator released it")
				}
			})
		})
	}
}

// TestLeavingServersGetNoNewRequests checks that a server is sent no requests from three
// seconds after it began to leave, and that no read fails meanwhile. The VMs learn of it
// from the server's refusals or from the platform's list.
func TestLeavingServersGetNoNewRequests(t *testing.T) {
	cases := []struct {
		name  string
		leave func(f *trial.Fleet, s *standin.Server)
	}{
		{"drain response of the server", func(_ *trial.Fleet, s *standin.Server) { s.SetFaults(standin.Faults{Draining: true}) }},
		{"the platform's list", func(f *trial.Fleet, s *standin.Server) {
			f.Store.SetVM(store.VM{Name: s.Name(), Address: s.Address(), Role: store.RoleBackend, State: store.VMLeaving})
		}},
		{"drain response of the server, store unavailable", func(f *trial.Fleet, s *standin.Server) {
			f.Store.SetFaults(func(store.Op) store.Fault { return store.FaultUnavailable })
			s.SetFaults(standin.Faults{Draining: true})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
				assertAnswered(t, sendReads(f, "sealbook", 60, 3*time.Second), 0)
				s := f.Servers["sealbook-2"]
				since := time.Now()
				c.leave(f, s)
				assertAnswered(t, sendReads(f, "sealbook", 60, 20*time.Second), 0)
				for _, r := range s.Runs() {
					assert.Assert(t, r.At.Sub(since) < 3*time.Second, "ran a request %v after the server began to leave", r.At.Sub(since))
				}
				for _, at := range s.RefusalTimes() {
					assert.Assert(t, at.Sub(since) < 3*time.Second, "received a request %v after the server began to leave", at.Sub(since))
				}
			})
		})
	}
}

// TestOverloadIsRefusedPromptly offers three times the capacity of a service. The VMs
// must use most of the capacity, refuse the rest promptly as not run, and not leave it
// to the servers to shed load.
func TestOverloadIsRefusedPromptly(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		replies := sendReads(f, "packshelf", 1800, 4*time.Second)
		answered := 0
		for _, r := range replies {
			assert.NilError(t, r.Err)
			if r.Outcome == outcome.Answered {
				answered++
				continue
			}
			assert.Equal(t, r.Outcome, outcome.NotRun, "%s", r.Kind)
			assert.Assert(t, r.RetryAfterMs != "")
			assert.Assert(t, r.Duration < 2*time.Second, "%v", r.Duration)
		}
		// 24 slots at 40 ms per request serve 600 requests per second.
		assert.Assert(t, answered > 4*600*8/10, "only %d requests were answered", answered)
		shed := 0
		for _, s := range f.Servers {
			shed += s.ShedCount()
		}
		assert.Assert(t, shed < len(replies)/100, "%d requests were shed by servers", shed)
	})
}

package trial_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/trial"
)

// aRoute sends a host's requests under a prefix to services of tt-north.
func aRoute(name, prefix string, run site.Class, shares ...site.Share) *site.Route {
	return &site.Route{
		Name: site.RouteName(name), Host: "boards", PathPrefix: prefix, Shares: shares, Run: run,
		TimeoutMs: 2000, TargetMs: 1000, Attempts: 2, Priority: 1,
	}
}

func toRoute(path, mark string) trial.Call {
	return trial.Call{Service: "boards", Method: "GET", Path: path, Mark: mark, Size: 100}
}

// served returns which service ran a mark.
func served(f *trial.Fleet, mark string) site.ServiceName {
	for i := range f.Plan.Services {
		for _, n := range f.Plan.Services[i].ServerNames() {
			for _, r := range f.Servers[n].Runs() {
				if r.Mark == mark {
					return f.Plan.Services[i].Name
				}
			}
		}
	}
	return ""
}

// TestRoutesTakeTheLongestPrefix moves a route to another service, adds one and
// deletes one. Each change is in force in all VMs within two seconds.
func TestRoutesTakeTheLongestPrefix(t *testing.T) {
	withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
		put := func(o site.Object) {
			a := apply(t, f, f.VMs[0], fmt.Sprintf("%s-%d", o.ID(), time.Now().UnixNano()), o)
			assert.Equal(t, a.GetVerdict(), "accepted", "%s", a.GetReason())
			time.Sleep(2 * time.Second)
		}
		put(aRoute("all", "/", site.Repeatable, site.Share{Service: "packshelf", Weight: 1}))
		put(aRoute("old", "/old/", site.Repeatable, site.Share{Service: "minutevault", Weight: 1}))
		check := func(path string, want site.ServiceName) {
			for i, vm := range f.VMs {
				c := toRoute(path, fmt.Sprintf("%s-%d-%d", path, i, time.Now().UnixNano()))
				assertOutcome(t, f.Call(bg, vm, c), outcome.Answered, "")
				assert.Equal(t, served(f, c.Mark), want)
			}
		}
		check("/new/x", "packshelf")
		check("/old/x", "minutevault")
		check("/oldest", "packshelf")
		put(aRoute("old", "/old/", site.Repeatable, site.Share{Service: "sealbook", Weight: 1}))
		check("/old/x", "sealbook")
	})
}

// TestRouteSharesFollowTheirWeights counts where a weighted route's requests go.
func TestRouteSharesFollowTheirWeights(t *testing.T) {
	withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
		apply(t, f, f.VMs[0], "r", aRoute("both", "/", site.Repeatable,
			site.Share{Service: "packshelf", Weight: 80}, site.Share{Service: "minutevault", Weight: 20}))
		time.Sleep(2 * time.Second)
		const requests = 400
		for i := range requests {
			assertOutcome(t, f.Call(bg, f.VMs[i%len(f.VMs)], toRoute("/x", fmt.Sprint(i))), outcome.Answered, "")
		}
		n := 0
		for i := range requests {
			if served(f, fmt.Sprint(i)) == "minutevault" {
				n++
			}
		}
		assert.Assert(t, n > requests/10 && n < requests*3/10, "%d of %d", n, requests)
	})
}

// TestRouteBoundsServersAndTime fails all servers. A request reaches as many as
// its route allows, and an answer comes by the route's timeout.
func TestRouteBoundsServersAndTime(t *testing.T) {
	withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
		apply(t, f, f.VMs[0], "r", aRoute("reads", "/", site.Repeatable, site.Share{Service: "packshelf", Weight: 1}))
		apply(t, f, f.VMs[0], "w", aRoute("once", "/once/", site.AtMostOnce, site.Share{Service: "sealbook", Weight: 1}))
		time.Sleep(2 * time.Second)
		for _, s := range f.Servers {
			s.SetFaults(standin.Faults{ErrorShare: 1})
		}
		assert.Equal(t, f.Call(bg, f.VMs[0], toRoute("/x", "twice")).Status, 500)
		assert.Equal(t, f.Call(bg, f.VMs[1], toRoute("/once/x", "once")).Status, 500)
		assert.Equal(t, f.RunCounts()["twice"], 2)
		assert.Equal(t, f.RunCounts()["once"], 1)
		for _, s := range f.Servers {
			s.SetFaults(standin.Faults{Unresponsive: true})
		}
		for _, path := range []string{"/x", "/once/x"} {
			r := f.Call(bg, f.VMs[2], toRoute(path, "late"+path))
			assertOutcome(t, r, outcome.Unknown, outcome.ServerSilent)
			assert.Assert(t, r.Took >= 1900*time.Millisecond && r.Took < 2200*time.Millisecond, "%v", r.Took)
		}
	})
}

// TestOnceOnlyIsNeverSentAgain loses the answers of requests that may run once,
// among refusals that do not count as runs.
func TestOnceOnlyIsNeverSentAgain(t *testing.T) {
	withFleet(t, "tt-north", small(), func(t *testing.T, f *trial.Fleet) {
		apply(t, f, f.VMs[0], "w", aRoute("once", "/", site.AtMostOnce, site.Share{Service: "sealbook", Weight: 1}))
		time.Sleep(2 * time.Second)
		for i, n := range f.Plan.Services[1].ServerNames() {
			f.Servers[n].SetFaults(standin.Faults{CloseShare: 0.5, Cold: i%3 == 0})
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		outcomes := map[string]outcome.Outcome{}
		for i := range 200 {
			wg.Go(func() {
				r := f.Call(bg, f.VMs[i%len(f.VMs)], toRoute("/x", fmt.Sprint(i)))
				mu.Lock()
				defer mu.Unlock()
				outcomes[fmt.Sprint(i)] = r.Outcome
			})
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		runs := f.RunCounts()
		for mark, o := range outcomes {
			assert.Assert(t, runs[mark] <= 1, "%s ran %d times", mark, runs[mark])
			assert.Assert(t, o != outcome.NotRun || runs[mark] == 0, "%s was told not run", mark)
			assert.Assert(t, o != outcome.Answered || runs[mark] == 1, "%s was answered", mark)
		}
	})
}

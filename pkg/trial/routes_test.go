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

// newRoute returns a route of the host "boards" for requests under a path prefix.
func newRoute(name, prefix string, class site.Class, shares ...site.Share) *site.Route {
	return &site.Route{
		Name: site.RouteName(name), Host: "boards", PathPrefix: prefix, Shares: shares, Class: class,
		TimeoutMs: 2000, TargetMs: 1000, Attempts: 2, Priority: 1,
	}
}

// newRouteCall returns a call to the host "boards".
func newRouteCall(path, mark string) trial.Call {
	return trial.Call{Service: "boards", Method: "GET", Path: path, Mark: mark, Size: 100}
}

// servedBy returns the service that ran the request with a mark, or "".
func servedBy(f *trial.Fleet, mark string) site.ServiceName {
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

// TestRoutesUseLongestPrefix checks that a request uses the route with the longest
// matching prefix, and that all VMs apply a new or changed route within two seconds.
func TestRoutesUseLongestPrefix(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		put := func(o site.Object) {
			resp := apply(t, f, f.VMs[0], fmt.Sprintf("%s-%d", o.ID(), time.Now().UnixNano()), o)
			assert.Equal(t, resp.GetVerdict(), "accepted", "%s", resp.GetReason())
			time.Sleep(2 * time.Second)
		}
		put(newRoute("all", "/", site.Repeatable, site.Share{Service: "packshelf", Weight: 1}))
		put(newRoute("old", "/old/", site.Repeatable, site.Share{Service: "minutevault", Weight: 1}))
		check := func(path string, want site.ServiceName) {
			for i, vm := range f.VMs {
				c := newRouteCall(path, fmt.Sprintf("%s-%d-%d", path, i, time.Now().UnixNano()))
				assertOutcome(t, f.Call(bg, vm, c), outcome.Answered, "")
				assert.Equal(t, servedBy(f, c.Mark), want)
			}
		}
		check("/new/x", "packshelf")
		check("/old/x", "minutevault")
		check("/oldest", "packshelf")
		put(newRoute("old", "/old/", site.Repeatable, site.Share{Service: "sealbook", Weight: 1}))
		check("/old/x", "sealbook")
	})
}

// TestRouteWeights checks that requests are spread by the weights of a route's
// services.
func TestRouteWeights(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		apply(t, f, f.VMs[0], "r", newRoute("both", "/", site.Repeatable,
			site.Share{Service: "packshelf", Weight: 80}, site.Share{Service: "minutevault", Weight: 20}))
		time.Sleep(2 * time.Second)
		const requests = 400
		for i := range requests {
			assertOutcome(t, f.Call(bg, f.VMs[i%len(f.VMs)], newRouteCall("/x", fmt.Sprint(i))), outcome.Answered, "")
		}
		n := 0
		for i := range requests {
			if servedBy(f, fmt.Sprint(i)) == "minutevault" {
				n++
			}
		}
		assert.Assert(t, n > requests/10 && n < requests*3/10, "%d of %d requests went to minutevault", n, requests)
	})
}

// TestRouteLimitsAttemptsAndTime makes all servers fail. A request must run as often
// as its route allows attempts, and get a reply at the route's timeout.
func TestRouteLimitsAttemptsAndTime(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		apply(t, f, f.VMs[0], "r", newRoute("reads", "/", site.Repeatable, site.Share{Service: "packshelf", Weight: 1}))
		apply(t, f, f.VMs[0], "w", newRoute("once", "/once/", site.AtMostOnce, site.Share{Service: "sealbook", Weight: 1}))
		time.Sleep(2 * time.Second)
		for _, s := range f.Servers {
			s.SetFaults(standin.Faults{ErrorShare: 1})
		}
		assert.Equal(t, f.Call(bg, f.VMs[0], newRouteCall("/x", "twice")).Status, 500)
		assert.Equal(t, f.Call(bg, f.VMs[1], newRouteCall("/once/x", "once")).Status, 500)
		assert.Equal(t, f.RunCounts()["twice"], 2)
		assert.Equal(t, f.RunCounts()["once"], 1)
		for _, s := range f.Servers {
			s.SetFaults(standin.Faults{Unresponsive: true})
		}
		for _, path := range []string{"/x", "/once/x"} {
			r := f.Call(bg, f.VMs[2], newRouteCall(path, "late"+path))
			assertOutcome(t, r, outcome.Unknown, outcome.ServerTimeout)
			assert.Assert(t, r.Duration >= 1900*time.Millisecond && r.Duration < 2200*time.Millisecond, "%v", r.Duration)
		}
	})
}

// TestAtMostOnceRouteIsNotRetried loses responses to at-most-once requests, among
// refusals, after which a request may be sent to another server.
func TestAtMostOnceRouteIsNotRetried(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		apply(t, f, f.VMs[0], "w", newRoute("once", "/", site.AtMostOnce, site.Share{Service: "sealbook", Weight: 1}))
		time.Sleep(2 * time.Second)
		for i, n := range f.Plan.Services[1].ServerNames() {
			f.Servers[n].SetFaults(standin.Faults{CloseShare: 0.5, Cold: i%3 == 0})
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		outcomes := map[string]outcome.Outcome{}
		for i := range 200 {
			wg.Go(func() {
				r := f.Call(bg, f.VMs[i%len(f.VMs)], newRouteCall("/x", fmt.Sprint(i)))
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
			assert.Assert(t, o != outcome.NotRun || runs[mark] == 0, "%s ran, but its outcome is notRun", mark)
			assert.Assert(t, o != outcome.Answered || runs[mark] == 1, "%s was answered, but did not run once", mark)
		}
	})
}

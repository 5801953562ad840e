package trial_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/trial"
)

// endlessDeadline is the deadline of requests to servers whose bytes never end.
const endlessDeadline = 2 * time.Second

// TestEndlessBytesEndWithTheRequest guards against a backend server that sends bytes that are
// no response and never end: the VM closes within the request's time and takes a bounded number
// of bytes where it has to keep them, callers of other servers do not wait, and the server
// loses work.
func TestEndlessBytesEndWithTheRequest(t *testing.T) {
	for _, place := range standin.EndlessPlaces {
		t.Run(string(place), func(t *testing.T) {
			withFleet(t, "tt-north", trial.Options{VMs: 4, Seed: 1}, func(t *testing.T, f *trial.Fleet) {
				names := f.Plan.Service("packshelf").ServerNames()
				bad := f.Servers[names[0]]
				bad.SetFaults(standin.Faults{EndlessBytes: place})
				replies := sendPackReads(f, 400)
				unserved := 0
				for _, r := range replies {
					assert.Check(t, r.Duration <= endlessDeadline+100*time.Millisecond, "a reply took %v", r.Duration)
					if r.Outcome != outcome.Answered || r.Status != 200 || r.Err != nil {
						unserved++
					}
				}
				runs := len(bad.Runs())
				t.Logf("%d of %d requests not served, the server got %d, the most bytes %d", unserved, len(replies), runs, bad.MostEndlessBytes())
				assert.Check(t, unserved <= runs, "requests of other servers were not served")
				assert.Check(t, runs > 0 && runs < 400/len(names)/2, "the server got %d requests", runs)
				if place != standin.EndlessBody {
					assert.Check(t, bad.MostEndlessBytes() < 256<<10, "the server could send %d bytes", bad.MostEndlessBytes())
				}
			})
		})
	}
}

// sendPackReads sends n reads of packshelf, 40 a second, through all VMs in turn.
func sendPackReads(f *trial.Fleet, n int) []trial.Reply {
	replies := make([]trial.Reply, n)
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(time.Second / 40)
		vm := f.VMs[i%len(f.VMs)]
		c := trial.Call{Service: "packshelf", Method: "GET", Path: "/packs/1", Mark: fmt.Sprintf("read-%d", i), Deadline: endlessDeadline}
		wg.Go(func() { replies[i] = f.Call(bg, vm, c) })
	}
	wg.Wait()
	return replies
}

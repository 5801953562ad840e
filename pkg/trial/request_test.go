package trial_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/trial"
)

// withFleet runs a test on a site, with the virtual time of testing/synctest.
func withFleet(t *testing.T, plan string, o trial.Options, test func(t *testing.T, f *trial.Fleet)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p, err := trial.LoadPlan(plan)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f, err := trial.Start(ctx, p, o)
		assert.NilError(t, err)
		defer func() {
			f.Stop()
			time.Sleep(time.Minute) // Lets calls that are still blocked time out.
		}()
		time.Sleep(5 * time.Second) // Lets the VMs discover each other.
		test(t, f)
	})
}

func TestRequestThroughAnyVM(t *testing.T) {
	withFleet(t, "tt-north", trial.Options{VMs: 8, Seed: 1, Downtime: time.Second}, func(t *testing.T, f *trial.Fleet) {
		for i, vm := range f.VMs {
			c := trial.Call{Service: "packshelf", Method: "GET", Path: "/packs/7", Mark: fmt.Sprintf("read-%d", i), Size: 2000}
			r := f.Call(context.Background(), vm, c)
			assert.NilError(t, r.Err)
			assert.Equal(t, r.Outcome, outcome.Answered, "%s", r.Body)
			assert.Assert(t, r.Matches(c))
		}
	})
}

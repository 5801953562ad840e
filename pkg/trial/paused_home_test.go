package trial_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/trial"
)

// TestPausedHomeGrantsNothingToVMsThatGaveUp guards against slots of sound servers that a home,
// after a pause, grants to calls whose VMs have given up, and that nobody releases before the
// requests' deadlines.
func TestPausedHomeGrantsNothingToVMsThatGaveUp(t *testing.T) {
	withFleet(t, "tt-north", cutOffFleet(), func(t *testing.T, f *trial.Fleet) {
		vm := f.VMs[0]
		address := vm.Daemon.Addresses().VMs
		hc := &http.Client{Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, a string) (net.Conn, error) { return f.Net.DialFrom(ctx, "caller", a) },
		}}
		c := fleetapi.NewFleetProtobufClient("http://"+address, hc)
		ctx, err := twirp.WithHTTPRequestHeaders(bg, f.FleetHeader())
		assert.NilError(t, err)
		acquire := func(ctx context.Context) (*fleetapi.AcquireAnswer, error) {
			return c.Acquire(ctx, &fleetapi.AcquireRequest{RequestId: "r", Service: "packshelf", Repeatable: true, LeftMs: 20_000, Vm: "vm-9"})
		}
		_, err = acquire(ctx) // Leaves a connection open.
		assert.NilError(t, err)
		assert.Equal(t, slotsInUse(vm), 1)
		f.Net.Pause(vm.Name, 3*time.Second)
		given, cancel := context.WithTimeout(ctx, 250*time.Millisecond)
		defer cancel()
		_, err = acquire(given)
		assert.Assert(t, err != nil)
		time.Sleep(5 * time.Second)
		assert.Equal(t, slotsInUse(vm), 1)
	})
}

// slotsInUse returns the number of slots that a VM has granted as home.
func slotsInUse(vm *trial.VM) int {
	n := 0
	for _, p := range vm.Daemon.Pools(bg) {
		for _, s := range p.Servers {
			n += s.InUse
		}
	}
	return n
}

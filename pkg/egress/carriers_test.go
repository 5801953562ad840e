package egress

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// newVMs returns n VMs in two data centres.
func newVMs(n int) []roster.VM {
	var out []roster.VM
	for i := range n {
		out = append(out, roster.VM{Name: roster.VMName(fmt.Sprint("vm-", i)), DataCentre: site.DataCentre(fmt.Sprint("dc-", i%2))})
	}
	return out
}

func newCarriers(vms []roster.VM) *Carriers { return NewCarriers(vms[0], rand.New(rand.NewPCG(1, 2))) }

// TestNearVMsAreAskedFirst guards against traffic between data centres that is not needed, and
// against a VM that asks itself.
func TestNearVMsAreAskedFirst(t *testing.T) {
	vms := newVMs(10)
	c := newCarriers(vms)
	for range 100 {
		vm, ok := c.Choose(start, vms, nil)
		assert.Assert(t, ok)
		assert.Equal(t, vm.DataCentre, vms[0].DataCentre)
		assert.Assert(t, vm.Name != vms[0].Name)
	}
	_, ok := c.Choose(start, vms[:1], nil)
	assert.Assert(t, !ok)
}

// TestVMsThatCannotCarryAreLeftAlone guards against VMs that are asked again and again while
// they are cut off or busy, and against a data centre that is cut off as a whole.
func TestVMsThatCannotCarryAreLeftAlone(t *testing.T) {
	vms := newVMs(10)
	c := newCarriers(vms)
	for _, vm := range vms {
		if vm.DataCentre == vms[0].DataCentre {
			c.Pause(start, vm.Name, cutOffPause)
		}
	}
	for range 50 {
		vm, ok := c.Choose(start, vms, nil)
		assert.Assert(t, ok)
		assert.Equal(t, vm.DataCentre, vms[1].DataCentre)
	}
	for _, vm := range vms {
		c.Pause(start, vm.Name, cutOffPause)
	}
	_, ok := c.Choose(start, vms, nil)
	assert.Assert(t, !ok)
	_, ok = c.Choose(start.Add(cutOffPause), vms, nil)
	assert.Assert(t, ok)
}

// TestRequestsSpreadOverVMs guards against one VM that carries all requests, and against many
// requests to VMs of which nothing is known once some are known to carry.
func TestRequestsSpreadOverVMs(t *testing.T) {
	vms := newVMs(40)
	c := newCarriers(vms)
	asked := make(map[roster.VMName]int)
	unproven := 0
	for range 400 {
		vm, ok := c.Choose(start, vms, nil)
		assert.Assert(t, ok)
		if !c.Proven(start, vm.Name) {
			unproven++
		}
		asked[vm.Name]++
		c.Begin(vm.Name)
		c.Carried(start, vm.Name)
	}
	assert.Equal(t, unproven, knownCarriers)
	for n, times := range asked {
		assert.Assert(t, times < 400/knownCarriers*3/2, "%s was asked %d times", n, times)
	}
}

// TestWhatIsKnownOfVMsIsForgotten guards against memory that grows with each VM that ever was.
func TestWhatIsKnownOfVMsIsForgotten(t *testing.T) {
	vms := newVMs(4)
	c := newCarriers(vms)
	for i := range 1000 {
		c.Carried(start, roster.VMName(fmt.Sprint("gone-", i)))
	}
	c.Choose(start.Add(carrierMemory), vms, nil)
	assert.Equal(t, len(c.known), 0)
}

package fleet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/dispatch"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// vmLimits is what a VM knows of the limits of service s, with shorthands for the tests.
type vmLimits struct{ *knownLimits }

func newVMLimits() vmLimits { return vmLimits{newKnownLimits("self")} }

// heard records a response of server s-0 to the VM.
func (k vmLimits) heard(now time.Time, l site.RequestLimit, err error) {
	k.observe(now, "s", site.Server{Name: "s-0"}, dispatch.ObservedLimit{Limit: l, Err: err})
}

// ask returns the request that the VM sends to a home.
func (k vmLimits) ask(now time.Time, vm roster.VMName) *home.SlotRequest {
	return k.forRequest(now, vm, &home.SlotRequest{Service: "s"})
}

// answered records the reply of VM vm-1 as the home, with the given limits of server s-0.
func (k vmLimits) answered(now time.Time, req *home.SlotRequest, v pool.LimitVersion, limits ...site.RequestLimit) {
	list := pool.LimitList{Version: v}
	for _, l := range limits {
		list.Limits = append(list.Limits, pool.NamedLimit{Server: "s-0", Limit: l, Age: time.Second})
	}
	k.handleReply(now, now, "vm-1", req, list)
}

// known returns the limit of s-0 that the VM knows.
func (k vmLimits) known(now time.Time) site.RequestLimit {
	if limits := k.service("s").current(now); len(limits) > 0 {
		return limits[0].Limit
	}
	return site.RequestLimit{}
}

// version returns the version of the limits at a home after some changes.
func version(changes int64) pool.LimitVersion { return pool.LimitVersion{Since: 1, Changes: changes} }

// TestHomeIsToldWhatAVMKnows guards against a home that decides on a request of a VM with
// less knowledge of the servers' limits than that VM has.
func TestHomeIsToldWhatAVMKnows(t *testing.T) {
	k := newVMLimits()
	assert.Equal(t, len(k.ask(start, "vm-1").Limits), 0)
	k.heard(start, site.LimitOf(1), nil)
	req := k.ask(start, "vm-1")
	assert.Equal(t, len(req.Limits), 1)
	assert.Equal(t, len(k.ask(start, "vm-1").Limits), 1, "the first request has not been answered")
	k.answered(start, req, version(1), site.LimitOf(1))
	assert.Equal(t, len(k.ask(start, "vm-1").Limits), 0, "told just now")
	assert.Equal(t, k.ask(start, "vm-1").LimitVersion, version(1))
	k.heard(start, site.LimitOf(0.5), nil)
	assert.Equal(t, len(k.ask(start, "vm-1").Limits), 1, "the limit has changed")
	k.answered(start, k.ask(start, "vm-1"), version(2), site.LimitOf(0.5))
	next := k.ask(start, "vm-2")
	assert.Equal(t, len(next.Limits), 1, "another home")
	assert.Equal(t, next.LimitVersion, pool.LimitVersion{})
}

// TestRestartedHomeLiftsNoLimit guards against a home that has restarted, knows no limit
// and makes the VMs that ask it forget those that they know.
func TestRestartedHomeLiftsNoLimit(t *testing.T) {
	k := newVMLimits()
	k.heard(start, site.LimitOf(1), nil)
	k.answered(start, k.ask(start, "vm-1"), version(1), site.LimitOf(1))
	later := start.Add(time.Second)
	k.answered(later, k.ask(later, "vm-1"), pool.LimitVersion{Since: 2})
	assert.Equal(t, k.known(later), site.LimitOf(1))
	assert.Equal(t, len(k.ask(later, "vm-1").Limits), 1, "the home is told again")
}

// TestVMLearnsLimitsFromTheHome guards against a VM that loses all homes and sends a
// server requests beyond a limit that only others were told, or holds it to one that has
// ended.
func TestVMLearnsLimitsFromTheHome(t *testing.T) {
	k := newVMLimits()
	k.answered(start, k.ask(start, "vm-1"), version(1), site.LimitOf(2))
	assert.Equal(t, k.known(start), site.LimitOf(2))
	later := start.Add(time.Minute)
	k.answered(later, k.ask(start, "vm-1"), version(1))
	assert.Equal(t, k.known(later), site.LimitOf(2), "the home has confirmed the version")
	k.answered(later, k.ask(later, "vm-1"), version(2))
	assert.Equal(t, k.known(later), site.RequestLimit{}, "the limit has ended")
	req := k.ask(later, "vm-1")
	k.heard(later.Add(time.Millisecond), site.LimitOf(1), nil)
	k.handleReply(later.Add(2*time.Millisecond), later, "vm-1", req, pool.LimitList{Version: version(3)})
	assert.Equal(t, k.known(later), site.LimitOf(1), "heard after the request was sent")
	k.answered(later.Add(time.Second), req, version(2), site.LimitOf(0.1))
	assert.Equal(t, k.known(later), site.LimitOf(1), "a reply from before the last one")
	assert.Equal(t, k.known(later.Add(limitMemory+2*time.Second)), site.RequestLimit{}, "nobody has confirmed it")
}

// TestInvalidLimitLiftsNoLimit guards against a limit that is lifted by a response whose
// limit cannot be read.
func TestInvalidLimitLiftsNoLimit(t *testing.T) {
	k := newVMLimits()
	k.heard(start, site.LimitOf(2), nil)
	k.heard(start, site.RequestLimit{}, errors.New("not a number"))
	assert.Equal(t, k.known(start), site.LimitOf(2))
	k.heard(start, site.LimitOf(1), errors.New("named 2 times"))
	assert.Equal(t, k.known(start), site.LimitOf(1))
	k.heard(start, site.RequestLimit{}, nil)
	assert.Equal(t, k.known(start), site.RequestLimit{})
}

// TestLimitSharesAddUp guards against VMs that decide at the same time and together use
// more than one and a half times a server's limit.
func TestLimitSharesAddUp(t *testing.T) {
	const vms = 44
	var all []roster.VM
	for i := range vms {
		all = append(all, roster.VM{Name: roster.VMName(fmt.Sprintf("vm-%02d", i))})
	}
	sum, first := 0.0, 0.0
	for _, self := range all {
		n := &Node{cfg: Config{Self: self, Registry: registry.NewReplica(), Replica: catalog.NewReplica()}}
		n.view.Store(roster.NewView(all))
		share := n.LimitShare("s")
		sum += share
		first = max(first, share)
		n.isolated.Store(true)
		assert.Equal(t, n.LimitShare("s"), 1.0/vms)
	}
	assert.Equal(t, first, 1.0, "one VM uses the whole limit")
	assert.Assert(t, sum <= 1.5, "all together use %.3f of it", sum)
}

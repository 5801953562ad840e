package egress

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"laburnumpick.org/pkg/roster"
)

// Limits of the choice of the VMs that carry requests.
const (
	// knownCarriers is the number of VMs that have lately carried a request above which no
	// others are asked, so that VMs that are cut off too cost no time.
	knownCarriers = 4
	// exploreShare is the share of the requests for which another VM is asked while fewer are
	// known.
	exploreShare = 0.25
	// carrierMemory is how long a VM counts as one that carries requests.
	carrierMemory = 5 * time.Second
	// cutOffPause is how long a VM that is cut off too, or does not answer, is not asked again.
	cutOffPause = time.Second
	// busyPause is how long a VM that carries as much as it can is not asked again.
	busyPause = 200 * time.Millisecond
)

// carrier is what is known of a VM that may carry requests.
type carrier struct {
	carriedAt  time.Time // When it last carried a request.
	pauseUntil time.Time // It is not asked before.
	inFlight   int
}

// Carriers chooses the VMs through which requests reach servers. It is safe for concurrent use.
type Carriers struct {
	self roster.VM

	mu    sync.Mutex
	rng   *rand.Rand
	known map[roster.VMName]*carrier
}

// NewCarriers returns the carriers of a VM.
func NewCarriers(self roster.VM, rng *rand.Rand) *Carriers {
	return &Carriers{self: self, rng: rng, known: make(map[roster.VMName]*carrier)}
}

// choices are the VMs that may be asked.
type choices struct {
	proven []roster.VM // VMs that have lately reached a server.
	near   []roster.VM // Others of this VM's data centre.
	others []roster.VM
}

// Choose returns one of the VMs to ask next, or false if there is none. tried holds those that
// were asked for the same request.
func (c *Carriers) Choose(now time.Time, vms []roster.VM, tried []roster.VMName) (roster.VM, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune(now)
	o := c.choicesOf(now, vms, tried)
	explores := len(o.proven) == 0 || (len(o.proven) < knownCarriers && c.rng.Float64() < exploreShare)
	switch {
	case explores && len(o.near) > 0 && len(tried) == 0:
		return o.near[c.rng.IntN(len(o.near))], true
	case explores && len(o.near)+len(o.others) > 0:
		all := slices.Concat(o.near, o.others)
		return all[c.rng.IntN(len(all))], true
	case len(o.proven) > 0:
		return c.lessLoaded(o.proven[c.rng.IntN(len(o.proven))], o.proven[c.rng.IntN(len(o.proven))]), true
	default:
		return roster.VM{}, false
	}
}

// choicesOf sorts the VMs that may be asked. The caller must hold c.mu.
func (c *Carriers) choicesOf(now time.Time, vms []roster.VM, tried []roster.VMName) choices {
	var o choices
	for _, vm := range vms {
		if vm.Name == c.self.Name || slices.Contains(tried, vm.Name) {
			continue
		}
		k := c.known[vm.Name]
		switch {
		case k != nil && now.Before(k.pauseUntil):
		case k != nil && now.Sub(k.carriedAt) < carrierMemory:
			o.proven = append(o.proven, vm)
		case vm.DataCentre == c.self.DataCentre:
			o.near = append(o.near, vm)
		default:
			o.others = append(o.others, vm)
		}
	}
	return o
}

// Draw returns a number below n, which must be positive.
func (c *Carriers) Draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// lessLoaded returns the VM that carries fewer of this VM's requests.
func (c *Carriers) lessLoaded(a, b roster.VM) roster.VM {
	if c.known[b.Name].inFlight < c.known[a.Name].inFlight {
		return b
	}
	return a
}

// prune forgets the VMs of which nothing is known any more. The caller must hold c.mu.
func (c *Carriers) prune(now time.Time) {
	for n, k := range c.known {
		if k.inFlight == 0 && now.After(k.pauseUntil) && now.Sub(k.carriedAt) >= carrierMemory {
			delete(c.known, n)
		}
	}
}

// carrier returns what is known of a VM. The caller must hold c.mu.
func (c *Carriers) carrier(n roster.VMName) *carrier {
	k, ok := c.known[n]
	if !ok {
		k = &carrier{}
		c.known[n] = k
	}
	return k
}

// Begin records that a VM is asked to carry a request.
func (c *Carriers) Begin(n roster.VMName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.carrier(n).inFlight++
}

// End records that a VM no longer carries a request.
func (c *Carriers) End(n roster.VMName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.carrier(n).inFlight--
}

// Carried records that a VM has reached a server.
func (c *Carriers) Carried(now time.Time, n roster.VMName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.carrier(n).carriedAt = now
}

// Proven reports whether a VM has lately reached a server.
func (c *Carriers) Proven(now time.Time, n roster.VMName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, known := c.known[n]
	return known && now.Sub(k.carriedAt) < carrierMemory
}

// Pause keeps a VM from being asked for a time.
func (c *Carriers) Pause(now time.Time, n roster.VMName, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.carrier(n)
	k.pauseUntil, k.carriedAt = now.Add(d), time.Time{}
}

package roster

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"laburnumpick.org/pkg/site"
)

// View is an immutable list of the VMs that are eligible for roles. All VMs with
// the same view assign each role to the same VM.
type View struct {
	vms       []VM
	lost      int
	unheard   int
	suspected int
	ranks     *rankCache
}

// rankCache holds the candidates for roles. Views with the same VMs share it.
type rankCache struct {
	mu    sync.Mutex
	ranks map[role][]VM
}

// role is a task that one VM does for the site, such as being the home of a
// pool.
type role struct {
	name     string
	minCores float64 // VMs with fewer cores are ranked after all others.
	// dataCentre limits the role to the VMs of a data centre; empty for all VMs.
	dataCentre site.DataCentre
	protocol   Protocol // VMs with an earlier one are left out.
}

// maxRanked is how many VMs are kept for each role: the holder and its standbys.
const maxRanked = 4

// NewView returns a view of vms, which must be sorted by name.
func NewView(vms []VM) *View {
	return &View{vms: vms, ranks: &rankCache{ranks: make(map[role][]VM)}}
}

// NewViewWithLost returns a view of vms, which must be sorted by name, beside a number of VMs
// that have fallen silent.
func NewViewWithLost(vms []VM, lost int) *View {
	v := NewView(vms)
	v.lost = lost
	return v
}

// VMs returns all VMs of the view, sorted by name.
func (v *View) VMs() []VM { return v.vms }

// Lost returns the number of VMs that have fallen silent in the last minute without
// announcing a stop. They may have died, or live on the other side of a cut.
func (v *View) Lost() int { return v.lost }

// Suspected returns the number of VMs of the view that have missed heartbeats. They may have
// died, or live on the other side of a cut.
func (v *View) Suspected() int { return v.suspected }

// HasSameVMs reports whether two views have the same VMs, in the same state or not.
func (v *View) HasSameVMs(o *View) bool { return v.ranks == o.ranks }

// Unheard returns the number of VMs of the platform's list that have not answered yet.
// Entries of VMs that are gone count for a while.
func (v *View) Unheard() int { return v.unheard }

// QuotaHomes returns up to maxRanked candidates for the home of quotas, the first choice
// first.
func (v *View) QuotaHomes(name string) []VM {
	return v.rank(role{name: "quota/" + name, protocol: ProtocolQuotas})
}

// Homes returns up to maxRanked candidates for a pool's home, the first choice
// first. VMs with fewer cores than given come after all others.
func (v *View) Homes(pool string, cores float64) []VM {
	return v.rank(role{name: "pool/" + pool, minCores: cores})
}

// InDataCentre returns the first n candidates, at most maxRanked, for a role in a data
// centre.
func (v *View) InDataCentre(name string, dc site.DataCentre, n int) []VM {
	top := v.rank(role{name: "role/" + name, dataCentre: dc})
	return top[:min(n, len(top))]
}

// HasRole reports whether a VM is among the first n candidates for a site-wide
// role. Only the first maxRanked candidates are considered.
func (v *View) HasRole(name string, n int, vm VMName) bool {
	top := v.rank(role{name: "role/" + name})
	for i := range min(n, len(top)) {
		if top[i].Name == vm {
			return true
		}
	}
	return false
}

// rank orders VMs by weighted rendezvous hashing: each pair of a role and a VM
// has a score that grows with the VM's cores, and the highest score comes first.
// VMs therefore get roles in proportion to their cores, and if a VM goes, only
// its own roles move.
func (v *View) rank(r role) []VM {
	v.ranks.mu.Lock()
	defer v.ranks.mu.Unlock()
	if vms, ok := v.ranks.ranks[r]; ok {
		return vms
	}
	vms := rendezvous(r, v.vms)
	v.ranks.ranks[r] = vms
	return vms
}

// candidate is a VM with its score for a role.
type candidate struct {
	vm         VM
	score      float64
	undersized int // 1 if the VM has fewer cores than the role needs, else 0.
}

// scoreOf returns the score of a VM for a role: its cores divided by an
// exponentially distributed hash. The probability that a VM has the highest
// score equals its share of all cores.
func scoreOf(role string, vm *VM) float64 {
	h := xxhash.Sum64String(role + "\x00" + string(vm.Name))
	point := (float64(h>>11) + 0.5) / (1 << 53) // In the open interval (0, 1).
	return vm.cores() / -math.Log(point)
}

// rendezvous returns the first maxRanked candidates for a role.
func rendezvous(r role, vms []VM) []VM {
	top := make([]candidate, 0, maxRanked+1)
	for i := range vms {
		if vms[i].Protocol < r.protocol || (r.dataCentre != "" && vms[i].DataCentre != r.dataCentre) {
			continue
		}
		w := candidate{vm: vms[i], score: scoreOf(r.name, &vms[i])}
		if vms[i].cores() < r.minCores {
			w.undersized = 1
		}
		at, _ := slices.BinarySearchFunc(top, w, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.undersized, b.undersized), cmp.Compare(b.score, a.score), cmp.Compare(a.vm.Name, b.vm.Name))
		})
		if at >= maxRanked {
			continue
		}
		top = slices.Insert(top, at, w)
		top = top[:min(len(top), maxRanked)]
	}
	out := make([]VM, len(top))
	for i := range top {
		out[i] = top[i].vm
	}
	return out
}

package roster

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable list of the VMs that can have roles. Every VM with the
// same view gives each role to the same VM.
type View struct {
	vms   []VM
	mu    sync.Mutex
	cache map[string][]VM
}

// ranked is how many VMs of a role's order are kept: the holder, then those
// that stand in for it.
const ranked = 4

// NewView returns a view of VMs in order of names.
func NewView(vms []VM) *View {
	return &View{vms: vms, cache: make(map[string][]VM)}
}

// VMs returns all VMs of the view in order of names.
func (v *View) VMs() []VM { return v.vms }

// Homes returns the VMs for a pool's home, the first choice first.
func (v *View) Homes(pool string) []VM { return v.rank("pool/" + pool) }

// Holds reports whether a VM is among the first n for a role of the whole site.
func (v *View) Holds(role string, n int, vm VMName) bool {
	top := v.rank("role/" + role)
	for i := range min(n, len(top)) {
		if top[i].Name == vm {
			return true
		}
	}
	return false
}

// rank orders VMs by weighted rendezvous hashing: each role gives each VM a score
// that grows with its processor, and the highest come first. So a VM gets roles
// in proportion to its processor, and when one goes, only its roles move.
func (v *View) rank(role string) []VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	if vms, ok := v.cache[role]; ok {
		return vms
	}
	vms := rendezvous(role, v.vms)
	v.cache[role] = vms
	return vms
}

type scored struct {
	vm    VM
	score float64
}

// scoreOf is the score of a role for a VM: cores over an exponential draw, whose
// largest falls to each VM as often as its share of all cores.
func scoreOf(role string, vm *VM) float64 {
	cores := vm.Cores
	if cores <= 0 {
		cores = 1
	}
	h := xxhash.Sum64String(role + "\x00" + string(vm.Name))
	point := (float64(h>>11) + 0.5) / (1 << 53) // Between 0 and 1, neither included.
	return cores / -math.Log(point)
}

func rendezvous(role string, vms []VM) []VM {
	top := make([]scored, 0, ranked+1)
	for i := range vms {
		w := scored{vms[i], scoreOf(role, &vms[i])}
		at, _ := slices.BinarySearchFunc(top, w, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm.Name, b.vm.Name))
		})
		if at >= ranked {
			continue
		}
		top = slices.Insert(top, at, w)
		top = top[:min(len(top), ranked)]
	}
	out := make([]VM, len(top))
	for i := range top {
		out[i] = top[i].vm
	}
	return out
}

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
	cache map[role][]VM
}

// role is something that one VM does for the site.
type role struct {
	name  string
	least float64 // Cores that a VM should have for it.
}

// ranked is how many VMs of a role's order are kept: the holder, then those
// that stand in for it.
const ranked = 4

// NewView returns a view of VMs in order of names.
func NewView(vms []VM) *View {
	return &View{vms: vms, cache: make(map[role][]VM)}
}

// VMs returns all VMs of the view in order of names.
func (v *View) VMs() []VM { return v.vms }

// Homes returns the VMs for a pool's home, the first choice first. VMs with fewer
// cores than the pool needs come after all others.
func (v *View) Homes(pool string, least float64) []VM { return v.rank(role{"pool/" + pool, least}) }

// HasRole reports whether a VM is among the first n for a role of the whole site.
func (v *View) HasRole(name string, n int, vm VMName) bool {
	top := v.rank(role{name: "role/" + name})
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
func (v *View) rank(r role) []VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	if vms, ok := v.cache[r]; ok {
		return vms
	}
	vms := rendezvous(r, v.vms)
	v.cache[r] = vms
	return vms
}

type scored struct {
	vm    VM
	score float64
	weak  int // One where the VM has too few cores for the role.
}

// scoreOf is the score of a role for a VM: cores over an exponential draw, whose
// largest falls to each VM as often as its share of all cores.
func scoreOf(role string, vm *VM) float64 {
	h := xxhash.Sum64String(role + "\x00" + string(vm.Name))
	point := (float64(h>>11) + 0.5) / (1 << 53) // Between 0 and 1, neither included.
	return vm.cores() / -math.Log(point)
}

func rendezvous(r role, vms []VM) []VM {
	top := make([]scored, 0, ranked+1)
	for i := range vms {
		w := scored{vm: vms[i], score: scoreOf(r.name, &vms[i])}
		if vms[i].cores() < r.least {
			w.weak = 1
		}
		at, _ := slices.BinarySearchFunc(top, w, func(a, b scored) int {
			return cmp.Or(cmp.Compare(a.weak, b.weak), cmp.Compare(b.score, a.score), cmp.Compare(a.vm.Name, b.vm.Name))
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

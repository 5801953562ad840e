package roster

import (
	"cmp"
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

// rank orders VMs by rendezvous hashing: each role gives each VM a weight, and
// the heaviest VMs come first. When a VM goes, only its roles move.
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

type weighted struct {
	vm     VM
	weight uint64
}

func rendezvous(role string, vms []VM) []VM {
	top := make([]weighted, 0, ranked+1)
	for i := range vms {
		w := weighted{vms[i], xxhash.Sum64String(role + "\x00" + string(vms[i].Name))}
		at, _ := slices.BinarySearchFunc(top, w, func(a, b weighted) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm.Name, b.vm.Name))
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

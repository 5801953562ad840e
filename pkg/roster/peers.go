package roster

import (
	"maps"
	"slices"

	"laburnumpick.org/pkg/site"
)

// smallDataCentre is the number of VMs below which a data centre's VMs are near those of the next one too, by
// name. So each VM has two others that send it most of their heartbeats, and one that dies leaves none
// of its data centre unwatched.
const smallDataCentre = 3

// nearDataCentres returns the data centres to whose VMs this VM sends most of its heartbeats: its own, the next
// one if its own is small, and a small one whose next is its own. vms are the members of the view.
func nearDataCentres(self site.DataCentre, vms []VM) []site.DataCentre {
	size := make(map[site.DataCentre]int)
	for _, vm := range vms {
		size[vm.DataCentre]++
	}
	size[self] += 0 // It counts also while its VMs are not in the view.
	all := slices.Sorted(maps.Keys(size))
	at := slices.Index(all, self)
	next, previous := all[(at+1)%len(all)], all[(at+len(all)-1)%len(all)]
	near := []site.DataCentre{self}
	if size[self] < smallDataCentre {
		near = append(near, next)
	}
	if size[previous] < smallDataCentre {
		near = append(near, previous)
	}
	return near
}

// isNear reports whether this VM sends most of its heartbeats to a member's data centre.
func (r *Roster) isNear(m *member) bool { return slices.Contains(r.near, m.DataCentre) }

// insertAtRandom inserts a VM at a random place of the heartbeat order, so that
// VMs that start together do not all send to the same VM at once.
func (r *Roster) insertAtRandom(n VMName) {
	r.order = append(r.order, n)
	i, last := r.rng.IntN(len(r.order)), len(r.order)-1
	r.order[i], r.order[last] = r.order[last], r.order[i]
}

// Next returns the VM to send the next heartbeat to, or false if there is none.
// Most heartbeats stay near, mostly in this VM's data centre, because traffic between data
// centres is expensive and VMs mostly fail one at a time. While no VM of another
// data centre is in the view, as after a simultaneous start of all VMs, every
// second heartbeat goes to another data centre. While builds are mixed, every second one goes to a VM
// whose protocol is not known yet.
func (r *Roster) Next() (VM, bool) {
	r.heartbeats++
	if r.heartbeats%2 == 0 {
		if vm, ok := r.unheard(); ok {
			return vm, true
		}
	}
	far := r.heartbeats%farEvery == 0 || (r.onlyNear() && r.heartbeats%2 == 1)
	if vm, ok := r.nextPeer(far); ok {
		return vm, true
	}
	return r.nextPeer(!far)
}

// unheard returns a VM that only others have told of, without its protocol. A VM of an earlier build
// leaves the protocol out where it passes updates on.
func (r *Roster) unheard() (VM, bool) {
	for _, n := range r.order {
		m, ok := r.members[n]
		if ok && m.Status == Alive && m.Protocol == 0 && m.lastContact.IsZero() {
			return m.VM, true
		}
	}
	return VM{}, false
}

// onlyNear reports whether the view contains only VMs of this VM's data centre.
func (r *Roster) onlyNear() bool {
	return !slices.ContainsFunc(r.view.vms, func(vm VM) bool { return vm.DataCentre != r.self.DataCentre })
}

// Unconfirmed picks up to n random VMs that are known only from the platform's
// list.
func (r *Roster) Unconfirmed(n int) []VM {
	var out []VM
	for _, i := range r.rng.Perm(len(r.order)) {
		if m := r.members[r.order[i]]; m != nil && m.Incarnation == 0 && len(out) < n {
			out = append(out, m.VM)
		}
	}
	return out
}

// nextPeer advances to the next VM in the heartbeat order that is not dead and is
// near or far.
func (r *Roster) nextPeer(far bool) (VM, bool) {
	turn := &r.turns[0]
	if far {
		turn = &r.turns[1]
	}
	for range 2 * len(r.order) {
		if *turn >= len(r.order) {
			*turn = 0
			r.rng.Shuffle(len(r.order), func(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] })
		}
		n := r.order[*turn]
		*turn++
		m, ok := r.members[n]
		if ok && m.Status != Dead && r.isNear(m) != far {
			return m.VM, true
		}
	}
	return VM{}, false
}

// Helpers picks VMs to send an indirect heartbeat to a VM that did not answer.
func (r *Roster) Helpers(target VMName) []VM { return r.RandomPeers(helpers, target) }

// RandomPeers picks up to n random VMs other than the one named, without those that
// are dead or known only from the platform's list.
func (r *Roster) RandomPeers(n int, except VMName) []VM {
	var out []VM
	for _, i := range r.rng.Perm(len(r.order)) {
		m := r.members[r.order[i]]
		if m == nil || m.Name == except || m.Status == Dead || m.Incarnation == 0 {
			continue
		}
		out = append(out, m.VM)
		if len(out) == n {
			break
		}
	}
	return out
}

// GossipPeers picks up to n random VMs that updates are pushed to: one in another data centre
// and the others near, as far as there are such. Traffic between data centres is expensive,
// and an update needs to reach each of them only a few times.
func (r *Roster) GossipPeers(n int) []VM {
	var near, far []VM
	for _, vm := range r.RandomPeers(len(r.order), r.self.Name) {
		if vm.DataCentre == r.self.DataCentre {
			near = append(near, vm)
		} else {
			far = append(far, vm)
		}
	}
	first := min(1, len(far))
	out := slices.Concat(far[:first], near, far[first:])
	return out[:min(n, len(out))]
}

// randomMember picks a random member. It returns false for one that is known
// only from the platform's list.
func (r *Roster) randomMember() (*member, bool) {
	if len(r.order) == 0 {
		return nil, false
	}
	m, ok := r.members[r.order[r.rng.IntN(len(r.order))]]
	return m, ok && m.Incarnation > 0
}

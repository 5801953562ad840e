// Package roster maintains one VM's view of the site's other entry VMs.
//
// The platform's list of VMs lags behind, so VMs detect failures themselves,
// much like SWIM. In each period every VM sends a heartbeat to one other VM, and
// indirectly through helpers if it does not answer. A VM that answers neither is
// suspected for a while before it is declared dead; a suspected VM that is alive
// refutes the suspicion with a higher incarnation. Updates about members are
// piggybacked on heartbeats.
//
// From the roster each VM computes which VMs hold the site's roles, such as being
// the home of a pool (see View).
//
// The package does no I/O and takes the current time as an argument. A Roster is
// owned by one goroutine.
package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumpick.org/pkg/site"
)

// Parameters of the failure detector.
const (
	HeartbeatPeriod  = 500 * time.Millisecond  // Between two heartbeats that a VM sends.
	HeartbeatTimeout = 200 * time.Millisecond  // Of a direct heartbeat.
	IndirectTimeout  = 500 * time.Millisecond  // Of an indirect heartbeat.
	suspicionTimeout = 1500 * time.Millisecond // Time that a suspect has to refute the suspicion.
	forgetAfter      = time.Minute             // How long VMs of the platform's list that never answered are kept, and dead members, so that old updates do not revive them.
	helpers          = 3                       // VMs that are asked to send an indirect heartbeat.
	gossipFactor     = 2                       // Each update is sent this many times the logarithm (base 2) of the number of members.
	maxPiggyback     = 24                      // Updates on one message.
	minPiggyback     = 2                       // Messages are filled up to this with old updates, to repair missed ones.
	farEvery         = 8                       // One heartbeat in so many goes to another data centre.
	isolationMisses  = 3                       // Missed heartbeats in a row after which a VM considers itself isolated.
)

// member is another VM, or this one, with the state of its update.
type member struct {
	Update
	changedAt   time.Time // When the update last changed.
	lastContact time.Time // When this VM last received a message from it.
	sendsLeft   int       // How many more times the update is sent.
	left        bool      // It announced its stop before it fell silent.
}

// Roster is one VM's list of the members and their states.
type Roster struct {
	self       *member
	members    map[VMName]*member
	order      []VMName           // Order in which heartbeats are sent; reshuffled after each pass.
	near       []site.DataCentre  // To which most heartbeats go.
	turns      [2]int             // Next positions in order, for near and far VMs.
	heartbeats int                // Number of heartbeats sent.
	misses     int                // Missed heartbeats in a row.
	pushDue    bool               // Updates have changed since the last TakeChanged.
	viewStale  bool               // The view must be rebuilt.
	due        map[VMName]*member // Members whose updates have sends left.
	notAlive   map[VMName]*member // Members with a status other than Alive.
	rng        *rand.Rand
	view       *View
}

// New returns a roster that contains only this VM.
func New(now time.Time, self VM, rng *rand.Rand) *Roster {
	me := &member{
		Update:    Update{self, Incarnation(now.UnixMilli()), Alive},
		changedAt: now, lastContact: now,
	}
	r := &Roster{
		self: me, members: map[VMName]*member{self.Name: me}, rng: rng, viewStale: true,
		due: make(map[VMName]*member), notAlive: make(map[VMName]*member),
	}
	r.rebuildView()
	return r
}

// Seed adds VMs of the platform's list that the roster does not know. They are
// suspects of incarnation 0, which get no roles until an update about them arrives,
// because entries of the list may be stale.
func (r *Roster) Seed(now time.Time, vms []VM) {
	for _, vm := range vms {
		if _, known := r.members[vm.Name]; known {
			continue
		}
		m := &member{Update: Update{vm, 0, Suspect}, changedAt: now}
		r.members[vm.Name] = m
		r.insertAtRandom(vm.Name)
		r.updateSets(m)
	}
	r.rebuildView()
}

// Self returns the update about this VM, which is part of each message.
func (r *Roster) Self() Update { return r.self.Update }

// Leave marks this VM as leaving.
func (r *Roster) Leave(now time.Time) {
	r.self.Status = Leaving
	r.self.Incarnation++
	r.self.changedAt = now
	r.viewStale = true
	r.rebuildView()
}

// HandleHeartbeat processes a heartbeat, or the reply to one, with the updates
// that it carried.
func (r *Roster) HandleHeartbeat(now time.Time, from Update, updates []Update) {
	r.misses = 0
	r.merge(now, from)
	if m, ok := r.members[from.Name]; ok {
		m.lastContact = now
	}
	for _, u := range updates {
		r.merge(now, u)
	}
	r.rebuildView()
}

// HandleMissedHeartbeat records that a VM answered neither a direct nor an
// indirect heartbeat. A VM that gets no replies from anyone is probably cut off
// itself, so it suspects no one. A VM of the platform's list that has never answered may
// be gone, so it says nothing of this one. Nor is a VM suspected whose last message is more
// recent than one HeartbeatPeriod.
func (r *Roster) HandleMissedHeartbeat(now time.Time, n VMName) {
	m, ok := r.members[n]
	if ok && m.Incarnation == 0 && len(r.view.vms) > 1 {
		return
	}
	r.misses++
	if !ok || r.Isolated() || m.Status != Alive || now.Sub(m.lastContact) < HeartbeatPeriod {
		return
	}
	r.setStatus(now, m, Suspect)
	r.rebuildView()
}

// Isolated reports whether this VM has got no replies lately and is probably cut
// off.
func (r *Roster) Isolated() bool { return r.misses >= isolationMisses }

// Tick declares dead the suspects that have not refuted the suspicion in time and
// the leaving VMs that have fallen silent. After forgetAfter it removes the dead
// members, and those of the platform's list that never answered.
func (r *Roster) Tick(now time.Time) {
	for n, m := range r.notAlive {
		age := now.Sub(m.changedAt)
		switch {
		case m.Status == Suspect && m.Incarnation > 0 && age > suspicionTimeout && !r.Isolated():
			r.setStatus(now, m, Dead)
		case m.Status == Leaving && age > suspicionTimeout && now.Sub(m.lastContact) > suspicionTimeout:
			r.setStatus(now, m, Dead)
		case m.Status == Suspect && m.Incarnation == 0 && age > forgetAfter,
			m.Status == Dead && age > forgetAfter:
			r.forget(n)
		}
	}
	r.rebuildView()
}

// forget removes a member.
func (r *Roster) forget(n VMName) {
	delete(r.members, n)
	delete(r.notAlive, n)
	delete(r.due, n)
	r.order = slices.DeleteFunc(r.order, func(o VMName) bool { return o == n })
	r.viewStale = true
}

// updateSets updates due and notAlive after a member has changed.
func (r *Roster) updateSets(m *member) {
	r.viewStale = true
	if m.sendsLeft > 0 {
		r.due[m.Name] = m
	}
	if m.Status == Alive {
		delete(r.notAlive, m.Name)
	} else {
		r.notAlive[m.Name] = m
	}
}

// View returns the members that are eligible for roles. The view is immutable.
func (r *Roster) View() *View { return r.view }

// countNotAlive returns the numbers of dead members that had not announced a stop, of members that
// have missed heartbeats, and of VMs of the platform's list that have not answered yet.
func (r *Roster) countNotAlive() (lost, suspected, unheard int) {
	for _, m := range r.notAlive {
		switch {
		case m.Status == Dead && !m.left:
			lost++
		case m.Status == Suspect && m.Incarnation > 0:
			suspected++
		case m.Status == Suspect:
			unheard++
		}
	}
	return lost, suspected, unheard
}

// rebuildView replaces the view if the eligible members have changed.
func (r *Roster) rebuildView() {
	if !r.viewStale {
		return
	}
	r.viewStale = false
	var vms []VM
	for _, m := range r.members {
		if m.Incarnation > 0 && (m.Status == Alive || m.Status == Suspect) {
			vms = append(vms, m.VM)
		}
	}
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	v := NewView(vms)
	v.lost, v.suspected, v.unheard = r.countNotAlive()
	if r.view != nil && slices.Equal(r.view.vms, vms) {
		v.vms, v.ranks = r.view.vms, r.view.ranks
		if v.lost == r.view.lost && v.unheard == r.view.unheard && v.suspected == r.view.suspected {
			return
		}
	} else {
		r.near = nearDataCentres(r.self.DataCentre, vms)
	}
	r.view = v
}

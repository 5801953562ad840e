// Package roster keeps one VM's view of the site's other entry VMs.
//
// The platform's list of VMs lags, so VMs send each other heartbeats: each period
// every VM sends one to one other, through others where no answer comes, and
// suspects it for a while before it holds it for dead. A suspected VM that lives
// says so with a higher incarnation. The package is pure and takes the present time; one
// goroutine owns a Roster.
package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumpick.org/pkg/site"
)

// VMName names a VM.
type VMName string

// VM is where a VM is found by other VMs.
type VM struct {
	Name       VMName
	Address    string // host:port for other VMs.
	DataCentre site.DataCentre
	Cores      float64 // Processor that the VM has, by which it gets roles; 0 for one core.
}

// cores is the processor that the VM has, for its share of roles.
func (vm *VM) cores() float64 {
	if vm.Cores <= 0 {
		return 1
	}
	return vm.Cores
}

// Status is what is known of a member.
type Status string

// Statuses, in the order in which they override each other at one incarnation.
const (
	Alive   Status = "alive"
	Suspect Status = "suspect"
	Leaving Status = "leaving" // It stops gracefully and takes no new role.
	Dead    Status = "dead"
)

var rank = map[Status]int{Alive: 0, Suspect: 1, Leaving: 2, Dead: 3}

// Incarnation grows each time a VM starts or contradicts a suspicion of it. It
// starts at the VM's boot time in milliseconds.
type Incarnation uint64

// Update is a fact about a member, as it is spread.
type Update struct {
	VM
	Incarnation Incarnation
	Status      Status
}

// Times and counts of the failure detector.
const (
	HeartbeatPeriod  = 500 * time.Millisecond  // Between two heartbeats of one VM.
	HeartbeatTimeout = 200 * time.Millisecond  // Wait for a direct answer.
	IndirectTimeout  = 500 * time.Millisecond  // Wait for an indirect one.
	suspicion        = 1500 * time.Millisecond // A suspect's time to speak up.
	forgetAfter      = time.Minute             // The dead are remembered for so long.
	helpers          = 3
	spreadFactor     = 3 // Times log2 of the members that an update is passed on.
	maxPiggyback     = 24
	minPiggyback     = 2 // Old facts fill a message up to here, to mend what was missed.
	farEvery         = 8 // One heartbeat in so many leaves the data centre.
	missesAlone      = 3 // Heartbeats missed in a row before a VM doubts itself.
)

type member struct {
	Update
	changed time.Time
	heard   time.Time // When it last spoke to this VM directly.
	spreads int       // How often the update is still to be passed on.
}

// Roster is one VM's view of the members.
type Roster struct {
	self    *member
	members map[VMName]*member
	order   []VMName // The round of heartbeats.
	turns   [2]int   // Places in the round, of heartbeats to near and far VMs.
	round   int      // Counts heartbeats.
	misses  int      // Heartbeats that nobody answered, in a row.
	news    bool
	changed bool               // The view has to be made anew.
	due     map[VMName]*member // Facts that are still to be passed on.
	odd     map[VMName]*member // Members that are not alive.
	rng     *rand.Rand
	view    *View
}

// New returns a roster that knows only its own VM.
func New(now time.Time, self VM, rng *rand.Rand) *Roster {
	me := &member{
		Update:  Update{self, Incarnation(now.UnixMilli()), Alive},
		changed: now, heard: now,
	}
	r := &Roster{
		self: me, members: map[VMName]*member{self.Name: me}, rng: rng, changed: true,
		due: make(map[VMName]*member), odd: make(map[VMName]*member),
	}
	r.publish()
	return r
}

// Seed adds VMs of the platform's list that the roster does not know. They are
// suspects until they answer, so that the list's stale lines get no role.
func (r *Roster) Seed(now time.Time, vms []VM) {
	for _, vm := range vms {
		if _, known := r.members[vm.Name]; known {
			continue
		}
		m := &member{Update: Update{vm, 0, Suspect}, changed: now}
		r.members[vm.Name] = m
		r.enlist(vm.Name)
		r.track(m)
	}
	r.publish()
}

// enlist puts a VM at a random place of the round, so that VMs that start
// together do not all speak to the same one at a time.
func (r *Roster) enlist(n VMName) {
	r.order = append(r.order, n)
	i, last := r.rng.IntN(len(r.order)), len(r.order)-1
	r.order[i], r.order[last] = r.order[last], r.order[i]
}

// Self returns the fact about this VM, which heads each message.
func (r *Roster) Self() Update { return r.self.Update }

// Leave tells that this VM stops.
func (r *Roster) Leave(now time.Time) {
	r.self.Status = Leaving
	r.self.Incarnation++
	r.self.changed = now
	r.changed = true
	r.publish()
}

// Next returns the VM that gets a heartbeat in this period, or false where there is none. Most
// heartbeats stay in this VM's data centre, since bytes between data centres are dear
// and VMs fail one by one. While no VM of another one is known, as after a start of
// all, each second heartbeat looks for one.
func (r *Roster) Next() (VM, bool) {
	r.round++
	far := r.round%farEvery == 0 || (r.onlyNear() && r.round%2 == 1)
	if vm, ok := r.next(far); ok {
		return vm, true
	}
	return r.next(!far)
}

// onlyNear reports whether all VMs in the view are of this VM's data centre.
func (r *Roster) onlyNear() bool {
	return !slices.ContainsFunc(r.view.vms, func(vm VM) bool { return vm.DataCentre != r.self.DataCentre })
}

// Unconfirmed picks up to n VMs at random of which only the platform's list tells.
func (r *Roster) Unconfirmed(n int) []VM {
	var out []VM
	for _, i := range r.rng.Perm(len(r.order)) {
		if m := r.members[r.order[i]]; m != nil && m.Incarnation == 0 && len(out) < n {
			out = append(out, m.VM)
		}
	}
	return out
}

// next goes on in the round of heartbeats to the next VM that is far or near.
func (r *Roster) next(far bool) (VM, bool) {
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
		if ok && m.Status != Dead && (m.DataCentre != r.self.DataCentre) == far {
			return m.VM, true
		}
	}
	return VM{}, false
}

// Helpers picks VMs that may reach a VM which this one cannot.
func (r *Roster) Helpers(target VMName) []VM { return r.RandomPeers(helpers, target) }

// RandomPeers picks up to n other live VMs at random, but not the one named.
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

// HandleHeartbeat notes that a VM has spoken to this one, with the facts it carried.
func (r *Roster) HandleHeartbeat(now time.Time, from Update, facts []Update) {
	r.misses = 0
	r.merge(now, from)
	if m, ok := r.members[from.Name]; ok {
		m.heard = now
	}
	for _, u := range facts {
		r.merge(now, u)
	}
	r.publish()
}

// HandleMissedHeartbeat notes that neither a VM nor its helpers answered. A VM that nobody
// answers doubts its own links and suspects no one.
func (r *Roster) HandleMissedHeartbeat(now time.Time, n VMName) {
	r.misses++
	m, ok := r.members[n]
	if !ok || r.Isolated() || m.Status != Alive || now.Sub(m.heard) < HeartbeatPeriod {
		return
	}
	r.set(now, m, Suspect)
	r.publish()
}

// Isolated reports whether this VM has heard nobody for a while.
func (r *Roster) Isolated() bool { return r.misses >= missesAlone }

// Tick ends suspicions that nobody contradicted and forgets the long dead.
func (r *Roster) Tick(now time.Time) {
	for n, m := range r.odd {
		age := now.Sub(m.changed)
		switch {
		case m.Status == Suspect && m.Incarnation > 0 && age > suspicion && !r.Isolated():
			r.set(now, m, Dead)
		case m.Status == Leaving && age > suspicion && now.Sub(m.heard) > suspicion:
			r.set(now, m, Dead)
		case m.Status == Suspect && m.Incarnation == 0 && age > forgetAfter,
			m.Status == Dead && age > forgetAfter:
			r.forget(n)
		}
	}
	r.publish()
}

func (r *Roster) forget(n VMName) {
	delete(r.members, n)
	delete(r.odd, n)
	delete(r.due, n)
	r.order = slices.DeleteFunc(r.order, func(o VMName) bool { return o == n })
	r.changed = true
}

// track keeps the sets of members in step with one that has changed.
func (r *Roster) track(m *member) {
	r.changed = true
	if m.spreads > 0 {
		r.due[m.Name] = m
	}
	if m.Status == Alive {
		delete(r.odd, m.Name)
	} else {
		r.odd[m.Name] = m
	}
}

// merge takes in one fact.
func (r *Roster) merge(now time.Time, u Update) {
	if u.Name == r.self.Name {
		r.contradict(now, u)
		return
	}
	m, known := r.members[u.Name]
	if !known {
		if u.Status == Dead {
			return
		}
		m = &member{Update: u, changed: now, spreads: r.spreadCount()}
		r.members[u.Name] = m
		r.enlist(u.Name)
		r.track(m)
		r.news = true
		return
	}
	newer := u.Incarnation > m.Incarnation
	stronger := u.Incarnation == m.Incarnation && rank[u.Status] > rank[m.Status]
	if !newer && !stronger {
		return
	}
	m.Update, m.changed, m.spreads = u, now, r.spreadCount()
	r.track(m)
	r.news = true
}

// contradict answers a suspicion of this VM with a higher incarnation. A fact
// from a later life of the same name is left alone: this VM was replaced.
func (r *Roster) contradict(now time.Time, u Update) {
	if u.Incarnation < r.self.Incarnation || u.Status == r.self.Status {
		return
	}
	if u.Status == Suspect || u.Status == Dead {
		r.self.Incarnation = u.Incarnation + 1
		r.self.changed = now
		r.news = true
	}
}

func (r *Roster) set(now time.Time, m *member, s Status) {
	m.Status, m.changed, m.spreads = s, now, r.spreadCount()
	r.track(m)
	r.news = true
}

// TakeChanged reports whether facts have changed since the last call, so that
// they should be passed on at once.
func (r *Roster) TakeChanged() bool {
	news := r.news
	r.news = false
	return news
}

// spreadCount is how often a new fact is passed on, so that it reaches all.
func (r *Roster) spreadCount() int {
	n := 1
	for size := len(r.members); size > 1; size /= 2 {
		n++
	}
	return spreadFactor * n
}

// Updates returns the facts to pass on with a message, the least spread first,
// and some old ones.
func (r *Roster) Updates() []Update {
	due := make([]*member, 0, len(r.due))
	for _, m := range r.due {
		due = append(due, m)
	}
	slices.SortFunc(due, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.spreads, a.spreads), cmp.Compare(a.Name, b.Name))
	})
	if len(due) > maxPiggyback {
		due = due[:maxPiggyback]
	}
	out := make([]Update, 0, maxPiggyback)
	for _, m := range due {
		if m.spreads--; m.spreads <= 0 {
			delete(r.due, m.Name)
		}
		out = append(out, m.Update)
	}
	for range minPiggyback - len(out) {
		if m, ok := r.anyMember(); ok {
			out = append(out, m.Update)
		}
	}
	return out
}

// anyMember picks a member at random whose fact is known.
func (r *Roster) anyMember() (*member, bool) {
	if len(r.order) == 0 {
		return nil, false
	}
	m, ok := r.members[r.order[r.rng.IntN(len(r.order))]]
	return m, ok && m.Incarnation > 0
}

// RefutableUpdate returns what this VM holds of another that may want to contradict it.
func (r *Roster) RefutableUpdate(n VMName) (Update, bool) {
	m, ok := r.members[n]
	if !ok || m.Status == Alive {
		return Update{}, false
	}
	return m.Update, true
}

// All returns every fact, for a VM that has just started.
func (r *Roster) All() []Update {
	out := make([]Update, 0, len(r.members))
	for _, m := range r.members {
		if m.Incarnation > 0 {
			out = append(out, m.Update)
		}
	}
	slices.SortFunc(out, func(a, b Update) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// View returns the members that can have roles. It may be kept and shared.
func (r *Roster) View() *View { return r.view }

func (r *Roster) publish() {
	if !r.changed {
		return
	}
	r.changed = false
	var vms []VM
	for _, m := range r.members {
		if m.Incarnation > 0 && (m.Status == Alive || m.Status == Suspect) {
			vms = append(vms, m.VM)
		}
	}
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	if r.view != nil && slices.Equal(r.view.vms, vms) {
		return
	}
	r.view = NewView(vms)
}

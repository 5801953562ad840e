package roster_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func testVM(i int) roster.VM {
	n := fmt.Sprintf("vm-%d", i)
	return roster.VM{Name: roster.VMName(n), Address: n + ":81", DataCentre: site.DataCentre(fmt.Sprintf("dc-%d", i%3))}
}

// group simulates VMs that send each other heartbeats as their rosters direct.
// cut reports whether messages from one VM to another are lost.
type group struct {
	now     time.Time
	rosters []*roster.Roster
	dead    map[int]bool
	cut     func(from, to int) bool
	near    int // Updates sent within a data centre.
	far     int // Updates sent to another one.
}

func newGroup(n int) *group {
	g := &group{now: start, dead: map[int]bool{}, cut: func(int, int) bool { return false }}
	var all []roster.VM
	for i := range n {
		all = append(all, testVM(i))
	}
	for i := range n {
		r := roster.New(start, testVM(i), rand.New(rand.NewPCG(uint64(i), 1)))
		r.Seed(start, all)
		g.rosters = append(g.rosters, r)
	}
	return g
}

func (g *group) index(vm roster.VM) int {
	for i := range g.rosters {
		if testVM(i).Name == vm.Name {
			return i
		}
	}
	return -1
}

// connected reports whether two VMs are up and messages between them arrive in
// both directions.
func (g *group) connected(a, b int) bool {
	return !g.dead[a] && !g.dead[b] && !g.cut(a, b) && !g.cut(b, a)
}

// heartbeat delivers one heartbeat and its reply. It returns false if either is
// lost.
func (g *group) heartbeat(a, b int) bool {
	if !g.connected(a, b) {
		return false
	}
	ra, rb := g.rosters[a], g.rosters[b]
	updates := func(from *roster.Roster, to roster.VMName) []roster.Update {
		out := from.Updates()
		if u, ok := from.RefutableUpdate(to); ok {
			out = append(out, u)
		}
		if testVM(a).DataCentre == testVM(b).DataCentre {
			g.near += len(out)
		} else {
			g.far += len(out)
		}
		return out
	}
	rb.HandleHeartbeat(g.now, ra.Self(), updates(ra, rb.Self().Name))
	ra.HandleHeartbeat(g.now, rb.Self(), updates(rb, ra.Self().Name))
	return true
}

// run simulates the group for some time.
func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(roster.HeartbeatPeriod) {
		for i, r := range g.rosters {
			if g.dead[i] {
				continue
			}
			r.Tick(g.now)
			vm, ok := r.Next()
			if !ok || g.heartbeat(i, g.index(vm)) {
				continue
			}
			helped := false
			for _, h := range r.Helpers(vm.Name) {
				k := g.index(h)
				helped = helped || (g.connected(i, k) && g.heartbeat(k, g.index(vm)))
			}
			if !helped {
				r.HandleMissedHeartbeat(g.now, vm.Name)
			}
		}
		g.push()
	}
}

// push gossips changed updates to a few VMs, as fleet.Node does.
func (g *group) push() {
	for i, r := range g.rosters {
		if g.dead[i] || !r.TakeChanged() {
			continue
		}
		for _, vm := range r.GossipPeers(3) {
			g.heartbeat(i, g.index(vm))
		}
	}
}

func (g *group) assertViews(t *testing.T, want int) {
	t.Helper()
	for i, r := range g.rosters {
		if !g.dead[i] {
			assert.Equal(t, len(r.View().VMs()), want, "view of VM %d", i)
		}
	}
}

func TestAllVMsDiscoverEachOther(t *testing.T) {
	g := newGroup(48)
	g.run(10 * time.Second)
	g.assertViews(t, 48)
}

// TestDataCentresMeetSoon starts all VMs at once, as after a power failure. Each
// VM must soon know VMs of other data centres: otherwise each data centre
// assigns the homes of all pools to its own VMs, which know nothing of the
// pools' servers.
func TestDataCentresMeetSoon(t *testing.T) {
	g := newGroup(45)
	g.run(1500 * time.Millisecond)
	for i, r := range g.rosters {
		seen := map[site.DataCentre]int{}
		for _, vm := range r.View().VMs() {
			seen[vm.DataCentre]++
		}
		assert.Assert(t, len(seen) > 1, "data centres in the view of %s: %v", testVM(i).Name, seen)
	}
}

func TestDeadVMLosesItsRolesSoon(t *testing.T) {
	g := newGroup(48)
	g.run(10 * time.Second)
	g.dead[7] = true
	g.run(5 * time.Second)
	g.assertViews(t, 47)
}

func TestVMsOfARackFailAtOnce(t *testing.T) {
	g := newGroup(48)
	g.run(10 * time.Second)
	for i := range 12 {
		g.dead[i] = true
	}
	g.run(6 * time.Second)
	g.assertViews(t, 36)
}

// TestLastVMsOfADataCentreAreMissedSoon guards against dead VMs that stay in all views for many seconds, since the
// VMs of their data centre, which would miss their heartbeats, are dead too: of 24 VMs in three data
// centres one or two are left in the first one, and then die, one after the other.
func TestLastVMsOfADataCentreAreMissedSoon(t *testing.T) {
	const vms, dataCentres = 24, 3
	for last := 0; last < vms; last += dataCentres {
		for _, left := range []int{1, 2} {
			g := newGroup(vms)
			g.run(10 * time.Second)
			for i := range vms / dataCentres {
				g.dead[(last+i*dataCentres)%vms] = i >= left
			}
			g.run(15 * time.Second)
			g.assertViews(t, vms/dataCentres*(dataCentres-1)+left)
			for i := range left {
				g.dead[(last+i*dataCentres)%vms] = true
				g.run(time.Second)
			}
			g.run(3 * time.Second)
			g.assertViews(t, vms/dataCentres*(dataCentres-1))
		}
	}
}

// TestUpdatesMostlyStayInTheDataCentre guards against changes of members that cost a large
// fleet many messages between data centres: of 144 VMs a third fail at once, all others know
// it within 6 s, and each update crosses only a few times a VM.
func TestUpdatesMostlyStayInTheDataCentre(t *testing.T) {
	g := newGroup(144)
	g.run(20 * time.Second)
	g.assertViews(t, 144)
	g.near, g.far = 0, 0
	for i := range 48 {
		g.dead[3*i+i%3] = true
	}
	g.run(6 * time.Second)
	g.assertViews(t, 96)
	g.run(10 * time.Second)
	changes := 48 * 2 // Suspected and dead.
	t.Logf("%d updates near, %d far: %.1f for each change and VM", g.near, g.far, float64(g.far)/float64(changes*96))
	assert.Assert(t, 2*g.far < g.near+g.far, "%d near, %d far", g.near, g.far)
}

// TestOneWayCutRemovesNoVM drops what one VM sends to half of the others. All
// VMs must stay in all views, because the VM can still be reached indirectly
// through the other half.
func TestOneWayCutRemovesNoVM(t *testing.T) {
	g := newGroup(24)
	g.run(10 * time.Second)
	g.cut = func(from, to int) bool { return from == 3 && to%2 == 0 }
	for range 20 {
		g.run(3 * time.Second)
		g.assertViews(t, 24)
	}
}

// TestCutOffVMConsidersItselfIsolated cuts one VM off from all others. It must consider
// itself isolated rather than remove most others, and their roles, from its
// view. All VMs must be in all views again once the connection is back.
func TestCutOffVMConsidersItselfIsolated(t *testing.T) {
	g := newGroup(24)
	g.run(10 * time.Second)
	g.cut = func(from, to int) bool { return from == 3 || to == 3 }
	g.run(5 * time.Second)
	assert.Assert(t, g.rosters[3].Isolated())
	assert.Assert(t, len(g.rosters[3].View().VMs()) >= 21)
	assert.Equal(t, len(g.rosters[0].View().VMs()), 23)
	g.cut = func(int, int) bool { return false }
	g.run(15 * time.Second)
	g.assertViews(t, 24)
}

func TestPausedVMRejoins(t *testing.T) {
	g := newGroup(24)
	g.run(10 * time.Second)
	g.dead[5] = true
	g.run(8 * time.Second)
	g.assertViews(t, 23)
	g.dead[5] = false
	g.run(10 * time.Second)
	g.assertViews(t, 24)
}

func TestLeavingVMHasNoRoles(t *testing.T) {
	g := newGroup(12)
	g.run(10 * time.Second)
	g.rosters[2].Leave(g.now)
	g.run(4 * time.Second)
	g.assertViews(t, 11)
}

func TestOnlyRolesOfLostVMsMove(t *testing.T) {
	g := newGroup(24)
	g.run(10 * time.Second)
	before := g.rosters[0].View()
	g.dead[9] = true
	g.run(10 * time.Second)
	after := g.rosters[0].View()
	moved := 0
	for i := range 500 {
		pool := fmt.Sprintf("service-%d", i)
		was, is := before.Homes(pool, 0), after.Homes(pool, 0)
		if was[0].Name != is[0].Name {
			assert.Equal(t, was[0].Name, roster.VMName("vm-9"))
			assert.Equal(t, was[1].Name, is[0].Name, "the next candidate takes over")
			moved++
		}
		assert.Equal(t, g.rosters[1].View().Homes(pool, 0)[0].Name, is[0].Name, "all VMs compute the same home")
	}
	// Each of 24 VMs is home of a 24th of 500 pools: 21 of them, and by chance
	// between 8 and 36 (three standard deviations of 4.5).
	assert.Assert(t, moved >= 8 && moved <= 36, "%d homes moved", moved)
}

// TestRolesFollowCores checks that VMs get homes in proportion to their cores.
func TestRolesFollowCores(t *testing.T) {
	var vms []roster.VM
	for i := range 20 {
		vm := roster.VM{Name: roster.VMName(fmt.Sprintf("vm-%02d", i)), Cores: 0.2}
		if i%2 == 0 {
			vm.Cores = 0.8
		}
		vms = append(vms, vm)
	}
	v := roster.NewView(vms)
	large := 0
	const pools = 2000
	for i := range pools {
		if v.Homes(fmt.Sprintf("service-%d", i), 0)[0].Cores == 0.8 {
			large++
		}
	}
	// 8 of 10 cores are in the large VMs; three standard deviations are 54.
	assert.Assert(t, large > pools*8/10-54 && large < pools*8/10+54, "%d of %d pools on large VMs", large, pools)
}

// TestHeavyPoolsGoToLargeVMs places pools that need a quarter of a core in a
// fleet of many small VMs and few large ones. A small VM may be chosen only
// after all large ones.
func TestHeavyPoolsGoToLargeVMs(t *testing.T) {
	var vms []roster.VM
	for i := range 40 {
		vm := roster.VM{Name: roster.VMName(fmt.Sprintf("vm-%02d", i)), Cores: 0.16}
		if i%20 == 0 {
			vm.Cores = 0.8
		}
		vms = append(vms, vm)
	}
	v := roster.NewView(vms)
	for i := range 100 {
		homes := v.Homes(fmt.Sprintf("service-%d", i), 0.25)
		assert.Assert(t, homes[0].Cores == 0.8 && homes[1].Cores == 0.8 && homes[2].Cores == 0.16)
	}
}

// TestLostVMsAreCounted guards against two parts of a parted fleet that each take
// themselves for the whole, and against a planned stop that counts like a lost VM.
func TestLostVMsAreCounted(t *testing.T) {
	r := roster.New(start, testVM(0), rand.New(rand.NewPCG(1, 1)))
	hear := func(i int, inc roster.Incarnation, s roster.Status) {
		r.HandleHeartbeat(start, roster.Update{VM: testVM(i), Incarnation: inc, Status: s}, nil)
	}
	for i := range 3 {
		hear(i+1, 1, roster.Alive)
	}
	hear(1, 2, roster.Leaving)
	hear(1, 2, roster.Dead)
	assert.Equal(t, r.View().Lost(), 0)
	hear(2, 1, roster.Dead)
	assert.Equal(t, r.View().Lost(), 1)
	assert.Equal(t, len(r.View().VMs()), 2)
	hear(2, 3, roster.Alive)
	assert.Equal(t, r.View().Lost(), 0)
	hear(3, 1, roster.Dead)
	assert.Equal(t, r.View().Lost(), 1)
	r.Tick(start.Add(2 * time.Minute))
	assert.Equal(t, r.View().Lost(), 0, "forgotten after a minute")
}

// TestQuotaHomesAnnounceQuotas guards against a quota whose home is a VM of a build that does not
// know the call.
func TestQuotaHomesAnnounceQuotas(t *testing.T) {
	vms := make([]roster.VM, 12)
	for i := range vms {
		vms[i] = testVM(i)
		if i%3 == 0 {
			vms[i].Protocol = roster.ProtocolQuotas
		}
	}
	slices.SortFunc(vms, func(a, b roster.VM) int { return cmp.Compare(a.Name, b.Name) })
	v := roster.NewView(vms)
	for part := range 50 {
		homes := v.QuotaHomes(fmt.Sprint(part))
		assert.Assert(t, len(homes) > 0)
		for _, vm := range homes {
			assert.Equal(t, vm.Protocol, roster.ProtocolQuotas)
		}
	}
}

// TestSilentVMsOfTheListDoNotIsolate guards against a VM that takes itself for cut off because the
// platform's list holds many VMs that are gone.
func TestSilentVMsOfTheListDoNotIsolate(t *testing.T) {
	r := roster.New(start, testVM(0), rand.New(rand.NewPCG(1, 1)))
	r.HandleHeartbeat(start, roster.Update{VM: testVM(1), Incarnation: 1, Status: roster.Alive}, nil)
	r.Seed(start, []roster.VM{testVM(2), testVM(3), testVM(4), testVM(5)})
	assert.Equal(t, r.View().Unheard(), 4)
	for i := range 4 {
		r.HandleMissedHeartbeat(start.Add(time.Duration(i)*time.Second), testVM(i+2).Name)
	}
	assert.Assert(t, !r.Isolated())
	for i := range 3 {
		r.HandleMissedHeartbeat(start.Add(time.Duration(5+i)*time.Second), testVM(1).Name)
	}
	assert.Assert(t, r.Isolated())
}

// TestRefutationKeepsTheProtocol guards against a VM that gets no new duties, since a VM of an earlier
// build passed its refutation on without the protocol; and against one that gets them although an
// earlier build has replaced it.
func TestRefutationKeepsTheProtocol(t *testing.T) {
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	r := roster.New(now, roster.VM{Name: "a", DataCentre: "x"}, rand.New(rand.NewPCG(1, 1)))
	vm := roster.VM{Name: "b", DataCentre: "x", Protocol: roster.ProtocolQuotas}
	began := roster.Incarnation(now.UnixMilli())
	r.HandleHeartbeat(now, roster.Update{VM: vm, Incarnation: began, Status: roster.Alive}, nil)
	old := roster.Update{VM: roster.VM{Name: "c", DataCentre: "x"}, Incarnation: began, Status: roster.Alive}
	vm.Protocol = 0
	protocol := func() roster.Protocol {
		for _, u := range r.All() {
			if u.Name == "b" {
				return u.Protocol
			}
		}
		return -1
	}
	r.HandleHeartbeat(now, old, []roster.Update{{VM: vm, Incarnation: began + 1, Status: roster.Alive}})
	assert.Equal(t, protocol(), roster.ProtocolQuotas)
	later := roster.Incarnation(now.Add(time.Minute).UnixMilli())
	r.HandleHeartbeat(now, old, []roster.Update{{VM: vm, Incarnation: later, Status: roster.Alive}})
	assert.Equal(t, protocol(), roster.Protocol(0))
}

// TestProtocolIsLearnedSoon guards against VMs that get no new duties for long while builds are mixed,
// since only VMs of earlier builds, which leave the protocol out, have told of them.
func TestProtocolIsLearnedSoon(t *testing.T) {
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	r := roster.New(now, roster.VM{Name: "a", DataCentre: "x", Protocol: roster.ProtocolQuotas}, rand.New(rand.NewPCG(1, 1)))
	var relayed []roster.Update
	for i := range 6 {
		vm := roster.VM{Name: roster.VMName(fmt.Sprint("far-", i)), DataCentre: "y"}
		relayed = append(relayed, roster.Update{VM: vm, Incarnation: 1, Status: roster.Alive})
	}
	near := roster.Update{VM: roster.VM{Name: "near", DataCentre: "x"}, Incarnation: 1, Status: roster.Alive}
	r.HandleHeartbeat(now, near, relayed)
	asked := make(map[roster.VMName]bool)
	for range 12 { // Two heartbeats for each.
		now = now.Add(roster.HeartbeatPeriod)
		vm, ok := r.Next()
		assert.Assert(t, ok)
		asked[vm.Name] = true
		vm.Protocol = roster.ProtocolQuotas
		r.HandleHeartbeat(now, roster.Update{VM: vm, Incarnation: 1, Status: roster.Alive}, nil)
	}
	for _, u := range relayed {
		assert.Assert(t, asked[u.Name], "%s got no heartbeat", u.Name)
	}
}

package fleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"laburnumpick.org/pkg/dispatch"
	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// Times of calls to homes.
const (
	// askTime bounds a call that is answered at once. It covers a round trip
	// between data centres and a home that is short of processor time.
	askTime = 250 * time.Millisecond
	// waitTime bounds a call that may wait for a slot.
	waitTime    = 500 * time.Millisecond
	releaseTime = 250 * time.Millisecond
	grayPenalty = 2 * time.Second // How long a home that failed comes last.
	standIns    = 3               // VMs that are tried as a pool's home.
)

// coresPerSlot is the processor that a pool's home needs for each slot of the pool's
// servers, with room for bursts: a busy slot asks and releases some three times a
// second (docs/MEASURES.md).
const coresPerSlot = 0.0005

// ranked returns the VMs for a service's home, the first choice first. The slots
// count as the next power of two, so that a server that joins seldom moves the role.
func (n *Node) ranked(svc site.ServiceName) []roster.VM {
	slots, counted := n.slotsOf(svc), 1
	for counted < slots {
		counted *= 2
	}
	return n.View().Homes(string(svc), coresPerSlot*float64(counted))
}

// slotsOf returns about how many slots the servers of a service have.
func (n *Node) slotsOf(svc site.ServiceName) int {
	if listed := n.cfg.Registry.State().Servers(svc); len(listed) > 0 {
		return len(listed) * listed[0].Server.Slots
	}
	s := n.cfg.Replica.State().Directory.Service(svc)
	if s == nil || len(s.Servers) == 0 {
		return 0
	}
	return len(s.Servers) * s.Servers[0].Slots
}

// homes returns the VMs to ask as a pool's home, the first choice first. One
// that failed lately is left out, and this VM comes last: it can always decide
// for itself.
func (n *Node) homes(now time.Time, svc site.ServiceName) []roster.VM {
	if n.cfg.Alone {
		return []roster.VM{n.cfg.Self}
	}
	ranked := n.ranked(svc)
	vms := make([]roster.VM, 0, standIns+1)
	for _, vm := range ranked {
		if len(vms) < standIns && !n.gray.Has(now, vm.Name) {
			vms = append(vms, vm)
		}
	}
	if !slices.ContainsFunc(vms, func(vm roster.VM) bool { return vm.Name == n.cfg.Self.Name }) {
		vms = append(vms, n.cfg.Self)
	}
	return vms
}

// Acquire implements dispatch.Homes.
func (n *Node) Acquire(ctx context.Context, a *home.Ask) (dispatch.Slot, *pool.Refused) {
	var last *pool.Refused
	for _, vm := range n.homes(time.Now(), a.Service) {
		d, err := n.acquireFrom(ctx, vm, a)
		switch d := d.(type) {
		case pool.Granted:
			return &seat{n, vm, d}, nil
		case pool.Refused:
			last = &d
		}
		if ctx.Err() != nil {
			return nil, &pool.Refused{Kind: outcome.DeadlinePassed, Detail: "the deadline passed before a server was free", RetryAfter: minBack}
		}
		if err == nil && last.Kind != outcome.NoServer {
			return nil, last
		}
		// A home that has just started may know no server yet; another one may.
		if err != nil {
			n.note(vm, err)
			next := *a
			next.Known = true // The home that gave no answer may have counted it.
			a = &next
		}
	}
	return nil, last
}

// minBack is when a caller may come back whose deadline has passed.
const minBack = 50 * time.Millisecond

// note puts a home that did not answer last for a while.
func (n *Node) note(vm roster.VM, err error) {
	n.cfg.Scope.Counter("homesLost").Inc(1)
	record.Log("fleet: home did not answer", "vm", vm.Name, "err", err)
	n.gray.Add(time.Now(), vm.Name)
}

// acquireFrom asks one VM and follows a wait to its end.
func (n *Node) acquireFrom(ctx context.Context, vm roster.VM, a *home.Ask) (pool.Decision, error) {
	ask := *a
	ask.Ticket = 0
	deadline, bounded := ctx.Deadline()
	for {
		if bounded {
			ask.Left = time.Until(deadline)
		}
		d, err := n.askOnce(ctx, vm, &ask)
		w, waits := d.(pool.Waiting)
		if waits {
			ask.Ticket = w.Ticket
		}
		if err == nil && waits && ctx.Err() == nil {
			continue
		}
		if ask.Ticket != 0 && (err != nil || waits) {
			n.forget(vm, a.Service, ask.Ticket)
		}
		if waits {
			return nil, ctx.Err()
		}
		return d, err
	}
}

// askOnce makes one call to a home, which may be this VM.
func (n *Node) askOnce(ctx context.Context, vm roster.VM, a *home.Ask) (pool.Decision, error) {
	if vm.Name == n.cfg.Self.Name {
		return n.cfg.Home.Acquire(ctx, a), nil
	}
	limit := askTime
	if a.Ticket != 0 {
		limit = waitTime
	}
	ctx, cancel := context.WithTimeout(n.withToken(ctx), limit)
	defer cancel()
	got, err := n.client(vm.Address).Acquire(ctx, fleetapi.FromSlotRequest(a))
	if err != nil {
		return nil, err
	}
	d, ok := fleetapi.ToDecision(got)
	if !ok {
		return nil, errors.New("the home's answer holds no decision")
	}
	return d, nil
}

// forget tells a home that nobody waits for a ticket any more.
func (n *Node) forget(vm roster.VM, svc site.ServiceName, t pool.Ticket) {
	if vm.Name == n.cfg.Self.Name {
		n.cfg.Home.Abandon(svc, t)
		return
	}
	go n.tellHome(vm, fleetapi.FromCanceledWait(svc, t))
}

// tellHome sends what a home should know. What gets lost is made up for by the
// end of the grant's time.
func (n *Node) tellHome(vm roster.VM, req *fleetapi.ReleaseRequest) {
	ctx, cancel := context.WithTimeout(n.withToken(context.Background()), releaseTime)
	defer cancel()
	if _, err := n.client(vm.Address).Release(ctx, req); err != nil {
		n.cfg.Scope.Counter("releasesLost").Inc(1)
	}
}

// seat is a grant of a home.
type seat struct {
	node  *Node
	home  roster.VM
	grant pool.Granted
}

// Grant implements dispatch.Seat.
func (s *seat) Grant() pool.Granted { return s.grant }

// Home implements dispatch.Seat.
func (s *seat) Home() string { return string(s.home.Name) }

// Release implements dispatch.Seat.
func (s *seat) Release(e home.Ended) {
	if s.home.Name == s.node.cfg.Self.Name {
		s.node.cfg.Home.Release(e)
		return
	}
	req := fleetapi.FromGrantResult(e, string(s.node.cfg.Self.Name))
	if _, well := e.Report.(pool.Served); well {
		go s.node.tellHome(s.home, req)
		return
	}
	s.node.tellHome(s.home, req) // Before the request may be sent elsewhere.
}

// Acquire implements fleetapi.Fleet.
func (s server) Acquire(ctx context.Context, req *fleetapi.AcquireRequest) (*fleetapi.AcquireAnswer, error) {
	return fleetapi.FromDecision(s.node.cfg.Home.Acquire(ctx, fleetapi.ToSlotRequest(req))), nil
}

// Release implements fleetapi.Fleet.
func (s server) Release(_ context.Context, req *fleetapi.ReleaseRequest) (*fleetapi.ReleaseAnswer, error) {
	if t, ok := fleetapi.ToCanceledWait(req); ok {
		s.node.cfg.Home.Abandon(site.ServiceName(req.GetService()), t)
		return &fleetapi.ReleaseAnswer{}, nil
	}
	s.node.cfg.Home.Release(fleetapi.ToGrantResult(req))
	return &fleetapi.ReleaseAnswer{}, nil
}

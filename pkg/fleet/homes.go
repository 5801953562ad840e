package fleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/dispatch"
	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/notice"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// Timeouts of calls to homes.
const (
	// acquireTimeout bounds a call that is answered without waiting for a slot.
	// It covers a round trip between data centres and a home that is short of
	// CPU time.
	acquireTimeout = 250 * time.Millisecond
	// waitTimeout bounds a call that polls a queued request.
	waitTimeout         = 500 * time.Millisecond
	reportTimeout       = 250 * time.Millisecond // Of a call that no request waits for, such as a release.
	unresponsivePenalty = 2 * time.Second        // How long a home that did not answer is skipped.
	maxCandidates       = 3                      // VMs that are tried as a pool's home, not counting this VM as the last resort.
)

// coresPerSlot is the CPU, in cores, that a pool's home needs for each slot of
// the pool's servers. A busy slot is acquired and released about three times a
// second; the value leaves room for bursts (docs/MEASURES.md).
const coresPerSlot = 0.0005

// rankedHomes returns the candidates for a service's home, the first choice
// first. The number of slots is rounded up to a power of two, so that a server
// that joins seldom moves the home.
func (n *Node) rankedHomes(svc site.ServiceName) []roster.VM {
	slots, counted := n.estimateSlots(svc), 1
	for counted < slots {
		counted *= 2
	}
	return n.View().Homes(string(svc), coresPerSlot*float64(counted))
}

// estimateSlots estimates the slots of a service's servers from the slots of the
// first one.
func (n *Node) estimateSlots(svc site.ServiceName) int {
	if listed := n.cfg.Registry.State().Servers(svc); len(listed) > 0 {
		return len(listed) * listed[0].Server.Slots
	}
	s := n.cfg.Replica.State().Directory.Service(svc)
	if s == nil || len(s.Servers) == 0 {
		return 0
	}
	return len(s.Servers) * s.Servers[0].Slots
}

// homeCandidates returns the VMs to ask as a pool's home, the first choice
// first. VMs that did not answer lately are skipped. This VM is always included,
// as the last choice unless it ranks higher, so that it can decide by itself.
func (n *Node) homeCandidates(now time.Time, svc site.ServiceName) []roster.VM {
	if n.cfg.Standalone {
		return []roster.VM{n.cfg.Self}
	}
	rankedHomes := n.rankedHomes(svc)
	vms := make([]roster.VM, 0, maxCandidates+1)
	for _, vm := range rankedHomes {
		if len(vms) < maxCandidates && !n.unresponsive.Has(now, vm.Name) {
			vms = append(vms, vm)
		}
	}
	if !slices.ContainsFunc(vms, n.isSelf) {
		vms = append(vms, n.cfg.Self)
	}
	return vms
}

// Acquire implements dispatch.Homes.
func (n *Node) Acquire(ctx context.Context, req *home.SlotRequest) (dispatch.Slot, *pool.Refused) {
	if refused := n.checkLosses(ctx, time.Now(), req); refused != nil {
		return nil, refused
	}
	var last *pool.Refused
	for _, vm := range n.homeCandidates(time.Now(), req.Service) {
		if refused, ok := n.refuseByHint(time.Now(), vm.Name, req); ok {
			return nil, &refused
		}
		d, err := n.acquireFrom(ctx, vm, req)
		switch d := d.(type) {
		case pool.Granted:
			return &slot{n, vm, d}, nil
		case pool.Refused:
			last = &d
		}
		if ctx.Err() != nil {
			return nil, &pool.Refused{Kind: outcome.DeadlinePassed, Detail: "the deadline passed before a backend server had a free slot", RetryAfter: minRetryAfter}
		}
		if err == nil && last.Kind != outcome.NoServer {
			return nil, last
		}
		// A home that has just started may not know any server yet; try the next candidate.
		if err != nil {
			n.markUnresponsive(vm, err)
		}
		next := *req
		next.AlreadyCounted = true // A home that did not answer may have counted the request, too.
		req = &next
	}
	return nil, last
}

// minRetryAfter is the suggested retry delay for a caller whose deadline has
// passed.
const minRetryAfter = 50 * time.Millisecond

// markUnresponsive records that a home did not answer. It is skipped for the
// next unresponsivePenalty.
func (n *Node) markUnresponsive(vm roster.VM, err error) {
	n.cfg.Scope.Counter("homesLost").Inc(1)
	record.Log("fleet: home did not answer", "vm", vm.Name, "err", err)
	n.unresponsive.Add(time.Now(), vm.Name)
}

// acquireFrom asks one VM for a slot and polls until the request is granted or
// refused.
func (n *Node) acquireFrom(ctx context.Context, vm roster.VM, req *home.SlotRequest) (pool.Decision, error) {
	call := *req
	call.Ticket = 0
	deadline, bounded := ctx.Deadline()
	for {
		if bounded {
			call.Left = time.Until(deadline)
		}
		d, err := n.acquireOnce(ctx, vm, &call)
		w, waits := d.(pool.Waiting)
		if waits {
			call.Ticket = w.Ticket
		}
		if err == nil && waits && ctx.Err() == nil {
			continue
		}
		if call.Ticket != 0 && (err != nil || waits) {
			n.abandonTicket(vm, req.Service, call.Ticket)
		}
		if waits {
			return nil, ctx.Err()
		}
		return d, err
	}
}

// acquireOnce makes one call to a home, which may be this VM.
func (n *Node) acquireOnce(ctx context.Context, vm roster.VM, req *home.SlotRequest) (pool.Decision, error) {
	sentAt := time.Now()
	req = n.limits.forRequest(sentAt, vm.Name, req)
	untold := n.cfg.Notices.Untold(sentAt, req.Service, vm.Name)
	req.Notices = untold.Notices
	r, err := n.sendSlotRequest(ctx, vm, req)
	if err != nil {
		return nil, err
	}
	if vm.Name != n.cfg.Self.Name {
		n.limits.handleReply(time.Now(), sentAt, vm.Name, req, r.Limits)
	}
	if vm.Name != n.cfg.Self.Name && req.Ticket == 0 {
		n.hints.record(sentAt, req.Service, vm.Name, r.Hint)
	}
	n.cfg.Notices.MarkTold(req.Service, notice.HomeID{VM: vm.Name, Since: r.Limits.Version.Since}, untold)
	return r.Decision, nil
}

// sendSlotRequest sends a request for a slot to a home, which may be this VM.
func (n *Node) sendSlotRequest(ctx context.Context, vm roster.VM, req *home.SlotRequest) (home.Reply, error) {
	if n.isSelf(vm) {
		return n.cfg.Home.Acquire(ctx, req), nil
	}
	limit := acquireTimeout
	if req.Ticket != 0 {
		limit = waitTimeout
	}
	ctx, cancel := context.WithTimeout(n.withToken(ctx), limit)
	defer cancel()
	reply, err := n.client(vm.Address).Acquire(ctx, fleetapi.FromSlotRequest(req))
	if err != nil {
		return home.Reply{}, err
	}
	r, ok := fleetapi.ToReply(reply)
	if !ok {
		return home.Reply{}, errors.New("the reply of the pool's home contains no decision")
	}
	return r, nil
}

// abandonTicket informs a home that a queued request is no longer waited for.
func (n *Node) abandonTicket(vm roster.VM, svc site.ServiceName, t pool.Ticket) {
	if n.isSelf(vm) {
		n.cfg.Home.Abandon(svc, t)
		return
	}
	go func() { _ = n.sendRelease(vm, fleetapi.FromCanceledWait(svc, t)) }() // Logged there.
}

// report makes a call to another VM that no request waits for, and that does not end with
// the request that caused it.
func (n *Node) report(vm roster.VM, call func(ctx context.Context, c fleetapi.Fleet) error) error {
	ctx, cancel := context.WithTimeout(n.withToken(context.Background()), reportTimeout)
	defer cancel()
	return call(ctx, n.client(vm.Address))
}

// sendRelease sends a release to a home. A release that is lost needs no retry:
// the home frees the slot when the grant expires.
func (n *Node) sendRelease(vm roster.VM, req *fleetapi.ReleaseRequest) error {
	err := n.report(vm, func(ctx context.Context, c fleetapi.Fleet) error {
		_, err := c.Release(ctx, req)
		return err
	})
	if err != nil {
		n.cfg.Scope.Counter("releasesLost").Inc(1)
		record.Log("fleet: release not told to the home", "vm", vm.Name, "pool", req.GetService(), "report", req.GetReport(), "err", err)
	}
	return err
}

// slot is a backend server's slot that a home has granted.
type slot struct {
	node  *Node
	home  roster.VM
	grant pool.Granted
}

// Grant implements dispatch.Slot.
func (s *slot) Grant() pool.Granted { return s.grant }

// Home implements dispatch.Slot.
func (s *slot) Home() string { return string(s.home.Name) }

// Release implements dispatch.Slot.
func (s *slot) Release(e home.GrantResult) {
	e.VM = string(s.node.cfg.Self.Name)
	if s.home.Name == s.node.cfg.Self.Name {
		s.node.cfg.Home.Release(e)
		return
	}
	req := fleetapi.FromGrantResult(e, string(s.node.cfg.Self.Name))
	if _, served := e.Report.(pool.Served); served {
		go func() { _ = s.node.sendRelease(s.home, req) }() // Logged there.
		return
	}
	err := s.node.sendRelease(s.home, req) // Synchronously: the home must know of the failure before a retry.
	if u, unreached := e.Report.(pool.Unreached); unreached && u.Crashed {
		s.node.recordCrash(time.Now(), e, err == nil)
	}
}

// reportLimit tells the home what a response says about its server's limit.
func (s *slot) reportLimit(r home.LimitReport) {
	if s.home.Name == s.node.cfg.Self.Name {
		s.node.cfg.Home.ReportLimit(r)
		return
	}
	go s.node.sendLimit(s.home, fleetapi.FromLimitReport(r))
}

func (n *Node) sendLimit(vm roster.VM, req *fleetapi.ReportLimitRequest) {
	err := n.report(vm, func(ctx context.Context, c fleetapi.Fleet) error {
		_, err := c.ReportLimit(ctx, req)
		return err
	})
	if err != nil {
		n.cfg.Scope.Counter("limitReportsLost").Inc(1)
		record.Log("fleet: limit not reported to the home", "vm", vm.Name, "server", req.GetNamed().GetServer(), "err", err)
	}
}

// ReportLimit implements fleetapi.Fleet.
func (s server) ReportLimit(_ context.Context, req *fleetapi.ReportLimitRequest) (*fleetapi.ReportLimitAnswer, error) {
	s.node.cfg.Home.ReportLimit(fleetapi.ToLimitReport(req))
	return &fleetapi.ReportLimitAnswer{}, nil
}

// Acquire implements fleetapi.Fleet. If this VM was paused while the call waited, the VM that asked
// has given up; nobody would release a slot that it were granted.
func (s server) Acquire(ctx context.Context, req *fleetapi.AcquireRequest) (*fleetapi.AcquireAnswer, error) {
	if backend.IsCallerGone(ctx) {
		s.node.cfg.Scope.Counter("givenUp").Inc(1)
		return nil, twirp.NewError(twirp.Canceled, "the VM that asked for a slot has gone")
	}
	return fleetapi.FromReply(s.node.cfg.Home.Acquire(ctx, fleetapi.ToSlotRequest(req))), nil
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

package fleet

import (
	"context"
	"time"

	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// Standby returns the VM that takes over a service's pool from this one: the
// first candidate for its home other than this VM that answers, or "" if there is
// none. If this VM is no longer the first candidate, it returns the new home.
func (n *Node) Standby(svc site.ServiceName) string {
	if n.cfg.Standalone {
		return ""
	}
	now := time.Now()
	for _, vm := range n.rankedHomes(svc) {
		if vm.Name != n.cfg.Self.Name && !n.unresponsive.Has(now, vm.Name) {
			return string(vm.Name)
		}
	}
	return ""
}

// Share sends what this VM knows as the home of a service's pool to another VM. If the
// call fails, that VM detects the failing servers by failed requests, and gets the
// limits from the VMs that request slots.
func (n *Node) Share(svc site.ServiceName, to string, s pool.StandbyState) {
	for _, vm := range n.rankedHomes(svc) {
		if vm.Name == roster.VMName(to) {
			n.sendShare(vm, fleetapi.FromStandbyState(svc, s))
		}
	}
}

func (n *Node) sendShare(vm roster.VM, req *fleetapi.ShareRequest) {
	err := n.report(vm, func(ctx context.Context, c fleetapi.Fleet) error {
		_, err := c.Share(ctx, req)
		return err
	})
	if err != nil {
		n.cfg.Scope.Counter("sharesLost").Inc(1)
		n.unresponsive.Add(time.Now(), vm.Name)
		record.Log("fleet: state not sent to the standby", "vm", vm.Name, "service", req.GetService(), "err", err)
	}
}

// Share implements fleetapi.Fleet.
func (s server) Share(ctx context.Context, req *fleetapi.ShareRequest) (*fleetapi.ShareAnswer, error) {
	if u := req.GetBudget(); u != nil {
		accepted := s.node.cfg.Home.ReceiveBudgetUse(ctx, site.ServiceName(req.GetService()), fleetapi.ToBudgetUse(u))
		return &fleetapi.ShareAnswer{Decides: !accepted}, ctx.Err()
	}
	s.node.cfg.Home.MergeStandbyState(site.ServiceName(req.GetService()), fleetapi.ToStandbyState(req))
	return &fleetapi.ShareAnswer{}, nil
}

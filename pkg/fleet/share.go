package fleet

import (
	"context"

	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// StandIn returns the VM that would decide for a service in place of this one: the
// first of the service's homes that is another, or "" where this VM is alone. For a
// home whose role has moved that is the new one.
func (n *Node) StandIn(svc site.ServiceName) string {
	if n.cfg.Alone {
		return ""
	}
	for _, vm := range n.ranked(svc) {
		if vm.Name != n.cfg.Self.Name {
			return string(vm.Name)
		}
	}
	return ""
}

// Share tells a VM which servers of a service fail. What gets lost is learned anew
// from requests.
func (n *Node) Share(svc site.ServiceName, to string, spells []pool.Spell) {
	for _, vm := range n.ranked(svc) {
		if vm.Name == roster.VMName(to) {
			n.share(vm, fleetapi.FromFailureStreaks(svc, spells))
		}
	}
}

func (n *Node) share(vm roster.VM, req *fleetapi.ShareRequest) {
	ctx, cancel := context.WithTimeout(n.withToken(context.Background()), releaseTime)
	defer cancel()
	if _, err := n.client(vm.Address).Share(ctx, req); err != nil {
		n.cfg.Scope.Counter("sharesLost").Inc(1)
		record.Log("fleet: stand-in not told", "vm", vm.Name, "service", req.GetService(), "err", err)
	}
}

// Share implements fleetapi.Fleet.
func (s server) Share(_ context.Context, req *fleetapi.ShareRequest) (*fleetapi.ShareAnswer, error) {
	s.node.cfg.Home.Learn(site.ServiceName(req.GetService()), fleetapi.ToFailureStreaks(req))
	return &fleetapi.ShareAnswer{}, nil
}

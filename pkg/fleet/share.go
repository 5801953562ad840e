package fleet

import (
	"context"

	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// Standby returns the VM that takes over a service's pool from this one: the
// first candidate for its home other than this VM, or "" if there is none. If
// this VM is no longer the first candidate, it returns the new home.
func (n *Node) Standby(svc site.ServiceName) string {
	if n.cfg.Standalone {
		return ""
	}
	for _, vm := range n.rankedHomes(svc) {
		if vm.Name != n.cfg.Self.Name {
			return string(vm.Name)
		}
	}
	return ""
}

// ShareFailureStreaks sends the failure streaks of a service's servers to a VM.
// If the call fails, that VM detects the failing servers by failed requests.
func (n *Node) ShareFailureStreaks(svc site.ServiceName, to string, streaks []pool.FailureStreak) {
	for _, vm := range n.rankedHomes(svc) {
		if vm.Name == roster.VMName(to) {
			n.sendShare(vm, fleetapi.FromFailureStreaks(svc, streaks))
		}
	}
}

func (n *Node) sendShare(vm roster.VM, req *fleetapi.ShareRequest) {
	ctx, cancel := context.WithTimeout(n.withToken(context.Background()), releaseTimeout)
	defer cancel()
	if _, err := n.client(vm.Address).Share(ctx, req); err != nil {
		n.cfg.Scope.Counter("sharesLost").Inc(1)
		record.Log("fleet: failure streaks not sent to the standby", "vm", vm.Name, "service", req.GetService(), "err", err)
	}
}

// Share implements fleetapi.Fleet.
func (s server) Share(_ context.Context, req *fleetapi.ShareRequest) (*fleetapi.ShareAnswer, error) {
	s.node.cfg.Home.MergeFailureStreaks(site.ServiceName(req.GetService()), fleetapi.ToFailureStreaks(req))
	return &fleetapi.ShareAnswer{}, nil
}

package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// Fan-outs of news.
const (
	newsFanout  = 3                      // VMs that are told of news at once; each tells as many.
	leaveFanout = 6                      // VMs that are told that this one stops.
	newsGap     = 100 * time.Millisecond // Between two pushes, so that news in a burst goes together.
)

// serveHeartbeats sends one VM a heartbeat each period.
func (n *Node) serveHeartbeats(ctx context.Context) error {
	t := control.NewTicker(roster.HeartbeatPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		var target roster.VM
		found := false
		n.loop.Do(ctx, func(time.Time) { target, found = n.roster.Next() })
		if found {
			go n.probe(ctx, target)
		}
	}
}

// probe sends a VM a heartbeat, through others if it does not answer.
func (n *Node) probe(ctx context.Context, vm roster.VM) {
	if n.heartbeat(ctx, vm, roster.HeartbeatTimeout) == nil || n.heartbeatThroughOthers(ctx, vm) {
		return
	}
	n.loop.Do(ctx, func(now time.Time) {
		n.roster.HandleMissedHeartbeat(now, vm.Name)
		n.publish(now)
	})
}

// heartbeat sends one heartbeat and takes in what the answer carries.
func (n *Node) heartbeat(ctx context.Context, vm roster.VM, d time.Duration) error {
	ctx, cancel := context.WithTimeout(n.withToken(ctx), d)
	defer cancel()
	req := &fleetapi.HeartbeatRequest{
		To: string(vm.Name), CatalogVersion: int64(n.cfg.Replica.State().Version),
		RegistryRevision: int64(n.cfg.Registry.State().Revision),
	}
	if !n.loop.Do(ctx, func(now time.Time) {
		req.From = fleetapi.FromUpdate(n.roster.Self())
		req.Members = fleetapi.FromUpdates(n.factsFor(vm.Name))
		req.Rumors = n.rumors.riding(now)
		req.WantAll = n.greet
	}) {
		return ctx.Err()
	}
	n.cfg.Scope.Counter("heartbeats").Inc(1)
	a, err := n.client(vm.Address).Heartbeat(ctx, req)
	if err != nil {
		return err
	}
	if a.GetFrom().GetName() != string(vm.Name) {
		return errors.New("another VM answered")
	}
	n.take(ctx, a.GetFrom(), a.GetMembers(), a.GetRumors(), a.GetCatalogVersion(), a.GetRegistryRevision(), true)
	return nil
}

// factsFor returns the facts for a message to a VM, with what it may want to
// contradict. It must run on the loop.
func (n *Node) factsFor(to roster.VMName) []roster.Update {
	facts := n.roster.Updates()
	if u, ok := n.roster.RefutableUpdate(to); ok {
		facts = append(facts, u)
	}
	return facts
}

// take takes in what another VM said.
func (n *Node) take(ctx context.Context, from *fleetapi.Member, members []*fleetapi.Member, rs []*fleetapi.Rumor, version, revision int64, answer bool) {
	var fresh []*fleetapi.Rumor
	n.loop.Do(ctx, func(now time.Time) {
		n.roster.HandleHeartbeat(now, fleetapi.ToUpdate(from), fleetapi.ToUpdates(members))
		if answer {
			n.greet = false
		}
		for _, m := range rs {
			if n.rumors.add(now, m) {
				fresh = append(fresh, m)
			}
		}
		n.publish(now)
	})
	for _, m := range fresh {
		n.act(m)
	}
	if len(fresh) > 0 {
		n.news()
	}
	n.hearOf(fleetapi.ToUpdate(from).VM, catalog.Version(version), registry.Revision(revision))
}

// act applies a fact that was new to this VM.
func (n *Node) act(m *fleetapi.Rumor) {
	switch b := m.GetBody().(type) {
	case *fleetapi.Rumor_Loss:
		n.cfg.Home.RecordLoss(fleetapi.ToLoss(b.Loss))
	case *fleetapi.Rumor_Release:
		n.cfg.Home.RecordRelease(fleetapi.ToRelease(b.Release))
	case *fleetapi.Rumor_Refresh:
		n.cfg.Home.Refresh(site.ServiceName(b.Refresh.GetService()))
	case *fleetapi.Rumor_Departure:
		n.cfg.Home.MarkLeaving(b.Departure.GetAddress())
	}
}

// news has the newest facts and the configuration's version pushed at once.
func (n *Node) news() {
	select {
	case n.tell <- struct{}{}:
	default:
	}
}

// serveNews pushes news to a few VMs, which push it on.
func (n *Node) serveNews(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.tell:
			n.pushNews(ctx, newsFanout)
		}
		if err := control.Sleep(ctx, newsGap); err != nil {
			return err
		}
	}
}

func (n *Node) pushNews(ctx context.Context, fanout int) {
	var vms []roster.VM
	n.loop.Do(ctx, func(time.Time) { vms = n.roster.RandomPeers(fanout, n.cfg.Self.Name) })
	var wg sync.WaitGroup
	for _, vm := range vms {
		wg.Go(func() {
			if err := n.heartbeat(ctx, vm, roster.IndirectTimeout); err != nil {
				klog.V(2).InfoS("fleet: news not delivered", "vm", vm.Name, "err", err)
			}
		})
	}
	wg.Wait()
}

// heartbeatThroughOthers asks other VMs to send one to a VM that does not answer.
func (n *Node) heartbeatThroughOthers(ctx context.Context, vm roster.VM) bool {
	ctx, cancel := context.WithTimeout(n.withToken(ctx), roster.IndirectTimeout)
	defer cancel()
	var vms []roster.VM
	n.loop.Do(ctx, func(time.Time) { vms = n.roster.Helpers(vm.Name) })
	reached := make(chan bool, len(vms))
	for _, helper := range vms {
		go func() {
			a, err := n.client(helper.Address).HeartbeatFor(ctx, &fleetapi.HeartbeatForRequest{
				Name: string(vm.Name), Address: vm.Address,
			})
			reached <- err == nil && a.GetReached()
		}()
	}
	for range vms {
		if <-reached {
			return true
		}
	}
	return false
}

// Broadcast tells all VMs, this one included, of a fact.
func (n *Node) Broadcast(m *fleetapi.Rumor) {
	m.Id = uuid.NewString()
	n.spread(m)
}

// spread tells all VMs of a fact that already has an id.
func (n *Node) spread(m *fleetapi.Rumor) {
	n.loop.Post(func(now time.Time) {
		if n.rumors.add(now, m) {
			n.act(m)
			n.news()
		}
	})
}

// BroadcastLoss tells all VMs that a request took a server down. The VMs that
// stand in for the pool's home are told at once, since a copy of the request
// may be on its way to them.
func (n *Node) BroadcastLoss(ctx context.Context, l quarantine.Loss) {
	n.Broadcast(&fleetapi.Rumor{Body: &fleetapi.Rumor_Loss{Loss: fleetapi.FromLoss(l)}})
	var wg sync.WaitGroup
	for _, vm := range n.ranked(l.Service) {
		if vm.Name == n.cfg.Self.Name {
			continue
		}
		wg.Go(func() {
			if err := n.heartbeat(ctx, vm, roster.HeartbeatTimeout); err != nil {
				klog.V(1).InfoS("fleet: loss not told", "vm", vm.Name, "err", err)
			}
		})
	}
	wg.Wait()
}

// BroadcastRelease tells all VMs that a request may run again.
func (n *Node) BroadcastRelease(r quarantine.Release) {
	n.Broadcast(&fleetapi.Rumor{Body: &fleetapi.Rumor_Release{Release: fleetapi.FromRelease(r)}})
}

// Announce tells other VMs that this one has a new version of the
// configuration.
func (n *Node) Announce() { n.news() }

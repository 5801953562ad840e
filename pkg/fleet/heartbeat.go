package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// Fan-out and rate of gossip.
const (
	gossipFanout   = 3                      // VMs that an update is pushed to at once; each pushes it on to as many.
	leaveFanout    = 6                      // VMs that are informed at once when this VM stops.
	gossipInterval = 100 * time.Millisecond // Between two pushes, so that a burst of updates is sent together.
)

// serveHeartbeats sends a heartbeat to one VM in each period.
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

// probe sends a heartbeat to a VM, indirectly through other VMs if it does not
// answer, and reports a missed heartbeat to the roster if both fail.
func (n *Node) probe(ctx context.Context, vm roster.VM) {
	if n.heartbeat(ctx, vm, roster.HeartbeatTimeout) == nil || n.indirectHeartbeat(ctx, vm) {
		return
	}
	n.loop.Do(ctx, func(now time.Time) {
		n.roster.HandleMissedHeartbeat(now, vm.Name)
		n.publish(now)
	})
}

// heartbeat sends one heartbeat and processes the reply.
func (n *Node) heartbeat(ctx context.Context, vm roster.VM, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(n.withToken(ctx), timeout)
	defer cancel()
	req := &fleetapi.HeartbeatRequest{
		To: string(vm.Name), CatalogVersion: int64(n.cfg.Replica.State().Version),
		RegistryRevision: int64(n.cfg.Registry.State().Revision),
	}
	if !n.loop.Do(ctx, func(now time.Time) {
		req.From = fleetapi.FromUpdate(n.roster.Self())
		req.Members = fleetapi.FromUpdates(n.updatesFor(vm.Name))
		req.Rumors = n.gossip.piggyback(now)
		req.WantAll = n.wantAll
	}) {
		return ctx.Err()
	}
	n.cfg.Scope.Counter("heartbeats").Inc(1)
	reply, err := n.client(vm.Address).Heartbeat(ctx, req)
	if err != nil {
		return err
	}
	if reply.GetFrom().GetName() != string(vm.Name) {
		return fmt.Errorf("the heartbeat to VM %s was answered by VM %s", vm.Name, reply.GetFrom().GetName())
	}
	n.handleMessage(ctx, reply.GetFrom(), reply.GetMembers(), reply.GetRumors(), reply.GetCatalogVersion(), reply.GetRegistryRevision(), true)
	return nil
}

// updatesFor returns the roster updates for a message to a VM, including the one
// about that VM which it may want to refute. It must be called on the loop's
// goroutine.
func (n *Node) updatesFor(to roster.VMName) []roster.Update {
	updates := n.roster.Updates()
	if u, ok := n.roster.RefutableUpdate(to); ok {
		updates = append(updates, u)
	}
	return updates
}

// handleMessage processes a heartbeat or the reply to one: roster updates,
// gossip updates and the versions that the sender has.
func (n *Node) handleMessage(ctx context.Context, from *fleetapi.Member, members []*fleetapi.Member, updates []*fleetapi.Rumor, version, revision int64, isReply bool) {
	var fresh []*fleetapi.Rumor
	n.loop.Do(ctx, func(now time.Time) {
		n.roster.HandleHeartbeat(now, fleetapi.ToUpdate(from), fleetapi.ToUpdates(members))
		if isReply {
			n.wantAll = false
		}
		for _, m := range updates {
			if n.gossip.add(now, m) {
				fresh = append(fresh, m)
			}
		}
		n.publish(now)
	})
	for _, m := range fresh {
		n.applyGossip(m)
	}
	if len(fresh) > 0 {
		n.triggerGossip()
	}
	n.fetchIfBehind(fleetapi.ToUpdate(from).VM, catalog.Version(version), registry.Revision(revision))
}

// applyGossip passes an update that this VM has not seen before to the home.
func (n *Node) applyGossip(m *fleetapi.Rumor) {
	if t := m.GetTrial(); t != nil {
		n.cfg.Losses.RecordTrial(time.Now(), fleetapi.ToTrial(t))
	}
	switch b := m.GetBody().(type) {
	case *fleetapi.Rumor_Loss:
		n.cfg.Losses.RecordLoss(time.Now(), fleetapi.ToLoss(b.Loss))
	case *fleetapi.Rumor_Release:
		n.cfg.Losses.RecordRelease(time.Now(), fleetapi.ToRelease(b.Release))
	case *fleetapi.Rumor_Refresh:
		n.cfg.Home.Refresh(site.ServiceName(b.Refresh.GetService()))
	case *fleetapi.Rumor_Departure:
		n.cfg.Home.MarkLeaving(b.Departure.GetAddress())
	}
}

// triggerGossip requests a push of the pending updates and of the
// configuration's version.
func (n *Node) triggerGossip() {
	select {
	case n.gossipNow <- struct{}{}:
	default:
	}
}

// serveGossip pushes updates to a few VMs when requested. Those VMs push them on.
func (n *Node) serveGossip(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.gossipNow:
			n.pushGossip(ctx, gossipFanout)
		}
		if err := control.Sleep(ctx, gossipInterval); err != nil {
			return err
		}
	}
}

// pushGossip sends a heartbeat with the pending updates to up to fanout VMs.
func (n *Node) pushGossip(ctx context.Context, fanout int) {
	var vms []roster.VM
	n.loop.Do(ctx, func(time.Time) { vms = n.roster.GossipPeers(fanout) })
	var wg sync.WaitGroup
	for _, vm := range vms {
		wg.Go(func() {
			if err := n.heartbeat(ctx, vm, roster.IndirectTimeout); err != nil {
				klog.V(2).InfoS("fleet: gossip push failed", "vm", vm.Name, "err", err)
			}
		})
	}
	wg.Wait()
}

// indirectHeartbeat asks other VMs to send a heartbeat to a VM that did not
// answer this one. It reports whether one of them got a reply.
func (n *Node) indirectHeartbeat(ctx context.Context, vm roster.VM) bool {
	ctx, cancel := context.WithTimeout(n.withToken(ctx), roster.IndirectTimeout)
	defer cancel()
	var vms []roster.VM
	n.loop.Do(ctx, func(time.Time) { vms = n.roster.Helpers(vm.Name) })
	reached := make(chan bool, len(vms))
	for _, helper := range vms {
		go func() {
			reply, err := n.client(helper.Address).HeartbeatFor(ctx, &fleetapi.HeartbeatForRequest{
				Name: string(vm.Name), Address: vm.Address,
			})
			reached <- err == nil && reply.GetReached()
		}()
	}
	for range vms {
		if <-reached {
			return true
		}
	}
	return false
}

// Broadcast applies an update on this VM and gossips it to all others.
func (n *Node) Broadcast(m *fleetapi.Rumor) {
	m.Id = uuid.NewString()
	n.broadcast(m)
}

// broadcast is Broadcast for an update that already has an ID.
func (n *Node) broadcast(m *fleetapi.Rumor) {
	n.loop.Post(func(now time.Time) {
		if n.gossip.add(now, m) {
			n.applyGossip(m)
			n.triggerGossip()
		}
	})
}

// Announce informs other VMs that this one has a new version of the
// configuration.
func (n *Node) Announce() { n.triggerGossip() }

package fleet

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

// Times and counts of keeping level.
const (
	listReaders = 3               // VMs of a site that read the list of VMs.
	listAgain   = 5 * time.Second // A leaving server is told of again.
	fetchTime   = 2 * time.Second
	roleListing = "listReader"
	greetings   = 4 // VMs that one which knows no other speaks to at once.
)

// serveSync fetches the configuration from VMs that have a newer one.
func (n *Node) serveSync(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case vm := <-n.behind:
			if err := n.fetch(ctx, vm); err != nil {
				klog.V(1).InfoS("fleet: configuration not fetched", "vm", vm.Name, "err", err)
			}
			if n.cfg.Servers == nil {
				continue
			}
			if err := n.fetchServers(ctx, vm); err != nil {
				klog.V(1).InfoS("fleet: registered servers not fetched", "vm", vm.Name, "err", err)
			}
		}
	}
}

// fetch brings the replica up to another VM's version.
func (n *Node) fetch(ctx context.Context, vm roster.VM) error {
	ctx, cancel := context.WithTimeout(n.withToken(ctx), fetchTime)
	defer cancel()
	was := n.cfg.Replica.State().Version
	a, err := n.client(vm.Address).Changes(ctx, &fleetapi.ChangesRequest{Since: int64(was)})
	if err != nil {
		return err
	}
	if err := n.apply(a); err != nil {
		return err
	}
	if v := n.cfg.Replica.State().Version; v > was {
		n.inForce(v, string(vm.Name))
		n.news()
	}
	return nil
}

func (n *Node) apply(a *fleetapi.ChangesAnswer) error {
	now := time.Now()
	if len(a.GetSnapshot()) > 0 {
		var s catalog.Snapshot
		if err := json.Unmarshal(a.GetSnapshot(), &s); err != nil {
			return err
		}
		_, err := n.cfg.Replica.Load(now, &s)
		return err
	}
	changes := make([]catalog.Change, len(a.GetChanges()))
	for i, raw := range a.GetChanges() {
		if err := json.Unmarshal(raw, &changes[i]); err != nil {
			return err
		}
	}
	_, err := n.cfg.Replica.Apply(now, changes)
	return err
}

// serveList tells the platform's list of VMs of this one, where it can be told,
// and reads it, in a few VMs of the site and in those that know no other VM.
func (n *Node) serveList(ctx context.Context) error {
	told := make(map[string]time.Time)
	registered := false
	for {
		if !registered {
			registered = n.register(ctx)
		}
		gap := n.cfg.ListInterval
		alone := len(n.View().VMs()) <= 1
		if alone {
			gap = min(gap, aloneGap)
		}
		if alone || n.View().HasRole(roleListing, n.cfg.ListReaders, n.cfg.Self.Name) {
			n.readList(ctx, told)
		}
		if err := control.Sleep(ctx, gap); err != nil {
			return err
		}
	}
}

// aloneGap is the rest between two reads of a VM that knows no other.
const aloneGap = time.Second

// register puts this VM on the platform's list, where that takes entries.
func (n *Node) register(ctx context.Context) bool {
	r, ok := n.cfg.Store.(store.Registrar)
	if !ok {
		return true
	}
	err := r.Register(ctx, store.VM{
		Name: string(n.cfg.Self.Name), Address: n.cfg.Self.Address, DataCentre: string(n.cfg.Self.DataCentre),
		Role: store.RoleEntry, State: store.VMLive, Cores: n.cfg.Self.Cores,
	})
	if err != nil {
		klog.V(1).InfoS("fleet: this VM is not on the platform's list yet", "err", err)
	}
	return err == nil
}

func (n *Node) readList(ctx context.Context, told map[string]time.Time) {
	vms, err := n.cfg.Store.VMs(ctx)
	if err != nil {
		klog.V(1).InfoS("fleet: list of VMs not read", "err", err)
		return
	}
	var entries []roster.VM
	now := time.Now()
	for _, vm := range vms {
		switch {
		case vm.Role == store.RoleEntry && vm.State == store.VMLive:
			entries = append(entries, vmOf(vm))
		case vm.Role == store.RoleBackend && vm.State == store.VMLeaving && now.Sub(told[vm.Address]) > listAgain:
			told[vm.Address] = now
			n.Broadcast(&fleetapi.Rumor{Body: &fleetapi.Rumor_Departure{
				Departure: &fleetapi.Departure{Address: vm.Address},
			}})
		}
	}
	var known []roster.Update
	var unheard []roster.VM
	n.loop.Do(ctx, func(now time.Time) {
		n.roster.Seed(now, entries)
		n.publish(now)
		known = n.roster.All()
		if n.greet {
			unheard = n.roster.Unconfirmed(greetings)
		}
	})
	for _, vm := range unheard {
		go n.probe(ctx, vm)
	}
	n.clean(ctx, now, vms, known)
}

// staleAfter is how long nobody may have heard of a VM before its entry is taken
// off the list.
const staleAfter = 10 * time.Minute

// clean takes the entries of VMs that are gone for good off the list, where it
// takes entries from VMs.
func (n *Node) clean(ctx context.Context, now time.Time, vms []store.VM, known []roster.Update) {
	r, ok := n.cfg.Store.(store.Registrar)
	if !ok {
		return
	}
	alive := make(map[string]bool, len(known))
	for _, u := range known {
		alive[string(u.Name)] = u.Status != roster.Dead
	}
	for _, vm := range vms {
		if alive[vm.Name] {
			delete(n.stale, vm.Name)
			continue
		}
		since, seen := n.stale[vm.Name]
		if !seen {
			n.stale[vm.Name] = now
			continue
		}
		if now.Sub(since) < staleAfter {
			continue
		}
		if err := r.Remove(ctx, vm); err != nil {
			klog.V(1).InfoS("fleet: entry of a VM that is gone not removed", "vm", vm.Name, "err", err)
			continue
		}
		delete(n.stale, vm.Name)
		record.Notable("fleet: entry of a VM that is gone removed", "vm", vm.Name, "since", since)
	}
}

func vmOf(vm store.VM) roster.VM {
	return roster.VM{
		Name: roster.VMName(vm.Name), Address: vm.Address, DataCentre: site.DataCentre(vm.DataCentre), Cores: vm.Cores,
	}
}

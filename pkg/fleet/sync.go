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

// Parameters of fetches from other VMs and of reads of the list of VMs.
const (
	departureInterval = 5 * time.Second // A leaving server is announced again after so long.
	fetchTimeout      = 2 * time.Second
	roleListReader    = "listReader"
	initialProbes     = 4 // VMs that are probed at once by a VM that has got no reply yet.
)

// serveFetches fetches the configuration and the registry from VMs that have
// newer ones.
func (n *Node) serveFetches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case vm := <-n.behind:
			if err := n.fetchConfig(ctx, vm); err != nil {
				klog.V(1).InfoS("fleet: cannot fetch the configuration from a VM", "vm", vm.Name, "err", err)
			}
			if n.cfg.Servers == nil {
				continue
			}
			if err := n.fetchServers(ctx, vm); err != nil {
				klog.V(1).InfoS("fleet: cannot fetch the registered servers from a VM", "vm", vm.Name, "err", err)
			}
		}
	}
}

// fetchConfig updates the configuration from another VM.
func (n *Node) fetchConfig(ctx context.Context, vm roster.VM) error {
	ctx, cancel := context.WithTimeout(n.withToken(ctx), fetchTimeout)
	defer cancel()
	was := n.cfg.Replica.State().Version
	reply, err := n.client(vm.Address).Changes(ctx, &fleetapi.ChangesRequest{Since: int64(was)})
	if err != nil {
		return err
	}
	if err := n.applyChanges(reply); err != nil {
		return err
	}
	if v := n.cfg.Replica.State().Version; v > was {
		n.reportConfigInForce(v, string(vm.Name))
		n.triggerGossip()
	}
	return nil
}

// applyChanges applies a snapshot or a list of changes to the replica.
func (n *Node) applyChanges(reply *fleetapi.ChangesAnswer) error {
	now := time.Now()
	if len(reply.GetSnapshot()) > 0 {
		s, err := unpackSnapshot(reply.GetSnapshot())
		if err != nil {
			return err
		}
		_, err = n.cfg.Replica.Load(now, s)
		return err
	}
	changes := make([]catalog.Change, len(reply.GetChanges()))
	for i, raw := range reply.GetChanges() {
		if err := json.Unmarshal(raw, &changes[i]); err != nil {
			return err
		}
	}
	_, err := n.cfg.Replica.Apply(now, changes)
	return err
}

// serveList adds this VM to the platform's list of VMs, if the list accepts
// entries, and reads it on a few VMs of the site and on each VM that knows no
// other.
func (n *Node) serveList(ctx context.Context) error {
	announced := make(map[string]time.Time)
	registered := false
	for {
		// The store may lose the entry when it comes back from an older copy.
		era := n.storeEra()
		if !registered || era > n.registeredIn {
			registered = n.register(ctx)
			n.registeredIn = era
		}
		n.awaitOthers(ctx)
		gap := n.cfg.ListInterval
		alone := n.isAlone()
		if alone {
			gap = min(gap, aloneListInterval)
		}
		if alone || n.View().HasRole(roleListReader, n.cfg.ListReaders, n.cfg.Self.Name) {
			n.readList(ctx, announced)
		}
		if err := n.awaitEraRise(ctx, gap); err != nil {
			return err
		}
	}
}

// awaitEraRise waits for a time, or until the store has come back from an older copy. Then it
// waits a little, so that not all VMs register at once.
func (n *Node) awaitEraRise(ctx context.Context, wait time.Duration) error {
	timeout, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case <-timeout.Done():
		return ctx.Err()
	case <-n.eraRose:
		return control.Sleep(ctx, n.jitter())
	}
}

// storeEra returns how often the platform's store is known to have come back from an older copy.
func (n *Node) storeEra() int64 {
	if n.cfg.Servers == nil {
		return 0
	}
	return n.cfg.Registry.State().Revision.Era()
}

// isAlone reports whether this VM knows no other.
func (n *Node) isAlone() bool { return len(n.View().VMs()) <= 1 }

// awaitOthers gives the VMs that know this one, if it has just started and knows none, some
// time to say so. That spreads the reads of the list when all start at once.
func (n *Node) awaitOthers(ctx context.Context) {
	if wait := n.jitter()/listJitterShare - time.Since(n.startedAt); wait > 0 && n.isAlone() {
		_ = control.Sleep(ctx, wait) // The caller notices the end of ctx.
	}
}

// listJitterShare divides the jitter of reads of the tables for that of the list, which delays
// a start.
const listJitterShare = 3

// aloneListInterval is the longest time between two reads of the list on a VM
// that knows no other.
const aloneListInterval = time.Second

// register adds this VM to the platform's list, if the list accepts entries. It
// reports whether no further attempt is needed.
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
		klog.V(1).InfoS("fleet: cannot register this VM on the platform's list", "err", err)
	}
	return err == nil
}

// readList reads the list of VMs. It seeds the roster with the entry VMs and
// announces the backend servers that are leaving.
func (n *Node) readList(ctx context.Context, announced map[string]time.Time) {
	vms, err := n.cfg.Store.VMs(ctx)
	if err != nil {
		klog.V(1).InfoS("fleet: cannot read the platform's list of VMs", "err", err)
		return
	}
	var entries []roster.VM
	now := time.Now()
	for _, vm := range vms {
		switch {
		case vm.Role == store.RoleEntry && vm.State == store.VMLive:
			entries = append(entries, toRosterVM(vm))
		case vm.Role == store.RoleBackend && vm.State == store.VMLeaving && now.Sub(announced[vm.Address]) > departureInterval:
			announced[vm.Address] = now
			n.Broadcast(&fleetapi.Rumor{Body: &fleetapi.Rumor_Departure{
				Departure: &fleetapi.Departure{Address: vm.Address},
			}})
		}
	}
	var known []roster.Update
	var unconfirmed []roster.VM
	n.loop.Do(ctx, func(now time.Time) {
		n.roster.Seed(now, entries)
		n.publish(now)
		known = n.roster.All()
		if n.wantAll {
			unconfirmed = n.roster.Unconfirmed(initialProbes)
		}
	})
	n.quotas.listRead.Store(true)
	for _, vm := range unconfirmed {
		go n.probe(ctx, vm)
	}
	n.removeStaleEntries(ctx, now, vms, known)
}

// staleAfter is how long a VM must be dead or unknown before its entry is
// removed from the list.
const staleAfter = 10 * time.Minute

// removeStaleEntries removes the entries of VMs that have been dead or unknown
// for staleAfter from the platform's list, if VMs may remove entries there.
func (n *Node) removeStaleEntries(ctx context.Context, now time.Time, vms []store.VM, known []roster.Update) {
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
			delete(n.unknownSince, vm.Name)
			continue
		}
		since, seen := n.unknownSince[vm.Name]
		if !seen {
			n.unknownSince[vm.Name] = now
			continue
		}
		if now.Sub(since) < staleAfter {
			continue
		}
		if err := r.Remove(ctx, vm); err != nil {
			klog.V(1).InfoS("fleet: cannot remove a stale entry from the platform's list of VMs", "vm", vm.Name, "err", err)
			continue
		}
		delete(n.unknownSince, vm.Name)
		record.Log("fleet: removed a stale entry from the platform's list of VMs", "vm", vm.Name, "since", since)
	}
}

func toRosterVM(vm store.VM) roster.VM {
	return roster.VM{
		Name: roster.VMName(vm.Name), Address: vm.Address, DataCentre: site.DataCentre(vm.DataCentre), Cores: vm.Cores,
	}
}

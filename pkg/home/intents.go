package home

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/floor"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/site"
)

// connectionCheckTimeout bounds the connection attempt to a server that is down.
const connectionCheckTimeout = 500 * time.Millisecond

// carryOutIntents carries out the actions that a pool asks for: ejections,
// restorations and connection checks.
func (h *Home) carryOutIntents(now time.Time, p *ownedPool) {
	svc := h.cfg.Replica.State().Directory.Service(site.ServiceName(p.ID()))
	if svc == nil {
		return
	}
	if svc.Registered {
		h.checkRegistered(now, p)
		return
	}
	record := h.records[svc.Name]
	recorded := func(n site.ServerName) bool {
		e, out := record.Excluded[n]
		return out && e.Cause != floor.Held
	}
	for _, in := range p.Intents(now, recorded) {
		switch in := in.(type) {
		case pool.Eject:
			h.recordExclusion(now, p.ID(), svc, in.Server.Name, floor.Ejected, in.Reason)
		case pool.RecordLeaving:
			h.recordExclusion(now, p.ID(), svc, in.Server.Name, floor.Leaving, in.Reason)
		case pool.Restore:
			h.clearRecord(p.ID(), svc, in.Server.Name, record.Excluded[in.Server.Name].Cause)
		case pool.CheckConnection:
			h.checkConnection(p.ID(), in.Server)
		}
	}
	h.readmit(now, p, svc, record)
}

// checkRegistered checks the connections to the servers that are down, for a
// service whose servers register themselves. Ejections of such servers are not
// recorded in the store: the servers come and go, and the pool itself enforces
// the floor, which is a share of them.
func (h *Home) checkRegistered(now time.Time, p *ownedPool) {
	for _, in := range p.Intents(now, func(site.ServerName) bool { return false }) {
		if r, ok := in.(pool.CheckConnection); ok {
			h.checkConnection(p.ID(), r.Server)
		}
	}
}

// recordExclusion records a server as out in the store. Until the record is written,
// a failing server stays in use as a last resort.
func (h *Home) recordExclusion(now time.Time, id pool.ID, svc *site.Service, n site.ServerName, c floor.Cause, reason string) {
	e := floor.Entry{Cause: c, Reason: reason, By: h.cfg.VM, At: now}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		v := h.floor.Exclude(ctx, svc, n, e, false)
		h.loop.Post(func(now time.Time) { h.handleExcludeResult(now, id, svc, n, v) })
	}()
}

// handleExcludeResult processes the result of recordOut.
func (h *Home) handleExcludeResult(now time.Time, id pool.ID, svc *site.Service, n site.ServerName, v floor.Result) {
	p, ok := h.pools[id]
	if !ok {
		return
	}
	switch v := v.(type) {
	case floor.Done:
		h.records[svc.Name] = v.Record
		h.reportEvents(now, id, p.EjectionRecorded(now, n))
	case floor.Refused:
		h.records[svc.Name] = v.Record
		h.cfg.Journal.Add(now, "server "+string(n), "not ejected, kept as a last resort: "+v.Reason)
		h.cfg.Scope.Counter("ejectionsRefused").Inc(1)
	case floor.Indeterminate:
		h.cfg.Journal.Add(now, "server "+string(n), "not recorded as out of service yet; if it is suspected, it stays in use as a last resort until then: "+v.Cause.Error())
		klog.V(1).InfoS("home: server not recorded as out of service", "server", n, "err", v.Cause)
	}
}

// clearRecord removes the record of a server that is in use again.
func (h *Home) clearRecord(id pool.ID, svc *site.Service, n site.ServerName, c floor.Cause) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		v := h.floor.Readmit(ctx, svc, n, c)
		h.loop.Post(func(now time.Time) {
			switch v := v.(type) {
			case floor.Done:
				h.records[svc.Name] = v.Record
				h.cfg.Journal.Add(now, "server "+string(n), "no longer recorded as out")
			case floor.Refused, floor.Indeterminate:
				klog.V(1).InfoS("home: record of a server that is back in use not removed", "pool", id, "server", n)
			}
		})
	}()
}

// readmit puts an ejected server back into use if the service is below its
// floor.
func (h *Home) readmit(now time.Time, p *ownedPool, svc *site.Service, r floor.Record) {
	n, ok := r.NextToReadmit(svc)
	if !ok {
		return
	}
	h.reportEvents(now, p.ID(), p.Readmit(now, n, "the service is below its floor"))
}

// checkConnection checks whether a server that is down accepts connections again.
func (h *Home) checkConnection(id pool.ID, s site.Server) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), connectionCheckTimeout)
		defer cancel()
		reached := h.cfg.Reaches(ctx, site.ServiceName(id), s)
		h.loop.Post(func(now time.Time) {
			if p, ok := h.pools[id]; ok {
				h.reportEvents(now, id, p.ConnectionChecked(now, s.Name, reached))
			}
		})
	}()
}

// MarkLeaving takes the servers at an address out of use because the platform's
// list of VMs shows them as leaving.
func (h *Home) MarkLeaving(address string) {
	h.loop.Post(func(now time.Time) {
		st := h.cfg.Replica.State().Directory
		for _, svc := range st.Services() {
			for i := range svc.Servers {
				if svc.Servers[i].Address == address {
					h.markLeaving(now, svc, &svc.Servers[i])
				}
			}
		}
	})
}

func (h *Home) markLeaving(now time.Time, svc *site.Service, s *site.Server) {
	id := pool.ID(svc.Name)
	if p, ok := h.pools[id]; ok {
		h.reportEvents(now, id, p.MarkLeaving(now, s.Name, "the platform's list of VMs shows it as leaving"))
	}
}

// Status is a snapshot of a home's pools and suspected requests.
type Status struct {
	Pools    []pool.View
	Suspects []quarantine.Suspect
}

// Status returns the home's current state, with the pools in order of their IDs.
func (h *Home) Status(ctx context.Context) Status {
	var s Status
	h.loop.Do(ctx, func(now time.Time) {
		for _, p := range h.pools {
			s.Pools = append(s.Pools, p.View())
		}
		s.Suspects = h.cfg.Losses.List(now)
	})
	slices.SortFunc(s.Pools, func(x, y pool.View) int { return cmp.Compare(x.ID, y.ID) })
	return s
}

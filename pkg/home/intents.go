package home

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/floor"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/site"
)

// reachTimeout bounds the check of a server that was down.
const reachTimeout = 500 * time.Millisecond

// intend carries out what a pool wants.
func (h *Home) intend(now time.Time, p *held) {
	svc := h.cfg.Replica.State().Directory.Service(site.ServiceName(p.ID()))
	if svc == nil {
		return
	}
	if svc.Registered {
		h.reachAll(now, p)
		return
	}
	record := h.records[svc.Name]
	recorded := func(n site.ServerName) bool {
		e, out := record.Out[n]
		return out && e.Cause != floor.Held
	}
	for _, in := range p.Intents(now, recorded) {
		switch in := in.(type) {
		case pool.Eject:
			h.take(now, p.ID(), svc, in.Server.Name, floor.Sick, in.Reason)
		case pool.Depart:
			h.take(now, p.ID(), svc, in.Server.Name, floor.Leaving, in.Reason)
		case pool.Restore:
			h.restore(p.ID(), svc, in.Server.Name, record.Out[in.Server.Name].Cause)
		case pool.Reach:
			h.reach(p.ID(), in.Server)
		}
	}
	h.readmit(now, p, svc, record)
}

// reachAll looks at the servers that some VM could not reach. Ejections of
// servers that register themselves need no record: they come and go, the floor
// is a share of them, and the pool keeps it.
func (h *Home) reachAll(now time.Time, p *held) {
	for _, in := range p.Intents(now, func(site.ServerName) bool { return false }) {
		if r, ok := in.(pool.Reach); ok {
			h.reach(p.ID(), r.Server)
		}
	}
}

// take asks the table to record a server as out. Until it does, a sick server
// stays in use as a last resort.
func (h *Home) take(now time.Time, id pool.ID, svc *site.Service, n site.ServerName, c floor.Cause, reason string) {
	e := floor.Entry{Cause: c, Reason: reason, By: h.cfg.VM, At: now}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeCall)
		defer cancel()
		v := h.floor.Take(ctx, svc, n, e, false)
		h.loop.Post(func(now time.Time) { h.taken(now, id, svc, n, v) })
	}()
}

func (h *Home) taken(now time.Time, id pool.ID, svc *site.Service, n site.ServerName, v floor.Verdict) {
	p, ok := h.pools[id]
	if !ok {
		return
	}
	switch v := v.(type) {
	case floor.Done:
		h.records[svc.Name] = v.Record
		h.note(now, id, p.Recorded(now, n))
	case floor.Refused:
		h.records[svc.Name] = v.Record
		h.cfg.Journal.Add(now, "server "+string(n), "kept as a last resort: "+v.Reason)
		h.cfg.Scope.Counter("ejectionsRefused").Inc(1)
	case floor.Away:
		h.cfg.Journal.Add(now, "server "+string(n), "kept as a last resort until the store is back: "+v.Cause.Error())
		klog.V(1).InfoS("home: ejection waits for the store", "server", n, "err", v.Cause)
	}
}

// restore takes back a record of a server that is in use again.
func (h *Home) restore(id pool.ID, svc *site.Service, n site.ServerName, c floor.Cause) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeCall)
		defer cancel()
		v := h.floor.Return(ctx, svc, n, c)
		h.loop.Post(func(now time.Time) {
			switch v := v.(type) {
			case floor.Done:
				h.records[svc.Name] = v.Record
				h.cfg.Journal.Add(now, "server "+string(n), "no longer recorded as out")
			case floor.Refused, floor.Away:
				klog.V(1).InfoS("home: record waits for the store", "pool", id, "server", n)
			}
		})
	}()
}

// readmit uses an ejected server again when the service is below its floor.
func (h *Home) readmit(now time.Time, p *held, svc *site.Service, r floor.Record) {
	n, ok := r.Surplus(svc)
	if !ok {
		return
	}
	h.note(now, p.ID(), p.Readmit(now, n, "the service is below its floor"))
}

// reach checks whether a server that was down takes connections.
func (h *Home) reach(id pool.ID, s site.Server) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
		defer cancel()
		err := backend.NewLink(s.Address, h.cfg.Dial).Reach(ctx)
		h.loop.Post(func(now time.Time) {
			if p, ok := h.pools[id]; ok {
				h.note(now, id, p.Reached(now, s.Name, err == nil))
			}
		})
	}()
}

// MarkLeaving takes the servers at an address out of use, since the platform's
// list shows them as leaving.
func (h *Home) MarkLeaving(address string) {
	h.loop.Post(func(now time.Time) {
		st := h.cfg.Replica.State().Directory
		for _, svc := range st.Services() {
			for i := range svc.Servers {
				if svc.Servers[i].Address == address {
					h.leaving(now, svc, &svc.Servers[i])
				}
			}
		}
	})
}

func (h *Home) leaving(now time.Time, svc *site.Service, s *site.Server) {
	id := pool.ID(svc.Name)
	if p, ok := h.pools[id]; ok {
		h.note(now, id, p.MarkLeaving(now, s.Name, "the platform's list shows it as leaving"))
	}
}

// RecordLoss takes in a loss that another VM saw.
func (h *Home) RecordLoss(l quarantine.Loss) {
	h.loop.Post(func(now time.Time) { h.book.Note(now, l) })
}

// RecordRelease takes in an operator's release of a quarantined request.
func (h *Home) RecordRelease(r quarantine.Release) {
	h.loop.Post(func(now time.Time) {
		h.book.Free(now, r)
	})
}

// Status is what a home believes.
type Status struct {
	Pools    []pool.View
	Suspects []quarantine.Suspect
}

// Status returns what the home believes now.
func (h *Home) Status(ctx context.Context) Status {
	var b Status
	h.loop.Do(ctx, func(now time.Time) {
		for _, p := range h.pools {
			b.Pools = append(b.Pools, p.View())
		}
		b.Suspects = h.book.List(now)
	})
	slices.SortFunc(b.Pools, func(x, y pool.View) int { return cmp.Compare(x.ID, y.ID) })
	return b
}

// Losses returns the losses that still count, for a VM that has just started.
func (h *Home) Losses(ctx context.Context) []quarantine.Loss {
	var out []quarantine.Loss
	h.loop.Do(ctx, func(now time.Time) { out = h.book.Facts(now) })
	return out
}

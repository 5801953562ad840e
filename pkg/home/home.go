// Package home decides for the pools that this VM is home of: which server a
// request gets, who waits, who is refused, which servers are out.
//
// The home grants a slot, and the VM that has the caller sends the request. So
// a home that dies takes no request with it. One goroutine owns the pools. A
// home may be wrong about its role: a second home for a pool does no harm but
// that servers queue or shed what is too much.
package home

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/floor"
	"laburnumpick.org/pkg/journal"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

// Times of a home's control work.
const (
	tick      = 50 * time.Millisecond
	idlePool  = 5 * time.Minute // A pool without requests is forgotten.
	storeCall = 2 * time.Second // Bound on one decision about the floor.
)

// Config is what a home needs.
type Config struct {
	VM       string
	Site     site.Name
	Dial     backend.Dialer
	Store    store.Table
	Replica  *catalog.Replica
	Registry *registry.Replica
	Journal  *journal.Journal
	Scope    tally.Scope
	Retry    func() pool.RetryLimits
	Losses   func(quarantine.Loss)    // Tells the other VMs of a loss.
	Cleared  func(quarantine.Release) // Tells the other VMs that a request is harmless.
	// StandIn returns the VM that would decide for a service in place of this one,
	// or "".
	StandIn func(site.ServiceName) string
	// Share tells that VM which servers fail.
	Share func(n site.ServiceName, vm string, spells []pool.Spell)
}

// Home decides for its pools.
type Home struct {
	cfg   Config
	loop  *control.Loop
	floor *floor.RecordStore

	// The loop's goroutine owns what follows.
	pools   map[pool.ID]*held
	records map[site.ServiceName]floor.Record
	book    *quarantine.Tracker
	gauged  time.Time // When the gauges were last brought up to date.
}

// held is a pool with what its home adds.
type held struct {
	*pool.Pool
	version catalog.Version // The configuration that it is built from.
	listed  int64           // The changes of the registry that it is built from.
	used    time.Time
	asked   time.Time // When a request last asked for a slot.
	told    time.Time // When the stand-in was last told.
	standIn string    // The VM that was told.
	waiting map[pool.Ticket]*wait
	loaded  bool // The record of servers that are out was asked for.
}

// New returns a home. Its loop must be served.
func New(cfg Config) *Home {
	h := &Home{
		cfg:     cfg,
		floor:   floor.NewRecordStore(cfg.Store),
		pools:   make(map[pool.ID]*held),
		records: make(map[site.ServiceName]floor.Record),
		book:    quarantine.NewTracker(),
	}
	h.loop = control.NewLoop(tick, h.each)
	return h
}

// Loop returns the service that owns the pools.
func (h *Home) Loop() *control.Loop { return h.loop }

// each does the regular work on all pools.
func (h *Home) each(now time.Time) {
	for id, p := range h.pools {
		if now.Sub(p.used) > idlePool {
			delete(h.pools, id)
			continue
		}
		h.refresh(now, p)
		h.note(now, id, p.Tick(now))
		h.dropLost(now, p)
		h.wake(now, p)
		h.intend(now, p)
		h.share(now, p)
	}
	if now.Sub(h.gauged) >= gaugeGap {
		h.gauged = now
		h.gauge(now)
	}
}

// gaugeGap is the rest between two updates of the gauges.
const gaugeGap = time.Second

// gauge tells the metrics how the pools stand.
func (h *Home) gauge(now time.Time) {
	for id, p := range h.pools {
		s := p.Sums(now)
		scope := h.cfg.Scope.Tagged(map[string]string{"pool": string(id)})
		scope.Gauge("queued").Update(float64(s.Queued))
		scope.Gauge("slotsInUse").Update(float64(s.InUse))
		scope.Gauge("slots").Update(float64(s.Slots))
		scope.Gauge("servers").Update(float64(s.Servers))
		scope.Gauge("usableServers").Update(float64(s.Usable))
		scope.Gauge("retries").Update(float64(s.Retries))
		scope.Gauge("retryBudget").Update(float64(s.Budget))
	}
}

// pool returns a pool, made from the configuration in force if need be.
func (h *Home) pool(now time.Time, id pool.ID) *held {
	p, ok := h.pools[id]
	if !ok {
		p = &held{
			Pool: pool.New(now, id, h.settings(nil)), version: -1, listed: -1,
			waiting: make(map[pool.Ticket]*wait),
		}
		h.pools[id] = p
	}
	p.used = now
	h.refresh(now, p)
	return p
}

// settings returns what a service asks of its pool.
func (h *Home) settings(svc *site.Service) pool.Settings {
	set := pool.Settings{Sureness: h.cfg.Replica.State().Directory.Sureness(), Retry: h.cfg.Retry()}
	if svc != nil {
		set.Floor = svc.FloorOf
	}
	return set
}

// refresh rebuilds a pool when the configuration or the registry has changed.
func (h *Home) refresh(now time.Time, p *held) {
	st, reg := h.cfg.Replica.State(), h.cfg.Registry.State()
	if st.Version == p.version && reg.Generation == p.listed {
		return
	}
	p.version, p.listed = st.Version, reg.Generation
	svc := st.Directory.Service(site.ServiceName(p.ID()))
	h.note(now, p.ID(), p.Configure(now, h.settings(svc), members(svc, reg)))
	if svc != nil && !p.loaded && !svc.Registered {
		p.loaded = true
		h.reload(svc)
	}
}

// members returns the servers of a service, from the configuration or from the
// registry.
func members(svc *site.Service, reg *registry.State) []pool.Member {
	if svc == nil {
		return nil
	}
	var out []pool.Member
	for _, s := range svc.Servers {
		out = append(out, pool.Member{Server: s})
	}
	if !svc.Registered {
		return out
	}
	for _, l := range reg.Servers(svc.Name) {
		out = append(out, pool.Member{Server: l.Server, Leaving: l.Draining, ColdTill: l.ColdUntil})
	}
	return out
}

// reload reads the service's record of servers that are out.
func (h *Home) reload(svc *site.Service) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeCall)
		defer cancel()
		r, _, err := h.floor.Read(ctx, svc)
		if err != nil {
			klog.V(1).InfoS("home: record of servers that are out cannot be read", "service", svc.Name, "err", err)
			return
		}
		h.loop.Post(func(now time.Time) { h.adopt(now, svc, r) })
	}()
}

// Refresh reads a service's record again, since somebody changed it.
func (h *Home) Refresh(n site.ServiceName) {
	if svc := h.cfg.Replica.State().Directory.Service(n); svc != nil && !svc.Registered {
		h.reload(svc)
	}
}

// adopt brings a pool in line with a record.
func (h *Home) adopt(now time.Time, svc *site.Service, r floor.Record) {
	h.records[svc.Name] = r
	id := pool.ID(svc.Name)
	p, ok := h.pools[id]
	if !ok {
		return
	}
	for i := range svc.Servers {
		n := svc.Servers[i].Name
		e, out := r.Excluded[n]
		switch {
		case out && e.Cause == floor.Ejected:
			h.note(now, id, p.Adopt(now, n, e.Reason))
		case out && e.Cause == floor.Held:
			h.note(now, id, p.Hold(now, n, true, e.Reason))
		case out && e.Cause == floor.Leaving:
			h.note(now, id, p.MarkLeaving(now, n, e.Reason))
		default:
			h.note(now, id, p.Hold(now, n, false, "an operator let it back"))
		}
	}
}

// note writes changes of servers' states to the journal, the log and the
// metrics.
func (h *Home) note(now time.Time, id pool.ID, events []pool.Event) {
	for _, e := range events {
		h.cfg.Journal.Add(now, "server "+string(e.Server), string(e.From)+" to "+string(e.To)+": "+e.Reason)
		record.Log("home: server changes state", "pool", id, "server", e.Server, "from", e.From, "to", e.To, "reason", e.Reason)
		h.cfg.Scope.Tagged(map[string]string{"to": string(e.To)}).Counter("serverMoves").Inc(1)
	}
}

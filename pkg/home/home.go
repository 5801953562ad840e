// Package home manages the pools that this VM owns: it grants slots on backend
// servers, queues and refuses requests, and ejects and readmits servers.
//
// The home only grants slots. The VM that received the request sends it to the
// backend server, so requests in flight survive the loss of a home. All pools
// are owned by one goroutine. Two VMs may consider themselves home of the same
// pool for a while; the only effect is that backend servers may be sent more
// requests than their slots allow and then queue or shed the excess.
package home

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/admission"
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

// Intervals and timeouts of a home's background work.
const (
	tickInterval    = 50 * time.Millisecond
	poolIdleTimeout = 5 * time.Minute // A pool without requests for so long is dropped.
	storeTimeout    = 2 * time.Second // Bounds one read or update of a service's record of servers that are out.
)

// Config holds the dependencies of a home.
type Config struct {
	VM   string
	Site site.Name
	// Reaches reports whether a VM of the fleet can open a connection to a server.
	Reaches   func(ctx context.Context, n site.ServiceName, s site.Server) bool
	Store     store.Table
	Replica   *catalog.Replica
	Registry  *registry.Replica
	Journal   *journal.Journal
	Scope     tally.Scope
	Retry     func() pool.RetryLimits
	Admission func() admission.Policy  // How queues are ordered and what is refused.
	Losses    *quarantine.Tracker      // What this VM knows of requests that crash servers.
	OnLoss    func(quarantine.Loss)    // Informs the other VMs that a server crashed during a request.
	OnCleared func(quarantine.Release) // Informs the other VMs that a request is no longer suspected.
	// LimitShare returns the part of the servers' limits that this VM may use as the
	// home of a service's pool, between 0 and 1.
	LimitShare func(site.ServiceName) float64
	// BudgetRole returns this VM's role in deciding on a service's retries.
	BudgetRole func(site.ServiceName) pool.BudgetRole
	// SendBudgetUse tells a VM how this one has used a service's retry budget. It reports
	// whether the VM accepted it.
	SendBudgetUse func(n site.ServiceName, vm string, u pool.BudgetUse) (accepted bool, err error)
	// Standby returns the VM that takes over a service's pool if this one fails,
	// or "" if there is none.
	Standby func(site.ServiceName) string
	// Share sends what the home knows of a service's servers to a VM.
	Share func(n site.ServiceName, vm string, s pool.StandbyState)
}

// Home manages the pools that this VM owns.
type Home struct {
	cfg   Config
	loop  *control.Loop
	floor *floor.RecordStore

	// The fields below are owned by the loop's goroutine.
	pools         map[pool.ID]*ownedPool
	records       map[site.ServiceName]floor.Record // Latest known records of servers that are out.
	doubts        []doubt                           // Failures that a crash of the server may have caused.
	gaugesUpdated time.Time
}

// ownedPool is a pool with the state that its home keeps about it.
type ownedPool struct {
	*pool.Pool
	version            catalog.Version // Version of the configuration that the pool was last updated from.
	registryGeneration int64           // Generation of the registry that the pool was last updated from.
	lastUsed           time.Time
	lastRequested      time.Time // When a slot was last requested.
	lastShared         time.Time // When the standby was last told.
	shareDue           bool      // The standby must be told at once.
	standby            string    // The VM that was last told.
	budgetSentAt       time.Time // When another VM was last told the use of the retry budget.
	sendingBudget      bool      // Such a call is in flight.
	budgetRetryAt      time.Time // When it may be sent again after a call that failed.
	waiting            map[pool.Ticket]*waiter
	recordRequested    bool // A read of the record of servers that are out was started.
}

// New returns a home. Its Loop must be served by the caller.
func New(cfg Config) *Home {
	h := &Home{
		cfg:     cfg,
		floor:   floor.NewRecordStore(cfg.Store),
		pools:   make(map[pool.ID]*ownedPool),
		records: make(map[site.ServiceName]floor.Record),
	}
	h.loop = control.NewLoop(tickInterval, h.tick)
	return h
}

// Loop returns the loop whose goroutine owns the pools.
func (h *Home) Loop() *control.Loop { return h.loop }

// tick runs the periodic work on all pools.
func (h *Home) tick(now time.Time) {
	h.checkDoubts(now)
	for id, p := range h.pools {
		if now.Sub(p.lastUsed) > poolIdleTimeout {
			delete(h.pools, id)
			continue
		}
		h.reconfigure(now, p)
		if p.HasLimits() {
			h.updateLimitShare(now, p)
		}
		h.reportEvents(now, id, p.Tick(now))
		h.dropLostWaiters(now, p)
		h.dispatchQueue(now, p)
		h.carryOutIntents(now, p)
		h.shareWithStandby(now, p)
		h.updateBudget(now, p)
		h.logIdleServers(now, p)
	}
	if now.Sub(h.gaugesUpdated) >= gaugeInterval {
		h.gaugesUpdated = now
		h.updateGauges(now)
	}
}

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// updateGauges publishes the state of each pool as metrics.
func (h *Home) updateGauges(now time.Time) {
	for id, p := range h.pools {
		s := p.Stats(now)
		scope := h.cfg.Scope.Tagged(map[string]string{"pool": string(id)})
		scope.Gauge("queued").Update(float64(s.Queued))
		scope.Gauge("slotsInUse").Update(float64(s.InUse))
		scope.Gauge("slots").Update(float64(s.Slots))
		scope.Gauge("servers").Update(float64(s.Servers))
		scope.Gauge("usableServers").Update(float64(s.Usable))
		scope.Gauge("retries").Update(float64(s.Retries))
		scope.Gauge("retryBudget").Update(float64(s.RetryBudget))
		scope.Gauge("limitedServers").Update(float64(s.Limited))
		scope.Gauge("limitedRate").Update(s.LimitedRate)
		updateIdleGauges(scope, p.IdleServers(now))
	}
}

// pool returns a pool and brings it up to date with the configuration and the
// registry. It creates the pool if the home does not have it.
func (h *Home) pool(now time.Time, id pool.ID) *ownedPool {
	p, ok := h.pools[id]
	if !ok {
		p = &ownedPool{
			Pool: pool.New(now, id, h.settings(nil)), version: -1, registryGeneration: -1,
			waiting: make(map[pool.Ticket]*waiter),
		}
		h.pools[id] = p
		p.SetBudgetRole(now, h.cfg.BudgetRole(site.ServiceName(id)))
	}
	p.lastUsed = now
	h.reconfigure(now, p)
	return p
}

// settings returns the pool settings of a service. svc is nil if the service is
// not configured.
func (h *Home) settings(svc *site.Service) pool.Settings {
	set := pool.Settings{ScoreThreshold: h.cfg.Replica.State().Directory.EjectionThreshold(), Retry: h.cfg.Retry(), Admission: h.cfg.Admission()}
	if svc != nil {
		set.Floor = svc.FloorOf
	}
	return set
}

// reconfigure updates a pool if the configuration or the registry has changed.
func (h *Home) reconfigure(now time.Time, p *ownedPool) {
	st, reg := h.cfg.Replica.State(), h.cfg.Registry.State()
	if st.Version == p.version && reg.Generation == p.registryGeneration {
		return
	}
	p.version, p.registryGeneration = st.Version, reg.Generation
	svc := st.Directory.Service(site.ServiceName(p.ID()))
	h.reportEvents(now, p.ID(), p.Configure(now, h.settings(svc), Members(svc, reg)))
	if svc != nil && !p.recordRequested && !svc.Registered {
		p.recordRequested = true
		h.loadRecord(svc)
	}
}

// Members returns the servers of a service from the configuration and, if its
// servers register themselves, from the registry.
func Members(svc *site.Service, reg *registry.State) []pool.Member {
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
		out = append(out, pool.Member{Server: l.Server, Leaving: l.Draining, ColdUntil: l.ColdUntil})
	}
	return out
}

// loadRecord reads the service's record of servers that are out and applies it.
func (h *Home) loadRecord(svc *site.Service) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		r, _, err := h.floor.Read(ctx, svc)
		if err != nil {
			klog.V(1).InfoS("home: cannot read the record of servers that are out", "service", svc.Name, "err", err)
			return
		}
		h.loop.Post(func(now time.Time) { h.applyRecord(now, svc, r) })
	}()
}

// Refresh reads a service's record again after an operator or another VM changed
// it.
func (h *Home) Refresh(n site.ServiceName) {
	if svc := h.cfg.Replica.State().Directory.Service(n); svc != nil && !svc.Registered {
		h.loadRecord(svc)
	}
}

// applyRecord updates the states of a pool's servers from the service's record.
func (h *Home) applyRecord(now time.Time, svc *site.Service, r floor.Record) {
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
			h.reportEvents(now, id, p.AdoptEjection(now, n, e.Reason))
		case out && e.Cause == floor.Held:
			h.reportEvents(now, id, p.SetHeld(now, n, true, e.Reason))
		case out && e.Cause == floor.Leaving:
			h.reportEvents(now, id, p.MarkLeaving(now, n, e.Reason))
		default:
			h.reportEvents(now, id, p.SetHeld(now, n, false, "released by an operator"))
		}
	}
}

// reportEvents writes state changes of servers to the journal, the log and the
// metrics.
func (h *Home) reportEvents(now time.Time, id pool.ID, events []pool.Event) {
	for _, e := range events {
		h.cfg.Journal.Add(now, "server "+string(e.Server), string(e.From)+" to "+string(e.To)+": "+e.Reason)
		record.Log("home: server changes state", "pool", id, "server", e.Server, "from", e.From, "to", e.To, "reason", e.Reason)
		h.cfg.Scope.Tagged(map[string]string{"to": string(e.To)}).Counter("serverMoves").Inc(1)
	}
}

// Package pool decides which backend server gets a request.
//
// A pool is the set of servers of one service in a site. One VM at a time, the
// pool's home, owns its slots, its queue, its retry budget and the health statistics
// of its servers.
//
// A request is either repeatable, so that it may be sent to several servers, or must
// run at most once (site.Class). After most failures the server is in back-off for
// some seconds. A server that fails or is slow more often than its peers is
// suspected: it is on probation, in which single repeatable requests probe it. Once
// the home has recorded its ejection, it gets no other requests. After enough good
// probes it warms up, and its slots open one by one.
//
// The package does no I/O: each method that decides takes the current time, none
// blocks, and a Pool must be used by one goroutine only.
package pool

import (
	"cmp"
	"slices"
	"time"

	"laburnumpick.org/pkg/admission"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/site"
)

// ID identifies a pool by its service.
type ID site.ServiceName

// IdempotencyKey is the key under which a request runs at most once.
type IdempotencyKey string

// Request holds the properties of a request that affect the decision.
type Request struct {
	Account        site.AccountName
	Class          site.Class
	Rule           site.RuleName
	VM             string          // The VM that will send the request.
	DataCentre     site.DataCentre // The data centre of that VM.
	Priority       int             // 0 is the most urgent.
	Deadline       time.Time
	Target         time.Time         // Latest time at which a response counts as on time; zero if there is none.
	Exclude        []site.ServerName // Servers on which the request has already failed.
	AlreadyCounted bool              // The retry budget has counted the request before.
	Attempts       int               // Servers that the request has been sent to.
	MaxAttempts    int               // Servers that the request may be sent to in all; 0 for no limit.
	NoWait         bool              // The request is refused instead of queued if no slot is free.
	Suspect        bool              // The request has crashed a server, so a server runs only one such request at a time.
	Key            IdempotencyKey    // The key that the request has yet to claim; empty if there is none.
	Jitter         float64           // Random number in [0, 1), for the delay that the caller is told if it is refused.
}

// Decision is the result of a request for a slot: Granted, Waiting or Refused.
type Decision interface{ decision() }

// GrantID identifies a grant within its home.
type GrantID int64

// Granted gives a request a slot of a server. Pool.Release frees the slot.
type Granted struct {
	ID       GrantID
	Server   site.Server
	Probe    bool          // The request tests a server that is not trusted yet.
	Suspect  bool          // The request has crashed a server (Request.Suspect).
	Timeout  time.Duration // How long the server may stay silent before the request is sent elsewhere.
	MayRetry bool          // The request may be sent to another server after this one.
	// Losses is what was known of the request's losses when it was granted. The home sets it.
	Losses quarantine.Basis
	// Limit is the limit to which the server is held. A VM whose response names another
	// one tells the home (RecordLimit).
	Limit site.RequestLimit
}

// Waiting means that the request is queued. DispatchQueue or CancelWait ends the
// wait.
type Waiting struct{ Ticket Ticket }

// Refused means that the request was not run.
type Refused struct {
	Kind       outcome.Kind
	Detail     string
	RetryAfter time.Duration
}

func (Granted) decision() {}
func (Waiting) decision() {}
func (Refused) decision() {}

// Limits of waiting times and timeouts.
const (
	maxQueueLen    = 4096 // Limits the memory of a queue.
	minRetryAfter  = 50 * time.Millisecond
	maxRetryAfter  = 10 * time.Second
	minTimeout     = 100 * time.Millisecond
	maxTimeout     = 5 * time.Second
	initialLatency = 50 * time.Millisecond // Mean latency that is assumed until responses have come.

	timeoutRatio      = 1.75 // Timeout of an attempt, as a multiple of the 95th percentile of latencies.
	probeTimeoutRatio = 2.5  // Timeout of a probe, as a multiple of the median latency.
	retryRatio        = 1.3  // Time that must be left for a retry, as a multiple of the median latency.
	// minRunRatio is the part of the median latency that must be left for a request to
	// be sent at all. Fewer than one in ten runs is shorter.
	minRunRatio = 0.6
	// queuedRunRatio is the time that must be left after a wait, as a multiple of the
	// 95th percentile of latencies, so that a queued request most likely finishes in
	// time.
	queuedRunRatio = 1.2
	// maxWaitShare is the share of the time to its deadline that a request may wait.
	maxWaitShare = 0.5
)

// Settings are the parameters of a pool that its service and site define.
type Settings struct {
	// ScoreThreshold is the score at or above which a server is suspected.
	ScoreThreshold site.EjectionThreshold
	// Floor returns how many of n servers must stay in use; nil if there is no floor.
	Floor func(n int) int
	Retry RetryLimits
	// Admission is how the queue is ordered and what is refused; empty for
	// admission.ByPriority.
	Admission admission.Policy
}

// Pool is the state of one pool in its home.
type Pool struct {
	id        ID
	settings  Settings
	servers   map[site.ServerName]*server
	order     []*server // The servers, sorted by name.
	queue     queue
	budget    budget
	grants    map[GrantID]*outstanding
	latencies map[site.RuleName]latencyEstimate
	meanMs    float64 // Moving mean of the time that a request holds a slot.
	seq       GrantID // The last grant's ID, also used to rotate among equal servers.
	// lastRepeatable is when the last repeatable request came.
	lastRepeatable time.Time
	lastSweep      time.Time // When the queue was last swept for requests that cannot be served in time.
	pauses         pauses
	limitVersion   LimitVersion
	limitShare     float64 // The part of the servers' limits that this home may use.
	slowResponses  window  // All responses; the very slow ones are the marked ones.
	trace          *trace  // Records how servers are chosen; set only in copies that explain a decision.
	costAwareness          // Under admission.CostAware.
}

// outstanding is a grant that has not been released.
type outstanding struct {
	grant     Granted
	server    *server
	key       IdempotencyKey // The idempotency key of the request.
	rule      site.RuleName
	vm        string
	grantedAt time.Time
	deadline  time.Time // Of the request. After grantGrace more the VM counts as lost.
	charge    admission.Charge
}

// New returns a pool without servers. Grant IDs begin at the current time, so that
// grants of two homes of the same pool cannot be confused.
func New(now time.Time, id ID, set Settings) *Pool {
	return &Pool{
		id: id, settings: set, costAwareness: newCostAwareness(set.Admission),
		servers:       make(map[site.ServerName]*server),
		queue:         newQueue(),
		budget:        newBudget(set.Retry),
		slowResponses: newWindow(slowWindowParts),
		pauses:        newPauses(),
		limitVersion:  LimitVersion{Since: now.UnixMicro()},
		limitShare:    1,
		grants:        make(map[GrantID]*outstanding),
		latencies:     make(map[site.RuleName]latencyEstimate),
		meanMs:        float64(initialLatency.Milliseconds()),
		seq:           GrantID(now.UnixMicro()),
	}
}

// ID returns the pool's ID.
func (p *Pool) ID() ID { return p.id }

// Member is a server with the state that its registration reports.
type Member struct {
	site.Server
	Leaving   bool      // The server is about to stop and must get no new requests.
	ColdUntil time.Time // Until when the server is slow after its start.
}

// Configure sets the pool's settings and servers. A server that was in the pool
// before keeps its health statistics, unless it has restarted or its address has
// changed.
func (p *Pool) Configure(now time.Time, set Settings, members []Member) []Event {
	if set.Admission != p.settings.Admission {
		p.costAwareness = newCostAwareness(set.Admission)
	}
	p.settings = set
	p.budget.limits = set.Retry
	var events []Event
	next := make(map[site.ServerName]*server, len(members))
	p.order = p.order[:0]
	for _, m := range members {
		v, ok := p.servers[m.Name]
		if !ok || v.cfg.Address != m.Address || v.cfg.StartedMs != m.StartedMs {
			v = newServer(now, m.Server)
		}
		v.cfg = m.Server
		v.coldUntil = m.ColdUntil
		v.openSlots = min(v.openSlots, m.Slots)
		if v.state == Healthy {
			v.openSlots = m.Slots
		}
		next[m.Name] = v
		p.order = append(p.order, v)
		if m.Leaving {
			events = append(events, p.markDeparting(now, v, "it registered as leaving")...)
		} else if v.departing && !v.moved && !v.announced {
			events = append(events, p.cancelDeparture(now, v)...)
		}
	}
	p.servers = next
	slices.SortFunc(p.order, func(a, b *server) int { return cmp.Compare(a.cfg.Name, b.cfg.Name) })
	return events
}

// serverSince returns a server that started at a time, in Unix milliseconds. It reports
// false if the pool has none, or the server has started anew.
func (p *Pool) serverSince(n site.ServerName, startedMs int64) (*server, bool) {
	v, ok := p.servers[n]
	return v, ok && v.cfg.StartedMs == startedMs
}

// Admit decides on a request that has just arrived.
func (p *Pool) Admit(now time.Time, r Request) Decision {
	d := p.admit(now, r)
	if _, refused := d.(Refused); refused && !r.NoWait && r.Attempts == 0 {
		p.recordRefusal(now, r)
	}
	return d
}

func (p *Pool) admit(now time.Time, r Request) Decision {
	if r.Class == site.Repeatable {
		p.lastRepeatable = now
	}
	if !r.AlreadyCounted {
		p.budget.recordRequest(now)
		p.recordArrival(now, r)
	}
	if refused, unsendable := p.refuseUnsendable(now, r); unsendable {
		return refused
	}
	if v := p.probeTarget(now, r); v != nil {
		return p.grant(now, v, r, true)
	}
	if v := p.choose(now, r, false); v != nil {
		return p.grant(now, v, r, false)
	}
	wait := p.expectedWait(now, r)
	if r.NoWait {
		return p.refuse(now, r, wait)
	}
	if !p.hasUsableServer(now, r) || p.waitsTooLong(now, r, wait) {
		if v := p.choose(now, r, true); v != nil {
			return p.grant(now, v, r, false)
		}
	}
	return p.enqueue(now, r, wait)
}

// refuseUnsendable refuses a request that must not be sent, or that could not finish
// before its deadline. It reports false if the request may be sent.
func (p *Pool) refuseUnsendable(now time.Time, r Request) (Refused, bool) {
	switch {
	case !now.Before(r.Deadline):
		return Refused{Kind: outcome.DeadlinePassed, Detail: "the deadline has passed", RetryAfter: minRetryAfter}, true
	case r.MaxAttempts > 0 && r.Attempts >= r.MaxAttempts:
		return Refused{Kind: outcome.Overload, Detail: "the route allows no other server", RetryAfter: p.retryAfter(now, r)}, true
	case r.Attempts > 0 && !p.allowsRetryAfterWait(now, r):
		return Refused{Kind: outcome.Overload, Detail: "the service's retry budget is exhausted", RetryAfter: p.retryAfter(now, r)}, true
	case r.Deadline.Sub(now) < p.minRunTime(now, r.Rule):
		return Refused{Kind: outcome.Overload, Detail: "too little time is left to run the request", RetryAfter: p.retryAfter(now, r)}, true
	}
	return Refused{}, false
}

// minRunTime returns the time that must be left before the deadline for a request to
// be worth sending.
func (p *Pool) minRunTime(now time.Time, rule site.RuleName) time.Duration {
	return scale(p.latencyOf(now, rule).median, minRunRatio)
}

// usableSlots returns the number of slots of the servers that are trusted and not in
// back-off, as far as the servers' limits on requests let them be used.
func (p *Pool) usableSlots(now time.Time) float64 {
	n := 0.0
	for _, v := range p.order {
		if v.usable(now) {
			n += p.withinLimitOf(v, v.capacity(now))
		}
	}
	return n
}

// hasUsableServer reports whether a server that is trusted and not in back-off may
// take the request, once it has a free slot.
func (p *Pool) hasUsableServer(now time.Time, r Request) bool {
	return slices.ContainsFunc(p.order, func(v *server) bool {
		return v.usable(now) && !p.isBarred(now, r, v)
	})
}

// hasCandidate reports whether any server may take the request, now or later,
// including suspected ones and ones in back-off.
func (p *Pool) hasCandidate(r Request) bool {
	return slices.ContainsFunc(p.order, func(v *server) bool {
		return (v.trusted() || v.state == Suspected) && !slices.Contains(r.Exclude, v.cfg.Name)
	})
}

// grant gives the request a slot of the server.
func (p *Pool) grant(now time.Time, v *server, r Request, probe bool) Granted {
	p.seq++
	v.inUse++
	v.lastGrant = p.seq
	v.grantedAt = now
	v.takeToken(now)
	v.probing = v.probing || probe
	v.runsSuspect = v.runsSuspect || r.Suspect
	if r.Attempts > 0 {
		p.budget.recordRetry(now)
	}
	g := Granted{
		ID: p.seq, Server: v.cfg, Probe: probe, Suspect: r.Suspect,
		MayRetry: r.Class == site.Repeatable && (r.MaxAttempts == 0 || r.Attempts+1 < r.MaxAttempts) && p.allowsRetry(now, r, 0),
		Limit:    v.limit,
	}
	g.Timeout = p.timeout(now, r, probe)
	p.grants[g.ID] = &outstanding{grant: g, server: v, key: r.Key, rule: r.Rule, vm: r.VM, grantedAt: now, deadline: r.Deadline}
	p.recordGrant(now, p.grants[g.ID], r)
	return g
}

// grantGrace is how long after its request's deadline a grant is still held for its
// VM.
const grantGrace = 500 * time.Millisecond

// timeout returns how long a server may stay silent before the request is sent
// elsewhere. It leaves time for a retry before the deadline where there is enough.
func (p *Pool) timeout(now time.Time, r Request, probe bool) time.Duration {
	u := p.latencyOf(now, r.Rule)
	d := scale(u.p95, timeoutRatio)
	if probe {
		d = scale(u.median, probeTimeoutRatio)
	}
	d = min(max(d, minTimeout), maxTimeout)
	if most := r.Deadline.Sub(now) - scale(u.median, retryRatio); most > minTimeout {
		d = min(d, most)
	}
	return d
}

// scale returns a multiple of a time in milliseconds.
func scale(ms, by float64) time.Duration { return time.Duration(ms * by * float64(time.Millisecond)) }

// Holds reports whether a request with the key is queued or has a slot.
func (p *Pool) Holds(k IdempotencyKey) bool {
	if k == "" {
		return false
	}
	for _, o := range p.grants {
		if o.key == k {
			return true
		}
	}
	return slices.ContainsFunc(p.queue.waiters, func(w *waiter) bool { return w.request.Key == k })
}

// Grant returns a grant that has not been released.
func (p *Pool) Grant(id GrantID) (Granted, bool) {
	o, ok := p.grants[id]
	if !ok {
		return Granted{}, false
	}
	return o.grant, true
}

// HolderOf returns the VM that holds a grant, or "" if the grant has been released.
func (p *Pool) HolderOf(id GrantID) string {
	if o, ok := p.grants[id]; ok {
		return o.vm
	}
	return ""
}

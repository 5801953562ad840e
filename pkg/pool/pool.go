// Package pool decides which backend server gets a request.
//
// A pool is the servers of one service in a site. One VM at a time, its home,
// owns the pool's slots, its queue, its retry budget and the evidence against
// its servers. The package is pure: each deciding method takes the present
// time, nothing here waits or sends, and one goroutine owns a Pool.
package pool

import (
	"cmp"
	"slices"
	"time"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/site"
)

// ID names a pool by its service.
type ID site.ServiceName

// OnceKey names a key under which a request runs once.
type OnceKey string

// Request is what a pool must know of a request.
type Request struct {
	Account    site.AccountName
	Class      site.Class
	Rule       site.RuleName
	VM         string          // That will send it.
	DataCentre site.DataCentre // Of that VM.
	Priority   int             // 0 is the most urgent.
	Deadline   time.Time
	Target     time.Time         // Until when an answer is in time; zero for no such time.
	Exclude    []site.ServerName // Servers that have already failed it.
	Known      bool              // It has been asked for before.
	Sends      int               // Servers that it has been sent to.
	Attempts   int               // Servers that it may be sent to in all; 0 for no bound.
	AtOnce     bool              // It gets a slot that is free or none.
	Suspect    bool              // It has taken a server down, so it runs apart from other such ones.
	Key        OnceKey           // That it has yet to claim; empty for none.
}

// Decision is Granted, Waiting or Refused.
type Decision interface{ decision() }

// GrantID names a grant in its home.
type GrantID int64

// Granted gives a request a slot of a server. It ends with Release.
type Granted struct {
	ID       GrantID
	Server   site.Server
	Trial    bool // The request tries a server that is not trusted yet.
	Suspect  bool
	Patience time.Duration // How long the server may stay silent.
	More     bool          // The request may be sent to another server after this one.
}

// Waiting puts a request into the queue. Wake or Forget ends it.
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

// Bounds of waiting and patience.
const (
	maxQueue      = 4096 // Requests, which bounds the memory of a queue.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	minPatience   = 100 * time.Millisecond
	maxPatience   = 5 * time.Second
	firstGuess    = 50 * time.Millisecond

	patienceRatio = 1.75 // Times the time that 19 of 20 answers take.
	trialPatience = 2.5  // Times the median; of the trial of a server.
	againRatio    = 1.3  // Times the median that must be left for another server.
	// runRatio is the share of the median run that must be left for a request to
	// be sent at all. Less than one in ten runs is shorter.
	runRatio = 0.6
	// queueRatio is how many times the slowest usual run must be left after a
	// wait, so that what waited most likely ends.
	queueRatio = 1.2
	// waitShare is the share of its time that a request may wait.
	waitShare = 0.5
)

// Settings are what a pool's service and site ask of it.
type Settings struct {
	Sureness site.EjectionThreshold
	// Floor returns how many of n servers must stay in use.
	Floor func(n int) int
	Retry RetryLimits
}

// Pool is the state of one pool in its home.
type Pool struct {
	id      ID
	set     Settings
	servers map[site.ServerName]*server
	order   []*server // In order of names.
	queue   queue
	budget  budget
	grants  map[GrantID]*outstanding
	usuals  map[site.RuleName]usual
	meanMs  float64 // Moving mean of the time that a request holds a slot.
	seq     GrantID // Counts grants, to rotate among equal servers.
	// repeatableAt is when the last repeatable request came.
	repeatableAt time.Time
	swept        time.Time // When the queue was last gone through.
	trouble      trouble
}

// outstanding is a grant that has not been released.
type outstanding struct {
	grant    Granted
	holder   *server
	key      OnceKey // Of its request.
	rule     site.RuleName
	vm       string
	since    time.Time
	deadline time.Time // After grantGrace more its VM is held for lost.
}

// New returns a pool without servers. Grants of two homes of a pool must not be
// mistaken for each other, so their ids begin at the present time.
func New(now time.Time, id ID, set Settings) *Pool {
	return &Pool{
		id: id, set: set,
		servers: make(map[site.ServerName]*server),
		queue:   newQueue(),
		budget:  newBudget(now, set.Retry),
		trouble: newTrouble(),
		grants:  make(map[GrantID]*outstanding),
		usuals:  make(map[site.RuleName]usual),
		meanMs:  float64(firstGuess.Milliseconds()),
		seq:     GrantID(now.UnixMicro()),
	}
}

// ID returns the pool's name.
func (p *Pool) ID() ID { return p.id }

// Member is a server with what its registration tells.
type Member struct {
	site.Server
	Leaving  bool      // It ends soon and must get no new request.
	ColdTill time.Time // Until when it is slow after its start.
}

// Configure sets the pool's servers. A server that stays keeps its evidence; one
// that has started anew, or moved, has none.
func (p *Pool) Configure(now time.Time, set Settings, members []Member) []Event {
	p.set = set
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
		v.coldTill = m.ColdTill
		v.warm = min(v.warm, m.Slots)
		if v.state == Healthy {
			v.warm = m.Slots
		}
		next[m.Name] = v
		p.order = append(p.order, v)
		if m.Leaving {
			events = append(events, p.depart(now, v, "it registered as leaving")...)
		} else if v.departing && !v.moved {
			events = append(events, p.stay(now, v)...)
		}
	}
	p.servers = next
	slices.SortFunc(p.order, func(a, b *server) int { return cmp.Compare(a.cfg.Name, b.cfg.Name) })
	return events
}

// Admit decides on a request that has just come.
func (p *Pool) Admit(now time.Time, r Request) Decision {
	if r.Class == site.Repeatable {
		p.repeatableAt = now
	}
	if !r.Known {
		p.budget.earn(now)
	}
	if refused, stop := p.barred(now, r); stop {
		p.trouble.ended(now, true)
		return refused
	}
	if v := p.trial(now, r); v != nil {
		return p.grant(now, v, r, true)
	}
	if v := p.choose(now, r, false); v != nil {
		return p.grant(now, v, r, false)
	}
	wait := p.expectedWait(now, r)
	if r.AtOnce {
		return p.refuse(wait)
	}
	if !p.usable(now, r) || now.Add(wait).After(p.latest(now, r)) {
		if v := p.choose(now, r, true); v != nil {
			return p.grant(now, v, r, false)
		}
	}
	return p.enqueue(now, r, wait)
}

// barred refuses a request that must not be sent, or no longer can be of use.
func (p *Pool) barred(now time.Time, r Request) (Refused, bool) {
	switch {
	case !now.Before(r.Deadline):
		return Refused{Kind: outcome.DeadlinePassed, Detail: "the deadline has passed", RetryAfter: minRetryAfter}, true
	case r.Attempts > 0 && r.Sends >= r.Attempts:
		return Refused{Kind: outcome.Overload, Detail: "the route allows no other server", RetryAfter: p.pause(now)}, true
	case r.Sends > 0 && !p.budget.may(now):
		return Refused{Kind: outcome.Overload, Detail: "the service's retry budget is spent", RetryAfter: p.pause(now)}, true
	case r.Deadline.Sub(now) < p.leastRun(now, r.Rule):
		return Refused{Kind: outcome.Overload, Detail: "too little time is left for a run", RetryAfter: p.pause(now)}, true
	}
	return Refused{}, false
}

// leastRun is the time that must be left for a request to be worth sending.
func (p *Pool) leastRun(now time.Time, rule site.RuleName) time.Duration {
	return scale(p.usualOf(now, rule).median, runRatio)
}

// pause is when a caller may come back where the queue does not tell.
func (p *Pool) pause(now time.Time) time.Duration {
	return min(max(p.expectedWait(now, Request{}), minRetryAfter), maxRetryAfter)
}

func (p *Pool) enqueue(now time.Time, r Request, wait time.Duration) Decision {
	if !p.later(r) {
		return Refused{Kind: outcome.NoServer, Detail: "no server of the service can be used", RetryAfter: time.Second}
	}
	latest := p.latest(now, r)
	if now.Add(wait).After(latest) && !p.queue.evictFor(r) {
		p.trouble.ended(now, true)
		return p.refuse(wait)
	}
	if p.queue.len() >= maxQueue {
		return p.refuse(wait)
	}
	return Waiting{p.queue.push(r, latest)}
}

// latest returns until when a request that comes now may wait.
func (p *Pool) latest(now time.Time, r Request) time.Time {
	share := now.Add(time.Duration(waitShare * float64(r.Deadline.Sub(now))))
	room := r.Deadline.Add(-scale(p.usualOf(now, r.Rule).slowest, queueRatio))
	if room.Before(share) {
		return room
	}
	return share
}

func (p *Pool) refuse(wait time.Duration) Refused {
	back := min(max(wait, minRetryAfter), maxRetryAfter)
	return Refused{Kind: outcome.Overload, Detail: "no slot of a server is free in time", RetryAfter: back}
}

// slots returns how many requests the servers run at once that may be used now.
func (p *Pool) slots(now time.Time) int {
	n := 0
	for _, v := range p.order {
		if v.trusted() && !v.resting(now) {
			n += v.room(now)
		}
	}
	return n
}

// usable reports whether some server could take the request later.
func (p *Pool) usable(now time.Time, r Request) bool {
	return slices.ContainsFunc(p.order, func(v *server) bool {
		return v.trusted() && !v.resting(now) && !slices.Contains(r.Exclude, v.cfg.Name)
	})
}

// later reports whether some server could take the request at all.
func (p *Pool) later(r Request) bool {
	return slices.ContainsFunc(p.order, func(v *server) bool {
		return (v.trusted() || v.state == Doubted) && !slices.Contains(r.Exclude, v.cfg.Name)
	})
}

// expectedWait estimates how long a request would wait in the queue.
func (p *Pool) expectedWait(now time.Time, r Request) time.Duration {
	slots := p.slots(now)
	if slots == 0 {
		return time.Second // Until servers that rest may be used again.
	}
	wait := p.waitBehind(p.queue.ahead(r), slots)
	for _, v := range p.order {
		if v.trusted() && v.pausedUntil.After(now) {
			wait += v.pausedUntil.Sub(now) / time.Duration(len(p.order))
		}
	}
	return wait
}

// waitBehind is the wait for a slot behind n other requests.
func (p *Pool) waitBehind(n, slots int) time.Duration {
	return scale(p.meanMs, float64(n+1)/float64(slots))
}

func (p *Pool) grant(now time.Time, v *server, r Request, trial bool) Granted {
	p.seq++
	v.inUse++
	v.lastGrant = p.seq
	v.grantedAt = now
	v.trying = v.trying || trial
	v.suspect = v.suspect || r.Suspect
	if r.Sends > 0 {
		p.budget.spend(now)
	}
	g := Granted{
		ID: p.seq, Server: v.cfg, Trial: trial, Suspect: r.Suspect,
		More: r.Class == site.Repeatable && (r.Attempts == 0 || r.Sends+1 < r.Attempts) && p.budget.may(now),
	}
	g.Patience = p.patience(now, r, trial)
	p.grants[g.ID] = &outstanding{g, v, r.Key, r.Rule, r.VM, now, r.Deadline}
	return g
}

// grantGrace is how long after its request's deadline a grant counts as held.
const grantGrace = 500 * time.Millisecond

// patience returns how long a server may stay silent before the request is
// sent elsewhere. Time must be left for that.
func (p *Pool) patience(now time.Time, r Request, trial bool) time.Duration {
	u := p.usualOf(now, r.Rule)
	d := scale(u.slowest, patienceRatio)
	if trial {
		d = scale(u.median, trialPatience)
	}
	d = min(max(d, minPatience), maxPatience)
	if most := r.Deadline.Sub(now) - scale(u.median, againRatio); most > minPatience {
		d = min(d, most)
	}
	return d
}

// scale returns a multiple of a time in milliseconds.
func scale(ms, by float64) time.Duration { return time.Duration(ms * by * float64(time.Millisecond)) }

// Holds reports whether a request with the key waits or has a slot.
func (p *Pool) Holds(k OnceKey) bool {
	if k == "" {
		return false
	}
	for _, o := range p.grants {
		if o.key == k {
			return true
		}
	}
	return slices.ContainsFunc(p.queue.waiters, func(w waiter) bool { return w.request.Key == k })
}

// Grant returns a grant that has not been released.
func (p *Pool) Grant(id GrantID) (Granted, bool) {
	o, ok := p.grants[id]
	if !ok {
		return Granted{}, false
	}
	return o.grant, true
}

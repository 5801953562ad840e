package home

import (
	"context"
	"fmt"
	"time"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/site"
)

// Times of waiting requests.
const (
	// holdTime is how long a call waits for a slot before it is told to ask
	// again, so that a home that went silent is noticed.
	holdTime = 250 * time.Millisecond
	// lostAfter is how long nobody may have asked for a waiting request before
	// its VM is held for lost.
	lostAfter = time.Second
)

// SlotRequest is a request for a slot of a service's server. Times are what is left,
// since VMs' clocks differ.
type SlotRequest struct {
	RequestID   string
	Service     site.ServiceName
	VM          string          // That asks.
	DataCentre  site.DataCentre // Of that VM.
	Account     site.AccountName
	Class       site.Class
	Rule        site.RuleName
	Priority    int
	Left        time.Duration
	TargetLeft  time.Duration // Zero where there is no target.
	Fingerprint quarantine.Fingerprint
	Exclude     []site.ServerName
	AskedBefore bool         // A slot has been asked for before.
	Sends       int          // Servers that the request has been sent to.
	Attempts    int          // Servers that it may be sent to in all.
	Ticket      pool.Ticket  // Of a wait that goes on.
	NoWait      bool         // A request that would have to wait gets no slot.
	Key         pool.OnceKey // That the request has yet to claim; empty for none.
}

// request returns what the pool must know.
func (a *SlotRequest) request(now time.Time, suspect bool) pool.Request {
	r := pool.Request{
		Account: a.Account, Class: a.Class, Rule: a.Rule, DataCentre: a.DataCentre, Priority: a.Priority,
		Deadline: now.Add(a.Left), Exclude: a.Exclude, Known: a.AskedBefore, Sends: a.Sends, Attempts: a.Attempts, Suspect: suspect, AtOnce: a.NoWait,
		Key: a.Key, VM: a.VM,
	}
	if a.TargetLeft != 0 {
		r.Target = now.Add(a.TargetLeft)
	}
	return r
}

// wait is a request that waits for a slot.
type wait struct {
	id       string // Of the request.
	key      pool.OnceKey
	until    time.Time
	decision chan pool.Decision
	asked    time.Time
}

// Acquire gets a slot, a refusal, or the word to ask again with a ticket.
func (h *Home) Acquire(ctx context.Context, a *SlotRequest) pool.Decision {
	var now pool.Decision
	var w *wait
	ok := h.loop.Do(ctx, func(at time.Time) {
		p := h.pool(at, pool.ID(a.Service))
		p.asked = at
		if a.Ticket != 0 {
			w = p.waiting[a.Ticket]
			if w == nil {
				now = pool.Refused{Kind: outcome.Overload, Detail: "the place in the queue was lost"}
				return
			}
			w.asked = at
			return
		}
		now, w = h.admit(at, p, a)
	})
	switch {
	case !ok:
		return pool.Refused{Kind: outcome.DeadlinePassed, Detail: "the deadline passed before the home could decide"}
	case w == nil:
		return now
	case a.Ticket == 0:
		return now // The ticket, so that the VM can ask elsewhere if this home goes silent.
	}
	return h.await(ctx, a, w)
}

// admit decides on a new request. The wait is nil where the decision is final.
func (h *Home) admit(now time.Time, p *held, a *SlotRequest) (pool.Decision, *wait) {
	losses := h.book.Losses(now, a.Fingerprint)
	if a.Sends > 0 && losses >= crashesToStop {
		return pool.Refused{Kind: outcome.CrashedServers, Detail: "the request has taken two backend servers down"}, nil
	}
	if left, stop := h.book.Blocked(now, a.Fingerprint); stop {
		return pool.Refused{
			Kind: outcome.Quarantined, Detail: "the request has crashed several backend servers", RetryAfter: left,
		}, nil
	}
	d := p.shared(p.Admit(now, a.request(now, losses > 0)), a.Key)
	h.tell(now, p, a, d)
	t, waits := d.(pool.Waiting)
	if !waits {
		return d, nil
	}
	w := &wait{a.RequestID, a.Key, now.Add(a.Left), make(chan pool.Decision, 1), now}
	p.waiting[t.Ticket] = w
	h.wake(now, p) // Tells requests that this one pushed out.
	return d, w
}

// tell accounts for a decision, with what decided it.
func (h *Home) tell(now time.Time, p *held, a *SlotRequest, d pool.Decision) {
	switch d := d.(type) {
	case pool.Granted:
		h.cfg.Scope.Counter("grants").Inc(1)
		record.Usual(now, record.Granted, "home: granted", "id", a.RequestID, "pool", p.ID(), "server", d.Server.Name,
			"trial", d.Trial, "sends", a.Sends, "left", a.Left.Round(time.Millisecond), "config", p.version)
	case pool.Refused:
		h.tellRefused(now, p, a.RequestID, a.Left, d)
	case pool.Waiting:
	}
}

// tellRefused accounts for a refusal.
func (h *Home) tellRefused(now time.Time, p *held, id string, left time.Duration, r pool.Refused) {
	h.cfg.Scope.Tagged(map[string]string{"kind": string(r.Kind)}).Counter("refusals").Inc(1)
	s := p.Sums(now)
	record.Notable("home: refused", "id", id, "pool", p.ID(), "kind", r.Kind, "detail", r.Detail,
		"retryAfter", r.RetryAfter.Round(time.Millisecond), "left", left.Round(time.Millisecond),
		"queued", s.Queued, "inUse", s.InUse, "slots", s.Slots, "servers", s.Servers, "usable", s.Usable, "retries", s.Retries, "budget", s.Budget,
		"config", p.version, "registry", h.cfg.Registry.State().Revision)
}

// crashesToStop is how many servers a request may take down before it is not
// sent to another one by itself.
const crashesToStop = 2

// await waits for the decision on a request in the queue.
func (h *Home) await(ctx context.Context, a *SlotRequest, w *wait) pool.Decision {
	hold, cancel := context.WithTimeout(ctx, holdTime)
	defer cancel()
	select {
	case d := <-w.decision:
		gone := ctx.Err() != nil // Nobody is there to take the decision.
		h.loop.Post(func(now time.Time) { h.settle(now, pool.ID(a.Service), a.Ticket, d, gone) })
		return d
	case <-hold.Done():
		return pool.Waiting{Ticket: a.Ticket}
	}
}

// settle forgets a wait whose decision was taken, or takes the decision back.
func (h *Home) settle(now time.Time, id pool.ID, t pool.Ticket, d pool.Decision, gone bool) {
	p, ok := h.pools[id]
	if !ok {
		return
	}
	delete(p.waiting, t)
	if g, granted := d.(pool.Granted); granted && gone {
		h.note(now, id, p.Release(now, g, pool.Dropped{}))
		h.wake(now, p)
	}
}

// Abandon takes a request out of the queue, or gives back what it was granted
// in the meantime.
func (h *Home) Abandon(n site.ServiceName, t pool.Ticket) {
	h.loop.Post(func(now time.Time) {
		if p, ok := h.pools[pool.ID(n)]; ok {
			h.abandon(now, p, t)
		}
	})
}

func (h *Home) abandon(now time.Time, p *held, t pool.Ticket) {
	w, ok := p.waiting[t]
	if !ok {
		return
	}
	delete(p.waiting, t)
	p.Forget(t)
	select {
	case d := <-w.decision:
		if g, granted := d.(pool.Granted); granted {
			h.note(now, p.ID(), p.Release(now, g, pool.Dropped{}))
			h.wake(now, p)
		}
	default:
	}
}

// dropLost takes out the waiting requests that nobody asks for any more.
func (h *Home) dropLost(now time.Time, p *held) {
	for t, w := range p.waiting {
		if now.Sub(w.asked) > lostAfter {
			h.abandon(now, p, t)
		}
	}
}

// wake ends the waits of queued requests.
func (h *Home) wake(now time.Time, p *held) {
	for _, w := range p.Wake(now) {
		if x, ok := p.waiting[w.Ticket]; ok {
			d := p.shared(w.Decision, x.key)
			if r, refused := d.(pool.Refused); refused {
				h.tellRefused(now, p, x.id, x.until.Sub(now), r)
			}
			x.decision <- d // The channel has room for the one decision.
			continue
		}
		if g, granted := w.Decision.(pool.Granted); granted {
			p.Release(now, g, pool.Dropped{})
		}
	}
}

// shared makes a refusal say less where another attempt with the same key waits
// or has a slot: to vouch for "not run" the key would have to be taken from that
// one too.
func (p *held) shared(d pool.Decision, k pool.OnceKey) pool.Decision {
	r, refused := d.(pool.Refused)
	if !refused || !p.Holds(k) {
		return d
	}
	r.Kind, r.Detail = outcome.InProgress, r.Detail+"; another attempt with the same key waits or runs"
	return r
}

// GrantResult is what became of a granted request.
type GrantResult struct {
	Service     site.ServiceName
	Grant       pool.GrantID
	Report      pool.Report
	Fingerprint quarantine.Fingerprint
	Request     string // Method and path, for people.
}

// Release gives a slot back with what became of it.
func (h *Home) Release(e GrantResult) {
	h.loop.Post(func(now time.Time) {
		id := pool.ID(e.Service)
		p, ok := h.pools[id]
		if !ok {
			return
		}
		g, ok := p.Grant(e.Grant)
		if !ok {
			return
		}
		h.learn(now, e, g)
		was := p.SpellOf(now, g.Server.Name)
		h.note(now, id, p.Release(now, g, e.Report))
		tellSpell(p, was, p.SpellOf(now, g.Server.Name), e.Report)
		h.wake(now, p)
	})
}

// tellSpell accounts for what a request's end changed in the belief that its server
// is in a spell of failures.
func tellSpell(p *held, was, is pool.Spell, r pool.Report) {
	switch {
	case is.Failures > was.Failures:
		record.Notable("home: server rests", "pool", p.ID(), "server", is.Server, "failures", is.Failures,
			"rest", is.Rest.Round(time.Millisecond), "end", fmt.Sprintf("%T", r)[len("pool."):])
	case is.Failures == 0 && was.Failures > 0:
		record.Notable("home: server is proven again", "pool", p.ID(), "server", is.Server, "failures", was.Failures,
			"age", was.Age.Round(time.Millisecond))
	}
}

// learn notes what a request did to its server.
func (h *Home) learn(now time.Time, e GrantResult, g pool.Granted) {
	switch r := e.Report.(type) {
	case pool.Unreached:
		if r.Crashed {
			h.lose(now, quarantine.Loss{
				Fingerprint: e.Fingerprint, Service: e.Service, Server: g.Server.Name, Request: e.Request, At: now,
			})
		}
	case pool.Served:
		if g.Suspect {
			h.clear(now, e.Fingerprint)
		}
	case pool.Failed, pool.Declined, pool.Dropped:
	}
}

// lose notes that a request took a server down and tells the other VMs, since
// another one may become home of the pool.
func (h *Home) lose(now time.Time, l quarantine.Loss) {
	if !h.book.Note(now, l) {
		return
	}
	text := "server " + string(l.Server) + " went down during " + l.Request
	if _, stop := h.book.Blocked(now, l.Fingerprint); stop {
		text += "; the request is quarantined"
	}
	h.cfg.Journal.Add(now, "request "+string(l.Fingerprint), text)
	go h.cfg.OnLoss(l)
}

// clear acquits a request that ran well although a server went down during it
// before: another request on that server was to blame.
func (h *Home) clear(now time.Time, f quarantine.Fingerprint) {
	if h.book.Losses(now, f) == 0 {
		return
	}
	r := quarantine.Release{Fingerprint: f, Operator: "the fleet", At: now}
	h.book.Free(now, r)
	h.cfg.Journal.Add(now, "request "+string(f), "acquitted: it ran well on another server")
	go h.cfg.OnCleared(r)
}

package home

import (
	"context"
	"fmt"
	"time"

	"laburnumpick.org/pkg/admission"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/site"
)

// Timeouts of queued requests.
const (
	// longPollTimeout bounds one Acquire call that waits for a slot. The caller
	// then polls again with its ticket, so that it notices a home that has
	// stopped answering.
	longPollTimeout = 250 * time.Millisecond
	// waiterTimeout is how long a queued request may go without a poll before
	// its VM is considered lost and the request is dropped.
	waiterTimeout = time.Second
)

// SlotRequest asks a pool's home for a slot on one of the service's backend
// servers. Deadlines are sent as the time left, because VM clocks differ.
type SlotRequest struct {
	RequestID      string
	Service        site.ServiceName
	VM             string          // The requesting VM.
	DataCentre     site.DataCentre // Data centre of the requesting VM.
	Account        site.AccountName
	Class          site.Class
	Rule           site.RuleName
	Priority       int
	Left           time.Duration // Until the request's deadline.
	TargetLeft     time.Duration // Until the latency target; zero if there is none.
	Identity       quarantine.Identity
	Basis          quarantine.Basis // What the requesting VM knows of the request's losses.
	IsTrial        bool             // The request runs as a trial although its losses refuse it.
	Exclude        []site.ServerName
	AlreadyCounted bool                // An earlier call may have counted the request in the retry budget.
	Attempts       int                 // Backend servers that the request has been sent to so far.
	MaxAttempts    int                 // Maximum number of backend servers to send the request to.
	Ticket         pool.Ticket         // Of the queued request that this call polls; zero for a new request.
	NoWait         bool                // Refuse the request instead of queueing it.
	Key            pool.IdempotencyKey // Idempotency key that is still to be claimed; empty if there is none.
	Limits         []pool.NamedLimit   // Limits of the service's servers that the requesting VM knows.
	LimitVersion   pool.LimitVersion   // Of the limits that the home sent last to the requesting VM.
	Notices        []pool.Notice       // What servers have told the VM, if the home has not been told yet.
}

// poolRequest converts the request to the pool's form, with absolute deadlines.
func (req *SlotRequest) poolRequest(now time.Time, suspect bool) pool.Request {
	r := pool.Request{
		Account: req.Account, Class: req.Class, Rule: req.Rule, DataCentre: req.DataCentre, Priority: req.Priority,
		Deadline: now.Add(req.Left), Exclude: req.Exclude, AlreadyCounted: req.AlreadyCounted, Attempts: req.Attempts, MaxAttempts: req.MaxAttempts, Suspect: suspect, NoWait: req.NoWait,
		Key: req.Key, VM: req.VM, Jitter: admission.RandomOf(req.RequestID),
	}
	if req.TargetLeft != 0 {
		r.Target = now.Add(req.TargetLeft)
	}
	return r
}

// waiter is a queued request.
type waiter struct {
	id         string // Request ID.
	identity   quarantine.Identity
	basis      quarantine.Basis // What the requesting VM knew of the request's losses.
	key        pool.IdempotencyKey
	deadline   time.Time
	decision   chan pool.Decision
	lastPolled time.Time
}

// Reply is a home's reply to a request for a slot: a grant, a refusal, or a ticket with
// which to poll again, the limits of the service's servers if they have changed, and
// which requests the home refuses at present.
type Reply struct {
	Decision pool.Decision
	Limits   pool.LimitList
	Hint     admission.Hint
}

// Acquire replies to a request for a slot.
func (h *Home) Acquire(ctx context.Context, req *SlotRequest) Reply {
	reply := Reply{Limits: pool.LimitList{Version: req.LimitVersion}}
	reply.Decision = h.acquire(ctx, req, &reply)
	return reply
}

// acquire decides on a request, and updates in the reply the limits that the VM has to
// those of the pool, and the hint.
func (h *Home) acquire(ctx context.Context, req *SlotRequest, reply *Reply) pool.Decision {
	var decision pool.Decision
	var w *waiter
	ok := h.loop.Do(ctx, func(at time.Time) {
		p := h.pool(at, pool.ID(req.Service))
		p.lastRequested = at
		h.mergeLimits(at, p, req.Limits)
		h.mergeNotices(at, p, req.VM, req.Notices)
		if v := p.LimitVersion(); v != reply.Limits.Version {
			reply.Limits = p.LimitList(at)
		}
		if req.Ticket != 0 {
			w = p.waiting[req.Ticket]
			if w == nil {
				decision = pool.Refused{Kind: outcome.Overload, Detail: "the home no longer has this request in its queue"}
				return
			}
			w.lastPolled = at
			return
		}
		decision, w = h.admit(at, p, req)
		reply.Hint = p.CapacityHint(at)
	})
	switch {
	case !ok:
		return pool.Refused{Kind: outcome.DeadlinePassed, Detail: "the deadline passed before the home decided"}
	case w == nil:
		return decision
	case req.Ticket == 0:
		return decision // At once: with the ticket the VM can abandon the wait and ask another home if this one stops answering.
	}
	return h.await(ctx, req, w)
}

// admit decides on a new request. It returns a nil waiter unless the request was
// queued.
func (h *Home) admit(now time.Time, p *ownedPool, req *SlotRequest) (pool.Decision, *waiter) {
	if verdict := h.cfg.Losses.Check(now, req.Identity); verdict.Blocked && !req.IsTrial {
		r := RefusedForLosses(verdict, req.Attempts)
		h.reportRefusal(now, p, req.RequestID, req.Left, r)
		return r, nil
	}
	losses := h.lossesOf(now, req.Identity, req.Basis)
	if p.Queued() > 0 {
		h.dispatchQueue(now, p) // What has become free in the meantime goes to those that wait.
	}
	d := p.markInProgress(p.Admit(now, req.poolRequest(now, losses.Own.Losses > 0)), req.Key)
	if g, granted := d.(pool.Granted); granted {
		g.Losses = losses
		d = g
	}
	h.reportDecision(now, p, req, d)
	t, waits := d.(pool.Waiting)
	if !waits {
		return d, nil
	}
	w := &waiter{req.RequestID, req.Identity, req.Basis, req.Key, now.Add(req.Left), make(chan pool.Decision, 1), now}
	p.waiting[t.Ticket] = w
	h.dispatchQueue(now, p) // Notifies the waiters that this request displaced.
	return d, w
}

// reportDecision logs and counts the decision on a request.
func (h *Home) reportDecision(now time.Time, p *ownedPool, req *SlotRequest, d pool.Decision) {
	switch d := d.(type) {
	case pool.Granted:
		h.cfg.Scope.Counter("grants").Inc(1)
		record.LogSampled(now, record.Granted, "home: granted", "id", req.RequestID, "pool", p.ID(), "server", d.Server.Name,
			"trial", d.Probe, "sends", req.Attempts, "left", req.Left.Round(time.Millisecond), "config", p.version)
	case pool.Refused:
		h.reportRefusal(now, p, req.RequestID, req.Left, d)
	case pool.Waiting:
	}
}

// reportRefusal logs and counts a refusal, with the state of the pool that led
// to it.
func (h *Home) reportRefusal(now time.Time, p *ownedPool, id string, left time.Duration, r pool.Refused) {
	h.cfg.Scope.Tagged(map[string]string{"kind": string(r.Kind)}).Counter("refusals").Inc(1)
	s := p.Stats(now)
	record.Log("home: refused", "id", id, "pool", p.ID(), "kind", r.Kind, "detail", r.Detail,
		"retryAfter", r.RetryAfter.Round(time.Millisecond), "left", left.Round(time.Millisecond),
		"queued", s.Queued, "inUse", s.InUse, "slots", s.Slots, "servers", s.Servers, "usable", s.Usable, "retries", s.Retries, "budget", s.RetryBudget,
		"limited", s.Limited, "limitedRate", fmt.Sprintf("%.2f", s.LimitedRate),
		"config", p.version, "registry", h.cfg.Registry.State().Revision)
}

// await waits for the decision on a queued request, for at most longPollTimeout.
func (h *Home) await(ctx context.Context, req *SlotRequest, w *waiter) pool.Decision {
	poll, cancel := context.WithTimeout(ctx, longPollTimeout)
	defer cancel()
	select {
	case d := <-w.decision:
		gone := ctx.Err() != nil // The caller has gone and cannot use the decision.
		h.loop.Post(func(now time.Time) { h.finishWait(now, pool.ID(req.Service), req.Ticket, d, gone) })
		return d
	case <-poll.Done():
		return pool.Waiting{Ticket: req.Ticket}
	}
}

// finishWait removes a waiter whose decision was delivered. A grant whose caller
// has gone is released.
func (h *Home) finishWait(now time.Time, id pool.ID, t pool.Ticket, d pool.Decision, gone bool) {
	p, ok := h.pools[id]
	if !ok {
		return
	}
	delete(p.waiting, t)
	if g, granted := d.(pool.Granted); granted && gone {
		h.reportEvents(now, id, p.Release(now, g, pool.Dropped{}))
		h.dispatchQueue(now, p)
	}
}

// Abandon removes a request from the queue, or releases its slot if it was
// granted one in the meantime.
func (h *Home) Abandon(n site.ServiceName, t pool.Ticket) {
	h.loop.Post(func(now time.Time) {
		if p, ok := h.pools[pool.ID(n)]; ok {
			h.abandon(now, p, t)
		}
	})
}

func (h *Home) abandon(now time.Time, p *ownedPool, t pool.Ticket) {
	w, ok := p.waiting[t]
	if !ok {
		return
	}
	delete(p.waiting, t)
	p.CancelWait(t)
	select {
	case d := <-w.decision:
		if g, granted := d.(pool.Granted); granted {
			h.reportEvents(now, p.ID(), p.Release(now, g, pool.Dropped{}))
			h.dispatchQueue(now, p)
		}
	default:
	}
}

// dropLostWaiters removes queued requests whose VM has stopped polling.
func (h *Home) dropLostWaiters(now time.Time, p *ownedPool) {
	for t, w := range p.waiting {
		if now.Sub(w.lastPolled) > waiterTimeout {
			h.abandon(now, p, t)
		}
	}
}

// dispatchQueue delivers the pool's decisions to queued requests.
func (h *Home) dispatchQueue(now time.Time, p *ownedPool) {
	for _, w := range p.DispatchQueue(now) {
		if x, ok := p.waiting[w.Ticket]; ok {
			d := p.markInProgress(w.Decision, x.key)
			switch v := d.(type) {
			case pool.Refused:
				h.reportRefusal(now, p, x.id, x.deadline.Sub(now), v)
			case pool.Granted:
				v.Losses = h.lossesOf(now, x.identity, x.basis)
				d = v
			case pool.Waiting:
			}
			x.decision <- d // Does not block: the buffer holds the only decision.
			continue
		}
		if g, granted := w.Decision.(pool.Granted); granted {
			p.Release(now, g, pool.Dropped{})
		}
	}
}

// markInProgress turns a refusal into outcome.InProgress if another attempt with
// the same idempotency key is queued or holds a slot. Such a refusal cannot
// confirm that the request has not run, because the other attempt may still run
// it.
func (p *ownedPool) markInProgress(d pool.Decision, k pool.IdempotencyKey) pool.Decision {
	r, refused := d.(pool.Refused)
	if !refused || !p.Holds(k) {
		return d
	}
	r.Kind, r.Detail = outcome.InProgress, r.Detail+"; another attempt with the same key is queued or running"
	return r
}

// GrantResult reports how a granted request ended.
type GrantResult struct {
	Service   site.ServiceName
	Grant     pool.GrantID
	Report    pool.Report
	Identity  quarantine.Identity
	Basis     *quarantine.Basis // Of the grant; nil from builds that do not know it.
	Server    site.ServerName
	StartedMs int64  // When the server started; zero if it is not known.
	VM        string // That held the grant.
	Ran       quarantine.RunTime
	Request   string // See quarantine.Describe.
}

// Release returns a slot and processes the result of the request that held it.
func (h *Home) Release(e GrantResult) {
	h.loop.Post(func(now time.Time) {
		id := pool.ID(e.Service)
		h.updateLosses(now, e) // Also if the grant is not known: a home that was replaced has granted it.
		p, ok := h.pools[id]
		if !ok {
			return
		}
		g, ok := p.Grant(e.Grant)
		if !ok {
			return
		}
		before, holder := p.FailureStreakOf(now, g.Server.Name), p.HolderOf(e.Grant)
		events := p.Release(now, g, e.Report)
		h.reportEvents(now, id, events)
		if len(events) > 0 {
			record.Log("home: a report changed a server's state", "pool", id, "server", g.Server.Name, "vm", holder,
				"end", reportName(e.Report))
		}
		reportStreakChange(p, before, p.FailureStreakOf(now, g.Server.Name), holder, e.Report)
		h.dispatchQueue(now, p)
	})
}

// reportName returns the name of a report's type for logs.
func reportName(r pool.Report) string { return fmt.Sprintf("%T", r)[len("pool."):] }

// reportStreakChange logs when the end of a VM's request lengthened or ended its
// server's failure streak.
func reportStreakChange(p *ownedPool, before, after pool.FailureStreak, vm string, r pool.Report) {
	switch {
	case after.Failures > before.Failures:
		record.Log("home: server in back-off after a failure", "pool", p.ID(), "server", after.Server, "failures", after.Failures,
			"rest", after.BackOff.Round(time.Millisecond), "end", reportName(r), "vm", vm)
	case after.Failures == 0 && before.Failures > 0:
		record.Log("home: server recovered", "pool", p.ID(), "server", after.Server, "failures", before.Failures,
			"age", before.Age.Round(time.Millisecond))
	}
}

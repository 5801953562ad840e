package dispatch

import (
	"context"
	"slices"
	"time"

	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/site"
)

// waitForSlot acquires a slot for a job, waiting in the queue if necessary.
func (d *Dispatcher) waitForSlot(ctx context.Context, j *Job, res *Result) (Slot, *pool.Refused) {
	return d.requestSlot(ctx, j, res, false)
}

// requestSlot acquires a slot for a job. If noWait is set, a job that would have
// to wait in the queue is refused instead.
func (d *Dispatcher) requestSlot(ctx context.Context, j *Job, res *Result, noWait bool) (Slot, *pool.Refused) {
	now := time.Now()
	req := d.slotRequest(now, j, res, noWait)
	res.SlotRequests++
	if deadline, ok := ctx.Deadline(); ok {
		req.Left = deadline.Sub(now)
	}
	s, refused := d.cfg.Homes.Acquire(ctx, req)
	if refused != nil {
		return nil, refused
	}
	if reason := d.declineGrant(time.Now(), j.Match.Service, s.Grant().Server); reason != "" {
		d.cfg.Scope.Tagged(map[string]string{"reason": string(reason)}).Counter("declinedGrants").Inc(1)
		d.releaseSlot(j, s, pool.Declined{Reason: reason})
		if reason != pool.Unlisted {
			d.cfg.Notices.TellAgain(j.Match.Service) // The home does not know it, or had another list of servers.
		}
		return d.requestOtherSlot(ctx, j, res, noWait, s.Grant().Server.Name)
	}
	return s, nil
}

// slotRequest returns the request for a slot for a job, without the time left to its
// deadline.
func (d *Dispatcher) slotRequest(now time.Time, j *Job, res *Result, noWait bool) *home.SlotRequest {
	req := &home.SlotRequest{
		RequestID: j.Request.ID, Service: j.Match.Service, VM: d.cfg.Holder.VM, DataCentre: d.cfg.DataCentre, Account: j.Account,
		Class: j.Match.Class, Rule: j.Match.Rule, Priority: j.Match.Priority, Identity: j.Identity,
		Exclude: append(slices.Clone(res.ExcludedServers), d.avoided.All(now)...), AlreadyCounted: res.SlotRequests > 0, Attempts: res.Attempts, MaxAttempts: j.Match.Attempts, NoWait: noWait,
		Key: j.unclaimedKey(d.cfg.Site, res),
	}
	if !j.Target.IsZero() {
		req.TargetLeft = j.Target.Sub(now)
	}
	return req
}

// requestOtherSlot requests a slot again, excluding server n. It gives up if n
// was excluded already and granted again.
func (d *Dispatcher) requestOtherSlot(ctx context.Context, j *Job, res *Result, noWait bool, n site.ServerName) (Slot, *pool.Refused) {
	if slices.Contains(res.ExcludedServers, n) {
		return nil, &pool.Refused{Kind: outcome.NoServer, Detail: "the pool's home granted a server again that has left or is leaving", RetryAfter: time.Second}
	}
	res.ExcludedServers = append(slices.Clip(res.ExcludedServers), n)
	return d.requestSlot(ctx, j, res, noWait)
}

// isUnlisted reports whether this VM's registry lacks a server, or shows that it is
// draining, has restarted or has moved to another address. A registry that shows an
// earlier start of the server is older than the home's, and proves nothing.
func (d *Dispatcher) isUnlisted(s site.Server) bool {
	if s.StartedMs == 0 {
		return false // A configured server, which is not in the registry.
	}
	l, ok := d.cfg.Registry.State().Server(s.Name)
	if !ok || l.Server.StartedMs != s.StartedMs {
		return !ok || l.Server.StartedMs > s.StartedMs
	}
	return l.Draining || l.Server.Address != s.Address
}

// releaseSlot returns a slot to the pool's home with a report of the attempt.
func (d *Dispatcher) releaseSlot(j *Job, s Slot, r pool.Report) {
	d.release(j, s, r, quarantine.RunTime{})
}

// releaseAttempt returns the slot of an attempt that was sent.
func (d *Dispatcher) releaseAttempt(j *Job, t *attempt, r pool.Report) {
	d.release(j, t.slot, r, quarantine.RunTime{Began: t.startedAt, Ended: t.endedAt})
}

// release returns a slot. ran is zero if nothing was sent.
func (d *Dispatcher) release(j *Job, s Slot, r pool.Report, ran quarantine.RunTime) {
	g := s.Grant()
	s.Release(home.GrantResult{
		Service: j.Match.Service, Grant: g.ID, Report: r, Identity: j.Identity, Basis: &g.Losses, Request: j.description(),
		Server: g.Server.Name, StartedMs: g.Server.StartedMs, Ran: ran,
	})
}

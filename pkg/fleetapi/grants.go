package fleetapi

import (
	"laburnumpick.org/pkg/admission"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/site"
)

// FromSlotRequest converts a request for a slot.
func FromSlotRequest(a *home.SlotRequest) *AcquireRequest {
	req := &AcquireRequest{
		RequestId: fromText(a.RequestID), Service: string(a.Service), DataCentre: string(a.DataCentre),
		Account: fromText(a.Account), Rule: string(a.Rule), Repeatable: a.Class == site.Repeatable,
		Priority: int32(a.Priority), LeftMs: a.Left.Milliseconds(), TargetLeftMs: a.TargetLeft.Milliseconds(),
		Fingerprint: string(a.Identity.Own), ClassFingerprint: string(a.Identity.Class), Basis: fromKnown(a.Basis), IsTrial: a.IsTrial,
		Sends: int32(a.Attempts), Attempts: int32(a.MaxAttempts), Ticket: int64(a.Ticket),
		AtOnce: a.NoWait, Known: a.AlreadyCounted, Key: fromText(a.Key), Vm: a.VM,
		Limits: fromNamedLimits(a.Limits), LimitVersion: fromLimitVersion(a.LimitVersion),
		Notices: FromNotices(a.Notices),
	}
	for _, n := range a.Exclude {
		req.Exclude = append(req.Exclude, fromText(n))
	}
	return req
}

// ToSlotRequest converts a request for a slot.
func ToSlotRequest(m *AcquireRequest) *home.SlotRequest {
	a := &home.SlotRequest{
		RequestID: toText[string](m.GetRequestId()), Service: site.ServiceName(m.GetService()),
		DataCentre: site.DataCentre(m.GetDataCentre()), Account: toText[site.AccountName](m.GetAccount()),
		Class: site.AtMostOnce, Rule: site.RuleName(m.GetRule()), Priority: int(m.GetPriority()),
		Left:       fromMilliseconds(m.GetLeftMs()),
		TargetLeft: fromMilliseconds(m.GetTargetLeftMs()),
		Identity:   toIdentity(m.GetFingerprint(), m.GetClassFingerprint()), IsTrial: m.GetIsTrial(), Attempts: int(m.GetSends()),
		MaxAttempts: int(m.GetAttempts()), Ticket: pool.Ticket(m.GetTicket()),
		NoWait: m.GetAtOnce(), AlreadyCounted: m.GetKnown(), Key: toText[pool.IdempotencyKey](m.GetKey()), VM: m.GetVm(),
		Limits: toNamedLimits(m.GetLimits()), LimitVersion: toLimitVersion(m.GetLimitVersion()),
		Notices: ToNotices(m.GetNotices()),
	}
	if m.GetRepeatable() {
		a.Class = site.Repeatable
	}
	if b := toBasis(m.GetBasis()); b != nil {
		a.Basis = *b
	}
	for _, n := range m.GetExclude() {
		a.Exclude = append(a.Exclude, toText[site.ServerName](n))
	}
	return a
}

// FromReply converts the reply to a request for a slot.
func FromReply(r home.Reply) *AcquireAnswer {
	m := fromDecision(r.Decision)
	m.LimitVersion, m.Limits = fromLimitVersion(r.Limits.Version), fromNamedLimits(r.Limits.Limits)
	m.CapacityHint = fromCapacityHint(r.Hint)
	return m
}

// ToReply converts the reply to a request for a slot. It returns false if the message
// has no decision.
func ToReply(m *AcquireAnswer) (home.Reply, bool) {
	d, ok := toDecision(m)
	return home.Reply{
		Decision: d,
		Limits:   pool.LimitList{Version: toLimitVersion(m.GetLimitVersion()), Limits: toNamedLimits(m.GetLimits())},
		Hint:     toCapacityHint(m.GetCapacityHint()),
	}, ok
}

// fromCapacityHint converts a hint. It returns nil for a home that refuses nothing.
func fromCapacityHint(h admission.Hint) *CapacityHint {
	if h.Validity <= 0 {
		return nil
	}
	return &CapacityHint{RefusesFrom: int32(h.RefusesFrom), RetryAfterMs: h.RetryAfter.Milliseconds(), ValidityMs: h.Validity.Milliseconds()}
}

// toCapacityHint converts a hint. Its validity is bounded where it is used.
func toCapacityHint(m *CapacityHint) admission.Hint {
	return admission.Hint{
		RefusesFrom: int(m.GetRefusesFrom()), RetryAfter: fromMilliseconds(m.GetRetryAfterMs()), Validity: fromMilliseconds(m.GetValidityMs()),
	}
}

// fromDecision converts the decision on a request for a slot.
func fromDecision(d pool.Decision) *AcquireAnswer {
	switch d := d.(type) {
	case pool.Granted:
		return &AcquireAnswer{Decision: &AcquireAnswer_Grant{Grant: &Grant{
			Id: int64(d.ID), Server: fromServer(d.Server), PatienceMs: d.Timeout.Milliseconds(),
			Trial: d.Probe, Suspect: d.Suspect, More: d.MayRetry,
			Limit: fromRequestLimit(d.Limit), Basis: fromKnown(d.Losses),
		}}}
	case pool.Waiting:
		return &AcquireAnswer{Decision: &AcquireAnswer_Wait{Wait: &Wait{Ticket: int64(d.Ticket)}}}
	case pool.Refused:
		return &AcquireAnswer{Decision: &AcquireAnswer_Refusal{Refusal: &Refusal{
			Kind: string(d.Kind), Detail: fromText(d.Detail), RetryAfterMs: d.RetryAfter.Milliseconds(),
		}}}
	}
	return &AcquireAnswer{}
}

// toDecision converts the decision on a request for a slot. It returns false if the
// message has none.
func toDecision(m *AcquireAnswer) (pool.Decision, bool) {
	switch d := m.GetDecision().(type) {
	case *AcquireAnswer_Grant:
		g := pool.Granted{
			ID: pool.GrantID(d.Grant.GetId()), Server: toServer(d.Grant.GetServer()),
			Timeout: fromMilliseconds(d.Grant.GetPatienceMs()),
			Probe:   d.Grant.GetTrial(), Suspect: d.Grant.GetSuspect(), MayRetry: d.Grant.GetMore(),
			Limit: toRequestLimit(d.Grant.GetLimit()),
		}
		if b := toBasis(d.Grant.GetBasis()); b != nil {
			g.Losses = *b
		}
		return g, true
	case *AcquireAnswer_Wait:
		return pool.Waiting{Ticket: pool.Ticket(d.Wait.GetTicket())}, true
	case *AcquireAnswer_Refusal:
		return pool.Refused{
			Kind: outcome.Kind(d.Refusal.GetKind()), Detail: toText[string](d.Refusal.GetDetail()),
			RetryAfter: fromMilliseconds(d.Refusal.GetRetryAfterMs()),
		}, true
	}
	return nil, false
}

// fromServer converts a server's configuration.
func fromServer(s site.Server) *Server {
	return &Server{
		Name: fromText(s.Name), Address: s.Address, DataCentre: string(s.DataCentre),
		Slots: int32(s.Slots), StartedMs: s.StartedMs,
	}
}

// toServer converts a server's configuration.
func toServer(m *Server) site.Server {
	return site.Server{
		Name: toText[site.ServerName](m.GetName()), Address: m.GetAddress(),
		DataCentre: site.DataCentre(m.GetDataCentre()), Slots: int(m.GetSlots()), StartedMs: m.GetStartedMs(),
	}
}

// Values of ReleaseRequest.Report.
const (
	reportServed    = "served"
	reportFailed    = "failed"
	reportDeclined  = "declined"
	reportDropped   = "dropped"
	reportUnreached = "unreached"
	reportAbandoned = "abandoned" // No result: a queued request no longer waits for a slot.
)

// FromCanceledWait returns the message that a queued request, identified by its
// ticket, no longer waits for a slot.
func FromCanceledWait(n site.ServiceName, t pool.Ticket) *ReleaseRequest {
	return &ReleaseRequest{Service: string(n), Grant: int64(t), Report: reportAbandoned}
}

// ToCanceledWait returns the ticket of a queued request that no longer waits for a
// slot. It reports false if the message is a report on a grant.
func ToCanceledWait(m *ReleaseRequest) (pool.Ticket, bool) {
	return pool.Ticket(m.GetGrant()), m.GetReport() == reportAbandoned
}

// FromGrantResult converts the result of a granted request, as reported by a VM.
func FromGrantResult(e home.GrantResult, vm string) *ReleaseRequest {
	req := &ReleaseRequest{
		Service: string(e.Service), Grant: int64(e.Grant), Vm: vm,
		Fingerprint: string(e.Identity.Own), ClassFingerprint: string(e.Identity.Class), Basis: fromBasis(e.Basis),
	}
	switch r := e.Report.(type) {
	case pool.Served:
		req.Report, req.Rule, req.TookUs = reportServed, string(r.Rule), r.Took.Microseconds()
	case pool.Failed:
		req.Report, req.Rule, req.TookUs, req.Detail = reportFailed, string(r.Rule), r.Took.Microseconds(), fromText(r.Detail)
		req.Answered = r.Answered
		addRun(req, e)
	case pool.Declined:
		req.Report, req.Why = reportDeclined, string(r.Reason)
	case pool.Dropped:
		req.Report, req.Rule, req.TookUs = reportDropped, string(r.Rule), r.Took.Microseconds()
	case pool.Unreached:
		req.Report, req.Detail, req.Crashed = reportUnreached, fromText(r.Detail), r.Crashed
		addRun(req, e)
	}
	return req
}

// addRun adds what the home needs to know of a run during which the server may have crashed.
func addRun(req *ReleaseRequest, e home.GrantResult) {
	req.Request, req.Server, req.StartedMs, req.Ran = fromText(e.Request), fromText(e.Server), e.StartedMs, fromRunTime(e.Ran)
}

// ToGrantResult converts the result of a granted request. An unknown report becomes
// Dropped, which only releases the slot.
func ToGrantResult(m *ReleaseRequest) home.GrantResult {
	e := home.GrantResult{
		Service: site.ServiceName(m.GetService()), Grant: pool.GrantID(m.GetGrant()),
		Identity: toIdentity(m.GetFingerprint(), m.GetClassFingerprint()), Basis: toBasis(m.GetBasis()), VM: m.GetVm(),
		Request: toText[string](m.GetRequest()), Server: toText[site.ServerName](m.GetServer()), StartedMs: m.GetStartedMs(), Ran: toRunTime(m.GetRan()), Report: pool.Dropped{},
	}
	rule, took := site.RuleName(m.GetRule()), fromMicroseconds(m.GetTookUs())
	switch m.GetReport() {
	case reportServed:
		e.Report = pool.Served{Rule: rule, Took: took}
	case reportFailed:
		e.Report = pool.Failed{Rule: rule, Took: took, Detail: toText[string](m.GetDetail()), Answered: m.GetAnswered()}
	case reportDeclined:
		e.Report = pool.Declined{Reason: pool.DeclineReason(m.GetWhy())}
	case reportDropped:
		e.Report = pool.Dropped{Rule: rule, Took: took}
	case reportUnreached:
		e.Report = pool.Unreached{Detail: toText[string](m.GetDetail()), Crashed: m.GetCrashed()}
	}
	return e
}

// FromStandbyState converts what a home tells its standby.
func FromStandbyState(n site.ServiceName, state pool.StandbyState) *ShareRequest {
	req := &ShareRequest{Service: string(n), Limits: fromNamedLimits(state.Limits), Notices: FromNotices(state.Leaving)}
	for _, s := range state.FailureStreaks {
		req.Spells = append(req.Spells, &Spell{
			Server: string(s.Server), Failures: int32(s.Failures), RestMs: s.BackOff.Milliseconds(), AgeMs: s.Age.Milliseconds(),
		})
	}
	return req
}

// ToStandbyState converts what a home tells its standby.
func ToStandbyState(m *ShareRequest) pool.StandbyState {
	out := pool.StandbyState{Limits: toNamedLimits(m.GetLimits()), Leaving: ToNotices(m.GetNotices())}
	for _, s := range m.GetSpells() {
		out.FailureStreaks = append(out.FailureStreaks, pool.FailureStreak{
			Server: site.ServerName(s.GetServer()), Failures: int(s.GetFailures()),
			BackOff: fromMilliseconds(s.GetRestMs()), Age: fromMilliseconds(s.GetAgeMs()),
		})
	}
	return out
}

// FromRegistry converts an update of the list of registered servers.
func FromRegistry(u registry.Update) *ServerList {
	out := &ServerList{Since: int64(u.Since), Revision: int64(u.Revision), Whole: u.Full}
	for _, e := range u.Entries {
		out.Entries = append(out.Entries, &RegisteredServer{
			Server: fromServer(e.Server), Service: string(e.Service), Draining: e.Draining, ColdMs: e.ColdFor.Milliseconds(), Seq: e.Seq,
		})
	}
	for _, n := range u.Removed {
		out.Gone = append(out.Gone, string(n))
	}
	return out
}

// ToRegistry converts an update of the list of registered servers.
func ToRegistry(m *ServerList) registry.Update {
	u := registry.Update{
		Since: registry.Revision(m.GetSince()), Revision: registry.Revision(m.GetRevision()), Full: m.GetWhole(),
	}
	for _, e := range m.GetEntries() {
		u.Entries = append(u.Entries, registry.Entry{
			Service: site.ServiceName(e.GetService()), Server: toServer(e.GetServer()),
			Draining: e.GetDraining(), ColdFor: fromMilliseconds(e.GetColdMs()), Seq: e.GetSeq(),
		})
	}
	for _, n := range m.GetGone() {
		u.Removed = append(u.Removed, site.ServerName(n))
	}
	return u
}

// Package fleetapi defines the messages between VMs and those from operators to
// VMs. Most of it is generated from fleet.proto; this file and grants.go convert
// between the messages and the types of the other packages. The functions From...
// return a message, the functions To... take one.
package fleetapi

import (
	"net/http"
	"time"

	"laburnumpick.org/pkg/claim"
	"laburnumpick.org/pkg/journal"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// millicoresPerCore converts the cores of a VM to the unit of Member.
const millicoresPerCore = 1000

// FromUpdate converts a membership update about one VM.
func FromUpdate(u roster.Update) *Member {
	return &Member{
		Name: string(u.Name), Address: u.Address, DataCentre: string(u.DataCentre),
		Incarnation: uint64(u.Incarnation), Status: string(u.Status), Millicores: int32(u.Cores * millicoresPerCore),
		Protocol: int32(u.Protocol),
	}
}

// ToUpdate converts a membership update about one VM.
func ToUpdate(m *Member) roster.Update {
	return roster.Update{
		VM: roster.VM{
			Name: roster.VMName(m.GetName()), Address: m.GetAddress(),
			DataCentre: site.DataCentre(m.GetDataCentre()), Cores: float64(m.GetMillicores()) / millicoresPerCore,
			Protocol: roster.Protocol(m.GetProtocol()),
		},
		Incarnation: roster.Incarnation(m.GetIncarnation()),
		Status:      roster.Status(m.GetStatus()),
	}
}

// FromUpdates converts membership updates.
func FromUpdates(us []roster.Update) []*Member {
	out := make([]*Member, len(us))
	for i, u := range us {
		out[i] = FromUpdate(u)
	}
	return out
}

// ToUpdates converts membership updates.
func ToUpdates(ms []*Member) []roster.Update {
	out := make([]roster.Update, len(ms))
	for i, m := range ms {
		out[i] = ToUpdate(m)
	}
	return out
}

// FromLoss converts the loss of a server that went down while it ran a request.
func FromLoss(l quarantine.Loss) *Loss {
	return &Loss{
		Fingerprint: string(l.Identity.Own), ClassFingerprint: string(l.Identity.Class), Service: string(l.Service), Server: fromText(l.Server),
		Request: fromText(l.Request), AtUnixMs: l.At.UnixMilli(), Basis: fromBasis(l.Basis), StartedMs: l.StartedMs, Vm: l.VM,
		Ran: fromRunTime(l.Ran),
	}
}

// ToLoss converts the loss of a server that went down while it ran a request.
func ToLoss(l *Loss) quarantine.Loss {
	return quarantine.Loss{
		Identity: toIdentity(l.GetFingerprint(), l.GetClassFingerprint()), Basis: toBasis(l.GetBasis()), Service: site.ServiceName(l.GetService()),
		Server: toText[site.ServerName](l.GetServer()), StartedMs: l.GetStartedMs(), VM: l.GetVm(), Ran: toRunTime(l.GetRan()),
		Request: toText[string](l.GetRequest()), At: time.UnixMilli(l.GetAtUnixMs()),
	}
}

// toIdentity returns the identity of a request. Builds that do not know classes send none.
func toIdentity(own, class string) quarantine.Identity {
	return quarantine.Identity{Own: quarantine.Fingerprint(own), Class: quarantine.Fingerprint(class)}
}

// fromBasis converts what was known of a request's losses. It returns nil for nil.
func fromBasis(b *quarantine.Basis) *LossBasis {
	if b == nil {
		return nil
	}
	return &LossBasis{
		Epoch: int64(b.Own.Epoch), Losses: int32(b.Own.Losses), ClassEpoch: int64(b.Class.Epoch), ClassLosses: int32(b.Class.Losses),
	}
}

// fromKnown is fromBasis for messages in which none stands for one without losses.
func fromKnown(b quarantine.Basis) *LossBasis {
	if b == (quarantine.Basis{}) {
		return nil
	}
	return fromBasis(&b)
}

// toBasis converts what was known of a request's losses. It returns nil for nil, as builds send
// that do not know it.
func toBasis(m *LossBasis) *quarantine.Basis {
	if m == nil {
		return nil
	}
	return &quarantine.Basis{
		Own:   quarantine.Count{Epoch: quarantine.Epoch(m.GetEpoch()), Losses: int(m.GetLosses())},
		Class: quarantine.Count{Epoch: quarantine.Epoch(m.GetClassEpoch()), Losses: int(m.GetClassLosses())},
	}
}

// fromRunTime converts when a request ran on a server. It returns nil if that is not known.
func fromRunTime(r quarantine.RunTime) *RunTime {
	if r.Began.IsZero() {
		return nil
	}
	return &RunTime{BeganUnixUs: r.Began.UnixMicro(), EndedUnixUs: r.Ended.UnixMicro()}
}

// toRunTime converts when a request ran on a server.
func toRunTime(m *RunTime) quarantine.RunTime {
	if m == nil {
		return quarantine.RunTime{}
	}
	return quarantine.RunTime{Began: time.UnixMicro(m.GetBeganUnixUs()), Ended: time.UnixMicro(m.GetEndedUnixUs())}
}

// FromTrial converts a trial of a request that is refused.
func FromTrial(t quarantine.Trial) *Trial {
	return &Trial{Fingerprint: string(t.Fingerprint), Epoch: int64(t.Epoch), Number: int32(t.Number), AtUnixMs: t.At.UnixMilli()}
}

// ToTrial converts a trial of a request that is refused.
func ToTrial(m *Trial) quarantine.Trial {
	return quarantine.Trial{
		Fingerprint: quarantine.Fingerprint(m.GetFingerprint()), Epoch: quarantine.Epoch(m.GetEpoch()), Number: int(m.GetNumber()),
		At: time.UnixMilli(m.GetAtUnixMs()),
	}
}

// FromRelease converts the release of a quarantined request.
func FromRelease(r quarantine.Release) *Release {
	return &Release{Fingerprint: string(r.Fingerprint), Operator: fromText(r.Operator), AtUnixMs: r.At.UnixMilli(), Epoch: int64(r.Epoch)}
}

// ToRelease converts the release of a quarantined request.
func ToRelease(r *Release) quarantine.Release {
	return quarantine.Release{
		Fingerprint: quarantine.Fingerprint(r.GetFingerprint()), Operator: toText[string](r.GetOperator()),
		At: time.UnixMilli(r.GetAtUnixMs()), Epoch: quarantine.Epoch(r.GetEpoch()),
	}
}

// FromClaimID converts the identity of a request with an idempotency key.
func FromClaimID(id claim.ID) *OnceKey {
	return &OnceKey{Site: string(id.Site), Service: string(id.Service), Account: fromText(id.Account), Key: fromText(id.Key)}
}

// ToClaimID converts the identity of a request with an idempotency key.
func ToClaimID(k *OnceKey) claim.ID {
	return claim.ID{
		Site: site.Name(k.GetSite()), Service: site.ServiceName(k.GetService()),
		Account: toText[site.AccountName](k.GetAccount()), Key: toText[string](k.GetKey()),
	}
}

// FromStoredOutcome converts the stored outcome of a request with an idempotency
// key. It returns nil for nil.
func FromStoredOutcome(k *claim.StoredOutcome) *Kept {
	if k == nil {
		return nil
	}
	out := &Kept{
		Outcome: string(k.Outcome), Kind: string(k.Kind), Detail: fromText(k.Detail),
		Status: int32(k.Status), Body: k.Body, TooLong: k.BodyOmitted,
	}
	for n, vs := range k.Header {
		for _, v := range vs {
			out.Header = append(out.Header, &HeaderLine{Name: fromText(n), Value: fromText(v)})
		}
	}
	return out
}

// ToStoredOutcome converts the stored outcome of a request with an idempotency key.
// It returns nil for nil.
func ToStoredOutcome(k *Kept) *claim.StoredOutcome {
	if k == nil {
		return nil
	}
	out := &claim.StoredOutcome{
		Outcome: outcome.Outcome(k.GetOutcome()), Kind: outcome.Kind(k.GetKind()), Detail: toText[string](k.GetDetail()),
		Status: int(k.GetStatus()), Header: make(http.Header), Body: k.GetBody(), BodyOmitted: k.GetTooLong(),
	}
	for _, l := range k.GetHeader() {
		out.Header.Add(toText[string](l.GetName()), toText[string](l.GetValue()))
	}
	return out
}

// FromView converts a pool's view of its servers and queue.
func FromView(v pool.View) *PoolView {
	out := &PoolView{Service: string(v.ID), Queued: int32(v.Queued)}
	for _, s := range v.Servers {
		limit := fromRequestLimit(s.Limit)
		view := &ServerView{
			Name: fromText(s.Server.Name), Address: s.Server.Address, State: string(s.State), Reason: fromText(s.Reason),
			SinceUnixMs: s.Since.UnixMilli(), Slots: int32(s.Server.Slots), Open: int32(s.OpenSlots),
			InUse: int32(s.InUse), Score: s.Score, FailRate: s.FailRate, Strikes: int32(s.Strikes), Limit: limit, PausedVms: int32(s.PausedVMs),
		}
		if limit != nil {
			view.LimitVm, view.LimitUnixMs, view.LimitGrants = s.LimitNamedTo, s.LimitNamedAt.UnixMilli(), int32(s.LimitedGrants)
		}
		out.Servers = append(out.Servers, view)
	}
	return out
}

// FromSuspect converts a request that is suspected of taking servers down.
func FromSuspect(s quarantine.Suspect) *Suspect {
	out := &Suspect{
		Fingerprint: string(s.Fingerprint), Service: string(s.Service), Request: fromText(s.Request), Blocked: s.Blocked,
		IsClass: s.IsClass, Trials: int32(s.Trials),
	}
	if s.Blocked {
		out.UntilUnixMs = s.Until.UnixMilli()
	}
	for _, n := range s.Servers() {
		out.Servers = append(out.Servers, fromText(n))
	}
	for _, ev := range s.Evidence {
		out.Losses = append(out.Losses, &LossEvidence{Server: fromText(ev.Server), StartedMs: ev.StartedMs, Vm: ev.VM, AtUnixMs: ev.At.UnixMilli()})
	}
	return out
}

// FromEntries converts the entries of a journal.
func FromEntries(es []journal.Entry) []*JournalEntry {
	out := make([]*JournalEntry, len(es))
	for i, e := range es {
		out[i] = &JournalEntry{AtUnixMs: e.At.UnixMilli(), Vm: e.VM, Subject: fromText(e.Subject), Text: fromText(e.Text)}
	}
	return out
}

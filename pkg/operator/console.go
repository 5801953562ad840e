// Package operator serves the operators' API. Every VM serves it.
package operator

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/twitchtv/twirp"

	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/claim"
	"laburnumpick.org/pkg/dispatch"
	"laburnumpick.org/pkg/fleet"
	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/floor"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/journal"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

// Verdicts of commands in the API.
const (
	accepted      = "accepted"
	rejected      = "rejected"
	indeterminate = "unsure" // The command may or may not have taken effect.
)

// Config holds the dependencies of a Console.
type Config struct {
	VM         string          // Name of this VM.
	DataCentre site.DataCentre // Of this VM.
	Node       *fleet.Node
	Home       *home.Home
	Dispatcher *dispatch.Dispatcher
	ConfigLog  *catalog.Log // Nil if the fleet reads its configuration from the platform.
	Replica    *catalog.Replica
	Store      store.Table
	Journal    *journal.Journal
	Stop       func() // Starts the graceful shutdown of this VM.
}

// Console implements fleetapi.Operator.
type Console struct {
	cfg   Config
	floor *floor.RecordStore
}

// NewConsole returns a Console with the given dependencies.
func NewConsole(cfg Config) *Console { return &Console{cfg, floor.NewRecordStore(cfg.Store)} }

// Apply creates, replaces or deletes an object of the configuration.
func (c *Console) Apply(ctx context.Context, req *fleetapi.ApplyRequest) (*fleetapi.ApplyAnswer, error) {
	op, err := authorize(ctx, Operate)
	if err != nil {
		return nil, err
	}
	ch := catalog.Change{Command: catalog.CommandID(req.GetCommand()), Operator: op.Name, Put: req.GetDocument()}
	if len(ch.Put) == 0 {
		ch.Delete = &site.ObjectID{Kind: site.Kind(req.GetDeleteKind()), Name: req.GetDeleteName()}
	}
	if ch.Command == "" {
		ch.Command = catalog.CommandID(uuid.NewString())
	}
	base := catalog.Version(req.GetBase())
	if base == 0 {
		base = c.cfg.Replica.State().Version
	}
	if c.cfg.ConfigLog == nil {
		return &fleetapi.ApplyAnswer{Verdict: rejected, Reason: "this fleet reads its configuration from the platform; change it there"}, nil
	}
	now := time.Now()
	switch result := c.cfg.ConfigLog.Write(ctx, now, c.cfg.Replica, base, ch).(type) {
	case catalog.Accepted:
		c.cfg.Node.Announce()
		c.cfg.Journal.Add(now, "configuration", op.Name+" wrote configuration version "+formatVersion(result.Version))
		return &fleetapi.ApplyAnswer{Verdict: accepted, Version: int64(result.Version)}, nil
	case catalog.Rejected:
		resp := &fleetapi.ApplyAnswer{Verdict: rejected, Reason: result.Reason}
		if result.Conflict != nil {
			resp.Version = int64(result.Conflict.Version)
		}
		return resp, nil
	case catalog.Indeterminate:
		return &fleetapi.ApplyAnswer{Verdict: indeterminate, Reason: result.Reason +
			"; repeat the command with the same id to learn its outcome"}, nil
	}
	return nil, twirp.InternalError("unexpected result of the configuration write")
}

// Believe returns this VM's view of the fleet, its pools and the suspected requests,
// and the latest entries of its journal.
func (c *Console) Believe(ctx context.Context, req *fleetapi.BelieveRequest) (*fleetapi.BelieveAnswer, error) {
	if _, err := authorize(ctx, Read); err != nil {
		return nil, err
	}
	now := time.Now()
	self, all, isolated := c.cfg.Node.Members(ctx)
	view := c.cfg.Home.Status(ctx)
	resp := &fleetapi.BelieveAnswer{
		Vm:              fleetapi.FromUpdate(self),
		CatalogVersion:  int64(c.cfg.Replica.State().Version),
		CatalogBehind:   int64(c.cfg.Replica.Behind()),
		StoreAwayMs:     c.cfg.Node.PlatformAge(now).Milliseconds(),
		Isolated:        isolated,
		Members:         fleetapi.FromUpdates(all),
		UnsettledClaims: int64(c.cfg.Dispatcher.UnwrittenOutcomes()),
	}
	for _, p := range view.Pools {
		resp.Pools = append(resp.Pools, fleetapi.FromView(p))
	}
	for _, s := range view.Suspects {
		resp.Suspects = append(resp.Suspects, fleetapi.FromSuspect(s))
	}
	entries, dropped := c.cfg.Journal.Entries(time.UnixMilli(req.GetJournalAfterUnixMs()))
	resp.Journal, resp.JournalDropped = fleetapi.FromEntries(entries), dropped
	return resp, nil
}

// ShowAccount returns the quota of a client account and the state of its parts.
func (c *Console) ShowAccount(ctx context.Context, req *fleetapi.ShowAccountRequest) (*fleetapi.ShowAccountAnswer, error) {
	if _, err := authorize(ctx, Read); err != nil {
		return nil, err
	}
	name := site.AccountName(req.GetName())
	a := c.cfg.Replica.State().Directory.Account(name)
	if a == nil {
		return &fleetapi.ShowAccountAnswer{}, nil
	}
	out := &fleetapi.ShowAccountAnswer{
		Known: true, Rate: float64(a.Quota.Rate), Burst: int32(a.Quota.Burst), WindowMs: c.cfg.Node.Tolerance().Window.Milliseconds(),
	}
	if a.Quota.Limited() {
		out.Parts = c.cfg.Node.ShowQuota(ctx, name, a.Quota)
	}
	return out, nil
}

// Take takes a server out of service at an operator's request, or returns it to
// service.
func (c *Console) Take(ctx context.Context, req *fleetapi.TakeRequest) (*fleetapi.TakeAnswer, error) {
	op, err := authorize(ctx, Operate)
	if err != nil {
		return nil, err
	}
	svc := c.cfg.Replica.State().Directory.Service(site.ServiceName(req.GetService()))
	n := site.ServerName(req.GetServer())
	if svc == nil || !hasServer(svc, n) {
		return &fleetapi.TakeAnswer{Verdict: rejected, Reason: "the service does not exist or has no such server"}, nil
	}
	now := time.Now()
	var result floor.Result
	if req.GetBack() {
		result = c.floor.Readmit(ctx, svc, n, floor.Held)
	} else {
		e := floor.Entry{Cause: floor.Held, Reason: req.GetReason(), By: op.Name, At: now}
		result = c.floor.Exclude(ctx, svc, n, e, req.GetForced())
	}
	switch v := result.(type) {
	case floor.Done:
		c.cfg.Journal.Add(now, "server "+string(n), exclusionText(req, op.Name))
		c.cfg.Node.Broadcast(&fleetapi.Rumor{Body: &fleetapi.Rumor_Refresh{
			Refresh: &fleetapi.Refresh{Service: string(svc.Name)},
		}})
		return &fleetapi.TakeAnswer{Verdict: accepted}, nil
	case floor.Refused:
		return &fleetapi.TakeAnswer{Verdict: rejected, Reason: v.Reason}, nil
	case floor.Indeterminate:
		return &fleetapi.TakeAnswer{Verdict: indeterminate, Reason: v.Cause.Error() + "; repeat the command to learn its outcome"}, nil
	}
	return nil, twirp.InternalError("unexpected result of the write to the floor record")
}

// exclusionText returns the journal entry of a Take command.
func exclusionText(req *fleetapi.TakeRequest, operator string) string {
	switch {
	case req.GetBack():
		return "returned to service by " + operator
	case req.GetForced():
		return "taken out of service by " + operator + ", overriding the floor: " + req.GetReason()
	default:
		return "taken out of service by " + operator + ": " + req.GetReason()
	}
}

func hasServer(svc *site.Service, n site.ServerName) bool {
	for i := range svc.Servers {
		if svc.Servers[i].Name == n {
			return true
		}
	}
	return false
}

// Free releases a request from quarantine, in all VMs.
func (c *Console) Free(ctx context.Context, req *fleetapi.FreeRequest) (*fleetapi.FreeAnswer, error) {
	op, err := authorize(ctx, Operate)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c.cfg.Journal.Add(now, "request "+req.GetFingerprint(), "released from quarantine by "+op.Name)
	c.cfg.Node.ReleaseSuspect(now, quarantine.Fingerprint(req.GetFingerprint()), op.Name)
	return &fleetapi.FreeAnswer{}, nil
}

// KeyOutcome returns the state of an idempotency key: free, running, ended with the
// stored outcome, or unknown if the key's record cannot be read.
func (c *Console) KeyOutcome(ctx context.Context, req *fleetapi.KeyOutcomeRequest) (*fleetapi.KeyOutcomeAnswer, error) {
	if _, err := authorize(ctx, Read); err != nil {
		return nil, err
	}
	state, err := c.cfg.Dispatcher.Ledger().Read(ctx, fleetapi.ToClaimID(req.GetKey()))
	if err != nil {
		return &fleetapi.KeyOutcomeAnswer{Phase: "unknown", Detail: err.Error()}, nil
	}
	switch s := state.(type) {
	case claim.Ended:
		return &fleetapi.KeyOutcomeAnswer{Phase: "ended", Kept: fleetapi.FromStoredOutcome(&s.Stored)}, nil
	case claim.Running:
		return &fleetapi.KeyOutcomeAnswer{
			Phase: "running", Detail: "VM " + s.Holder.VM + " claimed it at " + s.At.Format(time.RFC3339Nano),
		}, nil
	default:
		return &fleetapi.KeyOutcomeAnswer{Phase: "free", Detail: "the key is not claimed"}, nil
	}
}

// Stop starts the graceful shutdown of this VM.
func (c *Console) Stop(ctx context.Context, _ *fleetapi.StopRequest) (*fleetapi.StopAnswer, error) {
	op, err := authorize(ctx, Administer)
	if err != nil {
		return nil, err
	}
	c.cfg.Journal.Add(time.Now(), "vm", "stopped by "+op.Name)
	c.cfg.Stop()
	return &fleetapi.StopAnswer{}, nil
}

// Package operator answers operators' questions and commands in any VM.
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

// Verdicts on commands.
const (
	accepted = "accepted"
	rejected = "rejected"
	unsure   = "unsure"
)

// Config is what a console needs.
type Config struct {
	Node       *fleet.Node
	Home       *home.Home
	Dispatcher *dispatch.Dispatcher
	ConfigLog  *catalog.Log // Nil where the platform's operators write the configuration.
	Replica    *catalog.Replica
	Store      store.Table
	Journal    *journal.Journal
	Stop       func() // Starts a planned stop of this VM.
}

// Console implements fleetapi.Operator.
type Console struct {
	cfg   Config
	floor *floor.RecordStore
}

// NewConsole returns a console.
func NewConsole(cfg Config) *Console { return &Console{cfg, floor.NewRecordStore(cfg.Store)} }

// Apply changes the configuration.
func (c *Console) Apply(ctx context.Context, req *fleetapi.ApplyRequest) (*fleetapi.ApplyAnswer, error) {
	who, err := allow(ctx, Operate)
	if err != nil {
		return nil, err
	}
	ch := catalog.Change{Command: catalog.CommandID(req.GetCommand()), Operator: who.Name, Put: req.GetDocument()}
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
		return &fleetapi.ApplyAnswer{Verdict: rejected, Reason: "the platform holds the configuration; change it there"}, nil
	}
	now := time.Now()
	switch v := c.cfg.ConfigLog.Write(ctx, now, c.cfg.Replica, base, ch).(type) {
	case catalog.Accepted:
		c.cfg.Node.Announce()
		c.cfg.Journal.Add(now, "configuration", who.Name+" made version "+versionText(v.Version))
		return &fleetapi.ApplyAnswer{Verdict: accepted, Version: int64(v.Version)}, nil
	case catalog.Rejected:
		a := &fleetapi.ApplyAnswer{Verdict: rejected, Reason: v.Reason}
		if v.Beaten != nil {
			a.Version = int64(v.Beaten.Version)
		}
		return a, nil
	case catalog.Unsure:
		return &fleetapi.ApplyAnswer{Verdict: unsure, Reason: v.Reason +
			"; repeat the command with the same id to settle it"}, nil
	}
	return nil, twirp.InternalError("no verdict")
}

// Believe tells what this VM believes.
func (c *Console) Believe(ctx context.Context, req *fleetapi.BelieveRequest) (*fleetapi.BelieveAnswer, error) {
	if _, err := allow(ctx, Read); err != nil {
		return nil, err
	}
	now := time.Now()
	self, all, isolated := c.cfg.Node.Members(ctx)
	b := c.cfg.Home.Beliefs(ctx)
	a := &fleetapi.BelieveAnswer{
		Vm:              fleetapi.FromUpdate(self),
		CatalogVersion:  int64(c.cfg.Replica.State().Version),
		CatalogBehind:   int64(c.cfg.Replica.Behind()),
		StoreAwayMs:     c.cfg.Node.StoreAway(now).Milliseconds(),
		Isolated:        isolated,
		Members:         fleetapi.FromUpdates(all),
		UnsettledClaims: int64(c.cfg.Dispatcher.Unsettled()),
	}
	for _, p := range b.Pools {
		a.Pools = append(a.Pools, fleetapi.FromView(p))
	}
	for _, s := range b.Suspects {
		a.Suspects = append(a.Suspects, fleetapi.FromSuspect(s))
	}
	entries, dropped := c.cfg.Journal.Entries(time.UnixMilli(req.GetJournalAfterUnixMs()))
	a.Journal, a.JournalDropped = fleetapi.FromEntries(entries), dropped
	return a, nil
}

// Take takes a server out by an operator's word, or lets it back.
func (c *Console) Take(ctx context.Context, req *fleetapi.TakeRequest) (*fleetapi.TakeAnswer, error) {
	who, err := allow(ctx, Operate)
	if err != nil {
		return nil, err
	}
	svc := c.cfg.Replica.State().Directory.Service(site.ServiceName(req.GetService()))
	n := site.ServerName(req.GetServer())
	if svc == nil || !hasServer(svc, n) {
		return &fleetapi.TakeAnswer{Verdict: rejected, Reason: "there is no such service or server"}, nil
	}
	now := time.Now()
	var v floor.Result
	if req.GetBack() {
		v = c.floor.Readmit(ctx, svc, n, floor.Held)
	} else {
		e := floor.Entry{Cause: floor.Held, Reason: req.GetReason(), By: who.Name, At: now}
		v = c.floor.Exclude(ctx, svc, n, e, req.GetForced())
	}
	switch v := v.(type) {
	case floor.Done:
		c.cfg.Journal.Add(now, "server "+string(n), takeText(req, who.Name))
		c.cfg.Node.Spread(&fleetapi.Rumor{Body: &fleetapi.Rumor_Refresh{
			Refresh: &fleetapi.Refresh{Service: string(svc.Name)},
		}})
		return &fleetapi.TakeAnswer{Verdict: accepted}, nil
	case floor.Refused:
		return &fleetapi.TakeAnswer{Verdict: rejected, Reason: v.Reason}, nil
	case floor.Indeterminate:
		return &fleetapi.TakeAnswer{Verdict: unsure, Reason: v.Cause.Error() + "; repeat the command to settle it"}, nil
	}
	return nil, twirp.InternalError("no verdict")
}

func takeText(req *fleetapi.TakeRequest, who string) string {
	switch {
	case req.GetBack():
		return "let back by " + who
	case req.GetForced():
		return "taken out by " + who + ", forced below the floor: " + req.GetReason()
	default:
		return "taken out by " + who + ": " + req.GetReason()
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

// Free releases a quarantined request.
func (c *Console) Free(ctx context.Context, req *fleetapi.FreeRequest) (*fleetapi.FreeAnswer, error) {
	who, err := allow(ctx, Operate)
	if err != nil {
		return nil, err
	}
	r := quarantine.Release{
		Fingerprint: quarantine.Fingerprint(req.GetFingerprint()), Operator: who.Name, At: time.Now(),
	}
	c.cfg.Journal.Add(r.At, "request "+req.GetFingerprint(), "released by "+who.Name)
	c.cfg.Node.SpreadRelease(r)
	return &fleetapi.FreeAnswer{}, nil
}

// KeyOutcome tells what became of a once-only key.
func (c *Console) KeyOutcome(ctx context.Context, req *fleetapi.KeyOutcomeRequest) (*fleetapi.KeyOutcomeAnswer, error) {
	if _, err := allow(ctx, Read); err != nil {
		return nil, err
	}
	sight, err := c.cfg.Dispatcher.Ledger().Read(ctx, fleetapi.ToClaimID(req.GetKey()))
	if err != nil {
		return &fleetapi.KeyOutcomeAnswer{Phase: "unknown", Detail: err.Error()}, nil
	}
	switch s := sight.(type) {
	case claim.Ended:
		return &fleetapi.KeyOutcomeAnswer{Phase: "ended", Kept: fleetapi.FromStoredOutcome(&s.Stored)}, nil
	case claim.Running:
		return &fleetapi.KeyOutcomeAnswer{
			Phase: "running", Detail: "VM " + s.Holder.VM + " claimed it at " + s.At.Format(time.RFC3339Nano),
		}, nil
	default:
		return &fleetapi.KeyOutcomeAnswer{Phase: "free", Detail: "no claim stands"}, nil
	}
}

// Stop starts a planned stop of this VM.
func (c *Console) Stop(ctx context.Context, _ *fleetapi.StopRequest) (*fleetapi.StopAnswer, error) {
	who, err := allow(ctx, Administer)
	if err != nil {
		return nil, err
	}
	c.cfg.Journal.Add(time.Now(), "vm", "stopped by "+who.Name)
	c.cfg.Stop()
	return &fleetapi.StopAnswer{}, nil
}

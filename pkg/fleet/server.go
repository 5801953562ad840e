package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/twitchtv/twirp"

	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/claim"
	"laburnumpick.org/pkg/dispatch"
	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/roster"
)

// maxWait bounds how long Outcome waits for a request to end.
const maxWait = 30 * time.Second

// server implements the calls that other VMs make.
type server struct{ node *Node }

// Server returns the handler of calls from other VMs.
func (n *Node) Server() fleetapi.Fleet { return server{n} }

// Heartbeat implements fleetapi.Fleet.
func (s server) Heartbeat(ctx context.Context, req *fleetapi.HeartbeatRequest) (*fleetapi.HeartbeatAnswer, error) {
	n := s.node
	if req.GetTo() != string(n.cfg.Self.Name) {
		return nil, twirp.NotFoundError("heartbeat for another VM: this is VM " + string(n.cfg.Self.Name))
	}
	n.handleMessage(ctx, req.GetFrom(), req.GetMembers(), req.GetRumors(), req.GetCatalogVersion(), req.GetRegistryRevision(), false)
	reply := &fleetapi.HeartbeatAnswer{
		CatalogVersion: int64(n.cfg.Replica.State().Version), RegistryRevision: int64(n.cfg.Registry.State().Revision),
	}
	n.loop.Do(ctx, func(now time.Time) {
		reply.From = fleetapi.FromUpdate(n.roster.Self())
		updates := n.updatesFor(roster.VMName(req.GetFrom().GetName()))
		if req.GetWantAll() {
			updates = n.roster.All()
		}
		reply.Members = fleetapi.FromUpdates(updates)
		reply.Rumors = n.gossip.piggyback(now)
	})
	if req.GetWantAll() {
		for _, r := range n.cfg.Losses.Records(time.Now()) {
			reply.Rumors = append(reply.Rumors, rumorsOf(r)...)
		}
	}
	return reply, nil
}

// HeartbeatFor implements fleetapi.Fleet.
func (s server) HeartbeatFor(ctx context.Context, req *fleetapi.HeartbeatForRequest) (*fleetapi.HeartbeatForAnswer, error) {
	n := s.node
	vm := roster.VM{Name: roster.VMName(req.GetName()), Address: req.GetAddress()}
	err := n.heartbeat(ctx, vm, roster.HeartbeatTimeout)
	return &fleetapi.HeartbeatForAnswer{Reached: err == nil}, nil
}

// Changes implements fleetapi.Fleet.
func (s server) Changes(_ context.Context, req *fleetapi.ChangesRequest) (*fleetapi.ChangesAnswer, error) {
	n := s.node
	reply := &fleetapi.ChangesAnswer{Version: int64(n.cfg.Replica.State().Version)}
	changes, ok := n.cfg.Replica.ChangesSince(catalog.Version(req.GetSince()))
	if !ok {
		s, err := n.cfg.Replica.Snapshot()
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		if reply.Snapshot, err = packSnapshot(s); err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		return reply, nil
	}
	for i := range changes {
		raw, err := json.Marshal(changes[i])
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		reply.Changes = append(reply.Changes, raw)
	}
	return reply, nil
}

// Values of OutcomeAnswer.phase.
const (
	phaseEnded   = "ended"
	phaseRunning = "running"
	phaseGone    = "gone" // The VM does not know the attempt.
)

// Outcome implements fleetapi.Fleet.
func (s server) Outcome(ctx context.Context, req *fleetapi.OutcomeRequest) (*fleetapi.OutcomeAnswer, error) {
	n := s.node
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxWait)
	st := n.cfg.Keyed.Await(ctx, fleetapi.ToClaimID(req.GetKey()), claim.AttemptID(req.GetAttempt()), wait)
	switch {
	case st.Ended:
		return &fleetapi.OutcomeAnswer{Phase: phaseEnded, Kept: fleetapi.FromStoredOutcome(st.Stored)}, nil
	case st.Known:
		return &fleetapi.OutcomeAnswer{Phase: phaseRunning}, nil
	default:
		return &fleetapi.OutcomeAnswer{Phase: phaseGone}, nil
	}
}

// HolderClient asks the VMs that hold claims for the outcome of keyed requests. It
// implements entry.HolderClient.
type HolderClient struct{ Node *Node }

// Outcome asks the VM that holds a claim for the status of its attempt, and
// waits up to wait for the attempt to end.
func (h HolderClient) Outcome(ctx context.Context, vm claim.Holder, id claim.ID, a claim.AttemptID, wait time.Duration) (dispatch.Status, error) {
	n := h.Node
	ctx, cancel := context.WithTimeout(n.withToken(ctx), wait+time.Second)
	defer cancel()
	reply, err := n.client(vm.Address).Outcome(ctx, &fleetapi.OutcomeRequest{
		Key: fleetapi.FromClaimID(id), Attempt: string(a), WaitMs: wait.Milliseconds(),
	})
	if err != nil {
		return dispatch.Status{}, err
	}
	return dispatch.Status{
		Known:  reply.GetPhase() != phaseGone,
		Ended:  reply.GetPhase() == phaseEnded,
		Stored: fleetapi.ToStoredOutcome(reply.GetKept()),
	}, nil
}

package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
)

// checkLosses decides whether a request may run, by what this VM knows of the servers lost with it,
// and adds that to the request, so that the home knows it too. It returns the refusal, or nil.
func (n *Node) checkLosses(ctx context.Context, now time.Time, req *home.SlotRequest) *pool.Refused {
	v := n.cfg.Losses.Check(now, req.Identity)
	req.Basis = v.Basis
	if !v.Blocked {
		return nil
	}
	if req.Attempts == 0 && v.TrialDue {
		if n.claimTrial(ctx, now, req, v.Fingerprint) {
			return nil
		}
		v = n.cfg.Losses.Check(time.Now(), req.Identity) // Another VM may have made the trial.
	}
	r := home.RefusedForLosses(v, req.Attempts)
	n.cfg.Scope.Counter("quarantineRefusals").Inc(1)
	record.Log("fleet: refused a quarantined request", "id", req.RequestID, "pool", req.Service, "suspect", v.Fingerprint,
		"lost", n.cfg.Losses.Lost(v.Fingerprint), "retryAfter", v.RetryAfter.Round(time.Millisecond))
	return &r
}

// claimTrial lets a refused request through as a trial, if no other VM makes it.
func (n *Node) claimTrial(ctx context.Context, now time.Time, req *home.SlotRequest, f quarantine.Fingerprint) bool {
	trial, claimed := n.cfg.Keeper.ClaimTrial(ctx, now, f)
	if !claimed {
		return false
	}
	record.Log("fleet: a quarantined request runs as a trial", "id", req.RequestID, "suspect", f, "trial", trial.Number)
	n.broadcastTrial(trial)
	req.IsTrial = true
	return true
}

// BroadcastLoss informs all VMs that a server crashed during a request. The
// candidates for the pool's home are informed directly, because a copy of the
// request may be on its way to them.
func (n *Node) BroadcastLoss(ctx context.Context, l quarantine.Loss) {
	n.Broadcast(&fleetapi.Rumor{Body: &fleetapi.Rumor_Loss{Loss: fleetapi.FromLoss(l)}})
	var wg sync.WaitGroup
	for _, vm := range n.rankedHomes(l.Service) {
		if vm.Name == n.cfg.Self.Name {
			continue
		}
		wg.Go(func() {
			if err := n.heartbeat(ctx, vm, roster.HeartbeatTimeout); err != nil {
				klog.V(1).InfoS("fleet: could not report a server crash to a VM", "vm", vm.Name, "err", err)
			}
		})
	}
	wg.Wait()
}

// BroadcastRelease informs all VMs that a quarantined request may run again.
func (n *Node) BroadcastRelease(r quarantine.Release) {
	n.Broadcast(&fleetapi.Rumor{Body: &fleetapi.Rumor_Release{Release: fleetapi.FromRelease(r)}})
}

// ReleaseSuspect releases a request from quarantine, in all VMs, for an operator.
func (n *Node) ReleaseSuspect(now time.Time, f quarantine.Fingerprint, operator string) {
	r := quarantine.Release{Fingerprint: f, Epoch: n.cfg.Losses.NextEpoch(f), Operator: operator, At: now}
	n.cfg.Losses.RecordRelease(now, r)
	n.cfg.Losses.MarkUnsaved(f)
	n.BroadcastRelease(r)
}

// broadcastTrial informs all VMs that a quarantined request was let through.
func (n *Node) broadcastTrial(t quarantine.Trial) {
	n.Broadcast(&fleetapi.Rumor{Trial: fleetapi.FromTrial(t)})
}

// recordCrash records a loss that this VM saw. It tells the other VMs itself if the home of the pool
// could not be told.
func (n *Node) recordCrash(now time.Time, e home.GrantResult, homeTold bool) {
	l := e.Loss(now)
	n.cfg.Losses.RecordLoss(now, l)
	if homeTold {
		return
	}
	n.cfg.Losses.MarkUnsaved(l.Identity.Own)
	go n.BroadcastLoss(context.Background(), l)
}

// rumorsOf returns the updates that tell a VM all of a record.
func rumorsOf(r quarantine.Record) []*fleetapi.Rumor {
	own := string(r.Identity.Own)
	var out []*fleetapi.Rumor
	if r.Epoch > 0 {
		release := quarantine.Release{Fingerprint: r.Identity.Own, Epoch: r.Epoch, Operator: quarantine.Fleet, At: r.SeenAt}
		out = append(out, &fleetapi.Rumor{
			Id: fmt.Sprintf("release/%s/%d", own, r.Epoch), Body: &fleetapi.Rumor_Release{Release: fleetapi.FromRelease(release)},
		})
	}
	for _, l := range r.Losses() {
		out = append(out, &fleetapi.Rumor{
			Id:   fmt.Sprintf("loss/%s/%d/%s/%d/%d", own, r.Epoch, l.Server, l.StartedMs, l.At.UnixMilli()),
			Body: &fleetapi.Rumor_Loss{Loss: fleetapi.FromLoss(l)},
		})
	}
	if r.Trials > 0 {
		trial := quarantine.Trial{Fingerprint: r.Identity.Own, Epoch: r.Epoch, Number: r.Trials, At: r.TriedAt}
		out = append(out, &fleetapi.Rumor{
			Id: fmt.Sprintf("trial/%s/%d/%d", own, r.Epoch, r.Trials), Trial: fleetapi.FromTrial(trial),
		})
	}
	return out
}

// readLosses reads the stored losses, once, and tells them to all VMs. Where all VMs have started
// together, nobody else knows them, so a VM that reads the platform's tables itself reads them first.
func (n *Node) readLosses(ctx context.Context) {
	if n.lossesRead {
		return
	}
	records, err := n.cfg.Keeper.Load(ctx, time.Now())
	if err != nil {
		klog.V(1).InfoS("fleet: cannot read the stored losses", "err", err)
		return
	}
	n.lossesRead = true
	record.Log("fleet: read the stored losses", "records", len(records))
	go n.tellRecords(ctx, records)
}

// tellRecords tells all VMs what was stored, as many updates at a time as messages carry.
func (n *Node) tellRecords(ctx context.Context, records []quarantine.Record) {
	var rumors []*fleetapi.Rumor
	for _, r := range records {
		rumors = append(rumors, rumorsOf(r)...)
	}
	for len(rumors) > 0 {
		part := rumors[:min(len(rumors), maxPiggyback)]
		rumors = rumors[len(part):]
		for _, m := range part {
			n.broadcast(m)
		}
		if len(rumors) == 0 || control.Sleep(ctx, piggybackWindow) != nil {
			return
		}
	}
}

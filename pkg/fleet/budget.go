package fleet

import (
	"context"
	"errors"
	"time"

	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// Shares of a service's retry budget that VMs use at the same time without hearing of each
// other. With the shares of homes that do not know the retries of the others yet (package
// pool), their sum over all VMs is at most one.
const (
	// homeBudgetShare is the share of the first candidate for the home.
	homeBudgetShare = 0.965
	// standbyBudgetShare is the share of the second candidate; each further candidate has
	// half of the one before.
	standbyBudgetShare = 0.01
	// othersBudgetShare is the share that all VMs that are no candidates have together.
	othersBudgetShare = 0.005
)

// BudgetRole returns this VM's role in deciding on a service's retries. Only on the side of a
// cut that has most of the VMs do the candidates have their shares; on two equal sides they
// have half of them.
func (n *Node) BudgetRole(svc site.ServiceName) pool.BudgetRole {
	if n.cfg.Standalone {
		return pool.BudgetRole{Share: pool.BudgetShare{Ratio: 1, Constant: 1}}
	}
	v := n.View()
	seen, all := len(v.VMs()), max(1, len(v.VMs())+v.Lost())
	if n.isolated.Load() {
		seen = 1
	}
	ranked := n.rankedHomes(svc)
	r := pool.BudgetRole{Since: n.unknownBefore(), Successor: n.firstOther(ranked)}
	r.Decides = len(ranked) > 0 && n.isSelf(ranked[0])
	share := candidateBudgetShare(n.cfg.Self.Name, ranked)
	switch {
	case 2*seen < all || share == 0:
		r.Share = pool.BudgetShare{Ratio: othersBudgetShare, Constant: othersBudgetShare / float64(all)}
	case 2*seen == all:
		r.Share = pool.BudgetShare{Ratio: share / 2, Constant: share / 2}
	default:
		r.Share = pool.BudgetShare{Ratio: share, Constant: share}
	}
	return r
}

// candidateBudgetShare returns the share of a VM among the candidates for a home, or 0 if it
// is none of them.
func candidateBudgetShare(vm roster.VMName, ranked []roster.VM) float64 {
	share := homeBudgetShare
	for rank, c := range ranked {
		if c.Name == vm {
			return share
		}
		share = standbyBudgetShare / float64(int(1)<<rank)
	}
	return 0
}

// firstOther returns the first of the candidates that is not this VM, or "" if there is none.
func (n *Node) firstOther(ranked []roster.VM) string {
	for _, vm := range ranked {
		if !n.isSelf(vm) {
			return string(vm.Name)
		}
	}
	return ""
}

// freshStart is how much later than this VM, or earlier, all others have started in a fleet
// that starts as a whole.
const freshStart = 4 * time.Second

// startNoted is how long after the start of this VM the starts of the others matter. Later,
// nothing that was sent before is in the window of a budget.
const startNoted = 30 * time.Second

// unknownBefore returns until when VMs of which this one does not know may have decided on
// retries: its start, or the last time that a VM left its view. Where all VMs have started
// together, whoever decided before had ended by then, so nobody needs to notice it.
func (n *Node) unknownBefore() time.Time {
	if at := n.leftAt.Load(); at != nil {
		return *at
	}
	if at := n.freshAt.Load(); at != nil {
		return at.Add(-pool.RoleChangeDelay)
	}
	return n.startedAt
}

// noteStarts records when the last VM started, if all of them have started together. It must
// be called on the loop's goroutine.
func (n *Node) noteStarts(now time.Time) {
	if now.Sub(n.startedAt) > startNoted {
		return
	}
	n.freshAt.Store(nil)
	last := n.startedAt
	for _, u := range n.roster.All() {
		at := time.UnixMilli(int64(u.Incarnation))
		if u.Name == n.cfg.Self.Name {
			continue
		}
		if at.Sub(n.startedAt).Abs() > freshStart {
			return
		}
		if at.After(last) {
			last = at
		}
	}
	n.freshAt.Store(&last)
}

var errNoCandidate = errors.New("the VM is no longer a candidate for the pool's home")

// SendBudgetUse tells a VM how this one has used a service's retry budget. It reports whether
// the VM accepted it. A VM of an earlier build accepts everything.
func (n *Node) SendBudgetUse(svc site.ServiceName, to string, u pool.BudgetUse) (accepted bool, err error) {
	for _, vm := range n.rankedHomes(svc) {
		if vm.Name != roster.VMName(to) {
			continue
		}
		err = n.report(vm, func(ctx context.Context, c fleetapi.Fleet) error {
			a, err := c.Share(ctx, &fleetapi.ShareRequest{Service: string(svc), Budget: fleetapi.FromBudgetUse(u)})
			accepted = err == nil && !a.GetDecides()
			return err
		})
		if err != nil {
			n.cfg.Scope.Counter("sharesLost").Inc(1)
			record.Log("fleet: use of the retry budget not told", "vm", vm.Name, "service", svc, "err", err)
		}
		return accepted, err
	}
	record.Log("fleet: use of the retry budget not told", "vm", to, "service", svc, "err", errNoCandidate)
	return false, errNoCandidate
}

package fleet

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"laburnumpick.org/pkg/quota"
	"laburnumpick.org/pkg/roster"
)

// tokenRound is one search of a VM for a token.
type tokenRound struct {
	node     *Node
	request  quota.Request
	again    bool           // The request has asked in an earlier round.
	parts    []quota.PartID // In the order in which they are asked.
	silent   []quota.PartID // Whose homes did not answer.
	refused  bool           // A VM that decides, or its hint, has refused.
	least    time.Duration  // Until a part that refused has a token.
	shortest quota.PartID   // Of the parts that expect a token, the first to get one.
	wait     time.Duration
}

// newTokenRound returns a round that asks the parts with near homes first.
func (n *Node) newTokenRound(r quota.Request, again bool) *tokenRound {
	t := &tokenRound{node: n, request: r, again: again, wait: r.MaxWait + 1, least: quota.MaxRetryAfter}
	type placed struct {
		part     quota.PartID
		distance float64
	}
	var all []placed
	for i := range quota.Parts(r.Terms.Quota) {
		p := quota.PartID{Account: r.Account, Index: quota.Index(i)}
		all = append(all, placed{p, n.distance(n.QuotaHome(p)) + rand.Float64()})
	}
	slices.SortFunc(all, func(a, b placed) int { return cmp.Compare(a.distance, b.distance) })
	for _, p := range all {
		t.parts = append(t.parts, p.part)
	}
	return t
}

// QuotaHome returns the first candidate for a part, or a VM without a name if there is none.
func (n *Node) QuotaHome(p quota.PartID) roster.VM { return n.quotaCandidate(p, 0) }

// quotaCandidate returns a candidate for a part, or a VM without a name if there is none.
func (n *Node) quotaCandidate(p quota.PartID, rank int) roster.VM {
	if n.cfg.Standalone && rank == 0 {
		return n.cfg.Self
	}
	vms := partCandidates(n.View(), p)
	if rank >= len(vms) {
		return roster.VM{}
	}
	return vms[rank]
}

// distance orders VMs by the time that a call to them takes.
func (n *Node) distance(vm roster.VM) float64 {
	switch {
	case n.isSelf(vm):
		return 0
	case vm.DataCentre == n.cfg.Self.DataCentre:
		return 1
	default:
		return 2
	}
}

// run asks one part after the other until one grants a token.
func (t *tokenRound) run(ctx context.Context) quota.Verdict {
	n, now := t.node, time.Now()
	chosen := n.quotas.hints.Choose(now, t.parts, rand.Float64())
	if len(chosen) == 0 {
		return quota.Refused{RetryAfter: n.quotas.hints.RetryAfter(now, t.parts), Local: true, Detail: t.detail(now)}
	}
	for _, p := range chosen {
		if len(chosen) > 1 && !n.quotas.hints.Asks(time.Now(), p, rand.Float64()) {
			t.refused = true
			continue
		}
		if v := t.ask(ctx, p, 0, 0); v != nil {
			return v
		}
	}
	if t.wait <= t.request.MaxWait {
		if v := t.ask(ctx, t.shortest, 0, t.request.MaxWait); v != nil {
			return v
		}
	}
	return t.lastResort(ctx)
}

// lastResort asks the VMs that stand in for homes that do not answer, and this VM itself if
// it is cut off.
func (t *tokenRound) lastResort(ctx context.Context) quota.Verdict {
	for _, p := range slices.Clone(t.silent) {
		if v := t.ask(ctx, p, 1, 0); v != nil {
			return v
		}
	}
	n, now := t.node, time.Now()
	if n.isolated.Load() && !n.cfg.Standalone {
		if share, ok := n.quotaShare(now, n.quotas.present()); ok {
			a := quota.Ask{Part: quota.PartID{Account: t.request.Account}, Terms: t.request.Terms}
			if v := t.judge(n.cfg.Self, a.Part, n.quotas.buckets.Take(now, a, quota.Isolated{Share: share})); v != nil {
				return v
			}
		}
	}
	if !t.refused {
		return quota.Undecided{RetryAfter: undecidedRetryAfter}
	}
	return quota.Refused{RetryAfter: min(t.least, n.quotas.hints.RetryAfter(now, t.parts)), Detail: t.detail(now)}
}

// detail describes what this VM knew of the parts when it refused.
func (t *tokenRound) detail(now time.Time) fmt.Stringer { return refusalDetail{t.node, t.parts, now} }

// refusalDetail is what a VM knew of the parts of a quota. Its text is made only if it is logged.
type refusalDetail struct {
	node  *Node
	parts []quota.PartID
	at    time.Time
}

// String implements fmt.Stringer.
func (d refusalDetail) String() string {
	var out []string
	for _, p := range d.parts {
		out = append(out, fmt.Sprintf("%d at %s: %s", p.Index, d.node.QuotaHome(p).Name, d.node.quotas.hints.Describe(d.at, p)))
	}
	return strings.Join(out, "; ")
}

// ask asks a candidate for a token of a part. It returns nil if that did not grant one.
func (t *tokenRound) ask(ctx context.Context, p quota.PartID, rank int, wait time.Duration) quota.Verdict {
	if ctx.Err() != nil {
		return nil // The request's time is over, which says nothing about the other VMs.
	}
	n := t.node
	vm := n.quotaCandidate(p, rank)
	if vm.Name == "" || n.unresponsive.Has(time.Now(), vm.Name) {
		t.silent = append(t.silent, p)
		return nil
	}
	skipped, within := n.quotas.hints.TakeSkipped(time.Now(), p)
	a := quota.Ask{Part: p, Terms: t.request.Terms, Skipped: skipped, SkippedFor: within, MaxWait: wait, Again: t.again || (rank == 0 && wait > 0)}
	answer, err := n.takeFrom(ctx, vm, a)
	if err != nil {
		t.silent = append(t.silent, p)
		if ctx.Err() == nil {
			n.markUnresponsive(vm, err)
		}
		return nil
	}
	if rank == 0 {
		n.quotas.hints.Record(time.Now(), p, answer)
	}
	return t.judge(vm, p, answer)
}

// judge returns the verdict that an answer leads to, or nil if the search goes on.
func (t *tokenRound) judge(vm roster.VM, p quota.PartID, a quota.Answer) quota.Verdict {
	switch a := a.(type) {
	case quota.Granted:
		return quota.Allowed{Wait: a.Wait, Part: p.Index, Home: string(vm.Name)}
	case quota.Exhausted:
		t.refused = true
		t.least = min(t.least, max(minRetryAfter, a.RetryAfter))
		if a.RetryAfter < t.wait && a.Hint.Overall >= 1 {
			t.shortest, t.wait = p, a.RetryAfter
		}
	case quota.NotHome:
	}
	return nil
}

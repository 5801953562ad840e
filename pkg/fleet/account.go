package fleet

import (
	"context"
	"time"

	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/quota"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// quotaUsage returns the state of a part for which this VM is the home, or nil if the part has
// not been used lately.
func (n *Node) quotaUsage(now time.Time, p quota.PartID) *fleetapi.TokenUsage {
	u, ok := n.quotas.buckets.Usage(now, p)
	if !ok {
		return nil
	}
	return fleetapi.FromUsage(u)
}

// ShowQuota returns the parts of an account's quota with their homes and states. It takes no token.
func (n *Node) ShowQuota(ctx context.Context, a site.AccountName, q site.Quota) []*fleetapi.QuotaPart {
	var out []*fleetapi.QuotaPart
	for i := range quota.Parts(q) {
		out = append(out, n.showPart(ctx, quota.PartID{Account: a, Index: quota.Index(i)}))
	}
	return out
}

func (n *Node) showPart(ctx context.Context, p quota.PartID) *fleetapi.QuotaPart {
	now, vm := time.Now(), n.QuotaHome(p)
	out := &fleetapi.QuotaPart{Part: int32(p.Index), Home: string(vm.Name), Hint: n.quotas.hints.Describe(now, p)}
	if vm.Name == "" {
		out.Unknown = "this VM knows no VM that decides on quotas"
		return out
	}
	usage, err := n.peek(ctx, now, vm, p)
	if err != nil {
		out.Unknown = err.Error()
	}
	out.Usage = usage
	return out
}

// peek asks a VM, which may be this one, for the state of a part.
func (n *Node) peek(ctx context.Context, now time.Time, vm roster.VM, p quota.PartID) (*fleetapi.TokenUsage, error) {
	if n.isSelf(vm) {
		return n.quotaUsage(now, p), nil
	}
	ctx, cancel := context.WithTimeout(n.withToken(ctx), reportTimeout)
	defer cancel()
	req := fleetapi.FromAsk(quota.Ask{Part: p})
	req.Peek = true
	reply, err := n.client(vm.Address).TakeToken(ctx, req)
	return reply.GetUsage(), err
}

// Tolerance returns what all VMs may spend beyond a quota.
func (n *Node) Tolerance() quota.Tolerance { return n.cfg.Tolerance() }

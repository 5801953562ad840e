package home

import (
	"context"
	"time"

	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/site"
)

// updateBudget brings the VM's role in deciding on a pool's retries up to date, and tells
// how many have been granted to the VM that would take over the pool, or that has.
func (h *Home) updateBudget(now time.Time, p *ownedPool) {
	n := site.ServiceName(p.ID())
	role := h.cfg.BudgetRole(n)
	p.SetBudgetRole(now, role)
	due := now.Sub(p.budgetSentAt) >= shareInterval || p.NeedsLease(now)
	if p.sendingBudget || !due || now.Before(p.budgetRetryAt) {
		return
	}
	if role.Decides && now.Sub(p.lastRequested) > shareWindow {
		return // A VM that was home for a moment may have got no request, and must hand over all the same.
	}
	to := role.Successor
	if !role.Decides {
		to = h.cfg.Standby(n)
	}
	u, ok := p.BudgetUse(now)
	if to == "" || !ok {
		return
	}
	p.budgetSentAt, p.sendingBudget = now, true
	go h.sendBudgetUse(n, to, u)
}

// sendBudgetUse tells a VM of the use of the retry budget, and records its answer.
func (h *Home) sendBudgetUse(n site.ServiceName, to string, u pool.BudgetUse) {
	accepted, err := h.cfg.SendBudgetUse(n, to, u)
	h.loop.Post(func(now time.Time) {
		p, ok := h.pools[pool.ID(n)]
		if !ok {
			return
		}
		p.sendingBudget = false
		if err != nil {
			p.budgetRetryAt = now.Add(shareInterval) // The error is logged where the call is made.
			return
		}
		if !accepted {
			record.Log("home: another VM decides on the retries", "pool", n, "vm", to)
		}
		p.AcknowledgeBudgetUse(now, u, accepted)
	})
}

// ReceiveBudgetUse records what another VM tells of its use of a service's retry budget. It
// reports false if this VM is the home itself.
func (h *Home) ReceiveBudgetUse(ctx context.Context, n site.ServiceName, u pool.BudgetUse) (accepted bool) {
	h.loop.Do(ctx, func(now time.Time) { accepted = h.pool(now, pool.ID(n)).ReceiveBudgetUse(now, u) })
	return accepted
}

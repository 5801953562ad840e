package fleetapi

import (
	"math"

	"laburnumpick.org/pkg/pool"
)

// FromBudgetUse converts the use of a service's retry budget.
func FromBudgetUse(u pool.BudgetUse) *BudgetUse {
	m := &BudgetUse{Decides: u.Decides, Known: u.Known, Granted: int64(u.Granted), Reserve: int32(min(u.Reserve, math.MaxInt32))}
	for _, p := range u.Parts {
		m.Requests = append(m.Requests, uint32(p.Requests))
		m.Retries = append(m.Retries, uint32(p.Retries))
	}
	return m
}

// ToBudgetUse converts the use of a service's retry budget. Counts that are missing are zero.
func ToBudgetUse(m *BudgetUse) pool.BudgetUse {
	u := pool.BudgetUse{Decides: m.GetDecides(), Known: m.GetKnown(), Granted: int(m.GetGranted()), Reserve: max(0, int(m.GetReserve()))}
	u.Parts = make([]pool.BudgetPart, max(len(m.GetRequests()), len(m.GetRetries())))
	for i, n := range m.GetRequests() {
		u.Parts[i].Requests = int(n)
	}
	for i, n := range m.GetRetries() {
		u.Parts[i].Retries = int(n)
	}
	return u
}

package pool

import "time"

// StandbyState is what a home tells the VM that would take over its pool.
type StandbyState struct {
	FailureStreaks []FailureStreak
	Limits         []NamedLimit
	Leaving        []Notice // Servers that have said that they leave.
}

// IsEmpty reports whether there is nothing to tell.
func (s StandbyState) IsEmpty() bool {
	return len(s.FailureStreaks) == 0 && len(s.Limits) == 0 && len(s.Leaving) == 0
}

// StandbyState returns the failure streaks that have changed after a time, as
// FailureStreaks does, all limits in force, and all servers that have said that they leave.
func (p *Pool) StandbyState(now, after time.Time) StandbyState {
	return StandbyState{FailureStreaks: p.FailureStreaks(now, after), Limits: p.namedLimits(now), Leaving: p.announcedLeaving()}
}

// SetBudgetRole sets the VM's role in deciding on the pool's retries.
func (p *Pool) SetBudgetRole(now time.Time, r BudgetRole) { p.budget.setRole(now, r) }

// BudgetUse returns what to tell the successor of the home, or a new home, of the retry
// budget. It reports false if there is nothing to tell.
func (p *Pool) BudgetUse(now time.Time) (BudgetUse, bool) { return p.budget.use(now) }

// NeedsLease reports whether retries wait for the successor to be told of those before.
func (p *Pool) NeedsLease(now time.Time) bool { return p.budget.needsLease(now) }

// AcknowledgeBudgetUse records that another VM has been told a use of the budget, and
// whether it accepted it.
func (p *Pool) AcknowledgeBudgetUse(now time.Time, u BudgetUse, accepted bool) {
	p.budget.acknowledge(now, u, accepted)
}

// ReceiveBudgetUse records what another VM tells of its use of the retry budget. It reports
// false if this VM is the home itself.
func (p *Pool) ReceiveBudgetUse(now time.Time, u BudgetUse) bool { return p.budget.receive(now, u) }

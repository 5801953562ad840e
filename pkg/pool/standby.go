package pool

import "time"

// StandbyState is what a home tells the VM that would take over its pool.
type StandbyState struct {
	FailureStreaks []FailureStreak
	Limits         []NamedLimit
}

// IsEmpty reports whether there is nothing to tell.
func (s StandbyState) IsEmpty() bool { return len(s.FailureStreaks) == 0 && len(s.Limits) == 0 }

// StandbyState returns the failure streaks that have changed after a time, as
// FailureStreaks does, and all limits in force.
func (p *Pool) StandbyState(now, after time.Time) StandbyState {
	return StandbyState{FailureStreaks: p.FailureStreaks(now, after), Limits: p.namedLimits(now)}
}

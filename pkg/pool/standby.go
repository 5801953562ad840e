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

package pool

import (
	"time"

	"laburnumpick.org/pkg/site"
)

// FailureStreak is what a home knows about a server's failure streak. It is sent to
// the VM that would take over the pool. Times are relative, since the clocks of VMs
// differ.
type FailureStreak struct {
	Server   site.ServerName
	Failures int           // Back-offs in a row; zero if the streak has ended.
	BackOff  time.Duration // Time left until the back-off ends.
	Age      time.Duration // Time since the last failure, or since the streak ended.
}

// FailureStreaks returns the failure streaks that have begun, changed or ended after
// a time. For the zero time it returns all that have not ended.
func (p *Pool) FailureStreaks(now, after time.Time) []FailureStreak {
	var out []FailureStreak
	for _, v := range p.order {
		if !v.changedAt.After(after) || (after.IsZero() && v.streak == 0) {
			continue
		}
		out = append(out, v.failureStreak(now))
	}
	return out
}

// FailureStreakOf returns the failure streak of a server.
func (p *Pool) FailureStreakOf(now time.Time, n site.ServerName) FailureStreak {
	if v, ok := p.servers[n]; ok {
		return v.failureStreak(now)
	}
	return FailureStreak{Server: n}
}

// failureStreak returns the server's failure streak.
func (v *server) failureStreak(now time.Time) FailureStreak {
	s := FailureStreak{Server: v.cfg.Name, Failures: v.streak, BackOff: max(0, v.backOffUntil.Sub(now)), Age: now.Sub(v.changedAt)}
	if v.streak > 0 {
		s.Age = now.Sub(v.streakFailedAt)
	}
	return s
}

// MergeFailureStreaks applies the failure streaks from another home of the pool,
// except where this home has newer observations of its own.
func (p *Pool) MergeFailureStreaks(now time.Time, streaks []FailureStreak) {
	for _, s := range streaks {
		v, ok := p.servers[s.Server]
		if !ok {
			continue
		}
		observedAt := now.Add(-s.Age)
		if v.streakFailedAt.After(observedAt) || (s.Failures > 0 && v.servedAt.After(observedAt)) {
			continue
		}
		v.backOff = backOff{}
		if s.Failures > 0 {
			v.failedAt = observedAt
			v.backOff = backOff{backOffUntil: now.Add(s.BackOff), streakFailedAt: observedAt, streak: s.Failures, startGrant: v.lastGrant}
		}
	}
}

package pool

import (
	"time"

	"laburnumpick.org/pkg/site"
)

// FailureStreak is what a home knows of a server that fails, as it is told to the VM that
// would decide in its place. Times are what has passed or is left, since VMs'
// clocks differ.
type FailureStreak struct {
	Server   site.ServerName
	Failures int           // In a row; zero where the spell is over.
	BackOff  time.Duration // Until the server may be tried.
	Age      time.Duration // Since its last failure, or since the spell was over.
}

// FailureStreaks returns what has changed after a time about servers that fail, or, for
// the zero time, all servers that fail.
func (p *Pool) FailureStreaks(now, after time.Time) []FailureStreak {
	var out []FailureStreak
	for _, v := range p.order {
		if !v.changed.After(after) || (after.IsZero() && v.spell == 0) {
			continue
		}
		out = append(out, v.spellAt(now))
	}
	return out
}

// FailureStreakOf returns what is known of one server's failures.
func (p *Pool) FailureStreakOf(now time.Time, n site.ServerName) FailureStreak {
	if v, ok := p.servers[n]; ok {
		return v.spellAt(now)
	}
	return FailureStreak{Server: n}
}

func (v *server) spellAt(now time.Time) FailureStreak {
	s := FailureStreak{Server: v.cfg.Name, Failures: v.spell, BackOff: max(0, v.till.Sub(now)), Age: now.Sub(v.changed)}
	if v.spell > 0 {
		s.Age = now.Sub(v.broke)
	}
	return s
}

// MergeFailureStreaks takes in what another home of the pool knows, where this one has seen
// nothing newer itself.
func (p *Pool) MergeFailureStreaks(now time.Time, spells []FailureStreak) {
	for _, s := range spells {
		v, ok := p.servers[s.Server]
		if !ok {
			continue
		}
		seen := now.Add(-s.Age)
		if v.broke.After(seen) || (s.Failures > 0 && v.servedAt.After(seen)) {
			continue
		}
		v.rest = rest{}
		if s.Failures > 0 {
			v.rest = rest{till: now.Add(s.BackOff), broke: seen, spell: s.Failures, after: v.lastGrant}
		}
	}
}

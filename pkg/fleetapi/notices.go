package fleetapi

import (
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// FromNotices converts what servers have told a VM.
func FromNotices(notices []pool.Notice) []*ServerNotice {
	var out []*ServerNotice
	for _, n := range notices {
		out = append(out, &ServerNotice{
			Server: string(n.Server), StartedMs: n.StartedMs, Leaving: n.Leaving, PauseMs: ceilMilliseconds(n.Pause),
		})
	}
	return out
}

// ToNotices converts what servers have told a VM.
func ToNotices(ms []*ServerNotice) []pool.Notice {
	var out []pool.Notice
	for _, m := range ms {
		out = append(out, pool.Notice{
			Server: site.ServerName(m.GetServer()), StartedMs: m.GetStartedMs(), Leaving: m.GetLeaving(),
			Pause: max(0, fromMilliseconds(m.GetPauseMs())),
		})
	}
	return out
}

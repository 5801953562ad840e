package fleetapi

import (
	"time"

	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// maxPauseMs bounds the pause in a message, so that a malformed one cannot overflow.
const maxPauseMs = int64(24 * time.Hour / time.Millisecond)

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
		pause := min(max(0, m.GetPauseMs()), maxPauseMs)
		out = append(out, pool.Notice{
			Server: site.ServerName(m.GetServer()), StartedMs: m.GetStartedMs(), Leaving: m.GetLeaving(),
			Pause: time.Duration(pause) * time.Millisecond,
		})
	}
	return out
}

// ceilMilliseconds returns a duration in milliseconds, rounded up.
func ceilMilliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

package home

import (
	"time"

	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// Timing of the failure streaks that a home sends to its standby.
const (
	// shareInterval limits the traffic to the standby, and how much is lost when
	// the home fails.
	shareInterval = 500 * time.Millisecond
	// shareWindow is how long after its last request a pool's failure streaks
	// are still sent.
	shareWindow = 5 * time.Second
)

// shareFailureStreaks sends the pool's changed failure streaks to its standby,
// so that the standby need not rediscover failing servers by failed requests if
// it takes over. A new standby gets all streaks.
func (h *Home) shareFailureStreaks(now time.Time, p *ownedPool) {
	if now.Sub(p.lastRequested) > shareWindow || now.Sub(p.lastShared) < shareInterval {
		return
	}
	n := site.ServiceName(p.ID())
	after, to := p.lastShared, h.cfg.Standby(n)
	if to != p.standby {
		after = time.Time{}
	}
	p.lastShared, p.standby = now, to
	streaks := p.FailureStreaks(now, after)
	if to != "" && len(streaks) > 0 {
		go h.cfg.ShareFailureStreaks(n, to, streaks)
	}
}

// MergeFailureStreaks merges the failure streaks that another home of the pool
// has observed.
func (h *Home) MergeFailureStreaks(n site.ServiceName, streaks []pool.FailureStreak) {
	h.loop.Post(func(now time.Time) { h.pool(now, pool.ID(n)).MergeFailureStreaks(now, streaks) })
}

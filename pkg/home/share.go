package home

import (
	"time"

	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// Timing of what a home sends to its standby.
const (
	// shareInterval limits the traffic to the standby, and how much is lost when
	// the home fails.
	shareInterval = 500 * time.Millisecond
	// shareWindow is how long after its last request a pool's state is still sent.
	shareWindow = 5 * time.Second
)

// shareWithStandby sends the pool's changed failure streaks, its limits and its leaving
// servers to its standby, so that the standby need not rediscover failing servers by failed
// requests, nor limits by requests beyond them, if it takes over. A new standby gets all streaks.
func (h *Home) shareWithStandby(now time.Time, p *ownedPool) {
	if now.Sub(p.lastRequested) > shareWindow || (!p.shareDue && now.Sub(p.lastShared) < shareInterval) {
		return
	}
	p.shareDue = false
	n := site.ServiceName(p.ID())
	after, to := p.lastShared, h.cfg.Standby(n)
	if to != p.standby {
		after = time.Time{}
	}
	p.lastShared, p.standby = now, to
	state := p.StandbyState(now, after)
	if to != "" && !state.IsEmpty() {
		go h.cfg.Share(n, to, state)
	}
}

// MergeStandbyState merges what another home of the pool has observed.
func (h *Home) MergeStandbyState(n site.ServiceName, s pool.StandbyState) {
	h.loop.Post(func(now time.Time) {
		p := h.pool(now, pool.ID(n))
		p.MergeFailureStreaks(now, s.FailureStreaks)
		h.mergeLimits(now, p, s.Limits)
		h.mergeNotices(now, p, "", s.Leaving)
	})
}

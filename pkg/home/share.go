package home

import (
	"time"

	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// Times of telling the VM that stands in for a home what it knows.
const (
	// shareGap bounds what is lost with a home, and what is sent.
	shareGap = 500 * time.Millisecond
	// shareFor is how long after its last request a pool's home tells more.
	shareFor = 5 * time.Second
)

// share tells the VM that would decide in place of this one which servers fail, so
// that it does not have to learn it from requests that fail. A VM that has just
// taken that place is told all.
func (h *Home) share(now time.Time, p *held) {
	if now.Sub(p.asked) > shareFor || now.Sub(p.told) < shareGap {
		return
	}
	n := site.ServiceName(p.ID())
	after, to := p.told, h.cfg.Standby(n)
	if to != p.standIn {
		after = time.Time{}
	}
	p.told, p.standIn = now, to
	spells := p.Spells(now, after)
	if to != "" && len(spells) > 0 {
		go h.cfg.ShareFailureStreaks(n, to, spells)
	}
}

// MergeFailureStreaks takes in what another home of a service's pool knows.
func (h *Home) MergeFailureStreaks(n site.ServiceName, spells []pool.Spell) {
	h.loop.Post(func(now time.Time) { h.pool(now, pool.ID(n)).Learn(now, spells) })
}

package home

import (
	"context"
	"time"

	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/site"
)

// ReportNotices processes what servers have told a VM. It returns when this home created the
// service's pool, in Unix microseconds, or 0 if the context ended first.
func (h *Home) ReportNotices(ctx context.Context, n site.ServiceName, vm string, notices []pool.Notice) int64 {
	since := int64(0)
	h.loop.Do(ctx, func(now time.Time) {
		p := h.pool(now, pool.ID(n))
		h.mergeNotices(now, p, vm, notices)
		since = p.LimitVersion().Since
	})
	return since
}

// mergeNotices applies what servers have told a VM. The standby is told with the next tick
// which servers leave.
func (h *Home) mergeNotices(now time.Time, p *ownedPool, vm string, notices []pool.Notice) {
	if len(notices) == 0 {
		return
	}
	events := p.MergeNotices(now, vm, notices)
	h.reportEvents(now, p.ID(), events)
	if len(events) > 0 {
		p.shareDue = true
	}
	for _, n := range notices {
		if n.Pause > 0 {
			h.cfg.Scope.Counter("pauses").Inc(1)
			record.Log("home: server wants no requests from a VM", "pool", p.ID(), "server", n.Server, "vm", vm,
				"pause", n.Pause.Round(time.Millisecond))
		}
	}
}

package home

import (
	"time"

	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/site"
)

// LimitReport tells a home what the response to one of its grants says about the
// server's limit on requests.
type LimitReport struct {
	Service site.ServiceName
	Grant   pool.GrantID
	Named   pool.NamedLimit
}

// ReportLimit processes a report on a server's limit.
func (h *Home) ReportLimit(r LimitReport) {
	h.loop.Post(func(now time.Time) {
		p, ok := h.pools[pool.ID(r.Service)]
		if !ok {
			return
		}
		h.updateLimitShare(now, p)
		if c, changed := p.RecordLimit(now, r.Grant, r.Named); changed {
			h.reportLimitChanges(now, p, c)
			h.dispatchQueue(now, p)
		}
	})
}

// mergeLimits applies the limits that other VMs know.
func (h *Home) mergeLimits(now time.Time, p *ownedPool, limits []pool.NamedLimit) {
	if len(limits) == 0 {
		return
	}
	h.updateLimitShare(now, p)
	h.reportLimitChanges(now, p, p.MergeLimits(now, limits)...)
}

// updateLimitShare sets the part of the servers' limits that this home may use.
func (h *Home) updateLimitShare(now time.Time, p *ownedPool) {
	p.SetLimitShare(now, h.cfg.LimitShare(site.ServiceName(p.ID())))
}

// reportLimitChanges writes changes of servers' limits to the journal, the log and the
// metrics.
func (h *Home) reportLimitChanges(now time.Time, p *ownedPool, changes ...pool.LimitChange) {
	for _, c := range changes {
		h.cfg.Scope.Counter("limitChanges").Inc(1)
		h.cfg.Journal.Add(now, "server "+string(c.Server), "limit on requests per second "+c.Before.String()+" to "+c.After.String()+", as named to VM "+c.NamedTo)
		record.Log("home: limit of a server changes", "pool", p.ID(), "server", c.Server, "limit", c.After, "before", c.Before,
			"namedTo", c.NamedTo, "age", c.Age.Round(time.Millisecond))
	}
}

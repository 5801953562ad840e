package home

import (
	"context"
	"time"

	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// Explanation is what the home would decide on a request for a slot, and why.
type Explanation struct {
	pool.Explanation
	Version catalog.Version // Of the configuration that the decision is based on.
}

// Explain returns what Acquire would decide on a new request now. It changes nothing. It
// does not know whether the request is quarantined, which depends on its content. It reports
// false if the context ended first.
func (h *Home) Explain(ctx context.Context, req *SlotRequest) (Explanation, bool) {
	var out Explanation
	ok := h.loop.Do(ctx, func(now time.Time) {
		st := h.cfg.Replica.State()
		p := h.poolToExplain(now, st, pool.ID(req.Service))
		out = Explanation{p.Explain(now, req.poolRequest(now, false)), st.Version}
	})
	return out, ok
}

// poolToExplain returns a pool as it is, or as it would be created for its first request. The
// home does not keep a pool that only an explanation needs.
func (h *Home) poolToExplain(now time.Time, st *catalog.State, id pool.ID) *pool.Pool {
	if p, ok := h.pools[id]; ok {
		return p.Pool
	}
	svc := st.Directory.Service(site.ServiceName(id))
	p := pool.New(now, id, h.settings(svc))
	p.Configure(now, h.settings(svc), Members(svc, h.cfg.Registry.State()))
	return p
}

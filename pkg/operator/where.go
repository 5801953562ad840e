package operator

import (
	"context"
	"sync"
	"time"

	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// Where tells where a request would go now, and why. It matches the request by this VM's
// configuration and asks the homes of the services' pools what they would decide. Nothing is
// sent to servers, and nothing changes.
func (c *Console) Where(ctx context.Context, req *fleetapi.WhereRequest) (*fleetapi.WhereAnswer, error) {
	if _, err := authorize(ctx, Read); err != nil {
		return nil, err
	}
	st := c.cfg.Replica.State()
	resp := &fleetapi.WhereAnswer{
		Vm: c.cfg.VM, CatalogVersion: int64(st.Version), DataCentre: string(c.dataCentre(req)),
		Account: accountView(st.Directory, site.AccountName(req.GetAccount())),
	}
	account := st.Directory.Account(site.AccountName(req.GetAccount()))
	parts := st.Directory.MatchAll(req.GetHost(), req.GetMethod(), req.GetPath())
	for i := range parts {
		parts[i].Match = parts[i].Match.ForAccount(account)
	}
	switch {
	case st.Version == 0:
		resp.Refusal = fleetapi.FromRefusal(pool.Refused{Kind: outcome.CatalogNotReady, Detail: "this VM has no configuration yet"})
	case len(parts) == 0:
		resp.Refusal = fleetapi.FromRefusal(pool.Refused{Kind: outcome.NoSuchService, Detail: "no route matches the path and host"})
	case st.Directory.RequireKeys() && !parts[0].Match.Anonymous && account == nil:
		resp.Refusal = fleetapi.FromRefusal(pool.Refused{Kind: outcome.Unauthorized, Detail: "the site requires the key of a client account, and none is given"})
	default:
		setMatch(resp, parts[0].Match)
		resp.Parts = c.explainParts(ctx, req, parts)
	}
	return resp, nil
}

// accountView returns what the configuration holds about an account.
func accountView(d *site.Directory, n site.AccountName) *fleetapi.AccountView {
	v := &fleetapi.AccountView{Name: string(n)}
	if a := d.Account(n); a != nil {
		v.Known = true
		v.QuotaRate, v.QuotaBurst = float64(a.Quota.Rate), int32(a.Quota.Burst)
	}
	return v
}

// setMatch sets the fields that all services of a route have in common.
func setMatch(resp *fleetapi.WhereAnswer, m site.Match) {
	resp.Rule, resp.Priority, resp.Attempts = string(m.Rule), int32(m.Priority), int32(m.Attempts)
	resp.Repeatable = m.Class == site.Repeatable
	resp.TimeoutMs, resp.TargetMs = m.Timeout.Milliseconds(), m.Target.Milliseconds()
}

// explainParts asks the homes of all services at the same time.
func (c *Console) explainParts(ctx context.Context, req *fleetapi.WhereRequest, parts []site.Part) []*fleetapi.WherePart {
	out := make([]*fleetapi.WherePart, len(parts))
	var wg sync.WaitGroup
	for i, p := range parts {
		wg.Go(func() { out[i] = c.explainPart(ctx, req, p) })
	}
	wg.Wait()
	return out
}

func (c *Console) explainPart(ctx context.Context, req *fleetapi.WhereRequest, p site.Part) *fleetapi.WherePart {
	e := c.cfg.Node.Explain(ctx, c.slotRequest(time.Now(), req, p.Match))
	out := &fleetapi.WherePart{
		Service: string(p.Match.Service), Share: p.Share, Home: string(e.Home), PassedHomes: e.Passed, Problem: e.Problem,
	}
	if e.Problem == "" {
		out.Decision = fleetapi.FromExplanation(e.Explanation)
	}
	return out
}

// slotRequest returns the request for a slot that the VM where the request arrives would
// send. In another data centre that is some other VM, whose pauses are not known.
func (c *Console) slotRequest(now time.Time, req *fleetapi.WhereRequest, m site.Match) *home.SlotRequest {
	r := c.cfg.Dispatcher.FirstSlotRequest(now, m, site.AccountName(req.GetAccount()))
	if dc := c.dataCentre(req); dc != r.DataCentre {
		r.DataCentre, r.VM, r.Exclude = dc, "", nil
	}
	return r
}

// dataCentre returns where the request arrives.
func (c *Console) dataCentre(req *fleetapi.WhereRequest) site.DataCentre {
	if req.GetDataCentre() == "" {
		return c.cfg.DataCentre
	}
	return site.DataCentre(req.GetDataCentre())
}

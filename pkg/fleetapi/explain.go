package fleetapi

import (
	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// FromExplanation converts what a home would decide on a request for a slot.
func FromExplanation(e home.Explanation) *ExplainAnswer {
	m := &ExplainAnswer{
		Decision: fromDecision(e.Decision), Queued: int32(e.Queued), Ahead: int32(e.Ahead), WaitMs: e.Wait.Milliseconds(),
		CatalogVersion: int64(e.Version),
	}
	for _, c := range e.Candidates {
		m.Candidates = append(m.Candidates, &Candidate{
			Name: string(c.Server.Name), Address: c.Server.Address, DataCentre: string(c.Server.DataCentre), State: string(c.State),
			InUse: int32(c.InUse), Slots: int32(c.OpenSlots), Chosen: c.Chosen, Obstacle: string(c.Obstacle),
		})
	}
	return m
}

// ToExplanation converts what a home would decide on a request for a slot. It returns false
// if the message has no decision.
func ToExplanation(m *ExplainAnswer) (home.Explanation, bool) {
	d, ok := toDecision(m.GetDecision())
	e := home.Explanation{Version: catalog.Version(m.GetCatalogVersion()), Explanation: pool.Explanation{
		Decision: d, Queued: int(m.GetQueued()), Ahead: int(m.GetAhead()), Wait: fromMilliseconds(m.GetWaitMs()),
	}}
	for _, c := range m.GetCandidates() {
		e.Candidates = append(e.Candidates, pool.Candidate{
			Server: site.Server{Name: site.ServerName(c.GetName()), Address: c.GetAddress(), DataCentre: site.DataCentre(c.GetDataCentre())},
			State:  pool.State(c.GetState()), InUse: int(c.GetInUse()), OpenSlots: int(c.GetSlots()),
			Chosen: c.GetChosen(), Obstacle: pool.Obstacle(c.GetObstacle()),
		})
	}
	return e, ok
}

// FromRefusal converts a refusal.
func FromRefusal(r pool.Refused) *Refusal { return fromDecision(r).GetRefusal() }

package pool

import (
	"maps"
	"slices"
	"time"

	"laburnumpick.org/pkg/site"
)

// clone returns a copy of the pool that shares no state with it, so that a decision can be
// tried out. TestCloneSharesNothing finds a field that is missing here.
func (p *Pool) clone() *Pool {
	c := *p
	copies := make(map[*server]*server, len(p.servers))
	copyOf := func(v *server) *server {
		if _, ok := copies[v]; !ok {
			copies[v] = v.clone()
		}
		return copies[v]
	}
	c.servers = make(map[site.ServerName]*server, len(p.servers))
	for n, v := range p.servers {
		c.servers[n] = copyOf(v)
	}
	c.order = make([]*server, len(p.order))
	for i, v := range p.order {
		c.order[i] = copyOf(v)
	}
	c.grants = make(map[GrantID]*outstanding, len(p.grants))
	for id, o := range p.grants {
		grant := *o
		grant.server = copyOf(o.server) // It may have left the pool.
		c.grants[id] = &grant
	}
	c.pauses = p.pauses.clone(copyOf)
	c.queue = p.queue.clone()
	c.budget = p.budget.clone()
	c.latencies = maps.Clone(p.latencies)
	c.slowResponses = slices.Clone(p.slowResponses)
	c.costAwareness = p.costAwareness.clone()
	return &c
}

func (v *server) clone() *server {
	c := *v
	c.rings = make(map[site.RuleName]*ring, len(v.rings))
	for n, r := range v.rings {
		latencies := *r
		c.rings[n] = &latencies
	}
	return &c
}

func (s *pauses) clone(copyOf func(*server) *server) pauses {
	c := pauses{byVM: make(map[string]map[*server]time.Time, len(s.byVM)), count: s.count}
	for vm, servers := range s.byVM {
		c.byVM[vm] = make(map[*server]time.Time, len(servers))
		for v, until := range servers {
			c.byVM[vm][copyOf(v)] = until
		}
	}
	return c
}

func (q *queue) clone() queue {
	c := newQueue()
	c.next, c.turns = q.next, q.turns
	copies := make(map[*waiter]*waiter, len(q.waiters))
	for _, w := range q.waiters {
		copied := *w
		copies[w] = &copied
		c.waiters = append(c.waiters, &copied)
		c.count(w.request, 1)
	}
	for _, w := range q.front.waiters {
		c.front.waiters = append(c.front.waiters, copies[w])
	}
	c.front.arrived = q.front.arrived
	c.lastTurn = maps.Clone(q.lastTurn)
	for _, w := range q.evicted {
		copied := *w
		c.evicted = append(c.evicted, &copied)
	}
	return c
}

func (b *budget) clone() budget {
	c := *b
	c.requests = slices.Clone(b.requests)
	if b.told != nil {
		told := *b.told
		told.use.Parts = slices.Clone(told.use.Parts)
		c.told = &told
	}
	return c
}

func (a costAwareness) clone() costAwareness {
	a.ends = slices.Clone(a.ends)
	if a.ledger != nil {
		a.ledger = a.ledger.Clone()
	}
	return a
}

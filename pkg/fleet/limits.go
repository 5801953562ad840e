package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"laburnumpick.org/pkg/dispatch"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// Parts of a server's limit that VMs use at the same time without hearing of each other.
// Their sum over all candidates and all other VMs is at most a half more than the limit.
const (
	// standbyLimitShare is the part that the second candidate for the home uses while
	// the first one is a member; each further candidate uses half of the one before.
	standbyLimitShare = 0.25
	// othersLimitShare is the part that all VMs that are no candidates use together.
	othersLimitShare = 1.0 / 16
)

// LimitShare returns the part of the servers' limits that this VM may use as the home of
// a service's pool. The first candidate uses the part of the fleet that it sees: VMs
// that have fallen silent may live on the other side of a cut and use theirs there. A
// VM that hears of no other uses its own part of the fleet.
func (n *Node) LimitShare(svc site.ServiceName) float64 {
	if n.cfg.Standalone {
		return 1
	}
	v := n.View()
	all := float64(max(1, len(v.VMs())+v.Lost()))
	if n.isolated.Load() {
		return 1 / all
	}
	seen := float64(len(v.VMs())) / all
	share := seen
	for rank, vm := range n.rankedHomes(svc) {
		if n.isSelf(vm) {
			return share
		}
		share = seen * standbyLimitShare / float64(int(1)<<rank)
	}
	return othersLimitShare / all
}

// limitMemory is how long a limit is remembered after a response or a home has confirmed
// it.
const limitMemory = 30 * time.Second

// knownLimit is the limit of a server as this VM knows it.
type knownLimit struct {
	named   pool.NamedLimit // Its age is not used.
	invalid string          // What was wrong with the limit in the latest response to this VM.
	namedAt time.Time
}

// serviceLimits are the limits of a service's servers that this VM knows, and what the
// service's home knows of them.
type serviceLimits struct {
	servers     map[site.ServerName]knownLimit
	confirmedAt time.Time // When the home last replied.
	home        roster.VMName
	version     pool.LimitVersion // Of the limits that this home sent last.
	told        []pool.NamedLimit // That this home has been told last.
}

// knownLimits holds the limits that servers have named to this VM or, as their homes
// say, to others. It is safe for concurrent use.
type knownLimits struct {
	self roster.VMName

	mu       sync.Mutex
	services map[site.ServiceName]*serviceLimits
}

func newKnownLimits(self roster.VMName) *knownLimits {
	return &knownLimits{self: self, services: make(map[site.ServiceName]*serviceLimits)}
}

// service returns the limits of a service, creating them if necessary.
func (k *knownLimits) service(n site.ServiceName) *serviceLimits {
	s, ok := k.services[n]
	if !ok {
		s = &serviceLimits{servers: make(map[site.ServerName]knownLimit)}
		k.services[n] = s
	}
	return s
}

// observe records what a response of a server to this VM says. It returns what was known
// of the server before and is known now. An invalid limit leaves the one before in force.
func (k *knownLimits) observe(now time.Time, n site.ServiceName, srv site.Server, o dispatch.ObservedLimit) (before, after knownLimit) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(n)
	before = s.servers[srv.Name]
	if before.named.StartedMs != srv.StartedMs || s.isForgotten(now, before) {
		before = knownLimit{}
	}
	after = knownLimit{
		named:   pool.NamedLimit{Server: srv.Name, StartedMs: srv.StartedMs, Limit: o.Limit, VM: string(k.self)},
		namedAt: now,
	}
	if o.Err != nil {
		after.invalid = o.Err.Error()
		if !o.Limit.Named {
			after.named.Limit = before.named.Limit
		}
	}
	if after.named.Limit.Named || after.invalid != "" {
		s.servers[srv.Name] = after
	} else {
		delete(s.servers, srv.Name)
	}
	return before, after
}

// isForgotten reports whether a limit has not been confirmed for so long that it no
// longer counts.
func (s *serviceLimits) isForgotten(now time.Time, l knownLimit) bool {
	return now.Sub(l.namedAt) > limitMemory && now.Sub(s.confirmedAt) > limitMemory
}

// current returns the limits in force, and removes those that are forgotten.
func (s *serviceLimits) current(now time.Time) []pool.NamedLimit {
	var out []pool.NamedLimit
	for n, l := range s.servers {
		if s.isForgotten(now, l) {
			delete(s.servers, n)
			continue
		}
		if l.named.Limit.Named {
			named := l.named
			named.Age = now.Sub(l.namedAt)
			out = append(out, named)
		}
	}
	slices.SortFunc(out, func(a, b pool.NamedLimit) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// forRequest returns a request to a VM as the home of a service's pool, with the limits
// that this VM knows, unless the home has been told them before.
func (k *knownLimits) forRequest(now time.Time, vm roster.VMName, req *home.SlotRequest) *home.SlotRequest {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(req.Service)
	if s.home != vm {
		s.home, s.version, s.told = vm, pool.LimitVersion{}, nil
	}
	out := *req
	out.LimitVersion, out.Limits = s.version, s.current(now)
	if slices.EqualFunc(s.told, out.Limits, haveSameLimit) {
		out.Limits = nil
	}
	return &out
}

func haveSameLimit(a, b pool.NamedLimit) bool {
	return a.Server == b.Server && a.StartedMs == b.StartedMs && a.Limit == b.Limit
}

// handleReply applies the reply of a home to a request that was sent at a time. Limits
// that the home does not hold have ended, unless it has not been told them or this VM has
// heard of them since.
func (k *knownLimits) handleReply(now, sentAt time.Time, vm roster.VMName, req *home.SlotRequest, reply pool.LimitList) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(req.Service)
	if s.home != vm {
		return // Another home has been asked in the meantime.
	}
	s.confirmedAt = now
	sameHome := reply.Version.Since == s.version.Since
	switch {
	case req.Limits != nil:
		s.told = req.Limits
	case !sameHome:
		s.told = nil // The home has restarted.
	}
	if reply.Version == req.LimitVersion || (sameHome && reply.Version.Changes < s.version.Changes) {
		return
	}
	s.version = reply.Version
	if sameHome || req.Limits != nil {
		s.forgetBefore(sentAt)
	}
	s.merge(now, reply.Limits)
}

// forgetBefore removes the limits that were named before a time.
func (s *serviceLimits) forgetBefore(t time.Time) {
	for n, l := range s.servers {
		if l.namedAt.Before(t) {
			delete(s.servers, n)
		}
	}
}

// merge adds limits that a home holds, except where this VM knows newer ones.
func (s *serviceLimits) merge(now time.Time, limits []pool.NamedLimit) {
	for _, named := range limits {
		at := now.Add(-named.Age)
		if l, known := s.servers[named.Server]; !known || l.namedAt.Before(at) {
			s.servers[named.Server] = knownLimit{named: named, namedAt: at}
		}
	}
}

// ObserveLimit implements dispatch.Slot. A report that is lost needs no retry: the next
// response of the server leads to another one.
func (s *slot) ObserveLimit(n site.ServiceName, o dispatch.ObservedLimit) {
	srv := s.grant.Server
	before, after := s.node.limits.observe(time.Now(), n, srv, o)
	if after.invalid != before.invalid && after.invalid != "" {
		s.node.cfg.Scope.Counter("invalidLimits").Inc(1)
		record.Log("fleet: server names an invalid limit", "service", n, "server", srv.Name,
			"reason", after.invalid, "limit", after.named.Limit)
	}
	if after.named.Limit != before.named.Limit {
		record.Log("fleet: server names a limit", "service", n, "server", srv.Name,
			"limit", after.named.Limit, "before", before.named.Limit)
	}
	if o.Limit == s.grant.Limit || (o.Err != nil && !o.Limit.Named) {
		return
	}
	s.reportLimit(home.LimitReport{Service: n, Grant: s.grant.ID, Named: after.named})
}

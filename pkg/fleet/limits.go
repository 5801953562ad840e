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
		if vm.Name == n.cfg.Self.Name {
			return share
		}
		share = seen * standbyLimitShare / float64(int(1)<<rank)
	}
	return othersLimitShare / all
}

// Times of the limits that a VM knows.
const (
	// limitMemory is how long a limit is remembered after a response or a home has
	// confirmed it.
	limitMemory = 30 * time.Second
	// limitsInterval is the time after which a home is told limits again that it has been
	// told before, in case it has restarted.
	limitsInterval = 250 * time.Millisecond
)

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
	toldAt      time.Time         // When this home was last told the limits below.
	told        []pool.NamedLimit
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
// that this VM knows and the home has not been told lately.
func (k *knownLimits) forRequest(now time.Time, vm roster.VMName, req *home.SlotRequest) *home.SlotRequest {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(req.Service)
	if s.home != vm {
		s.home, s.version, s.told, s.toldAt = vm, 0, nil, time.Time{}
	}
	out := *req
	out.LimitVersion, out.Limits = s.version, s.current(now)
	if now.Sub(s.toldAt) < limitsInterval && slices.EqualFunc(s.told, out.Limits, haveSameLimit) {
		out.Limits = nil
	}
	return &out
}

func haveSameLimit(a, b pool.NamedLimit) bool {
	return a.Server == b.Server && a.StartedMs == b.StartedMs && a.Limit == b.Limit
}

// handleReply records that a home has got a request that was sent at a time, and applies
// the limits of its reply. Those that the home does not hold have ended, unless this VM
// has heard of them since.
func (k *knownLimits) handleReply(now, sentAt time.Time, vm roster.VMName, req *home.SlotRequest, reply pool.LimitList) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(req.Service)
	if s.home != vm {
		return // Another home has been asked in the meantime.
	}
	s.confirmedAt = now
	if req.Limits != nil {
		s.told, s.toldAt = req.Limits, sentAt
	}
	if reply.Version == req.LimitVersion {
		return
	}
	s.version = reply.Version
	for n, l := range s.servers {
		if l.namedAt.Before(sentAt) {
			delete(s.servers, n)
		}
	}
	for _, named := range reply.Limits {
		if _, newer := s.servers[named.Server]; !newer {
			s.servers[named.Server] = knownLimit{named: named, namedAt: now.Add(-named.Age)}
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

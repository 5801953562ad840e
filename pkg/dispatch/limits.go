package dispatch

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/site"
)

// limitMemory is how long this VM remembers a limit that a server named in a response
// to it. It bounds the table, and how long an ended limit may come up again.
const limitMemory = 30 * time.Second

// serverID identifies a server of the site.
type serverID struct {
	service site.ServiceName
	server  site.ServerName
}

// observedLimit is the limit that a server named in its latest response to this VM.
type observedLimit struct {
	limit     site.RequestLimit
	invalid   string // What was wrong with the limit in the latest response; empty if nothing was.
	startedMs int64  // Start time of the server, so that a restarted one is told apart.
	namedAt   time.Time
}

// observedLimits holds the limits that backend servers named in responses to this VM.
// It is safe for concurrent use.
type observedLimits struct {
	mu      sync.Mutex
	servers map[serverID]observedLimit
}

func newObservedLimits() *observedLimits {
	return &observedLimits{servers: make(map[serverID]observedLimit)}
}

// observe records what a response says. It returns the observation before and the one
// now. An invalid limit leaves the one before in force.
func (o *observedLimits) observe(now time.Time, id serverID, startedMs int64, l site.RequestLimit, err error) (before, after observedLimit) {
	o.mu.Lock()
	defer o.mu.Unlock()
	before = o.servers[id]
	if before.startedMs != startedMs || now.Sub(before.namedAt) > limitMemory {
		before = observedLimit{}
	}
	after = observedLimit{limit: l, startedMs: startedMs, namedAt: now}
	if err != nil {
		after.invalid = err.Error()
		if !l.Named {
			after.limit = before.limit
		}
	}
	if !after.limit.Named && after.invalid == "" {
		delete(o.servers, id)
		return before, after
	}
	if _, known := o.servers[id]; !known {
		o.forgetOld(now)
	}
	o.servers[id] = after
	return before, after
}

// of returns the limits of a service's servers, as vm got them.
func (o *observedLimits) of(now time.Time, n site.ServiceName, vm string) []pool.NamedLimit {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []pool.NamedLimit
	for id, l := range o.servers {
		if id.service != n || !l.limit.Named || now.Sub(l.namedAt) > limitMemory {
			continue
		}
		out = append(out, pool.NamedLimit{Server: id.server, StartedMs: l.startedMs, Limit: l.limit, Age: now.Sub(l.namedAt), VM: vm})
	}
	slices.SortFunc(out, func(a, b pool.NamedLimit) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// forgetOld removes the limits that are older than limitMemory.
func (o *observedLimits) forgetOld(now time.Time) {
	for id, l := range o.servers {
		if now.Sub(l.namedAt) > limitMemory {
			delete(o.servers, id)
		}
	}
}

// observeLimit records the limit that the head of a response names, and logs it if it
// has changed. A server that refuses a request meant for another one says nothing about
// that one.
func (d *Dispatcher) observeLimit(j *Job, t *attempt, status int, h http.Header) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	s := t.grant.Server
	l, err := d.cfg.Contract.Limit(h)
	before, after := d.limits.observe(time.Now(), serverID{j.Match.Service, s.Name}, s.StartedMs, l, err)
	if after.invalid != before.invalid && after.invalid != "" {
		d.cfg.Scope.Counter("invalidLimits").Inc(1)
		record.Log("dispatch: server names an invalid limit", "id", j.Request.ID, "service", j.Match.Service, "server", s.Name,
			"reason", after.invalid, "limit", after.limit)
	}
	if after.limit != before.limit {
		d.cfg.Scope.Counter("limitChanges").Inc(1)
		record.Log("dispatch: server names a limit", "id", j.Request.ID, "service", j.Match.Service, "server", s.Name,
			"limit", after.limit, "before", before.limit, "status", status)
	}
	if l != t.grant.Limit && (err == nil || l.Named) {
		t.slot.ReportLimit(home.LimitReport{Service: j.Match.Service, Grant: t.grant.ID, Named: pool.NamedLimit{
			Server: s.Name, StartedMs: s.StartedMs, Limit: l, VM: d.cfg.Holder.VM,
		}})
	}
}

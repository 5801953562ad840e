package site

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// RouteName names a route of a site.
type RouteName string

// Share is one of the services that a route's requests are spread over.
type Share struct {
	Service ServiceName `json:"service" yaml:"service"`
	Weight  int         `json:"weight" yaml:"weight"` // Its part, relative to the other shares.
}

// Route sends the requests of one host and path prefix to services. A host
// with routes is served by them alone; the other hosts belong to services and
// their rules.
type Route struct {
	Name       RouteName `json:"name" yaml:"name"`
	Host       string    `json:"host" yaml:"host"`
	PathPrefix string    `json:"pathPrefix" yaml:"pathPrefix"` // Begins and ends with a slash.
	Shares     []Share   `json:"shares" yaml:"shares"`
	Run        Class     `json:"run" yaml:"run"`
	TimeoutMs  int64     `json:"timeoutMs" yaml:"timeoutMs"` // Longest wait for the final answer.
	TargetMs   int64     `json:"targetMs" yaml:"targetMs"`   // Wait up to which an answer is in time.
	Attempts   int       `json:"attempts" yaml:"attempts"`   // Servers that one request may be sent to.
	Priority   int       `json:"priority" yaml:"priority"`   // 0 is the most urgent.
}

// Bounds of a route's fields.
const (
	MaxAttempts = 10
	MaxPriority = 100
	maxWeight   = 1_000_000
	maxShares   = 100
)

// ID implements Object.
func (r *Route) ID() ObjectID { return ObjectID{KindRoute, string(r.Name)} }

func (r *Route) object() {}

// Validate implements Object.
func (r *Route) Validate() []ValidationError {
	c := collector{id: r.ID()}
	c.name("name", string(r.Name))
	c.host("host", r.Host)
	c.check(strings.HasPrefix(r.PathPrefix, "/") && strings.HasSuffix(r.PathPrefix, "/"), "pathPrefix",
		`must begin and end with "/"`)
	c.check(r.Run == Repeatable || r.Run == AtMostOnce, "run",
		fmt.Sprintf("must be %s or %s", Repeatable, AtMostOnce))
	c.check(r.TimeoutMs >= MinDeadlineMs && r.TimeoutMs <= MaxDeadlineMs, "timeoutMs",
		fmt.Sprintf("must lie between %d and %d", MinDeadlineMs, MaxDeadlineMs))
	c.check(r.TargetMs >= 0 && r.TargetMs <= MaxDeadlineMs, "targetMs",
		fmt.Sprintf("must lie between 0 and %d", MaxDeadlineMs))
	c.check(r.Attempts >= 1 && r.Attempts <= MaxAttempts, "attempts",
		fmt.Sprintf("must lie between 1 and %d", MaxAttempts))
	c.check(r.Priority >= 0 && r.Priority <= MaxPriority, "priority",
		fmt.Sprintf("must lie between 0 and %d", MaxPriority))
	c.shares(r.Shares)
	return c.faults
}

func (c *collector) shares(all []Share) {
	c.check(len(all) >= 1 && len(all) <= maxShares, "shares", fmt.Sprintf("must name 1 to %d services", maxShares))
	total := 0
	for i, s := range all {
		at := fmt.Sprintf("shares[%d].", i)
		c.name(at+"service", string(s.Service))
		c.check(s.Weight >= 0 && s.Weight <= maxWeight, at+"weight", fmt.Sprintf("must lie between 0 and %d", maxWeight))
		total += s.Weight
	}
	c.check(total > 0, "shares", "must have a weight above 0 in all")
}

// Pick returns the service of a point between 0 and 1 on the line of weights.
func (r *Route) Pick(point float64) ServiceName {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := point * float64(total)
	for _, s := range r.Shares {
		if left -= float64(s.Weight); left < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Match is how a request is to be served.
type Match struct {
	Rule        RuleName // The rule or route; latencies are kept apart by it.
	Service     ServiceName
	Run         Class
	Timeout     time.Duration
	Target      time.Duration // Zero where there is none.
	Attempts    int
	Priority    int
	KeyHeader   string
	KeyRequired bool
}

// serviceAttempts is how many servers a request of a service's rule may be
// sent to.
const serviceAttempts = 4

// Match finds how a request is to be served. point, between 0 and 1, chooses
// among the services of a weighted route. It reports false where nothing
// serves the host and path.
func (d *Directory) Match(host, method, path string, point float64) (Match, bool) {
	host = bareHost(host)
	if routes, ok := d.routes.get(host); ok {
		return matchRoute(routes, path, point)
	}
	svc, rule := d.MatchRule(host, method, path)
	if svc == nil {
		return Match{}, false
	}
	return Match{
		Rule: rule.Name, Service: svc.Name, Run: rule.Run, Timeout: svc.Deadline(), Attempts: serviceAttempts,
		KeyHeader: rule.KeyHeader, KeyRequired: rule.KeyRequired,
	}, true
}

// bareHost takes a port off and puts a host into small letters.
func bareHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// hostRoutes are the routes of one host by their prefixes. It is immutable once
// its directory is.
type hostRoutes map[string]*Route

// match returns the route with the longest prefix of a path, or nil.
func (h hostRoutes) match(path string) *Route {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := h[path[:end+1]]; ok {
			return r
		}
	}
	return nil
}

// matchRoute returns how a path is served by a host's routes.
func matchRoute(routes hostRoutes, path string, point float64) (Match, bool) {
	r := routes.match(path)
	if r == nil {
		return Match{}, false
	}
	return Match{
		Rule: RuleName(r.Name), Service: r.Pick(point), Run: r.Run,
		Timeout:  time.Duration(r.TimeoutMs) * time.Millisecond,
		Target:   time.Duration(r.TargetMs) * time.Millisecond,
		Attempts: r.Attempts, Priority: r.Priority,
	}, true
}

// putRoute adds or replaces a route.
func (d *Directory) putRoute(r *Route) {
	if old, ok := d.routeNames.get(string(r.Name)); ok {
		d.dropRoute(old)
	}
	same, _ := d.routes.get(r.Host)
	next := maps.Clone(same)
	if next == nil {
		next = make(hostRoutes)
	}
	next[r.PathPrefix] = r
	d.routes = d.routes.with(r.Host, next)
	d.routeNames = d.routeNames.with(string(r.Name), r)
}

func (d *Directory) dropRoute(r *Route) {
	same, _ := d.routes.get(r.Host)
	next := maps.Clone(same)
	delete(next, r.PathPrefix)
	if len(next) == 0 {
		d.routes = d.routes.without(r.Host)
	} else {
		d.routes = d.routes.with(r.Host, next)
	}
	d.routeNames = d.routeNames.without(string(r.Name))
}

// Build returns the directory of objects, which stand in an order in which they
// could be put one by one. It takes time in proportion to their number. The
// error holds every fault of the first object that has one.
func Build(objects []Object) (*Directory, error) {
	d := NewDirectory()
	for _, o := range objects {
		r, ok := o.(*Route)
		if !ok {
			next, err := d.Put(o)
			if err != nil {
				return nil, err
			}
			d = next
			continue
		}
		faults := r.Validate()
		if len(faults) == 0 {
			faults = d.conflicts(r)
		}
		if _, twice := d.routeNames.get(string(r.Name)); twice {
			faults = append(faults, ValidationError{r.ID(), "name", "stands twice"})
		}
		if len(faults) > 0 {
			return nil, joinFaults(faults)
		}
		d.insertRoute(r)
	}
	return d, nil
}

// insertRoute adds a route to a directory that nobody else has yet.
func (d *Directory) insertRoute(r *Route) {
	same, ok := d.routes.get(r.Host)
	if !ok {
		same = make(hostRoutes)
		d.routes.insert(r.Host, same)
	}
	same[r.PathPrefix] = r
	d.routeNames.insert(string(r.Name), r)
}

// routeConflicts returns what is wrong with a route beside the other objects.
func (d *Directory) routeConflicts(c *collector, r *Route) {
	for i, s := range r.Shares {
		c.check(d.Service(s.Service) != nil, fmt.Sprintf("shares[%d].service", i), fmt.Sprintf("there is no service %q", s.Service))
	}
	owner, taken := d.hosts.get(r.Host)
	c.check(!taken, "host", fmt.Sprintf("%q belongs to service %q", r.Host, owner))
	same, _ := d.routes.get(r.Host)
	if o, taken := same[r.PathPrefix]; taken {
		c.check(o.Name == r.Name, "pathPrefix", fmt.Sprintf("is that of route %q", o.Name))
	}
}

// Routes returns all routes in order of names.
func (d *Directory) Routes() []*Route {
	all := make([]*Route, 0, d.routeNames.size())
	d.routeNames.each(func(r *Route) { all = append(all, r) })
	slices.SortFunc(all, func(a, b *Route) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

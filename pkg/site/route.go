package site

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// RouteName is the name of a route, unique in a site.
type RouteName string

// Share assigns a weight to one of the services among which a route splits its
// requests.
type Share struct {
	Service ServiceName `json:"service" yaml:"service"`
	Weight  int         `json:"weight" yaml:"weight"` // Relative to the other shares of the route.
}

// Route sends the requests of one host and path prefix to services. Requests to a
// host that has routes are matched to its routes only. Any other host belongs to
// one service, and requests to it are matched to that service's rules.
type Route struct {
	Name       RouteName `json:"name" yaml:"name"`
	Host       string    `json:"host" yaml:"host"`
	PathPrefix string    `json:"pathPrefix" yaml:"pathPrefix"` // Starts and ends with a slash.
	Shares     []Share   `json:"shares" yaml:"shares"`
	Class      Class     `json:"run" yaml:"run"`
	TimeoutMs  int64     `json:"timeoutMs" yaml:"timeoutMs"` // Timeout of the request, including all attempts.
	TargetMs   int64     `json:"targetMs" yaml:"targetMs"`   // A response after this time counts as late; zero for no target.
	Attempts   int       `json:"attempts" yaml:"attempts"`   // Most servers that one request is sent to.
	Priority   int       `json:"priority" yaml:"priority"`   // 0 is the most urgent.
	// Anonymous exempts the route's requests from Site.RequireKeys.
	Anonymous bool `json:"anonymous,omitempty" yaml:"anonymous,omitempty"`
}

// Limits of a route's fields.
const (
	MaxAttempts = 10
	MaxPriority = 100
	MaxWeight   = 1_000_000
	maxShares   = 4096
)

// ID implements Object.
func (r *Route) ID() ObjectID { return ObjectID{KindRoute, string(r.Name)} }

func (r *Route) object() {}

// Validate implements Object.
func (r *Route) Validate() []ValidationError {
	c := validator{id: r.ID()}
	c.name("name", string(r.Name))
	c.host("host", r.Host)
	c.check(strings.HasPrefix(r.PathPrefix, "/") && strings.HasSuffix(r.PathPrefix, "/"), "pathPrefix",
		`must start and end with "/"`)
	c.check(r.Class == Repeatable || r.Class == AtMostOnce, "run",
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
	return c.errs
}

func (c *validator) shares(all []Share) {
	c.check(len(all) >= 1 && len(all) <= maxShares, "shares", fmt.Sprintf("must list 1 to %d services", maxShares))
	total := 0
	for i, s := range all {
		prefix := fmt.Sprintf("shares[%d].", i)
		c.name(prefix+"service", string(s.Service))
		c.check(s.Weight >= 0 && s.Weight <= MaxWeight, prefix+"weight", fmt.Sprintf("must lie between 0 and %d", MaxWeight))
		total += s.Weight
	}
	c.check(total > 0, "shares", "must have a total weight above 0")
}

// Pick chooses a service in proportion to the weights. point is a random number
// from 0 up to, but not including, 1.
func (r *Route) Pick(point float64) ServiceName {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Shares {
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Match holds the service and the limits that apply to a request.
type Match struct {
	Rule        RuleName // The rule or route. Latencies are recorded separately for each.
	Service     ServiceName
	Class       Class
	Timeout     time.Duration
	Target      time.Duration // A response after this time counts as late; zero for no target.
	Attempts    int           // Most servers that the request is sent to.
	Priority    int           // 0 is the most urgent.
	KeyHeader   string        // Header of the idempotency key; empty if keys are not used.
	KeyRequired bool          // Requests without a key are refused.
	Anonymous   bool          // The request needs no key of a client account.
}

// ForAccount returns the match for a request of a client account, whose priority goes before
// that of the route. The account may be nil.
func (m Match) ForAccount(a *Account) Match {
	if a != nil && a.Priority != nil {
		m.Priority = *a.Priority
	}
	return m
}

// maxRuleAttempts is the most servers that a request is sent to if it matches a
// rule. Routes set their own number.
const maxRuleAttempts = 4

// Match returns the service and the limits for a request. point is a random number
// from 0 up to, but not including, 1 that chooses among the services of a weighted
// route. It returns false if no route or service matches the host and path.
func (d *Directory) Match(host, method, path string, point float64) (Match, bool) {
	host = normalizeHost(host)
	if routes, ok := d.routesByHost.get(host); ok {
		return matchRoute(routes, path, point)
	}
	svc, rule := d.MatchRule(host, method, path)
	if svc == nil {
		return Match{}, false
	}
	return Match{
		Rule: rule.Name, Service: svc.Name, Class: rule.Class, Timeout: svc.Timeout(), Attempts: maxRuleAttempts,
		KeyHeader: rule.KeyHeader, KeyRequired: rule.KeyRequired,
	}, true
}

// normalizeHost removes the port and converts the host to lowercase.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// hostRoutes maps path prefixes to the routes of one host. Once the directory that
// holds it is in use, it must not be modified.
type hostRoutes map[string]*Route

// match returns the route with the longest prefix of the path, or nil.
func (h hostRoutes) match(path string) *Route {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := h[path[:end+1]]; ok {
			return r
		}
	}
	return nil
}

// matchRoute matches a path to the routes of a host.
func matchRoute(routes hostRoutes, path string, point float64) (Match, bool) {
	r := routes.match(path)
	if r == nil {
		return Match{}, false
	}
	return Match{
		Rule: RuleName(r.Name), Service: r.Pick(point), Class: r.Class,
		Timeout:  time.Duration(r.TimeoutMs) * time.Millisecond,
		Target:   time.Duration(r.TargetMs) * time.Millisecond,
		Attempts: r.Attempts, Priority: r.Priority, Anonymous: r.Anonymous,
	}, true
}

// putRoute adds or replaces a route. It copies the routes of the host, since other
// versions of the directory share them.
func (d *Directory) putRoute(r *Route) {
	if old, ok := d.routesByName.get(string(r.Name)); ok {
		d.removeRoute(old)
	}
	routes, _ := d.routesByHost.get(r.Host)
	next := maps.Clone(routes)
	if next == nil {
		next = make(hostRoutes)
	}
	next[r.PathPrefix] = r
	d.routesByHost = d.routesByHost.with(r.Host, next)
	d.routesByName = d.routesByName.with(string(r.Name), r)
}

func (d *Directory) removeRoute(r *Route) {
	routes, _ := d.routesByHost.get(r.Host)
	next := maps.Clone(routes)
	delete(next, r.PathPrefix)
	if len(next) == 0 {
		d.routesByHost = d.routesByHost.without(r.Host)
	} else {
		d.routesByHost = d.routesByHost.with(r.Host, next)
	}
	d.routesByName = d.routesByName.without(string(r.Name))
}

// Build returns a directory of the objects. They must be in an order in which they
// could be put one by one, as Objects returns them. Routes and accounts are inserted
// without copying others, so that the time grows linearly with their number. The error
// lists what is wrong with the first invalid object.
func Build(objects []Object) (*Directory, error) {
	d, rejected := BuildValid(objects)
	if len(rejected) > 0 {
		return nil, rejected[0].Err
	}
	return d, nil
}

// Rejection says why an object is not part of a directory.
type Rejection struct {
	Object ObjectID
	Err    error
}

// BuildValid returns a directory of those objects that are valid, in the order that Build
// asks for, and the others with what is wrong with them.
func BuildValid(objects []Object) (*Directory, []Rejection) {
	d := NewDirectory()
	var rejected []Rejection
	for _, o := range objects {
		next, err := d.add(o)
		if err != nil {
			rejected = append(rejected, Rejection{o.ID(), err})
			continue
		}
		d = next
	}
	return d, rejected
}

// add adds an object to a directory that nothing else uses yet. Routes and accounts are
// inserted in place.
func (d *Directory) add(o Object) (*Directory, error) {
	switch o.(type) {
	case *Route, *Account:
		return d, d.insert(o)
	default:
		return d.Put(o)
	}
}

// insert adds a route or an account in place. It may only be called while no other
// goroutine or version of the directory uses its routes and accounts.
func (d *Directory) insert(o Object) error {
	errs := o.Validate()
	if len(errs) == 0 {
		errs = d.conflicts(o)
	}
	if d.contains(o) {
		errs = append(errs, ValidationError{o.ID(), "name", "is defined more than once"})
	}
	if len(errs) > 0 {
		return joinErrors(errs)
	}
	switch o := o.(type) {
	case *Route:
		d.insertRoute(o)
	case *Account:
		d.insertAccount(o)
	}
	return nil
}

// contains reports whether there is a route or an account of the object's name.
func (d *Directory) contains(o Object) bool {
	switch o := o.(type) {
	case *Route:
		_, found := d.routesByName.get(string(o.Name))
		return found
	case *Account:
		return d.Account(o.Name) != nil
	default:
		return false
	}
}

// insertRoute adds a route in place. See insert.
func (d *Directory) insertRoute(r *Route) {
	routes, ok := d.routesByHost.get(r.Host)
	if !ok {
		routes = make(hostRoutes)
		d.routesByHost.insert(r.Host, routes)
	}
	routes[r.PathPrefix] = r
	d.routesByName.insert(string(r.Name), r)
}

// routeConflicts validates a route against the other objects of the directory.
func (d *Directory) routeConflicts(c *validator, r *Route) {
	for i, s := range r.Shares {
		c.check(d.Service(s.Service) != nil, fmt.Sprintf("shares[%d].service", i), fmt.Sprintf("service %q does not exist", s.Service))
	}
	owner, taken := d.hosts.get(r.Host)
	c.check(!taken, "host", fmt.Sprintf("%q already belongs to service %q", r.Host, owner))
	routes, _ := d.routesByHost.get(r.Host)
	if o, taken := routes[r.PathPrefix]; taken {
		c.check(o.Name == r.Name, "pathPrefix", fmt.Sprintf("is already used by route %q", o.Name))
	}
}

// Routes returns all routes sorted by name.
func (d *Directory) Routes() []*Route {
	all := make([]*Route, 0, d.routesByName.size())
	d.routesByName.each(func(r *Route) { all = append(all, r) })
	slices.SortFunc(all, func(a, b *Route) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

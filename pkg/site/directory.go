package site

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Directory is one site's whole configuration at a version. It is immutable:
// a change gives a new directory that shares what did not change.
type Directory struct {
	site     *Site
	services *shards[*entry]
	hosts    *shards[ServiceName]
	owners   *shards[ServiceName] // The service of each rule.
	accounts *shards[*Account]

	routes     *shards[hostRoutes] // By host.
	routeNames *shards[*Route]
}

// entry is a service with its rules.
type entry struct {
	service *Service
	routes  *routeTable
}

// NewDirectory returns the empty configuration.
func NewDirectory() *Directory {
	return &Directory{
		services: newShards[*entry](),
		hosts:    newShards[ServiceName](),
		owners:   newShards[ServiceName](),
		accounts: newShards[*Account](),

		routes:     newShards[hostRoutes](),
		routeNames: newShards[*Route](),
	}
}

// Site returns the site, or nil before it is created.
func (d *Directory) Site() *Site { return d.site }

// EjectionThreshold returns the site's sureness, or the default before there is a site.
func (d *Directory) EjectionThreshold() EjectionThreshold {
	if d.site == nil {
		return DefaultEjectionThreshold
	}
	return d.site.EjectionThreshold
}

// Service returns a service by name, or nil.
func (d *Directory) Service(n ServiceName) *Service {
	if e, ok := d.services.get(string(n)); ok {
		return e.service
	}
	return nil
}

// Services returns all services in order of names.
func (d *Directory) Services() []*Service {
	all := make([]*Service, 0, d.services.size())
	d.services.each(func(e *entry) { all = append(all, e.service) })
	slices.SortFunc(all, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Rules returns a service's rules in order of names.
func (d *Directory) Rules(n ServiceName) []*Rule {
	e, ok := d.services.get(string(n))
	if !ok {
		return nil
	}
	all := make([]*Rule, 0, len(e.routes.rules))
	for _, r := range slices.Sorted(maps.Keys(e.routes.rules)) {
		all = append(all, e.routes.rules[r])
	}
	return all
}

// Account returns the limits of an account, or nil where it has none.
func (d *Directory) Account(n AccountName) *Account {
	a, _ := d.accounts.get(string(n))
	return a
}

// Accounts returns how many accounts have limits of their own.
func (d *Directory) Accounts() int { return d.accounts.size() }

// MatchRule finds the service and the rule for a request. The host may carry a
// port. The service is nil where no service has the host.
func (d *Directory) MatchRule(host, method, path string) (*Service, *Rule) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	n, ok := d.hosts.get(host)
	if !ok {
		n, ok = d.hosts.get(strings.ToLower(host))
	}
	if !ok {
		return nil, nil
	}
	e, _ := d.services.get(string(n))
	return e.service, e.routes.match(method, path)
}

// Objects returns all objects in an order in which they can be put again.
func (d *Directory) Objects() []Object {
	var all []Object
	if d.site != nil {
		all = append(all, d.site)
	}
	for _, s := range d.Services() {
		all = append(all, s)
	}
	for _, s := range d.Services() {
		for _, r := range d.Rules(s.Name) {
			all = append(all, r)
		}
	}
	for _, r := range d.Routes() {
		all = append(all, r)
	}
	d.accounts.each(func(a *Account) { all = append(all, a) })
	return all
}

// Put returns the directory with the object added or replaced. The error
// holds every fault, joined.
func (d *Directory) Put(o Object) (*Directory, error) {
	faults := o.Validate()
	if len(faults) == 0 {
		faults = d.conflicts(o)
	}
	if len(faults) > 0 {
		return nil, joinFaults(faults)
	}
	n := *d
	switch o := o.(type) {
	case *Site:
		n.site = o
	case *Service:
		n.putService(o)
	case *Rule:
		n.putRule(o)
	case *Route:
		n.putRoute(o)
	case *Account:
		n.accounts = d.accounts.with(string(o.Name), o)
	}
	return &n, nil
}

func (d *Directory) putService(s *Service) {
	routes := newRouteTable(map[RuleName]*Rule{})
	if old, ok := d.services.get(string(s.Name)); ok {
		routes = old.routes
		d.dropHosts(old.service)
	}
	d.services = d.services.with(string(s.Name), &entry{s, routes})
	for _, h := range s.Hosts {
		d.hosts = d.hosts.with(h, s.Name)
	}
}

func (d *Directory) dropHosts(s *Service) {
	for _, h := range s.Hosts {
		d.hosts = d.hosts.without(h)
	}
}

func (d *Directory) putRule(r *Rule) {
	e, _ := d.services.get(string(r.Service))
	d.services = d.services.with(string(r.Service), &entry{e.service, e.routes.with(r)})
	d.owners = d.owners.with(string(r.Name), r.Service)
}

// Delete returns the directory without the object.
func (d *Directory) Delete(id ObjectID) (*Directory, error) {
	n := *d
	switch id.Kind {
	case KindService:
		e, ok := d.services.get(id.Name)
		if !ok {
			return nil, missing(id)
		}
		if left := len(e.routes.rules); left > 0 {
			return nil, ValidationError{id, "rules", fmt.Sprintf("%d rules still name it; delete them first", left)}
		}
		for _, r := range d.Routes() {
			if slices.ContainsFunc(r.Shares, func(s Share) bool { return string(s.Service) == id.Name }) {
				return nil, ValidationError{id, "routes", fmt.Sprintf("route %q still names it; delete it first", r.Name)}
			}
		}
		n.services = d.services.without(id.Name)
		n.dropHosts(e.service)
	case KindRule:
		owner, ok := d.owners.get(id.Name)
		if !ok {
			return nil, missing(id)
		}
		e, _ := d.services.get(string(owner))
		n.services = d.services.with(string(owner), &entry{e.service, e.routes.without(RuleName(id.Name))})
		n.owners = d.owners.without(id.Name)
	case KindRoute:
		r, ok := d.routeNames.get(id.Name)
		if !ok {
			return nil, missing(id)
		}
		n.dropRoute(r)
	case KindAccount:
		if d.Account(AccountName(id.Name)) == nil {
			return nil, missing(id)
		}
		n.accounts = d.accounts.without(id.Name)
	default:
		return nil, ValidationError{id, "kind", "cannot be deleted; only services, rules, routes and accounts can"}
	}
	return &n, nil
}

// conflicts returns what is wrong with the object beside the others.
func (d *Directory) conflicts(o Object) []ValidationError {
	c := collector{id: o.ID()}
	switch o := o.(type) {
	case *Site:
		c.check(d.site == nil || d.site.Name == o.Name, "name", "this table holds another site")
	case *Service:
		c.check(d.site != nil && d.site.Name == o.Site, "site", fmt.Sprintf("there is no site %q", o.Site))
		for _, h := range o.Hosts {
			owner, taken := d.hosts.get(h)
			c.check(!taken || owner == o.Name, "hosts", fmt.Sprintf("%q belongs to service %q", h, owner))
			_, routed := d.routes.get(h)
			c.check(!routed, "hosts", fmt.Sprintf("%q belongs to routes", h))
		}
	case *Rule:
		d.ruleConflicts(&c, o)
	case *Route:
		d.routeConflicts(&c, o)
	case *Account:
	}
	return c.faults
}

func (d *Directory) ruleConflicts(c *collector, r *Rule) {
	e, ok := d.services.get(string(r.Service))
	c.check(ok, "service", fmt.Sprintf("there is no service %q", r.Service))
	if !ok {
		return
	}
	owner, known := d.owners.get(string(r.Name))
	c.check(!known || owner == r.Service, "name", fmt.Sprintf("belongs to a rule of service %q", owner))
	for _, other := range e.routes.byPrefix[r.PathPrefix] {
		c.check(other.Name == r.Name || !other.overlaps(r), "pathPrefix",
			fmt.Sprintf("contradicts rule %q, which covers the same requests", other.Name))
	}
}

func missing(id ObjectID) error { return ValidationError{id, "name", "does not exist"} }

// ValidationErrors is a list of faults as one error.
type ValidationErrors []ValidationError

func joinFaults(fs []ValidationError) error { return ValidationErrors(fs) }

// Error returns a line for each fault.
func (fs ValidationErrors) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

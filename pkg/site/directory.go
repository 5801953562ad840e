package site

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Directory holds the whole configuration of a site at one version, indexed for
// lookups. It is immutable: a change returns a new directory that shares the
// unchanged parts.
type Directory struct {
	site       *Site
	services   *shardedMap[*serviceEntry]
	hosts      *shardedMap[ServiceName] // By host name: the service that it belongs to.
	ruleOwners *shardedMap[ServiceName] // By name of the rule: the service that it belongs to.
	accounts   *shardedMap[*Account]

	accountsByKey *shardedMap[*Account] // By the digest of each key.

	routesByHost *shardedMap[hostRoutes]
	routesByName *shardedMap[*Route]
}

// serviceEntry is a service with its rules.
type serviceEntry struct {
	service *Service
	rules   *ruleTable
}

// NewDirectory returns an empty configuration.
func NewDirectory() *Directory {
	return &Directory{
		services:   newShardedMap[*serviceEntry](),
		hosts:      newShardedMap[ServiceName](),
		ruleOwners: newShardedMap[ServiceName](),
		accounts:   newShardedMap[*Account](),

		accountsByKey: newShardedMap[*Account](),

		routesByHost: newShardedMap[hostRoutes](),
		routesByName: newShardedMap[*Route](),
	}
}

// Site returns the site, or nil if it has not been created.
func (d *Directory) Site() *Site { return d.site }

// EjectionThreshold returns the site's ejection threshold, or the default if the
// site has not been created.
func (d *Directory) EjectionThreshold() EjectionThreshold {
	if d.site == nil {
		return DefaultEjectionThreshold
	}
	return d.site.EjectionThreshold
}

// Service returns the service with the name, or nil.
func (d *Directory) Service(n ServiceName) *Service {
	if e, ok := d.services.get(string(n)); ok {
		return e.service
	}
	return nil
}

// Services returns all services sorted by name.
func (d *Directory) Services() []*Service {
	all := make([]*Service, 0, d.services.size())
	d.services.each(func(e *serviceEntry) { all = append(all, e.service) })
	slices.SortFunc(all, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Rules returns the rules of a service sorted by name.
func (d *Directory) Rules(n ServiceName) []*Rule {
	e, ok := d.services.get(string(n))
	if !ok {
		return nil
	}
	all := make([]*Rule, 0, len(e.rules.byName))
	for _, r := range slices.Sorted(maps.Keys(e.rules.byName)) {
		all = append(all, e.rules.byName[r])
	}
	return all
}

// MatchRule returns the service and the rule for a request. The host may include
// a port. The rule is Unmatched if none of the service's rules applies. Both are
// nil if no service has the host.
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
	return e.service, e.rules.match(method, path)
}

// Object returns the object with the id, or nil.
func (d *Directory) Object(id ObjectID) Object {
	switch id.Kind {
	case KindSite:
		if d.site != nil && string(d.site.Name) == id.Name {
			return d.site
		}
	case KindService:
		if s := d.Service(ServiceName(id.Name)); s != nil {
			return s
		}
	case KindRule:
		if r := d.rule(id.Name); r != nil {
			return r
		}
	case KindRoute:
		if r, ok := d.routesByName.get(id.Name); ok {
			return r
		}
	case KindAccount:
		if a := d.Account(AccountName(id.Name)); a != nil {
			return a
		}
	}
	return nil
}

// rule returns the rule with the name, or nil.
func (d *Directory) rule(name string) *Rule {
	owner, ok := d.ruleOwners.get(name)
	if !ok {
		return nil
	}
	e, _ := d.services.get(string(owner))
	return e.rules.byName[RuleName(name)]
}

// Objects returns all objects, each after those that it refers to, so that they
// can be put one by one into an empty directory.
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

// Put returns a copy of the directory with the object added or replaced. The
// error lists all invalid fields or, if all are valid, all conflicts with other
// objects.
func (d *Directory) Put(o Object) (*Directory, error) {
	errs := o.Validate()
	if len(errs) == 0 {
		errs = d.conflicts(o)
	}
	if len(errs) > 0 {
		return nil, joinErrors(errs)
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
		n.putAccount(o)
	}
	return &n, nil
}

func (d *Directory) putService(s *Service) {
	rules := newRuleTable(map[RuleName]*Rule{})
	if old, ok := d.services.get(string(s.Name)); ok {
		rules = old.rules
		d.removeHosts(old.service)
	}
	d.services = d.services.with(string(s.Name), &serviceEntry{s, rules})
	for _, h := range s.Hosts {
		d.hosts = d.hosts.with(h, s.Name)
	}
}

func (d *Directory) removeHosts(s *Service) {
	for _, h := range s.Hosts {
		d.hosts = d.hosts.without(h)
	}
}

func (d *Directory) putRule(r *Rule) {
	e, _ := d.services.get(string(r.Service))
	d.services = d.services.with(string(r.Service), &serviceEntry{e.service, e.rules.with(r)})
	d.ruleOwners = d.ruleOwners.with(string(r.Name), r.Service)
}

// Delete returns a copy of the directory without the object. It fails if other
// objects refer to the object.
func (d *Directory) Delete(id ObjectID) (*Directory, error) {
	n := *d
	switch id.Kind {
	case KindService:
		e, ok := d.services.get(id.Name)
		if !ok {
			return nil, notFound(id)
		}
		if count := len(e.rules.byName); count > 0 {
			return nil, ValidationError{id, "rules", fmt.Sprintf("%d rules still refer to it; delete them first", count)}
		}
		for _, r := range d.Routes() {
			if slices.ContainsFunc(r.Shares, func(s Share) bool { return string(s.Service) == id.Name }) {
				return nil, ValidationError{id, "routes", fmt.Sprintf("route %q still refers to it; delete the route first", r.Name)}
			}
		}
		n.services = d.services.without(id.Name)
		n.removeHosts(e.service)
	case KindRule:
		owner, ok := d.ruleOwners.get(id.Name)
		if !ok {
			return nil, notFound(id)
		}
		e, _ := d.services.get(string(owner))
		n.services = d.services.with(string(owner), &serviceEntry{e.service, e.rules.without(RuleName(id.Name))})
		n.ruleOwners = d.ruleOwners.without(id.Name)
	case KindRoute:
		r, ok := d.routesByName.get(id.Name)
		if !ok {
			return nil, notFound(id)
		}
		n.removeRoute(r)
	case KindAccount:
		a := d.Account(AccountName(id.Name))
		if a == nil {
			return nil, notFound(id)
		}
		n.removeAccount(a)
	default:
		return nil, ValidationError{id, "kind", "cannot be deleted; only services, rules, routes and accounts can"}
	}
	return &n, nil
}

// conflicts validates an object against the other objects of the directory.
func (d *Directory) conflicts(o Object) []ValidationError {
	c := validator{id: o.ID()}
	switch o := o.(type) {
	case *Site:
		c.check(d.site == nil || d.site.Name == o.Name, "name", "the table holds the configuration of another site")
	case *Service:
		c.check(d.site != nil && d.site.Name == o.Site, "site", fmt.Sprintf("site %q does not exist", o.Site))
		for _, h := range o.Hosts {
			owner, taken := d.hosts.get(h)
			c.check(!taken || owner == o.Name, "hosts", fmt.Sprintf("%q already belongs to service %q", h, owner))
			_, routed := d.routesByHost.get(h)
			c.check(!routed, "hosts", fmt.Sprintf("%q is already used by routes", h))
		}
	case *Rule:
		d.ruleConflicts(&c, o)
	case *Route:
		d.routeConflicts(&c, o)
	case *Account:
		d.accountConflicts(&c, o)
	}
	return c.errs
}

func (d *Directory) ruleConflicts(c *validator, r *Rule) {
	e, ok := d.services.get(string(r.Service))
	c.check(ok, "service", fmt.Sprintf("service %q does not exist", r.Service))
	if !ok {
		return
	}
	owner, known := d.ruleOwners.get(string(r.Name))
	c.check(!known || owner == r.Service, "name", fmt.Sprintf("is already used by a rule of service %q", owner))
	for _, other := range e.rules.byPrefix[r.PathPrefix] {
		c.check(other.Name == r.Name || !other.overlaps(r), "pathPrefix",
			fmt.Sprintf("conflicts with rule %q, which matches the same requests", other.Name))
	}
}

func notFound(id ObjectID) error { return ValidationError{id, "name", "does not exist"} }

// ValidationErrors is a list of validation errors as one error.
type ValidationErrors []ValidationError

func joinErrors(errs []ValidationError) error { return ValidationErrors(errs) }

// Error returns one line for each validation error.
func (errs ValidationErrors) Error() string {
	lines := make([]string, len(errs))
	for i, err := range errs {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

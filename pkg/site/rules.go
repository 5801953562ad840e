package site

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Class says how often a request may run.
type Class string

// Classes of requests.
const (
	// Repeatable requests are idempotent: a retry does no harm.
	Repeatable Class = "repeatable"
	// AtMostOnce requests must never run twice.
	AtMostOnce Class = "atMostOnce"
)

// Rule says how the requests of one service that match it may run.
type Rule struct {
	Name        RuleName    `json:"name" yaml:"name"`
	Service     ServiceName `json:"service" yaml:"service"`
	Methods     []string    `json:"methods" yaml:"methods"`       // Empty for all.
	PathPrefix  string      `json:"pathPrefix" yaml:"pathPrefix"` // Whole segments.
	Run         Class       `json:"run" yaml:"run"`
	KeyHeader   string      `json:"keyHeader,omitempty" yaml:"keyHeader,omitempty"`
	KeyRequired bool        `json:"keyRequired,omitempty" yaml:"keyRequired,omitempty"`
}

// Unmatched is the rule for requests that no rule matches. It takes the usual
// header, so that a caller who sends a key is protected by it.
var Unmatched = &Rule{Name: "unmatched", Run: AtMostOnce, KeyHeader: "Idempotency-Key"}

// ID implements Object.
func (r *Rule) ID() ObjectID { return ObjectID{KindRule, string(r.Name)} }

func (r *Rule) object() {}

// Validate implements Object.
func (r *Rule) Validate() []ValidationError {
	c := collector{id: r.ID()}
	c.name("name", string(r.Name))
	c.name("service", string(r.Service))
	c.check(r.Name != Unmatched.Name, "name", fmt.Sprintf("%q is reserved", r.Name))
	for _, m := range r.Methods {
		c.check(m != "" && m == strings.ToUpper(m) && !strings.ContainsAny(m, " /"), "methods",
			fmt.Sprintf("%q must be a method in capitals", m))
	}
	c.check(strings.HasPrefix(r.PathPrefix, "/"), "pathPrefix", `must start with "/"`)
	c.check(r.PathPrefix == "/" || !strings.HasSuffix(r.PathPrefix, "/"), "pathPrefix", `must not end with "/"`)
	c.check(r.Run == Repeatable || r.Run == AtMostOnce, "run",
		fmt.Sprintf("must be %s or %s", Repeatable, AtMostOnce))
	c.check(r.Run == AtMostOnce || r.KeyHeader == "", "keyHeader", "is only for requests that run at most once")
	c.check(!r.KeyRequired || r.KeyHeader != "", "keyRequired", "needs a keyHeader")
	c.check(r.KeyHeader == http.CanonicalHeaderKey(r.KeyHeader), "keyHeader",
		fmt.Sprintf("must be written as %q", http.CanonicalHeaderKey(r.KeyHeader)))
	return c.faults
}

// takes reports whether the rule covers the method.
func (r *Rule) takes(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// overlaps reports whether one request could match both rules equally well.
func (r *Rule) overlaps(o *Rule) bool {
	if r.PathPrefix != o.PathPrefix || len(r.Methods) == 0 != (len(o.Methods) == 0) {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	return slices.ContainsFunc(r.Methods, o.takes)
}

// routeTable finds the rule for a request of one service. It is immutable.
type routeTable struct {
	rules    map[RuleName]*Rule
	byPrefix map[string][]*Rule
}

func newRouteTable(rules map[RuleName]*Rule) *routeTable {
	t := &routeTable{rules: rules, byPrefix: make(map[string][]*Rule, len(rules))}
	for _, r := range rules {
		t.byPrefix[r.PathPrefix] = append(t.byPrefix[r.PathPrefix], r)
	}
	return t
}

// match returns the rule with the longest prefix of whole path segments. At
// one prefix a rule that names the method goes before one for all methods.
func (t *routeTable) match(method, path string) *Rule {
	for p := path; ; {
		if r := pick(t.byPrefix[p], method); r != nil {
			return r
		}
		i := strings.LastIndexByte(p, '/')
		switch {
		case i > 0:
			p = p[:i]
		case p != "/":
			p = "/"
		default:
			return Unmatched
		}
	}
}

func pick(rules []*Rule, method string) *Rule {
	var all *Rule
	for _, r := range rules {
		if len(r.Methods) == 0 {
			all = r
			continue
		}
		if r.takes(method) {
			return r
		}
	}
	return all
}

// with returns the table with the rule added or replaced.
func (t *routeTable) with(r *Rule) *routeTable {
	rules := make(map[RuleName]*Rule, len(t.rules)+1)
	for n, o := range t.rules {
		rules[n] = o
	}
	rules[r.Name] = r
	return newRouteTable(rules)
}

// without returns the table with the rule taken out.
func (t *routeTable) without(n RuleName) *routeTable {
	rules := make(map[RuleName]*Rule, len(t.rules))
	for m, o := range t.rules {
		if m != n {
			rules[m] = o
		}
	}
	return newRouteTable(rules)
}

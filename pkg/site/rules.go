package site

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Class says whether a request may be sent again after it may have run.
type Class string

// Classes of requests.
const (
	// Repeatable requests are idempotent, so they can be retried.
	Repeatable Class = "repeatable"
	// AtMostOnce requests must not run more than once.
	AtMostOnce Class = "atMostOnce"
)

// Rule sets the class and the idempotency key header of those requests to one
// service that match its methods and path prefix.
type Rule struct {
	Name        RuleName    `json:"name" yaml:"name"`
	Service     ServiceName `json:"service" yaml:"service"`
	Methods     []string    `json:"methods" yaml:"methods"`       // Empty matches all methods.
	PathPrefix  string      `json:"pathPrefix" yaml:"pathPrefix"` // Matches whole path segments.
	Class       Class       `json:"run" yaml:"run"`
	KeyHeader   string      `json:"keyHeader,omitempty" yaml:"keyHeader,omitempty"`     // Header of the idempotency key; empty if keys are not used.
	KeyRequired bool        `json:"keyRequired,omitempty" yaml:"keyRequired,omitempty"` // Requests without a key are refused.
}

// Unmatched applies to requests that no rule matches. It has the usual header of
// idempotency keys, so that the key of a caller that sends one takes effect.
var Unmatched = &Rule{Name: "unmatched", Class: AtMostOnce, KeyHeader: "Idempotency-Key"}

// ID implements Object.
func (r *Rule) ID() ObjectID { return ObjectID{KindRule, string(r.Name)} }

func (r *Rule) object() {}

// Validate implements Object.
func (r *Rule) Validate() []ValidationError {
	c := validator{id: r.ID()}
	c.name("name", string(r.Name))
	c.name("service", string(r.Service))
	c.check(r.Name != Unmatched.Name, "name", fmt.Sprintf("%q is reserved", r.Name))
	for _, m := range r.Methods {
		c.check(m != "" && m == strings.ToUpper(m) && !strings.ContainsAny(m, " /"), "methods",
			fmt.Sprintf("%q must be an HTTP method in capital letters", m))
	}
	c.check(strings.HasPrefix(r.PathPrefix, "/"), "pathPrefix", `must start with "/"`)
	c.check(r.PathPrefix == "/" || !strings.HasSuffix(r.PathPrefix, "/"), "pathPrefix", `must not end with "/"`)
	c.check(r.Class == Repeatable || r.Class == AtMostOnce, "run",
		fmt.Sprintf("must be %s or %s", Repeatable, AtMostOnce))
	c.check(r.Class == AtMostOnce || r.KeyHeader == "", "keyHeader", "is only allowed for requests that run at most once")
	c.check(!r.KeyRequired || r.KeyHeader != "", "keyRequired", "requires a keyHeader")
	c.check(r.KeyHeader == http.CanonicalHeaderKey(r.KeyHeader), "keyHeader",
		fmt.Sprintf("must be written as %q", http.CanonicalHeaderKey(r.KeyHeader)))
	return c.errs
}

// allowsMethod reports whether the rule matches the method.
func (r *Rule) allowsMethod(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// overlaps reports whether a request could match both rules with the same
// precedence.
func (r *Rule) overlaps(o *Rule) bool {
	if r.PathPrefix != o.PathPrefix || len(r.Methods) == 0 != (len(o.Methods) == 0) {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	return slices.ContainsFunc(r.Methods, o.allowsMethod)
}

// ruleTable holds the rules of one service and matches requests to them. It is
// immutable.
type ruleTable struct {
	byName   map[RuleName]*Rule
	byPrefix map[string][]*Rule
}

func newRuleTable(rules map[RuleName]*Rule) *ruleTable {
	t := &ruleTable{byName: rules, byPrefix: make(map[string][]*Rule, len(rules))}
	for _, r := range rules {
		t.byPrefix[r.PathPrefix] = append(t.byPrefix[r.PathPrefix], r)
	}
	return t
}

// match returns the rule with the longest prefix of whole path segments. Among
// rules with the same prefix, one that lists the method takes precedence over
// one for all methods.
func (t *ruleTable) match(method, path string) *Rule {
	for p := path; ; {
		if r := pickByMethod(t.byPrefix[p], method); r != nil {
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

// pickByMethod returns the rule that lists the method, or else the one for all
// methods, or nil.
func pickByMethod(rules []*Rule, method string) *Rule {
	var anyMethod *Rule
	for _, r := range rules {
		if len(r.Methods) == 0 {
			anyMethod = r
			continue
		}
		if r.allowsMethod(method) {
			return r
		}
	}
	return anyMethod
}

// with returns a copy of the table with the rule added or replaced.
func (t *ruleTable) with(r *Rule) *ruleTable {
	rules := make(map[RuleName]*Rule, len(t.byName)+1)
	for n, o := range t.byName {
		rules[n] = o
	}
	rules[r.Name] = r
	return newRuleTable(rules)
}

// without returns a copy of the table without the rule.
func (t *ruleTable) without(n RuleName) *ruleTable {
	rules := make(map[RuleName]*Rule, len(t.byName))
	for m, o := range t.byName {
		if m != n {
			rules[m] = o
		}
	}
	return newRuleTable(rules)
}

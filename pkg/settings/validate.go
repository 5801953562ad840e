package settings

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"laburnumpick.org/pkg/admission"
)

// validator collects the validation errors of a settings file.
type validator struct {
	file string
	doc  *yaml.Node
	errs ValidationErrors
}

func (c *validator) addError(key, format string, args ...any) {
	c.errs = append(c.errs, ValidationError{c.file, lineOf(c.doc, key), key, fmt.Sprintf(format, args...)})
}

// checkRange adds an error if v is below low or above high.
func checkRange[N int | int64 | float64 | time.Duration](c *validator, key string, v, low, high N) {
	if v < low || v > high {
		c.addError(key, "%v must lie between %v and %v", v, low, high)
	}
}

func (c *validator) validate(s *Settings) {
	c.name("vm.name", s.VM.Name)
	c.name("vm.site", s.VM.Site)
	c.name("vm.dataCentre", s.VM.DataCentre)
	checkRange(c, "vm.cores", s.VM.Cores, 0.001, 1000)
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.vms", s.Listen.VMs)
	c.address("listen.operators", s.Listen.Operators)
	c.optionalAddress("listen.health", s.Listen.Health)
	c.optionalAddress("listen.metrics", s.Listen.Metrics)
	c.platform(s.Platform.URL)
	c.kind(s.Platform)
	if !slices.Contains(admission.Policies, s.Admission.Policy) {
		c.addError("admission.policy", "%q must be %q or %q", s.Admission.Policy, admission.ByPriority, admission.CostAware)
	}
	checkRange(c, "platform.floorShare", s.Platform.FloorShare, 0, 1)
	checkRange(c, "platform.sureness", s.Platform.EjectionThreshold, 3, 30)
	checkRange(c, "retry.ratio", s.Retry.Ratio, 0, 1)
	checkRange(c, "retry.slack", s.Retry.MinRetries, 0, 100_000)
	checkRange(c, "retry.window", s.Retry.Window, time.Second, 10*time.Minute)
	checkRange(c, "quota.window", s.Quota.Window, time.Second, time.Minute)
	checkRange(c, "quota.overage", s.Quota.Overage, 0, 1)
	checkRange(c, "quota.slack", s.Quota.Slack, 0, 100_000)
	checkRange(c, "stop.grace", s.Stop.Grace, 0, time.Hour)
	l := &s.Limits
	checkRange(c, "limits.bodyBytes", l.BodyBytes, 1, 32<<20)
	checkRange(c, "limits.wholeAnswerBytes", l.BufferedResponseBytes, 1, 32<<20)
	checkRange(c, "limits.headerBytes", l.HeaderBytes, 1<<10, 1<<20)
	checkRange(c, "limits.requests", l.Requests, 1, 1_000_000)
	checkRange(c, "limits.slowCaller", l.CallerTimeout, 100*time.Millisecond, 5*time.Minute)
	checkRange(c, "limits.connections", l.Connections, 1, 1_000_000)
	checkRange(c, "limits.connectionsFromOne", l.ConnectionsPerHost, 1, 1_000_000)
	checkRange(c, "limits.vouchesPerSecond", l.ConfirmationsPerSecond, 0.01, 1000)
	checkRange(c, "limits.carriedRequests", l.CarriedRequests, 0, 60_000)
	if l.MemoryMegabytes != 0 {
		checkRange(c, "limits.memoryMegabytes", l.MemoryMegabytes, 32, 1e7)
	}
	checkRange(c, "limits.account.rate", l.Account.Rate, 0.001, 1e6)
	checkRange(c, "limits.account.burst", l.Account.Burst, 1, 1_000_000)
	checkRange(c, "limits.account.inFlight", l.Account.InFlight, 1, 1_000_000)
	checkRange(c, "stop.balancerLag", s.Stop.BalancerDelay, 0, 5*time.Minute)
	checkRange(c, "stop.patience", s.Stop.DrainTimeout, time.Second, time.Hour)
	checkRange(c, "trace.share", s.Trace.SampleRatio, 0, 1)
	checkRange(c, "trace.keep", s.Trace.MaxSpans, 1, 1_000_000)
	checkRange(c, "log.verbosity", s.Log.Verbosity, 0, 9)
	c.access(&s.Access)
}

func (c *validator) name(key, v string) {
	ok := v != "" && len(v) <= 63 && strings.Trim(v, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
	if !ok {
		c.addError(key, "%q must consist of 1 to 63 characters of a-z, 0-9 and -", v)
	}
}

func (c *validator) address(key, v string) {
	if _, _, err := net.SplitHostPort(v); err != nil {
		c.addError(key, "%q must be host:port", v)
	}
}

func (c *validator) optionalAddress(key, v string) {
	if v != "" {
		c.address(key, v)
	}
}

func (c *validator) kind(p Platform) {
	switch {
	case p.Kind != KindOwn && p.Kind != KindTables:
		c.addError("platform.kind", "%q must be %q or %q", p.Kind, KindOwn, KindTables)
	case p.Kind == KindTables && len(p.DataCentres) == 0:
		c.addError("platform.dataCentres", "must list the site's data centres if the kind is %q", KindTables)
	case p.Kind == KindTables && p.URL == Embedded:
		c.addError("platform.url", "must be a URL if the kind is %q", KindTables)
	}
}

func (c *validator) platform(v string) {
	if v == Embedded {
		return
	}
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.addError("platform.url", "%q must be %q or an http or https URL", v, Embedded)
	}
}

// minTokenLen is the least length of a token in bytes. Shorter ones could be
// guessed.
const minTokenLen = 16

func (c *validator) access(a *Access) {
	if len(a.FleetToken) < minTokenLen {
		c.addError("access.fleetToken", "must have at least %d bytes", minTokenLen)
	}
	seen := map[string]bool{}
	for i, o := range a.Operators {
		key := fmt.Sprintf("access.operators[%d]", i)
		c.name(key+".name", o.Name)
		if seen[o.Name] {
			c.addError(key+".name", "%q is defined more than once", o.Name)
		}
		seen[o.Name] = true
		if !slices.Contains([]string{"read", "operate", "administer"}, o.Role) {
			c.addError(key+".role", "%q must be read, operate or administer", o.Role)
		}
		if len(o.Token) < minTokenLen {
			c.addError(key+".token", "must have at least %d bytes", minTokenLen)
		}
	}
}

// lineOf returns the line of a key, or of its closest parent in the document.
func lineOf(doc *yaml.Node, key string) int {
	if len(doc.Content) == 0 {
		return 1
	}
	n, line := doc.Content[0], 1
	for _, part := range strings.FieldsFunc(key, func(r rune) bool { return strings.ContainsRune(".[]", r) }) {
		next, at := child(n, part)
		if next == nil {
			return line
		}
		n, line = next, at
	}
	return line
}

// child returns the value of a key or an index, and the line of the key.
func child(n *yaml.Node, part string) (*yaml.Node, int) {
	if n.Kind == yaml.SequenceNode {
		var i int
		if _, err := fmt.Sscanf(part, "%d", &i); err != nil || i >= len(n.Content) {
			return nil, 0
		}
		return n.Content[i], n.Content[i].Line
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == part {
			return n.Content[i+1], n.Content[i].Line
		}
	}
	return nil, 0
}

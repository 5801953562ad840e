// Package settings parses and validates the daemon's settings file. All errors of a
// file are reported together, each with its line, its key and what is allowed.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"laburnumpick.org/pkg/admission"
)

// Settings are the settings of one entry VM.
type Settings struct {
	VM        VM        `yaml:"vm"`
	Listen    Listen    `yaml:"listen"`
	Platform  Platform  `yaml:"platform"`
	Limits    Limits    `yaml:"limits"`
	Retry     Retry     `yaml:"retry"`
	Quota     Quota     `yaml:"quota"`
	Callers   Callers   `yaml:"callers"`
	Stop      Stop      `yaml:"stop"`
	Access    Access    `yaml:"access"`
	Trace     Trace     `yaml:"trace"`
	Admission Admission `yaml:"admission"`
	Log       Log       `yaml:"log"`
}

// VM identifies this VM and its place in the fleet.
type VM struct {
	Name       string `yaml:"name"`
	Site       string `yaml:"site"`
	DataCentre string `yaml:"dataCentre"`
	// Cores is the number of cores that the VM has, which may be a fraction. The
	// VM's share of the fleet's roles, such as home of a pool, is proportional to it.
	Cores float64 `yaml:"cores"`
}

// Listen holds the addresses on which the daemon listens. Port 0 picks a free port.
type Listen struct {
	Callers     string `yaml:"callers"`
	VMs         string `yaml:"vms"`
	Operators   string `yaml:"operators"`
	Advertise   string `yaml:"advertise"`   // Host that other VMs connect to; the default is that of vms.
	Health      string `yaml:"health"`      // Additional address for the load balancer's health checks, if any; callers also serves them.
	Metrics     string `yaml:"metrics"`     // Address at which metrics are served without a token, if any.
	AddressFile string `yaml:"addressFile"` // File to which the addresses in use are written, if any.
}

// Platform configures the connection to the platform, and the site's limits where
// the platform does not provide them.
type Platform struct {
	URL string `yaml:"url"` // "embedded" for a store in the memory of this process.
	// Kind is the platform's interface: "own" for laburnumpick's own, "tables" for
	// tables with change feeds, in which servers register themselves.
	Kind string `yaml:"kind"`
	// DataCentres lists the data centres of the site for a platform that does not
	// provide them.
	DataCentres []string `yaml:"dataCentres"`
	// FloorShare is the share of each service's servers, between 0 and 1, that must
	// stay in use if servers register themselves.
	FloorShare float64 `yaml:"floorShare"`
	// EjectionThreshold is the site.EjectionThreshold of servers that register
	// themselves.
	EjectionThreshold float64 `yaml:"sureness"`
}

// Interfaces of platforms.
const (
	KindOwn    = "own"
	KindTables = "tables"
)

// Retry limits the retries of requests to a service, which are the attempts beyond
// the first of each request.
type Retry struct {
	Ratio      float64       `yaml:"ratio"`  // Retries per request to the service.
	MinRetries int           `yaml:"slack"`  // Retries allowed per window in addition to those of Ratio.
	Window     time.Duration `yaml:"window"` // Length of the sliding window.
}

// Quota configures what the fleet guarantees of the quotas of client accounts: in each
// window, servers run at most what the quota allows in that time, with a tolerance.
type Quota struct {
	Window  time.Duration `yaml:"window"`  // Length of the sliding window.
	Overage float64       `yaml:"overage"` // Tolerance relative to what the quota allows.
	Slack   float64       `yaml:"slack"`   // Tolerance in requests, in addition to Overage.
}

// Admission configures what is delayed or refused when a service has too little
// capacity.
type Admission struct {
	Policy admission.Policy `yaml:"policy"`
}

// Callers configures the responses to callers.
type Callers struct {
	// FractionalRetryAfter writes fractions of a second to the Retry-After header,
	// for callers that parse them.
	FractionalRetryAfter bool `yaml:"fractionalRetryAfter"`
}

// Limits limits the requests and connections that the VM accepts.
type Limits struct {
	BodyBytes int64 `yaml:"bodyBytes"` // Size of a request's body.
	// BufferedResponseBytes is the size up to which a response is buffered until it is
	// complete.
	BufferedResponseBytes int   `yaml:"wholeAnswerBytes"`
	HeaderBytes           int   `yaml:"headerBytes"` // Size of a request's header.
	Requests              int64 `yaml:"requests"`    // Concurrent requests.
	// CallerTimeout limits the time in which a caller sends the header or the body of
	// a request, and reads the response.
	CallerTimeout time.Duration `yaml:"slowCaller"`
	Connections   int           `yaml:"connections"` // Open connections of all callers.
	// ConnectionsPerHost limits the open connections from one remote host.
	ConnectionsPerHost int `yaml:"connectionsFromOne"`
	// ConfirmationsPerSecond limits the reads and writes of the table which confirm
	// that a refused keyed request has not run.
	ConfirmationsPerSecond float64 `yaml:"vouchesPerSecond"`
	// CarriedRequests limits the concurrent requests that the VM runs for other VMs whose links
	// to backend servers are down.
	CarriedRequests int     `yaml:"carriedRequests"`
	Account         Account `yaml:"account"`
	// MemoryMegabytes is the memory of the process, in 10^6 bytes; zero if it is not known. What
	// is held for bodies follows it.
	MemoryMegabytes float64 `yaml:"memoryMegabytes"`
}

// Shares of the process's memory.
const (
	// bodyShare is the part that the bodies of requests and responses may take.
	bodyShare = 0.3
	// heapShare is the part above which the garbage collector runs more often. What it has not
	// collected counts as used.
	heapShare = 0.7
	// defaultBodyMemory is what bodies may take, in bytes, where the memory is not known.
	defaultBodyMemory = 256 << 20
)

// BodyMemory returns how many bytes may be held for bodies.
func (l *Limits) BodyMemory() int64 {
	if l.MemoryMegabytes == 0 {
		return defaultBodyMemory
	}
	return int64(bodyShare * l.MemoryMegabytes * 1e6)
}

// HeapLimit returns the size of the heap, in bytes, above which the garbage collector runs more
// often, or false if the memory is not known.
func (l *Limits) HeapLimit() (int64, bool) {
	return int64(heapShare * l.MemoryMegabytes * 1e6), l.MemoryMegabytes > 0
}

// Account holds the limits, in each VM, of client accounts that have none of their own and are
// not identified by a key.
type Account struct {
	Rate     float64 `yaml:"rate"`     // Requests per second.
	Burst    int     `yaml:"burst"`    // Capacity of the token bucket: requests accepted at once when it is full.
	InFlight int     `yaml:"inFlight"` // Concurrent requests.
}

// Stop configures the duration of a planned stop.
type Stop struct {
	// BalancerDelay is the time that the load balancer takes to stop sending
	// requests to the VM.
	BalancerDelay time.Duration `yaml:"balancerLag"`
	// DrainTimeout is the time in which requests in flight must complete.
	DrainTimeout time.Duration `yaml:"patience"`
	// Grace, if set, is the time from the stop signal until the process is killed.
	// It replaces BalancerDelay and DrainTimeout.
	Grace time.Duration `yaml:"grace"`
}

// StopTimes holds the durations of the phases of a planned stop, in their order.
type StopTimes struct {
	KeepAlive time.Duration // Connections stay open. At its end, keep-alive is disabled.
	Idle      time.Duration // Connections close after their next response. At its end, idle ones are closed.
	Drain     time.Duration // Requests in flight complete.
	Respond   time.Duration // Responses that are due at the end of Drain are written.
}

// Shares of the grace time. The load balancer needs some seconds to remove the VM,
// and the longest request that arrived before that must still complete.
const (
	graceKeepAlive = 0.50
	graceIdle      = 0.08
	graceDrain     = 0.37
	graceRespond   = 0.03
)

// defaultRespond is StopTimes.Respond where no grace time is set.
const defaultRespond = 200 * time.Millisecond

// Times returns the durations of the phases.
func (s Stop) Times() StopTimes {
	if s.Grace == 0 {
		return StopTimes{KeepAlive: 0, Idle: s.BalancerDelay, Drain: s.DrainTimeout, Respond: defaultRespond}
	}
	phase := func(share float64) time.Duration { return time.Duration(share * float64(s.Grace)) }
	return StopTimes{KeepAlive: phase(graceKeepAlive), Idle: phase(graceIdle), Drain: phase(graceDrain), Respond: phase(graceRespond)}
}

// Access holds the tokens of VMs and operators.
type Access struct {
	FleetToken string     `yaml:"fleetToken"`
	Operators  []Operator `yaml:"operators"`
}

// Operator holds the name, the role and the token of an operator.
type Operator struct {
	Name  string `yaml:"name"`
	Role  string `yaml:"role"` // "read", "operate" or "administer".
	Token string `yaml:"token"`
}

// Trace configures the tracing of requests.
type Trace struct {
	SampleRatio float64 `yaml:"share"` // Share of requests that are traced, between 0 and 1.
	MaxSpans    int     `yaml:"keep"`  // Spans kept in memory.
}

// Log configures logging.
type Log struct {
	Verbosity int `yaml:"verbosity"` // Of klog, from 0 to 9.
}

// Default returns the documented defaults.
func Default() Settings {
	return Settings{
		VM:       VM{Cores: 1},
		Listen:   Listen{Callers: "127.0.0.1:8080", VMs: "127.0.0.1:8081", Operators: "127.0.0.1:8082"},
		Platform: Platform{URL: Embedded, Kind: KindOwn, FloorShare: 0.7, EjectionThreshold: 7},
		Retry:    Retry{Ratio: 0.1, MinRetries: 10, Window: 10 * time.Second},
		Quota:    Quota{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
		Limits: Limits{
			BodyBytes: 1 << 20, BufferedResponseBytes: 1 << 20, HeaderBytes: 32 << 10, Requests: 2000,
			CallerTimeout: 10 * time.Second, ConfirmationsPerSecond: 4, Connections: 10_000, ConnectionsPerHost: 2000,
			CarriedRequests: 200,
			Account:         Account{Rate: 200, Burst: 400, InFlight: 100},
		},
		Admission: Admission{Policy: admission.ByPriority},
		Stop:      Stop{BalancerDelay: 2 * time.Second, DrainTimeout: 30 * time.Second},
		Trace:     Trace{SampleRatio: 0.01, MaxSpans: 2000},
	}
}

// Embedded is the platform URL for a store in the memory of the process.
const Embedded = "embedded"

// ValidationError describes an error in a settings file.
type ValidationError struct {
	File   string
	Line   int    // Zero if the YAML library reports no line.
	Key    string // Empty if the error is not about the value of a key.
	Detail string
}

// Error returns the file, the line, the key and the detail on one line.
func (e ValidationError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Detail)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Detail)
}

// ValidationErrors holds all errors of a file.
type ValidationErrors []ValidationError

// Error returns one line for each error.
func (errs ValidationErrors) Error() string {
	lines := make([]string, len(errs))
	for i, err := range errs {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and parses a settings file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse parses and validates the text of a settings file. The error is of type
// ValidationErrors.
func Parse(file string, text []byte) (*Settings, error) {
	s := Default()
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, parseErrors(file, err)
	}
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	var errs ValidationErrors
	if err := dec.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		errs = parseErrors(file, err)
	}
	removeDuplicateKeys(&doc)
	_ = doc.Decode(&s) // Errors were collected above. This decodes the values that the strict pass skipped.
	c := validator{file: file, doc: &doc}
	c.validate(&s)
	errs = append(errs, c.errs...)
	if len(errs) > 0 {
		slices.SortStableFunc(errs, func(a, b ValidationError) int { return a.Line - b.Line })
		return nil, errs
	}
	return &s, nil
}

// parseErrors converts an error of the YAML library into validation errors.
func parseErrors(file string, err error) ValidationErrors {
	typeErr, ok := errors.AsType[*yaml.TypeError](err)
	if !ok {
		return ValidationErrors{parseLine(file, strings.TrimPrefix(err.Error(), "yaml: "))}
	}
	var errs ValidationErrors
	for _, e := range typeErr.Errors {
		errs = append(errs, parseLine(file, e))
	}
	return errs
}

// parseLine splits a message such as "line 3: detail" into its parts.
func parseLine(file, text string) ValidationError {
	e := ValidationError{File: file, Detail: text}
	if _, err := fmt.Sscanf(text, "line %d:", &e.Line); err == nil {
		_, e.Detail, _ = strings.Cut(text, ": ")
	}
	e.Detail = translateYAMLError(e.Detail)
	return e
}

// removeDuplicateKeys keeps only the first of equal keys in a mapping, so that the
// rest of the file can be decoded and validated.
func removeDuplicateKeys(n *yaml.Node) {
	if n.Kind == yaml.MappingNode {
		seen := make(map[string]bool)
		var kept []*yaml.Node
		for i := 0; i+1 < len(n.Content); i += 2 {
			if k := n.Content[i].Value; !seen[k] {
				seen[k] = true
				kept = append(kept, n.Content[i], n.Content[i+1])
			}
		}
		n.Content = kept
	}
	for _, child := range n.Content {
		removeDuplicateKeys(child)
	}
}

// unmarshalError matches the type and the value in an error of the YAML library.
// The value is removed from the message, since it may be a secret that was put
// under the wrong key.
var unmarshalError = regexp.MustCompile("cannot unmarshal !!(\\w+)( `[^`]*`)?")

// translateYAMLError replaces the Go and YAML types in a message of the library by
// the words of the settings' documentation.
func translateYAMLError(text string) string {
	if key, _, ok := strings.Cut(text, " not found in type "); ok {
		return "unknown key: " + strings.TrimPrefix(key, "field ")
	}
	text = unmarshalError.ReplaceAllString(text, "a $1")
	return strings.NewReplacer(
		"a str ", "a string ", "a seq ", "a list ", "a map ", "a mapping ",
		"into int64", "where an integer is required", "into int", "where an integer is required",
		"into float64", "where a number is required", "into time.Duration", `where a duration such as "2s" is required`,
		"into string", "where a string is required", "into []string", "where a list of strings is required",
	).Replace(text)
}

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

// Package settings reads the daemon's settings file. All faults of a file are
// told at once, each with its line, its key and what is allowed.
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
)

// Settings are the settings of one entry VM.
type Settings struct {
	VM       VM       `yaml:"vm"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	Limits   Limits   `yaml:"limits"`
	Retry    Retry    `yaml:"retry"`
	Callers  Callers  `yaml:"callers"`
	Stop     Stop     `yaml:"stop"`
	Access   Access   `yaml:"access"`
	Trace    Trace    `yaml:"trace"`
	Log      Log      `yaml:"log"`
}

// VM says which VM this is.
type VM struct {
	Name       string `yaml:"name"`
	Site       string `yaml:"site"`
	DataCentre string `yaml:"dataCentre"`
	// Cores is the processor that the VM has, a share or a number of cores. VMs
	// get roles in proportion to it.
	Cores float64 `yaml:"cores"`
}

// Listen holds the addresses that the daemon serves. Port 0 takes a free one.
type Listen struct {
	Callers     string `yaml:"callers"`
	VMs         string `yaml:"vms"`
	Operators   string `yaml:"operators"`
	Advertise   string `yaml:"advertise"`   // Host that other VMs use; the default is that of vms.
	Health      string `yaml:"health"`      // Where the balancer asks for this VM's health, besides the callers' address.
	Metrics     string `yaml:"metrics"`     // Where metrics are served without a token, if anywhere.
	AddressFile string `yaml:"addressFile"` // Where the addresses in use are written, if anywhere.
}

// Platform says where the platform's services are.
type Platform struct {
	URL string `yaml:"url"` // "embedded" for a store in this process's memory.
	// Kind is what the platform speaks: "own" for laburnumpick's own interface,
	// "tables" for tables with feeds, where servers register themselves.
	Kind string `yaml:"kind"`
	// DataCentres are those of the site, where the platform does not tell.
	DataCentres []string `yaml:"dataCentres"`
	// FloorShare is the share of each service's servers that must stay in use,
	// where servers register themselves.
	FloorShare float64 `yaml:"floorShare"`
	// EjectionThreshold is how sure the fleet must be before it takes such a server out of
	// use.
	EjectionThreshold float64 `yaml:"sureness"`
}

// Kinds of platforms.
const (
	KindOwn    = "own"
	KindTables = "tables"
)

// Retry bounds how often requests are sent to more than one server.
type Retry struct {
	Ratio      float64       `yaml:"ratio"`  // Such sendings for each request to a service.
	MinRetries int           `yaml:"slack"`  // Such sendings in a window beside the ratio's.
	Window     time.Duration `yaml:"window"` // Any span of this length.
}

// Callers says how callers are told.
type Callers struct {
	// FractionalRetryAfter writes Retry-After with fractions of a second, for
	// callers that read them.
	FractionalRetryAfter bool `yaml:"fractionalRetryAfter"`
}

// Limits bound what the VM takes.
type Limits struct {
	BodyBytes              int64         `yaml:"bodyBytes"`
	BufferedAnswerBytes    int           `yaml:"wholeAnswerBytes"`
	HeaderBytes            int           `yaml:"headerBytes"`
	Requests               int64         `yaml:"requests"`
	CallerTimeout          time.Duration `yaml:"slowCaller"`
	Connections            int           `yaml:"connections"`
	ConnectionsPerHost     int           `yaml:"connectionsFromOne"`
	ConfirmationsPerSecond float64       `yaml:"vouchesPerSecond"`
	Account                Account       `yaml:"account"`
}

// Account holds the limits of an account that has none of its own.
type Account struct {
	Rate     float64 `yaml:"rate"`
	Burst    int     `yaml:"burst"`
	InFlight int     `yaml:"inFlight"`
}

// Stop says how long a planned stop may take.
type Stop struct {
	BalancerDelay time.Duration `yaml:"balancerLag"`
	DrainTimeout  time.Duration `yaml:"patience"`
	// Grace, if set, is the time from the signal to the end of the process by
	// force; the other two then follow from it.
	Grace time.Duration `yaml:"grace"`
}

// StopTimes are the parts of a planned stop, one after the other.
type StopTimes struct {
	KeepAlive time.Duration // Until connections end with their next answer.
	Idle      time.Duration // Then until resting connections are closed.
	Drain     time.Duration // Then for what is still under way.
}

// Parts of the grace time. The balancer needs some seconds to take the VM out;
// the longest request that came before that must still be able to end.
const (
	graceLastAnswers = 0.50
	graceIdle        = 0.08
	graceRest        = 0.37
)

// Times returns the parts of a planned stop.
func (s Stop) Times() StopTimes {
	if s.Grace == 0 {
		return StopTimes{KeepAlive: 0, Idle: s.BalancerDelay, Drain: s.DrainTimeout}
	}
	part := func(share float64) time.Duration { return time.Duration(share * float64(s.Grace)) }
	return StopTimes{KeepAlive: part(graceLastAnswers), Idle: part(graceIdle), Drain: part(graceRest)}
}

// Access says who may call.
type Access struct {
	FleetToken string     `yaml:"fleetToken"`
	Operators  []Operator `yaml:"operators"`
}

// Operator is somebody who may ask or command.
type Operator struct {
	Name  string `yaml:"name"`
	Role  string `yaml:"role"`
	Token string `yaml:"token"`
}

// Trace says which requests are traced.
type Trace struct {
	SampleRatio float64 `yaml:"share"`
	MaxSpans    int     `yaml:"keep"`
}

// Log says how much is logged.
type Log struct {
	Verbosity int `yaml:"verbosity"`
}

// Default returns the documented defaults.
func Default() Settings {
	return Settings{
		VM:       VM{Cores: 1},
		Listen:   Listen{Callers: "127.0.0.1:8080", VMs: "127.0.0.1:8081", Operators: "127.0.0.1:8082"},
		Platform: Platform{URL: Embedded, Kind: KindOwn, FloorShare: 0.7, EjectionThreshold: 7},
		Retry:    Retry{Ratio: 0.1, MinRetries: 10, Window: 10 * time.Second},
		Limits: Limits{
			BodyBytes: 1 << 20, BufferedAnswerBytes: 1 << 20, HeaderBytes: 32 << 10, Requests: 2000,
			CallerTimeout: 10 * time.Second, ConfirmationsPerSecond: 4, Connections: 10_000, ConnectionsPerHost: 2000,
			Account: Account{Rate: 200, Burst: 400, InFlight: 100},
		},
		Stop:  Stop{BalancerDelay: 2 * time.Second, DrainTimeout: 30 * time.Second},
		Trace: Trace{SampleRatio: 0.01, MaxSpans: 2000},
	}
}

// Embedded is the platform URL for a store in the process's memory.
const Embedded = "embedded"

// ValidationError is something wrong with a settings file.
type ValidationError struct {
	File   string
	Line   int
	Key    string
	Detail string
}

// Error describes the fault on one line.
func (f ValidationError) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Detail)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Detail)
}

// ValidationErrors are all faults of a file.
type ValidationErrors []ValidationError

// Error returns a line for each fault.
func (fs ValidationErrors) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads a file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse reads the text of a file. The error is a Faults.
func Parse(file string, text []byte) (*Settings, error) {
	s := Default()
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, syntaxFaults(file, err)
	}
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	var faults ValidationErrors
	if err := dec.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		faults = syntaxFaults(file, err)
	}
	dropDuplicates(&doc)
	_ = doc.Decode(&s) // The strict pass has told the faults; this one fills in the rest.
	c := checker{file: file, doc: &doc}
	c.check(&s)
	faults = append(faults, c.faults...)
	if len(faults) > 0 {
		slices.SortStableFunc(faults, func(a, b ValidationError) int { return a.Line - b.Line })
		return nil, faults
	}
	return &s, nil
}

// syntaxFaults turns the library's error into faults with lines.
func syntaxFaults(file string, err error) ValidationErrors {
	te, ok := errors.AsType[*yaml.TypeError](err)
	if !ok {
		return ValidationErrors{parseLine(file, strings.TrimPrefix(err.Error(), "yaml: "))}
	}
	var fs ValidationErrors
	for _, e := range te.Errors {
		fs = append(fs, parseLine(file, e))
	}
	return fs
}

// parseLine splits "line 3: what" into its parts.
func parseLine(file, text string) ValidationError {
	f := ValidationError{File: file, Detail: text}
	if _, err := fmt.Sscanf(text, "line %d:", &f.Line); err == nil {
		_, f.Detail, _ = strings.Cut(text, ": ")
	}
	f.Detail = explain(f.Detail)
	return f
}

// dropDuplicates takes out keys that stand twice, so that the rest of the file
// can be checked.
func dropDuplicates(n *yaml.Node) {
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
		dropDuplicates(child)
	}
}

// value matches a value in the library's words. It is left out, since it may
// be a secret that stands in the wrong place.
var value = regexp.MustCompile("cannot unmarshal !!(\\w+)( `[^`]*`)?")

// explain puts the library's words about Go types into those of settings.
func explain(text string) string {
	if key, _, ok := strings.Cut(text, " not found in type "); ok {
		return "unknown key: " + strings.TrimPrefix(key, "field ")
	}
	text = value.ReplaceAllString(text, "a $1")
	return strings.NewReplacer(
		"a str ", "a text ", "a seq ", "a list ", "a map ", "a mapping ",
		"into int64", "where a whole number is wanted", "into int", "where a whole number is wanted",
		"into float64", "where a number is wanted", "into time.Duration", `where a time like "2s" is wanted`,
		"into string", "where text is wanted", "into []string", "where a list of texts is wanted",
	).Replace(text)
}

// checker finds values out of range.
type checker struct {
	file   string
	doc    *yaml.Node
	faults ValidationErrors
}

func (c *checker) fail(key, format string, args ...any) {
	c.faults = append(c.faults, ValidationError{c.file, lineOf(c.doc, key), key, fmt.Sprintf(format, args...)})
}

// between checks a number, or a time in seconds.
func between[N int | int64 | float64 | time.Duration](c *checker, key string, v, low, high N) {
	if v < low || v > high {
		c.fail(key, "%v must lie between %v and %v", v, low, high)
	}
}

func (c *checker) check(s *Settings) {
	c.name("vm.name", s.VM.Name)
	c.name("vm.site", s.VM.Site)
	c.name("vm.dataCentre", s.VM.DataCentre)
	between(c, "vm.cores", s.VM.Cores, 0.001, 1000)
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.vms", s.Listen.VMs)
	c.address("listen.operators", s.Listen.Operators)
	c.optionalAddress("listen.health", s.Listen.Health)
	c.optionalAddress("listen.metrics", s.Listen.Metrics)
	c.platform(s.Platform.URL)
	c.kind(s.Platform)
	between(c, "platform.floorShare", s.Platform.FloorShare, 0, 1)
	between(c, "platform.sureness", s.Platform.EjectionThreshold, 3, 30)
	between(c, "retry.ratio", s.Retry.Ratio, 0, 1)
	between(c, "retry.slack", s.Retry.MinRetries, 0, 100_000)
	between(c, "retry.window", s.Retry.Window, time.Second, 10*time.Minute)
	between(c, "stop.grace", s.Stop.Grace, 0, time.Hour)
	l := &s.Limits
	between(c, "limits.bodyBytes", l.BodyBytes, 1, 32<<20)
	between(c, "limits.wholeAnswerBytes", l.BufferedAnswerBytes, 1, 32<<20)
	between(c, "limits.headerBytes", l.HeaderBytes, 1<<10, 1<<20)
	between(c, "limits.requests", l.Requests, 1, 1_000_000)
	between(c, "limits.slowCaller", l.CallerTimeout, 100*time.Millisecond, 5*time.Minute)
	between(c, "limits.connections", l.Connections, 1, 1_000_000)
	between(c, "limits.connectionsFromOne", l.ConnectionsPerHost, 1, 1_000_000)
	between(c, "limits.vouchesPerSecond", l.ConfirmationsPerSecond, 0.01, 1000)
	between(c, "limits.account.rate", l.Account.Rate, 0.001, 1e6)
	between(c, "limits.account.burst", l.Account.Burst, 1, 1_000_000)
	between(c, "limits.account.inFlight", l.Account.InFlight, 1, 1_000_000)
	between(c, "stop.balancerLag", s.Stop.BalancerDelay, 0, 5*time.Minute)
	between(c, "stop.patience", s.Stop.DrainTimeout, time.Second, time.Hour)
	between(c, "trace.share", s.Trace.SampleRatio, 0, 1)
	between(c, "trace.keep", s.Trace.MaxSpans, 1, 1_000_000)
	between(c, "log.verbosity", s.Log.Verbosity, 0, 9)
	c.access(&s.Access)
}

func (c *checker) name(key, v string) {
	ok := v != "" && len(v) <= 63 && strings.Trim(v, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
	if !ok {
		c.fail(key, "%q must be 1 to 63 of a-z, 0-9 and -", v)
	}
}

func (c *checker) address(key, v string) {
	if _, _, err := net.SplitHostPort(v); err != nil {
		c.fail(key, "%q must be host:port", v)
	}
}

func (c *checker) optionalAddress(key, v string) {
	if v != "" {
		c.address(key, v)
	}
}

func (c *checker) kind(p Platform) {
	switch {
	case p.Kind != KindOwn && p.Kind != KindTables:
		c.fail("platform.kind", "%q must be %q or %q", p.Kind, KindOwn, KindTables)
	case p.Kind == KindTables && len(p.DataCentres) == 0:
		c.fail("platform.dataCentres", "must name the site's data centres where the kind is %q", KindTables)
	case p.Kind == KindTables && p.URL == Embedded:
		c.fail("platform.url", "must be a URL where the kind is %q", KindTables)
	}
}

func (c *checker) platform(v string) {
	if v == Embedded {
		return
	}
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.fail("platform.url", "%q must be %q or a URL with http or https", v, Embedded)
	}
}

// minToken is the shortest token that is not guessed, in bytes.
const minToken = 16

func (c *checker) access(a *Access) {
	if len(a.FleetToken) < minToken {
		c.fail("access.fleetToken", "must have at least %d bytes", minToken)
	}
	seen := map[string]bool{}
	for i, o := range a.Operators {
		key := fmt.Sprintf("access.operators[%d]", i)
		c.name(key+".name", o.Name)
		if seen[o.Name] {
			c.fail(key+".name", "%q stands twice", o.Name)
		}
		seen[o.Name] = true
		if !slices.Contains([]string{"read", "operate", "administer"}, o.Role) {
			c.fail(key+".role", "%q must be read, operate or administer", o.Role)
		}
		if len(o.Token) < minToken {
			c.fail(key+".token", "must have at least %d bytes", minToken)
		}
	}
}

// lineOf finds the line of a key, or of its nearest parent that is there.
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

// child returns the value under a key or an index, and the key's line.
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

// Package site holds the configuration objects that operators create: sites,
// the services that they front, the rules for requests, and the limits of
// client accounts.
package site

import (
	"fmt"
	"math"
	"net"
	"strings"
	"time"
)

// Name names a site.
type Name string

// ServiceName names a service of a site.
type ServiceName string

// ServerName names a backend server of a service.
type ServerName string

// RuleName names a rule of a site.
type RuleName string

// AccountName names a client account.
type AccountName string

// DataCentre names a data centre of a site.
type DataCentre string

// Object is a configuration object: *Site, *Service, *Rule, *Route or *Account.
type Object interface {
	// ID returns the kind and the name, which together are unique in a site.
	ID() ObjectID
	// Validate returns what is wrong with the object by itself.
	Validate() []ValidationError
	object()
}

// Kind names a type of configuration object.
type Kind string

// Kinds of configuration objects.
const (
	KindSite    Kind = "site"
	KindService Kind = "service"
	KindRule    Kind = "rule"
	KindRoute   Kind = "route"
	KindAccount Kind = "account"
)

// ObjectID names one configuration object.
type ObjectID struct {
	Kind Kind   `json:"kind" yaml:"kind"`
	Name string `json:"name" yaml:"name"`
}

// String returns the id as operators write it.
func (id ObjectID) String() string { return string(id.Kind) + " " + id.Name }

// ValidationError is something wrong with an object, with the place and the mend.
type ValidationError struct {
	Object ObjectID
	Field  string
	Detail string
}

// Error describes the fault on one line.
func (f ValidationError) Error() string {
	return fmt.Sprintf("%s: %s: %s", f.Object, f.Field, f.Detail)
}

// EjectionThreshold is how sure the fleet must be before it ejects a server. It is the
// threshold of a cumulative-sum test in nats: a healthy server passes h nats
// once in no less than e^h answers, and each nat more costs about one more slow
// answer, or a quarter of a failed one, before a sick server is found.
type EjectionThreshold float64

// Bounds of the sureness setting.
const (
	MinEjectionThreshold     EjectionThreshold = 3
	DefaultEjectionThreshold EjectionThreshold = 10
	MaxEjectionThreshold     EjectionThreshold = 30
)

// Site is a set of data centres that front the same services.
type Site struct {
	Name              Name              `json:"name" yaml:"name"`
	DataCentres       []DataCentre      `json:"dataCentres" yaml:"dataCentres"`
	EjectionThreshold EjectionThreshold `json:"sureness" yaml:"sureness"`
	Callers           CallerLimits      `json:"callers,omitzero" yaml:"callers,omitempty"`
}

// ID implements Object.
func (s *Site) ID() ObjectID { return ObjectID{KindSite, string(s.Name)} }

func (s *Site) object() {}

// Validate implements Object.
func (s *Site) Validate() []ValidationError {
	c := collector{id: s.ID()}
	c.name("name", string(s.Name))
	c.check(len(s.DataCentres) > 0, "dataCentres", "must name at least one data centre")
	c.check(s.EjectionThreshold >= MinEjectionThreshold && s.EjectionThreshold <= MaxEjectionThreshold, "sureness",
		fmt.Sprintf("must lie between %v and %v", MinEjectionThreshold, MaxEjectionThreshold))
	return c.faults
}

// Server is one backend server of a service.
type Server struct {
	Name       ServerName `json:"name" yaml:"name"`
	Address    string     `json:"address" yaml:"address"`
	DataCentre DataCentre `json:"dataCentre" yaml:"dataCentre"`
	Slots      int        `json:"slots" yaml:"slots"` // Requests that it runs at once.
	// StartedMs is the Unix millisecond of the server's start where that is
	// known. A server that started anew under its old name knows nothing of what
	// it ran before.
	StartedMs int64 `json:"startedMs,omitempty" yaml:"startedMs,omitempty"`
}

// Service is a set of backend servers that are alike.
type Service struct {
	Name       ServiceName `json:"name" yaml:"name"`
	Site       Name        `json:"site" yaml:"site"`
	Hosts      []string    `json:"hosts" yaml:"hosts"` // Host names that callers use.
	Floor      int         `json:"floor" yaml:"floor"` // Servers that must stay in use.
	DeadlineMs int64       `json:"deadlineMs" yaml:"deadlineMs"`
	Servers    []Server    `json:"servers" yaml:"servers"`
	// Registered says that the servers register themselves, so that Servers is
	// empty, and that hosts reach the service by routes only.
	Registered bool `json:"registered,omitempty" yaml:"registered,omitempty"`
	// FloorShare is the share of the service's servers, between 0 and 1, that
	// must stay in use. It stands beside Floor where servers come and go.
	FloorShare float64 `json:"floorShare,omitempty" yaml:"floorShare,omitempty"`
}

// FloorOf returns how many of n servers must stay in use.
func (s *Service) FloorOf(n int) int {
	return max(min(s.Floor, n), int(math.Ceil(s.FloorShare*float64(n))))
}

// Bounds of a request's deadline, in milliseconds.
const (
	MinDeadlineMs = 10
	MaxDeadlineMs = 120_000
)

// MaxSlots bounds the requests that one server runs at once.
const MaxSlots = 10_000

// ID implements Object.
func (s *Service) ID() ObjectID { return ObjectID{KindService, string(s.Name)} }

func (s *Service) object() {}

// Deadline returns how long a request to the service may take.
func (s *Service) Deadline() time.Duration {
	return time.Duration(s.DeadlineMs) * time.Millisecond
}

// Validate implements Object.
func (s *Service) Validate() []ValidationError {
	c := collector{id: s.ID()}
	c.name("name", string(s.Name))
	c.name("site", string(s.Site))
	c.check(len(s.Hosts) > 0 || s.Registered, "hosts", "must name at least one host")
	for _, h := range s.Hosts {
		c.host("hosts", h)
	}
	c.check(!s.Registered || len(s.Servers) == 0, "servers", "must be empty where servers register themselves")
	c.check(s.FloorShare >= 0 && s.FloorShare <= 1, "floorShare", "must lie between 0 and 1")
	c.check(s.Floor >= 0 && s.Floor <= len(s.Servers), "floor",
		fmt.Sprintf("must lie between 0 and the number of servers, %d", len(s.Servers)))
	c.check(s.DeadlineMs >= MinDeadlineMs && s.DeadlineMs <= MaxDeadlineMs, "deadlineMs",
		fmt.Sprintf("must lie between %d and %d", MinDeadlineMs, MaxDeadlineMs))
	seen := make(map[ServerName]bool, len(s.Servers))
	for i := range s.Servers {
		c.server(&s.Servers[i], i, seen)
	}
	return c.faults
}

func (c *collector) server(v *Server, i int, seen map[ServerName]bool) {
	at := fmt.Sprintf("servers[%d].", i)
	c.name(at+"name", string(v.Name))
	c.check(!seen[v.Name], at+"name", fmt.Sprintf("%q stands twice", v.Name))
	seen[v.Name] = true
	_, _, err := net.SplitHostPort(v.Address)
	c.check(err == nil, at+"address", fmt.Sprintf("%q must be host:port", v.Address))
	c.name(at+"dataCentre", string(v.DataCentre))
	c.check(v.Slots >= 1 && v.Slots <= MaxSlots, at+"slots",
		fmt.Sprintf("must lie between 1 and %d", MaxSlots))
}

// Account limits one client account. A missing account has the VM's defaults.
type Account struct {
	Name     AccountName `json:"name" yaml:"name"`
	Rate     float64     `json:"rate" yaml:"rate"`         // Requests a second.
	Burst    int         `json:"burst" yaml:"burst"`       // Requests at once after a rest.
	InFlight int         `json:"inFlight" yaml:"inFlight"` // Requests that run at once.
}

// ID implements Object.
func (a *Account) ID() ObjectID { return ObjectID{KindAccount, string(a.Name)} }

func (a *Account) object() {}

// Validate implements Object.
func (a *Account) Validate() []ValidationError {
	c := collector{id: a.ID()}
	c.name("name", string(a.Name))
	c.check(a.Rate > 0 && a.Rate <= 1e6, "rate", "must lie above 0 and up to 1000000 a second")
	c.check(a.Burst >= 1 && a.Burst <= 1e6, "burst", "must lie between 1 and 1000000")
	c.check(a.InFlight >= 1 && a.InFlight <= 1e6, "inFlight", "must lie between 1 and 1000000")
	return c.faults
}

// collector gathers the faults of one object.
type collector struct {
	id     ObjectID
	faults []ValidationError
}

func (c *collector) check(ok bool, field, detail string) {
	if !ok {
		c.faults = append(c.faults, ValidationError{c.id, field, detail})
	}
}

func (c *collector) host(field, h string) {
	c.check(h != "" && h == strings.ToLower(h) && !strings.ContainsAny(h, "/: "), field,
		fmt.Sprintf("%q must be a host name in small letters without a port", h))
}

// maxNameLen bounds a name in bytes.
const maxNameLen = 63

func (c *collector) name(field, s string) {
	ok := s != "" && len(s) <= maxNameLen && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
	c.check(ok, field, fmt.Sprintf("%q must be 1 to %d of a-z, 0-9 and -", s, maxNameLen))
}

// CallerLimits bound what callers may send and how long they may take. Zero
// stands for the VM's own setting.
type CallerLimits struct {
	HeaderBytes     int   `json:"headerBytes,omitempty" yaml:"headerBytes,omitempty"`
	BodyBytes       int64 `json:"bodyBytes,omitempty" yaml:"bodyBytes,omitempty"`
	HeaderTimeoutMs int64 `json:"headerMs,omitempty" yaml:"headerMs,omitempty"` // To send a request's header.
	IdleTimeoutMs   int64 `json:"idleMs,omitempty" yaml:"idleMs,omitempty"`     // That a kept connection may rest.
}

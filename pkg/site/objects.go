// Package site defines the configuration objects of a site (the site itself, its
// services, rules and routes, and the limits of client accounts) and the
// directory that matches requests to them.
package site

import (
	"fmt"
	"math"
	"net"
	"strings"
	"time"
)

// Name is the name of a site.
type Name string

// ServiceName is the name of a service, unique in a site.
type ServiceName string

// ServerName is the name of a backend server, unique in a service.
type ServerName string

// RuleName is the name of a rule, unique in a site.
type RuleName string

// AccountName is the name of a client account.
type AccountName string

// DataCentre is the name of a data centre of a site.
type DataCentre string

// Object is a configuration object: *Site, *Service, *Rule, *Route or *Account.
type Object interface {
	// ID returns the kind and the name, which together identify the object in a
	// site.
	ID() ObjectID
	// Validate checks the object by itself, without the other objects.
	Validate() []ValidationError
	object()
}

// Kind is the type of a configuration object.
type Kind string

// Kinds of configuration objects.
const (
	KindSite    Kind = "site"
	KindService Kind = "service"
	KindRule    Kind = "rule"
	KindRoute   Kind = "route"
	KindAccount Kind = "account"
)

// ObjectID identifies a configuration object in a site.
type ObjectID struct {
	Kind Kind   `json:"kind" yaml:"kind"`
	Name string `json:"name" yaml:"name"`
}

// String returns the kind and the name, separated by a space.
func (id ObjectID) String() string { return string(id.Kind) + " " + id.Name }

// ValidationError describes an invalid field of an object and what is allowed.
type ValidationError struct {
	Object ObjectID
	Field  string
	Detail string
}

// Error returns the object, the field and the detail on one line.
func (e ValidationError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Object, e.Field, e.Detail)
}

// EjectionThreshold is the threshold, in nats, of the cumulative-sum (CUSUM) test
// that ejects servers. Its key in documents is "sureness". A healthy server exceeds
// a threshold of h nats at most once in e^h responses on average. Each additional
// nat delays the detection of a faulty server by about one slow response, or a
// quarter of a failed one.
type EjectionThreshold float64

// Limits and default of the ejection threshold.
const (
	MinEjectionThreshold     EjectionThreshold = 3
	DefaultEjectionThreshold EjectionThreshold = 10
	MaxEjectionThreshold     EjectionThreshold = 30
)

// Site is a set of data centres whose VMs serve the same services.
type Site struct {
	Name              Name              `json:"name" yaml:"name"`
	DataCentres       []DataCentre      `json:"dataCentres" yaml:"dataCentres"`
	EjectionThreshold EjectionThreshold `json:"sureness" yaml:"sureness"`
	Callers           CallerLimits      `json:"callers,omitzero" yaml:"callers,omitempty"`
	// RequireKeys is set if requests need the key of a client account, except on
	// anonymous routes.
	RequireKeys bool `json:"requireKeys,omitempty" yaml:"requireKeys,omitempty"`
}

// ID implements Object.
func (s *Site) ID() ObjectID { return ObjectID{KindSite, string(s.Name)} }

func (s *Site) object() {}

// Validate implements Object.
func (s *Site) Validate() []ValidationError {
	c := validator{id: s.ID()}
	c.name("name", string(s.Name))
	c.check(len(s.DataCentres) > 0, "dataCentres", "must list at least one data centre")
	c.check(s.EjectionThreshold >= MinEjectionThreshold && s.EjectionThreshold <= MaxEjectionThreshold, "sureness",
		fmt.Sprintf("must lie between %v and %v", MinEjectionThreshold, MaxEjectionThreshold))
	return c.errs
}

// Server is a backend server of a service.
type Server struct {
	Name       ServerName `json:"name" yaml:"name"`
	Address    string     `json:"address" yaml:"address"` // As host:port.
	DataCentre DataCentre `json:"dataCentre" yaml:"dataCentre"`
	Slots      int        `json:"slots" yaml:"slots"` // Most concurrent requests.
	// StartedMs is the time of the server's start in Unix milliseconds, or zero if
	// unknown. It distinguishes a restarted server, which no longer knows what it
	// ran before, from the previous process of the same name.
	StartedMs int64 `json:"startedMs,omitempty" yaml:"startedMs,omitempty"`
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name       ServiceName `json:"name" yaml:"name"`
	Site       Name        `json:"site" yaml:"site"`
	Hosts      []string    `json:"hosts" yaml:"hosts"`           // Host names of requests to the service.
	Floor      int         `json:"floor" yaml:"floor"`           // Fewest servers that must stay in use.
	DeadlineMs int64       `json:"deadlineMs" yaml:"deadlineMs"` // Timeout of a request, including all attempts.
	Servers    []Server    `json:"servers" yaml:"servers"`
	// Registered is set if the servers register themselves. Servers is then empty,
	// and requests reach the service by routes only.
	Registered bool `json:"registered,omitempty" yaml:"registered,omitempty"`
	// FloorShare is the share of the service's servers, between 0 and 1, that must
	// stay in use. It applies in addition to Floor, for services whose number of
	// servers changes.
	FloorShare float64 `json:"floorShare,omitempty" yaml:"floorShare,omitempty"`
}

// FloorOf returns how many of n servers must stay in use: the larger of Floor,
// capped at n, and FloorShare of n, rounded up.
func (s *Service) FloorOf(n int) int {
	return max(min(s.Floor, n), int(math.Ceil(s.FloorShare*float64(n))))
}

// Limits of Service.DeadlineMs and Route.TimeoutMs.
const (
	MinDeadlineMs = 10
	MaxDeadlineMs = 120_000
)

// MaxSlots is the highest number of slots of a server.
const MaxSlots = 10_000

// ID implements Object.
func (s *Service) ID() ObjectID { return ObjectID{KindService, string(s.Name)} }

func (s *Service) object() {}

// Timeout returns the timeout of a request to the service.
func (s *Service) Timeout() time.Duration {
	return time.Duration(s.DeadlineMs) * time.Millisecond
}

// Validate implements Object.
func (s *Service) Validate() []ValidationError {
	c := validator{id: s.ID()}
	c.name("name", string(s.Name))
	c.name("site", string(s.Site))
	c.check(len(s.Hosts) > 0 || s.Registered, "hosts", "must list at least one host")
	for _, h := range s.Hosts {
		c.host("hosts", h)
	}
	c.check(!s.Registered || len(s.Servers) == 0, "servers", "must be empty if servers register themselves")
	c.check(s.FloorShare >= 0 && s.FloorShare <= 1, "floorShare", "must lie between 0 and 1")
	c.check(s.Floor >= 0 && s.Floor <= len(s.Servers), "floor",
		fmt.Sprintf("must lie between 0 and the number of servers, %d", len(s.Servers)))
	c.check(s.DeadlineMs >= MinDeadlineMs && s.DeadlineMs <= MaxDeadlineMs, "deadlineMs",
		fmt.Sprintf("must lie between %d and %d", MinDeadlineMs, MaxDeadlineMs))
	seen := make(map[ServerName]bool, len(s.Servers))
	for i := range s.Servers {
		c.server(&s.Servers[i], i, seen)
	}
	return c.errs
}

func (c *validator) server(v *Server, i int, seen map[ServerName]bool) {
	prefix := fmt.Sprintf("servers[%d].", i)
	c.name(prefix+"name", string(v.Name))
	c.check(!seen[v.Name], prefix+"name", fmt.Sprintf("%q is defined more than once", v.Name))
	seen[v.Name] = true
	_, _, err := net.SplitHostPort(v.Address)
	c.check(err == nil, prefix+"address", fmt.Sprintf("%q must be host:port", v.Address))
	c.name(prefix+"dataCentre", string(v.DataCentre))
	c.check(v.Slots >= 1 && v.Slots <= MaxSlots, prefix+"slots",
		fmt.Sprintf("must lie between 1 and %d", MaxSlots))
}

// Account is a client account: the keys by which callers identify it, and its limits.
// Rate, Burst and InFlight are its limits in each VM. They are optional, but either all
// or none of them are set. Without them, an account that is identified by a key has no
// limits of its own in a VM, and any other one has the VM's default limits.
type Account struct {
	Name     AccountName `json:"name" yaml:"name"`
	Rate     float64     `json:"rate,omitempty" yaml:"rate,omitempty"`         // Requests per second.
	Burst    int         `json:"burst,omitempty" yaml:"burst,omitempty"`       // Capacity of the token bucket: requests accepted at once when it is full.
	InFlight int         `json:"inFlight,omitempty" yaml:"inFlight,omitempty"` // Most concurrent requests.
	// Keys holds the digests of the keys with which callers identify the account.
	Keys []KeyDigest `json:"keys,omitempty" yaml:"keys,omitempty"`
	// Priority replaces the priority of routes for the account's requests; nil keeps it.
	Priority *int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// Quota limits the account's requests over the whole fleet.
	Quota Quota `json:"quota,omitzero" yaml:"quota,omitempty"`
}

// KeyDigest is the SHA-256 digest of a client account's key, in lowercase hexadecimal.
type KeyDigest string

// Quota limits the requests of a client account over all VMs of a site. The zero value
// is no limit.
type Quota struct {
	Rate  RequestRate `json:"rate" yaml:"rate"`   // Requests per second.
	Burst int         `json:"burst" yaml:"burst"` // Requests beyond the rate that are accepted at once.
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// ID implements Object.
func (a *Account) ID() ObjectID { return ObjectID{KindAccount, string(a.Name)} }

func (a *Account) object() {}

// validator collects the validation errors of one object.
type validator struct {
	id   ObjectID
	errs []ValidationError
}

func (c *validator) check(ok bool, field, detail string) {
	if !ok {
		c.errs = append(c.errs, ValidationError{c.id, field, detail})
	}
}

func (c *validator) host(field, h string) {
	c.check(h != "" && h == strings.ToLower(h) && !strings.ContainsAny(h, "/: "), field,
		fmt.Sprintf("%q must be a lowercase host name without a port", h))
}

// maxNameLen is the highest length of a name in bytes.
const maxNameLen = 63

func (c *validator) name(field, s string) {
	ok := s != "" && len(s) <= maxNameLen && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
	c.check(ok, field, fmt.Sprintf("%q must consist of 1 to %d characters of a-z, 0-9 and -", s, maxNameLen))
}

// CallerLimits limits the size and the duration of callers' requests. Zero means
// the VM's own setting.
type CallerLimits struct {
	HeaderBytes     int   `json:"headerBytes,omitempty" yaml:"headerBytes,omitempty"`
	BodyBytes       int64 `json:"bodyBytes,omitempty" yaml:"bodyBytes,omitempty"`
	HeaderTimeoutMs int64 `json:"headerMs,omitempty" yaml:"headerMs,omitempty"` // Time in which a request's header must arrive.
	IdleTimeoutMs   int64 `json:"idleMs,omitempty" yaml:"idleMs,omitempty"`     // Time after which an idle connection is closed.
}

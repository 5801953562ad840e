package egress

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/journal"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// connectTimeout is how long a connection to a server may take before another VM is asked. It
// covers a round trip within a region and no retransmission.
const connectTimeout = 60 * time.Millisecond

// Errors of attempts of which no byte was sent to a server.
var (
	// ErrUnreachable means that other VMs, which reach other servers, do not reach this one
	// either.
	ErrUnreachable = errors.New("no VM reaches the server")
	// ErrUnconfirmed means that no other VM could tell whether the server can be reached.
	ErrUnconfirmed = errors.New("no other VM could tell whether the server can be reached")
	// ErrNoPath means that this VM is cut off from all servers and found no VM that is not.
	ErrNoPath = errors.New("this VM is cut off from the backend servers, and found no other VM that could carry the request")
)

// ErrCarrierLost means that the connection to the VM that carried a request failed, or that VM's
// link to the server. The server may have got the request, and nothing is known of the server.
var ErrCarrierLost = errors.New("the way through the VM that carried the request failed")

// Config holds the settings and dependencies of a Sender.
type Config struct {
	Self        roster.VM
	Dial        backend.Dialer
	TokenHeader string // Name of the header that holds Token.
	Token       string // The fleet's.
	Rand        *rand.Rand
	VMs         func() []roster.VM // The VMs of the fleet.
	Servers     func() []Target    // The servers that this VM knows.
	Journal     *journal.Journal
	Scope       tally.Scope
}

// Sender sends requests to servers, directly or through other VMs. It is safe for concurrent
// use.
type Sender struct {
	cfg      Config
	links    *Links
	carriers *Carriers
	failures *control.TTLMap[site.ServerName, error] // Searches that have lately found no VM which reaches a server.
	wake     chan struct{}                           // Signals that links must be checked.

	directAttempts  tally.Counter
	throughAttempts tally.Counter

	mu    sync.Mutex // Guards pools.
	pools map[string]*backend.ConnPool
}

// NewSender returns a sender. The caller must run its LinkChecker.
func NewSender(cfg Config) *Sender {
	attempts := func(path string) tally.Counter {
		return cfg.Scope.Tagged(map[string]string{"path": path}).Counter("attempts")
	}
	return &Sender{
		directAttempts: attempts("direct"), throughAttempts: attempts("through"),
		cfg: cfg, links: NewLinks(), carriers: NewCarriers(cfg.Self, cfg.Rand), failures: control.NewTTLMap[site.ServerName, error](failureMemory), wake: make(chan struct{}, 1),
		pools: make(map[string]*backend.ConnPool),
	}
}

// Attempt is a request that is to be sent to a server once.
type Attempt struct {
	Target  Target
	Request *backend.Request
	Options backend.Options
}

// Path is the way that an attempt has taken.
type Path struct {
	VM    roster.VMName // The VM that carried the attempt; empty if this VM sent it itself.
	Since time.Time     // When the attempt was sent on its way. What was tried before took no time of the server's.
}

// Send sends an attempt to its server. The error is a *backend.Error.
func (s *Sender) Send(ctx context.Context, a *Attempt) (*backend.Response, Path, error) {
	start := time.Now()
	resp, err := s.sendDirect(ctx, a)
	if !failedToConnect(ctx, err) {
		s.directAttempts.Inc(1)
		return resp, Path{Since: start}, err
	}
	s.throughAttempts.Inc(1)
	return s.sendThrough(ctx, a, err)
}

// failedToConnect reports whether an attempt had no connection to its server, and may still be
// sent.
func failedToConnect(ctx context.Context, err error) bool {
	e, ok := errors.AsType[*backend.Error](err)
	return ok && e.Connect && ctx.Err() == nil
}

// sendDirect sends an attempt over this VM's own link, as far as that is believed to be up.
func (s *Sender) sendDirect(ctx context.Context, a *Attempt) (*backend.Response, error) {
	o := a.Options
	o.ConnectTimeout = connectTimeout
	onConnect := o.OnConnect
	o.OnConnect = func(r backend.ConnectResult) {
		s.recordConnect(time.Now(), a.Target, r)
		if onConnect != nil {
			onConnect(r)
		}
	}
	switch use := s.links.Use(time.Now(), a.Target.Server.Name); {
	case use == NoConn, use == KeptConns && o.NewConn:
		return nil, backend.NewConnectError(errLinkDown)
	case use == KeptConns:
		o.KeptOnly = true
	}
	return s.connPool(a.Target.Server.Address).Send(ctx, a.Request, o)
}

// errLinkDown means that this VM's link to the server is known to be down.
var errLinkDown = errors.New("this VM's link to the server is down")

// recordConnect records the result of opening a connection to a server.
func (s *Sender) recordConnect(now time.Time, t Target, r backend.ConnectResult) {
	c, changed := s.links.Record(now, t, r)
	if !changed {
		return
	}
	n := t.Server.Name
	if c.Down {
		record.Log("egress: link to server down", "service", t.Service, "server", n, "result", r, "linksDown", c.LinksDown)
		if r == backend.ConnectTimedOut {
			s.connPool(t.Server.Address).CloseIdle() // What was open before is most likely dead too.
		}
	}
	if c.Up {
		record.Log("egress: link to server up", "service", t.Service, "server", n, "downFor", c.DownFor.Round(time.Millisecond), "linksDown", c.LinksDown)
	}
	if c.Isolated {
		s.reportIsolated(now, r, c)
	}
	if c.Reconnected {
		s.reportReconnected(now, n, c)
	}
	s.cfg.Scope.Gauge("linksDown").Update(float64(c.LinksDown))
	for range c.NeedsOthers {
		if o, ok := s.randomTarget(); ok && o.Server.Name != n {
			s.links.Doubt(o)
		}
	}
	if c.LinksDown > 0 {
		s.wakeChecker()
	}
}

func (s *Sender) reportIsolated(now time.Time, r backend.ConnectResult, c Change) {
	record.Log("egress: this VM is cut off from the backend servers", "result", r, "linksDown", c.LinksDown)
	s.cfg.Journal.Add(now, "vm "+string(s.cfg.Self.Name), fmt.Sprintf("cut off from the backend servers (connections: %s); requests go through other VMs", r))
	s.cfg.Scope.Gauge("cutOff").Update(1)
	if r == backend.ConnectTimedOut {
		s.CloseIdle()
	}
}

func (s *Sender) reportReconnected(now time.Time, n site.ServerName, c Change) {
	record.Log("egress: this VM reaches backend servers again", "server", n, "cutOffFor", c.IsolatedFor.Round(time.Millisecond))
	s.cfg.Journal.Add(now, "vm "+string(s.cfg.Self.Name), fmt.Sprintf("reaches backend servers again after %v", c.IsolatedFor.Round(time.Millisecond)))
	s.cfg.Scope.Gauge("cutOff").Update(0)
}

// randomTarget draws one of the servers that this VM knows.
func (s *Sender) randomTarget() (Target, bool) {
	all := s.cfg.Servers()
	if len(all) == 0 {
		return Target{}, false
	}
	return all[s.carriers.Draw(len(all))], true
}

// otherTargets draws another server of the same service, and one of another service, as far as
// there are such.
func (s *Sender) otherTargets(t Target) []Target {
	var same, others []Target
	for _, o := range s.cfg.Servers() {
		switch {
		case o.Server.Name == t.Server.Name:
		case o.Service == t.Service:
			same = append(same, o)
		default:
			others = append(others, o)
		}
	}
	var out []Target
	for _, group := range [][]Target{same, others} {
		if len(group) > 0 {
			out = append(out, group[s.carriers.Draw(len(group))])
		}
	}
	return out
}

// connPool returns the connection pool of a server or VM, creating it if necessary.
func (s *Sender) connPool(address string) *backend.ConnPool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[address]
	if !ok {
		p = backend.NewConnPool(address, s.cfg.Dial)
		s.pools[address] = p
	}
	return p
}

// CloseIdleTo closes the idle connections to a server.
func (s *Sender) CloseIdleTo(srv site.Server) { s.connPool(srv.Address).CloseIdle() }

// CloseIdle closes all idle connections.
func (s *Sender) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.CloseIdle()
	}
}

// Prune closes the connections that have exceeded their idle timeout and removes the
// connection pools that are then empty.
func (s *Sender) Prune(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.pools {
		if p.Prune(now) {
			delete(s.pools, address)
		}
	}
}

// Doubt has the link to a server checked at once, for example because it has been silent.
func (s *Sender) Doubt(t Target) {
	s.links.Doubt(t)
	s.wakeChecker()
}

// LinkFailed reports whether an attempt that has got nothing from a server since a time may have
// failed because of this VM's links.
func (s *Sender) LinkFailed(srv site.Server, since time.Time) bool {
	return s.links.FailedSince(srv.Name, since)
}

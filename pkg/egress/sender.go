package egress

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/journal"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// Limits of one attempt.
const (
	// connectTimeout is how long a connection to a server may take before another VM is asked.
	// It covers a round trip within a region and no retransmission.
	connectTimeout = 60 * time.Millisecond
	// vmConnectTimeout bounds opening a connection to another VM.
	vmConnectTimeout = 100 * time.Millisecond
	// maxSends is the number of VMs that are asked to run one attempt.
	maxSends = 6
	// askedAtOnce is the number of VMs that are asked at the same time whether they reach a
	// server, and askedRounds how often that is done for one attempt.
	askedAtOnce = 10
	askedRounds = 2
	// checkTimeout bounds the check of a server by another VM.
	checkTimeout = 300 * time.Millisecond
)

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
	failures *failures
	wake     chan struct{} // Signals that links must be checked.

	mu    sync.Mutex // Guards pools.
	pools map[string]*backend.ConnPool
}

// NewSender returns a sender. The caller must run its LinkChecker.
func NewSender(cfg Config) *Sender {
	return &Sender{
		cfg: cfg, links: NewLinks(), carriers: NewCarriers(cfg.Self, cfg.Rand), failures: newFailures(), wake: make(chan struct{}, 1),
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
		return resp, Path{Since: start}, err
	}
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
	resp, err := s.connPool(a.Target.Server.Address).Send(ctx, a.Request, o)
	if err == nil {
		s.cfg.Scope.Tagged(map[string]string{"path": "direct"}).Counter("attempts").Inc(1)
	}
	return resp, err
}

// errLinkDown means that this VM's link to the server is known to be down.
var errLinkDown = errors.New("this VM's link to the server is down")

// recordConnect records the result of opening a connection to a server.
func (s *Sender) recordConnect(now time.Time, t Target, r backend.ConnectResult) {
	c := s.links.Record(now, t, r)
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
	if c.LinksDown > 0 || c.Isolated {
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

// ownView returns the result of a connection that this VM reports to another one.
func (s *Sender) ownView(r Result) Result {
	if r != Reached && s.links.Isolated() {
		return CutOff
	}
	return r
}

// sendThrough sends an attempt through another VM. direct is the error of this VM's own
// attempt to connect.
func (s *Sender) sendThrough(ctx context.Context, a *Attempt, direct error) (*backend.Response, Path, error) {
	path := Path{Since: time.Now()}
	if err := s.failures.recent(time.Now(), a.Target.Server.Name); err != nil {
		return nil, path, backend.NewConnectError(fmt.Errorf("%w: %w", err, direct))
	}
	q := &search{sender: s, target: a.Target}
	for range maxSends {
		vm, ok := q.next(ctx)
		if !ok {
			break
		}
		path = Path{VM: vm.Name, Since: time.Now()}
		resp, result, err := s.sendVia(ctx, vm, a)
		switch result {
		case Answered, NoResponse, InvalidResponse:
			return resp, path, err
		default:
			q.add(result)
		}
	}
	if ctx.Err() != nil {
		return nil, path, backend.NewConnectError(ctx.Err())
	}
	return nil, Path{Since: path.Since}, s.reportNoPath(a, q, direct)
}

// reportNoPath returns the error of an attempt for which no VM was found.
func (s *Sender) reportNoPath(a *Attempt, q *search, direct error) error {
	err := q.failure()
	s.failures.add(time.Now(), a.Target.Server.Name, err)
	s.cfg.Scope.Counter("noPath").Inc(1)
	record.Log("egress: no path to server", "id", a.Request.ID, "server", a.Target.Server.Name, "asked", len(q.asked),
		"unreachable", q.unreachable, "cutOff", s.links.Isolated(), "direct", direct, "err", err)
	if errors.Is(err, ErrUnreachable) {
		s.links.Forget(a.Target.Server.Name)
	}
	return backend.NewConnectError(fmt.Errorf("%w: %w", err, direct))
}

// sendVia asks one VM to run an attempt. The error is set if the server may have got bytes of
// the request.
func (s *Sender) sendVia(ctx context.Context, vm roster.VM, a *Attempt) (*backend.Response, Result, error) {
	now := time.Now()
	s.carriers.Begin(vm.Name)
	defer s.carriers.End(vm.Name)
	c := &call{from: s.cfg.Self.Name, target: a.Target, newConn: a.Options.NewConn, request: a.Request, left: maxLeft}
	if deadline, ok := ctx.Deadline(); ok {
		c.left = deadline.Sub(now)
	}
	o := backend.Options{
		NewConn: a.Options.NewConn, ConnectTimeout: vmConnectTimeout, MaxBufferedBody: a.Options.MaxBufferedBody,
		BeforeWrite: a.Options.BeforeWrite,
		OnHead: func(_ int, reply http.Header) {
			if status, h, err := serverHeader(reply); err == nil && resultOf(reply) == Answered && a.Options.OnHead != nil {
				a.Options.OnHead(status, h)
			}
		},
	}
	resp, err := s.connPool(vm.Address).Send(ctx, s.newRequest(c), o)
	result := s.classify(time.Now(), vm, resp, err)
	s.cfg.Scope.Tagged(map[string]string{"path": "through"}).Counter("attempts").Inc(1)
	s.cfg.Scope.Tagged(map[string]string{"result": string(result)}).Counter("asked").Inc(1)
	record.LogSampled(now, record.Carried, "egress: asked another VM", "id", a.Request.ID, "server", a.Target.Server.Name,
		"vm", vm.Name, "result", result, "took", time.Since(now).Round(time.Millisecond))
	if result != Answered {
		return nil, result, s.errorOf(result, resp, err)
	}
	return s.serverResponse(resp)
}

// newRequest returns the request of a call to another VM.
func (s *Sender) newRequest(c *call) *backend.Request {
	path := PathCheck
	r := &backend.Request{Method: http.MethodPost, Host: string(s.cfg.Self.Name), Header: c.header()}
	if c.request != nil {
		path, r.Body, r.ID = PathAttempt, c.request.Body, c.request.ID
	}
	r.URL = urlOf(path)
	r.Header.Set(s.cfg.TokenHeader, s.cfg.Token)
	return r
}

// classify returns how a call ended, and records what it says of the VM.
func (s *Sender) classify(now time.Time, vm roster.VM, resp *backend.Response, err error) Result {
	if err != nil {
		return s.classifyError(now, vm, err)
	}
	result := resultOf(resp.Header)
	switch result {
	case Answered, Reached, NoResponse, InvalidResponse:
		s.carriers.Carried(now, vm.Name)
		s.links.Prove(now)
	case Busy:
		s.carriers.Pause(now, vm.Name, busyPause)
	case CutOff, Stopping, Malformed:
		s.carriers.Pause(now, vm.Name, cutOffPause)
	case Unreachable, Refused, Unlisted, Withheld:
	}
	return result
}

// classifyError returns how a call without a reply ended.
func (s *Sender) classifyError(now time.Time, vm roster.VM, err error) Result {
	e, ok := errors.AsType[*backend.Error](err)
	switch {
	case ok && e.Connect:
		s.carriers.Pause(now, vm.Name, cutOffPause)
		return CutOff
	case ok && e.Stage == backend.NotSent:
		return Withheld
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded): // The VM may be sound.
	default:
		s.carriers.Pause(now, vm.Name, cutOffPause)
	}
	if ok && e.Stage == backend.NoResponse {
		return NoResponse
	}
	return InvalidResponse
}

// errorOf returns the error of a call after which the server may have got bytes of the request,
// or nil.
func (s *Sender) errorOf(result Result, resp *backend.Response, err error) error {
	if result != NoResponse && result != InvalidResponse {
		return nil
	}
	if e, ok := errors.AsType[*backend.Error](err); ok {
		lost := backend.NewError(e.Stage, fmt.Errorf("%w: %w", ErrCarrierLost, e.Unwrap()))
		lost.Received = e.Received
		return lost
	}
	stage := backend.NoResponse
	if result == InvalidResponse {
		stage = backend.InvalidResponse
	}
	cause := errors.New(resp.Header.Get(headerDetail))
	if resp.Header.Get(headerLinkFailed) == "true" {
		cause = fmt.Errorf("%w: %w", ErrCarrierLost, cause)
	}
	e := backend.NewError(stage, cause)
	e.Reused = resp.Header.Get(headerReused) == "true"
	e.Received = resp.Header.Get(headerReceived) == "true"
	return e
}

// serverResponse returns the server's response in a reply.
func (s *Sender) serverResponse(reply *backend.Response) (*backend.Response, Result, error) {
	status, h, err := serverHeader(reply.Header)
	if err != nil {
		return nil, InvalidResponse, backend.NewError(backend.InvalidResponse, err)
	}
	resp := *reply
	resp.Status, resp.Header = status, h
	resp.CloseDelimited = reply.Header.Get(headerCloseDelimited) == "true"
	return &resp, Answered, nil
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

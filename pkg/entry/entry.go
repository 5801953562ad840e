// Package entry takes callers' requests, finds the pool for each and tells the
// caller truthfully what became of it.
package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"laburnumpick.org/pkg/account"
	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/caller"
	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/claim"
	"laburnumpick.org/pkg/dispatch"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/telemetry"
)

// Headers that callers may send.
const (
	// HeaderAccount names the client account.
	HeaderAccount = "Laburnumpick-Account"
	// HeaderDeadlineMs shortens the service's deadline, in milliseconds.
	HeaderDeadlineMs = "Laburnumpick-Deadline-Ms"
	// HeaderFirstAttempt is the caller's word, by the value "true", that it has
	// never sent the request's key before. Then a refusal while the store is
	// away can be told as not run.
	HeaderFirstAttempt = "Laburnumpick-First-Attempt"
)

// Paths that the entry answers itself.
const (
	PathHealth  = "/.laburnumpick/health"
	PathOutcome = "/.laburnumpick/outcome"
)

// Holder asks the VM that runs a keyed request how it ended.
type Holder interface {
	// Outcome waits up to wait for the end. An error means that the VM gave no
	// answer.
	Outcome(ctx context.Context, h claim.Holder, id claim.ID, a claim.AttemptID, wait time.Duration) (dispatch.Status, error)
}

// Limits bound what one VM takes.
type Limits struct {
	MaxRequests    int64 // Requests at once.
	VouchesPerSec  float64
	DefaultAccount account.Limits
}

// maxRules bounds the rules that metrics tell apart, since a site may have many
// thousands of routes.
const maxRules = 64

// Config is what an entry needs.
type Config struct {
	Self    roster.VM
	Site    site.Name
	Replica *catalog.Replica
	Holder  Holder
	Limits  func() Limits
	Tracer  trace.Tracer
	Scope   tally.Scope

	Dispatcher *dispatch.Dispatcher
	// Ready returns why this VM cannot serve callers, or "".
	Ready func() string
	// PlatformAge tells for how long this VM has not known the platform's state.
	PlatformAge func(now time.Time) time.Duration
	// FractionalRetry writes Retry-After with fractions of a second.
	FractionalRetry bool
}

// Entry is the handler for callers.
type Entry struct {
	cfg      Config
	limiter  *account.Limiter
	vouches  *account.Limiter
	inFlight atomic.Int64
	stopping atomic.Bool
	endsAt   atomic.Pointer[time.Time] // When the process ends, once it stops.
	rules    *telemetry.Values         // Of the tag of requests.
}

// New returns an entry.
func New(cfg Config) *Entry {
	return &Entry{cfg: cfg, limiter: account.NewLimiter(), vouches: account.NewLimiter(), rules: telemetry.NewValues(maxRules)}
}

// Stop turns the health answer, so that the balancer sends no new callers. The
// process ends at the given time: a request that may still run then is refused.
func (e *Entry) Stop(end time.Time) {
	e.endsAt.Store(&end)
	e.stopping.Store(true)
}

// refuseLate refuses a request that may run longer than this VM does.
func (e *Entry) refuseLate(now time.Time, runs time.Duration) *outcome.Failure {
	end := e.endsAt.Load()
	if end == nil || now.Add(runs).Before(*end) {
		return nil
	}
	return outcome.New(outcome.Overload, "this VM stops; come back at once to reach another one").WithRetryAfter(comeBack)
}

// comeBack is when a caller may come back that a stopping VM refused.
const comeBack = 20 * time.Millisecond

// InFlight returns how many callers' requests run.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathHealth:
		e.serveHealth(w)
	case PathOutcome:
		e.serveOutcome(w, r)
	default:
		e.serve(w, r)
	}
}

// serveHealth answers the balancer.
func (e *Entry) serveHealth(w http.ResponseWriter) {
	if why := e.Unready(); why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// Unready returns why this VM should get no new callers, or "".
func (e *Entry) Unready() string {
	switch {
	case e.stopping.Load():
		return "stopping"
	case e.cfg.Replica.State().Version == 0:
		return "no configuration yet"
	default:
		return e.cfg.Ready()
	}
}

// Health returns a handler that answers the balancer on any path.
func (e *Entry) Health() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { e.serveHealth(w) })
}

// exchange is one caller's request on its way.
type exchange struct {
	entry   *Entry
	w       http.ResponseWriter
	id      string
	site    site.Name
	match   site.Match
	account site.AccountName
	key     string
	first   bool // The caller says that the key is new.
	request *backend.Request
	print   quarantine.Fingerprint
	began   time.Time
	result  *dispatch.Result // Of the last run, or nil.
	status  int              // Of the server's answer that was passed on.
}

// askAt returns where the outcome of the exchange's key can be asked.
func (x *exchange) askAt() string {
	if x.key == "" {
		return ""
	}
	q := url.Values{"service": {string(x.match.Service)}, "key": {x.key}}
	return PathOutcome + "?" + q.Encode()
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := e.cfg.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	start := time.Now()
	x := &exchange{entry: e, w: w, id: requestID(r), site: e.cfg.Site, began: came(r, start)}
	span.SetAttributes(attribute.String("requestId", x.id), attribute.String("path", r.URL.Path))
	f := x.take(ctx, r)
	kind := "answered"
	if f != nil {
		kind = string(f.Kind)
		span.SetStatus(codes.Error, kind)
		x.refuse(f)
	}
	x.tell(time.Now(), r, f)
	e.count(x, kind, time.Since(x.began))
}

// count counts a request's end in the metrics. Histograms have no rule, since each
// set of tags costs memory.
func (e *Entry) count(x *exchange, kind string, took time.Duration) {
	scope := e.cfg.Scope.Tagged(map[string]string{"kind": kind, "priority": strconv.Itoa(x.match.Priority)})
	scope.Histogram("requestSeconds", telemetry.Seconds).RecordDuration(took)
	scope.Tagged(map[string]string{"rule": e.rules.Name(string(x.match.Rule))}).Counter("requests").Inc(1)
}

// tell accounts for what became of a request, with what decided it.
func (x *exchange) tell(now time.Time, r *http.Request, f *outcome.Failure) {
	st := x.entry.cfg.Replica.State()
	var server site.ServerName
	tries := 0
	if x.result != nil {
		server, tries = x.result.Server, x.result.Attempts
	}
	line := []any{
		"id", x.id, "rule", x.match.Rule, "service", x.match.Service, "server", server, "tries", tries,
		"took", now.Sub(x.began).Round(time.Millisecond), "config", st.Version,
	}
	if f == nil && x.status < http.StatusInternalServerError {
		record.Usual(now, record.Answered, "entry: answered", append(line, "status", x.status)...)
		return
	}
	line = append(line, "timeout", x.match.Timeout, "callerLeft", r.Header.Get(HeaderDeadlineMs),
		"configAge", now.Sub(st.Since).Round(time.Millisecond),
		"platformAge", x.entry.cfg.PlatformAge(now).Round(time.Millisecond))
	if f == nil {
		record.Notable("entry: server answered with a failure", append(line, "status", x.status)...)
		return
	}
	record.Notable("entry: failed", append(line, "kind", f.Kind, "outcome", f.Outcome(),
		"retryAfter", f.RetryDelay(), "detail", f.Detail())...)
}

// maxRequestID is the longest id of a request that is taken from its caller, in
// bytes.
const maxRequestID = 128

// requestID returns the caller's id of a request, or a new one.
func requestID(r *http.Request) string {
	if id := r.Header.Get(backend.HeaderRequestID); id != "" && len(id) <= maxRequestID {
		return id
	}
	return uuid.NewString()
}

// came returns when a request had come, where the listener tells.
func came(r *http.Request, now time.Time) time.Time {
	if at, ok := caller.Came(r.Context()); ok {
		return at
	}
	return now
}

// Parallel reports whether a request may run beside another one of its
// connection that has not been answered: it may be repeated.
func (e *Entry) Parallel(r *http.Request) bool {
	m, ok := e.cfg.Replica.State().Directory.Match(r.Host, r.Method, r.URL.Path, 0)
	return ok && m.Run == site.Repeatable
}

// refuse answers without a backend server's answer. A keyed request that did
// not run may be claimed again only once the clocks of all VMs have passed.
func (x *exchange) refuse(f *outcome.Failure) {
	if x.key != "" && f.Outcome() == outcome.NotRun && f.RetryDelay() > 0 {
		f.RetryAfter = max(f.RetryDelay(), 2*maxSkew)
	}
	outcome.Write(x.w, f, x.id, x.askAt(), x.entry.cfg.FractionalRetry)
}

// take bounds, reads and runs a request. It returns nil once an answer has
// been written.
func (x *exchange) take(ctx context.Context, r *http.Request) *outcome.Failure {
	e := x.entry
	if f := x.route(r); f != nil {
		return f
	}
	left := x.deadline(r)
	if f := e.refuseLate(time.Now(), left); f != nil {
		return x.vouched(ctx, f)
	}
	if e.inFlight.Add(1) > e.cfg.Limits().MaxRequests {
		e.inFlight.Add(-1)
		return x.vouched(ctx, outcome.New(outcome.Overload, "this VM runs as many requests as it may"))
	}
	defer e.inFlight.Add(-1)
	if wait := e.limiter.Enter(time.Now(), x.account, e.limits(x.account)); wait > 0 {
		f := outcome.New(outcome.AccountLimit, "account %q sends more than it may", x.account)
		return x.vouched(ctx, f.WithRetryAfter(wait))
	}
	defer e.limiter.Leave(x.account)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if f := x.readBody(r); f != nil {
		return f
	}
	if x.key != "" {
		return x.runKeyed(ctx)
	}
	a, res := x.run(ctx, nil)
	if a == nil {
		return res.Failure
	}
	x.write(a)
	return nil
}

// run runs the request on backend servers.
func (x *exchange) run(ctx context.Context, once *dispatch.Idempotency) (*backend.Response, *dispatch.Result) {
	a, res := x.entry.cfg.Dispatcher.Run(ctx, x.job(once))
	x.result = res
	return a, res
}

// job returns the request as the dispatcher runs it. once is nil for requests
// without a key.
func (x *exchange) job(once *dispatch.Idempotency) *dispatch.Job {
	j := &dispatch.Job{
		Match: x.match, Account: x.account, Fingerprint: x.print, Idempotency: once, Request: x.request,
	}
	if x.match.Target > 0 {
		j.Target = x.began.Add(x.match.Target)
	}
	return j
}

// route finds the service, the rule and the key.
func (x *exchange) route(r *http.Request) *outcome.Failure {
	st := x.entry.cfg.Replica.State()
	if st.Version == 0 {
		return outcome.New(outcome.CatalogNotReady, "this VM has no configuration yet")
	}
	var ok bool
	x.match, ok = st.Directory.Match(r.Host, r.Method, r.URL.Path, rand.Float64())
	if !ok {
		return outcome.New(outcome.NoSuchService, "nothing serves %q on host %q", r.URL.Path, r.Host)
	}
	if r.Header.Get("Upgrade") != "" {
		return outcome.New(outcome.Malformed, "protocol upgrades are not served")
	}
	x.account = accountOf(r)
	x.first = r.Header.Get(HeaderFirstAttempt) == "true"
	if x.match.Run == site.AtMostOnce && x.match.KeyHeader != "" {
		x.key = r.Header.Get(x.match.KeyHeader)
		if x.key == "" && x.match.KeyRequired {
			return outcome.New(outcome.KeyMissing, "rule %s asks for the header %s", x.match.Rule, x.match.KeyHeader)
		}
	}
	return nil
}

// accountOf returns the declared account, or one for the caller's address.
func accountOf(r *http.Request) site.AccountName {
	if a := r.Header.Get(HeaderAccount); a != "" {
		return site.AccountName(a)
	}
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		ip = r.RemoteAddr
	}
	return site.AccountName("ip:" + ip)
}

func (e *Entry) limits(a site.AccountName) account.Limits {
	if own := e.cfg.Replica.State().Directory.Account(a); own != nil {
		return account.Limits{Rate: own.Rate, Burst: own.Burst, InFlight: own.InFlight}
	}
	return e.cfg.Limits().DefaultAccount
}

// deadline returns the shorter of the route's and the caller's deadline, less
// what has passed since the request came.
func (x *exchange) deadline(r *http.Request) time.Duration {
	d := x.match.Timeout
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadlineMs), 10, 64)
	if err == nil && ms > 0 && ms < d.Milliseconds() {
		d = time.Duration(ms) * time.Millisecond
	}
	return d - time.Since(x.began)
}

// readBody takes the body, which the callers' server has read whole.
func (x *exchange) readBody(r *http.Request) *outcome.Failure {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return outcome.New(outcome.Malformed, "the body could not be read: %v", err)
	}
	h := make(http.Header, len(r.Header))
	dispatch.CopyHeader(h, r.Header)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // Keeps net/http from naming itself.
	}
	x.request = &backend.Request{
		Method: r.Method, URL: target(r),
		Host: r.Host, Header: h, Body: body, ID: x.id,
	}
	x.print = quarantine.NewFingerprint(x.match.Service, r.Method, x.request.URL.RequestURI(), body)
	return nil
}

// target returns a request's target as its caller wrote it.
func target(r *http.Request) *url.URL {
	u := &url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	if u.RequestURI() == r.RequestURI || !strings.HasPrefix(r.RequestURI, "/") || strings.HasPrefix(r.RequestURI, "//") {
		return u
	}
	return &url.URL{Opaque: r.RequestURI, Path: r.URL.Path}
}

// write passes a whole answer on to the caller.
func (x *exchange) write(a *backend.Response) {
	h := x.w.Header()
	dispatch.CopyResponseHeader(h, a)
	h.Set(outcome.HeaderOutcome, string(outcome.Answered))
	h.Set(outcome.HeaderRequestID, x.id)
	if at := x.askAt(); at != "" {
		h.Set(outcome.HeaderAskAt, at)
	}
	x.status = a.Status
	x.w.WriteHeader(a.Status)
	if err := dispatch.WriteBody(x.w, a); err != nil {
		panic(http.ErrAbortHandler) // A body that is cut short must look so.
	}
}

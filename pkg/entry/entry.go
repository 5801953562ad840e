// Package entry is the HTTP handler for callers. It routes each request to a
// service, applies the VM's limits, runs the request through the dispatcher and
// reports an outcome that the caller can rely on: a request is reported as not
// run only if it has not run and will not run.
package entry

import (
	"context"
	"io"
	"math/rand/v2"
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
	"laburnumpick.org/pkg/buffer"
	"laburnumpick.org/pkg/caller"
	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/claim"
	"laburnumpick.org/pkg/credential"
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
	// HeaderAccount names the client account, where the site requires no keys.
	HeaderAccount = backend.HeaderAccount
	// HeaderDeadlineMs shortens the service's deadline, in milliseconds.
	HeaderDeadlineMs = "Laburnumpick-Deadline-Ms"
	// HeaderFirstAttempt with the value "true" states that the caller has never
	// sent the request's key before. A refusal while the store is unavailable
	// can then be reported as not run.
	HeaderFirstAttempt = "Laburnumpick-First-Attempt"
)

// Paths that the entry serves itself.
const (
	PathHealth  = "/.laburnumpick/health"
	PathOutcome = "/.laburnumpick/outcome"
)

// HolderClient queries the VM that holds the claim on a key for the outcome of the
// request.
type HolderClient interface {
	// Outcome waits at most wait for the attempt to end. It returns an error if
	// the VM did not respond.
	Outcome(ctx context.Context, h claim.Holder, id claim.ID, attempt claim.AttemptID, wait time.Duration) (dispatch.Status, error)
}

// Limits bound the requests that one VM accepts.
type Limits struct {
	MaxRequests int64 // Concurrent requests.
	// ConfirmationsPerSecond bounds the key lookups and writes which confirm
	// that a refused request has not run.
	ConfirmationsPerSecond float64
	DefaultAccount         account.Limits
}

// maxRuleTags bounds the distinct values of the metrics' rule tag, since a site
// may have many thousands of routes.
const maxRuleTags = 64

// Config holds the settings and dependencies of an entry.
type Config struct {
	Self    roster.VM
	Site    site.Name
	Replica *catalog.Replica
	Holder  HolderClient
	Limits  func() Limits
	Tracer  trace.Tracer
	Scope   tally.Scope

	Dispatcher *dispatch.Dispatcher
	KeyScheme  credential.Scheme // With which callers send keys of client accounts.
	Quotas     Quotas
	// NotReadyReason returns why this VM cannot serve callers, or "".
	NotReadyReason func() string
	// PlatformAge returns for how long this VM has had no current view of the
	// platform's state; zero while it has one.
	PlatformAge func(now time.Time) time.Duration
	// FractionalRetry allows fractions of a second in the Retry-After header.
	FractionalRetry bool
}

// Entry is the http.Handler for callers' requests.
type Entry struct {
	cfg            Config
	limiter        *account.Limiter
	confirmLimiter *account.Limiter
	inFlight       atomic.Int64
	stopping       atomic.Bool
	stopsAt        atomic.Pointer[time.Time] // When the process exits; set once it is stopping.
	rules          *telemetry.TagValues      // Values of the rule tag of the metric "requests".
}

// New returns an entry.
func New(cfg Config) *Entry {
	return &Entry{cfg: cfg, limiter: account.NewLimiter(), confirmLimiter: account.NewLimiter(), rules: telemetry.NewTagValues(maxRuleTags)}
}

// Stop makes the health check fail, so that the load balancer sends no new
// callers. The process exits at the given time. From now on, requests that could
// still be running at that time are refused.
func (e *Entry) Stop(end time.Time) {
	e.stopsAt.Store(&end)
	e.stopping.Store(true)
}

// Stopping reports whether this VM is stopping.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// refusePastStop refuses a request that could outlast this VM. It returns nil if
// the request may run.
func (e *Entry) refusePastStop(now time.Time, maxDuration time.Duration) *outcome.Failure {
	end := e.stopsAt.Load()
	if end == nil || now.Add(maxDuration).Before(*end) {
		return nil
	}
	return outcome.New(outcome.Overload, "this VM is stopping; retry at once to reach another VM").WithRetryAfter(stoppingRetryAfter)
}

// stoppingRetryAfter is the retry delay for callers refused by a stopping VM.
const stoppingRetryAfter = 20 * time.Millisecond

// InFlight returns the number of callers' requests that are running.
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

// serveHealth answers the load balancer's health check.
func (e *Entry) serveHealth(w http.ResponseWriter) {
	if reason := e.NotReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// NotReadyReason returns why this VM should get no new callers, or "" if it
// should.
func (e *Entry) NotReadyReason() string {
	switch {
	case e.stopping.Load():
		return "stopping"
	case e.cfg.Replica.State().Version == 0:
		return "no configuration yet"
	default:
		return e.cfg.NotReadyReason()
	}
}

// Health returns a handler that answers the load balancer's health check on any
// path.
func (e *Entry) Health() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { e.serveHealth(w) })
}

// exchange is the state of one caller's request while it is handled.
type exchange struct {
	entry        *Entry
	w            http.ResponseWriter
	id           string
	site         site.Name
	config       *catalog.State        // The configuration that decides on the request.
	presented    *credential.Presented // What the caller presents as a key; nil if the site requires no keys.
	match        site.Match
	account      site.AccountName
	accountByKey *site.Account // The account that the request's key identifies; nil if it needs none.
	key          string
	firstAttempt bool // The caller declared that it has not sent the key before.
	request      *backend.Request
	identity     quarantine.Identity // Of the request, for its crashes.
	receivedAt   time.Time           // When the first byte of the request was read.
	result       *dispatch.Result    // Of the last run; nil if the request was never dispatched.
	overQuota    *overQuota          // Why the account's quota did not allow the request; nil if it did.
	status       int                 // Status of the response that was passed on to the caller.
}

// outcomeURL returns the path and query at which the outcome of the key can be
// queried, or "" for a request without a key.
func (x *exchange) outcomeURL() string {
	if x.key == "" {
		return ""
	}
	q := url.Values{"service": {string(x.match.Service)}, "key": {x.key}}
	return PathOutcome + "?" + q.Encode()
}

// serve handles a caller's request, and traces, logs and counts it.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	x := e.newExchange(w, r)
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := e.cfg.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	x.id, x.receivedAt = requestID(r), receiveTime(r, time.Now())
	span.SetAttributes(attribute.String("requestId", x.id), attribute.String("path", x.redact(r.URL.Path)))
	f := x.handle(ctx, r)
	kind := "answered"
	if f != nil {
		kind = string(f.Kind)
		span.SetStatus(codes.Error, kind)
		x.writeFailure(f)
	}
	x.logOutcome(time.Now(), r, f)
	e.countRequest(x, kind, time.Since(x.receivedAt))
}

// countRequest counts a completed request in the metrics. Histograms are not
// tagged with the rule, since each distinct set of tags costs memory.
func (e *Entry) countRequest(x *exchange, kind string, took time.Duration) {
	scope := e.cfg.Scope.Tagged(map[string]string{"kind": kind, "priority": strconv.Itoa(x.match.Priority)})
	scope.Histogram("requestSeconds", telemetry.DurationBuckets).RecordDuration(took)
	scope.Tagged(map[string]string{"rule": e.rules.Limit(string(x.match.Rule))}).Counter("requests").Inc(1)
}

// logOutcome logs how a request ended, with the values that explain the outcome.
func (x *exchange) logOutcome(now time.Time, r *http.Request, f *outcome.Failure) {
	st := x.config
	var server site.ServerName
	var via roster.VMName
	attempts := 0
	if x.result != nil {
		server, via, attempts = x.result.Server, x.result.Via, x.result.Attempts
	}
	fields := []any{
		"id", x.id, "rule", x.match.Rule, "service", x.match.Service, "server", server, "via", via, "tries", attempts,
		"took", now.Sub(x.receivedAt).Round(time.Millisecond), "config", st.Version,
	}
	if f == nil && x.status < http.StatusInternalServerError {
		record.LogSampled(now, record.Answered, "entry: answered", append(fields, "status", x.status)...)
		return
	}
	if x.overQuota != nil {
		x.overQuota.log(now, x.account, append(fields, "retryAfter", f.RetryDelay()))
		return
	}
	if x.presented != nil {
		fields = append(fields, "account", x.account)
	}
	fields = append(fields, "timeout", x.match.Timeout, "callerLeft", r.Header.Get(HeaderDeadlineMs),
		"configAge", now.Sub(st.Since).Round(time.Millisecond),
		"platformAge", x.entry.cfg.PlatformAge(now).Round(time.Millisecond))
	if f == nil {
		record.Log("entry: server answered with a failure", append(fields, "status", x.status)...)
		return
	}
	record.Log("entry: failed", append(fields, "kind", f.Kind, "outcome", f.Outcome(),
		"retryAfter", f.RetryDelay(), "detail", f.Detail())...)
}

// maxRequestID is the longest request id accepted from a caller, in bytes.
const maxRequestID = 128

// requestID returns the id that the caller sent, or a new one if it sent none or
// one that is too long.
func requestID(r *http.Request) string {
	if id := r.Header.Get(backend.HeaderRequestID); id != "" && len(id) <= maxRequestID {
		return id
	}
	return uuid.NewString()
}

// receiveTime returns when the request was received, or now if the callers' server
// did not record it.
func receiveTime(r *http.Request, now time.Time) time.Time {
	if at, ok := caller.ReceivedAt(r.Context()); ok {
		return at
	}
	return now
}

// Parallel reports whether a request may run while earlier requests of its
// connection are still unanswered. That holds for repeatable requests only.
func (e *Entry) Parallel(r *http.Request) bool {
	m, ok := e.cfg.Replica.State().Directory.Match(r.Host, r.Method, r.URL.Path, 0)
	return ok && m.Class == site.Repeatable
}

// writeFailure writes the error response for a failure.
//
// A freed key can be claimed only by attempts that are received more than maxSkew
// later, and the clock of the receiving VM may be behind by up to maxSkew. The
// caller of a keyed request that did not run is therefore told to wait at least
// twice that long before it retries.
func (x *exchange) writeFailure(f *outcome.Failure) {
	if x.key != "" && f.Outcome() == outcome.NotRun && f.RetryDelay() > 0 {
		f.RetryAfter = max(f.RetryDelay(), 2*maxSkew)
	}
	if f.Kind == outcome.Unauthorized {
		x.w.Header().Set(credential.HeaderChallenge, x.entry.cfg.KeyScheme.Challenge())
	}
	outcome.Write(x.w, f, x.id, x.outcomeURL(), x.entry.cfg.FractionalRetry)
}

// handle routes a request, applies the limits, reads its body and runs it. It
// returns nil once a response has been written.
func (x *exchange) handle(ctx context.Context, r *http.Request) *outcome.Failure {
	e := x.entry
	if f := x.route(r); f != nil {
		return f
	}
	left := x.timeLeft(r)
	if f := e.refusePastStop(time.Now(), left); f != nil {
		return x.refuseBeforeLookup(ctx, f)
	}
	if e.inFlight.Add(1) > e.cfg.Limits().MaxRequests {
		e.inFlight.Add(-1)
		return x.refuseBeforeLookup(ctx, outcome.New(outcome.Overload, "this VM is at its limit of concurrent requests"))
	}
	defer e.inFlight.Add(-1)
	if lim, limited := x.limits(); limited {
		if wait := e.limiter.Acquire(time.Now(), x.account, lim); wait > 0 {
			f := outcome.New(outcome.AccountLimit, "account %q exceeds its request limits", x.account)
			return x.refuseBeforeLookup(ctx, f.WithRetryAfter(wait))
		}
		defer e.limiter.Release(x.account)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if f := x.takeToken(ctx); f != nil {
		return x.refuseBeforeLookup(ctx, f)
	}
	if f := x.buildRequest(r); f != nil {
		return f
	}
	if x.key != "" {
		return x.runKeyed(ctx)
	}
	resp, res := x.run(ctx, nil)
	if resp == nil {
		return res.Failure
	}
	x.writeResponse(resp)
	return nil
}

// run runs the request on backend servers.
func (x *exchange) run(ctx context.Context, idem *dispatch.Idempotency) (*backend.Response, *dispatch.Result) {
	resp, res := x.entry.cfg.Dispatcher.Run(ctx, x.job(idem))
	x.result = res
	return resp, res
}

// job builds the dispatcher's job for the request. idem is nil for requests
// without a key.
func (x *exchange) job(idem *dispatch.Idempotency) *dispatch.Job {
	j := &dispatch.Job{
		Match: x.match, Account: x.account, Identity: x.identity, Idempotency: idem, Request: x.request,
		KeysRequired: x.presented != nil,
	}
	if x.accountByKey != nil {
		j.AccountOfKey = x.accountByKey.Name
	}
	if x.match.Target > 0 {
		j.Target = x.receivedAt.Add(x.match.Target)
	}
	return j
}

// route determines the service, the routing rule, the client account and the
// idempotency key of the request.
func (x *exchange) route(r *http.Request) *outcome.Failure {
	if f := x.checkReady(); f != nil {
		return f
	}
	var ok bool
	x.match, ok = x.config.Directory.Match(r.Host, r.Method, r.URL.Path, rand.Float64())
	if !ok {
		return outcome.New(outcome.NoSuchService, "no route matches path %q on host %q", x.redact(r.URL.Path), x.redact(r.Host))
	}
	if f := x.identify(r, !x.match.Anonymous); f != nil {
		return f
	}
	if r.Header.Get("Upgrade") != "" {
		return outcome.New(outcome.Malformed, "protocol upgrades are not supported")
	}
	x.firstAttempt = r.Header.Get(HeaderFirstAttempt) == "true"
	if x.match.Class == site.AtMostOnce && x.match.KeyHeader != "" {
		x.key = r.Header.Get(x.match.KeyHeader)
		if x.key == "" && x.match.KeyRequired {
			return outcome.New(outcome.KeyMissing, "rule %s requires the header %s", x.match.Rule, x.match.KeyHeader)
		}
	}
	return nil
}

// timeLeft returns the shorter of the route's timeout and the caller's deadline,
// less the time since the request was received.
func (x *exchange) timeLeft(r *http.Request) time.Duration {
	d := x.match.Timeout
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadlineMs), 10, 64)
	if err == nil && ms > 0 && ms < d.Milliseconds() {
		d = time.Duration(ms) * time.Millisecond
	}
	return d - time.Since(x.receivedAt)
}

// buildRequest builds the request for backend servers. The callers' server has
// already read the whole body.
func (x *exchange) buildRequest(r *http.Request) *outcome.Failure {
	body, err := readBody(r)
	if err != nil {
		return outcome.New(outcome.Malformed, "reading the request body: %v", err)
	}
	h := make(http.Header, len(r.Header))
	dispatch.CopyHeader(h, r.Header)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // Keeps net/http from adding its default User-Agent.
	}
	x.request = &backend.Request{
		Method: r.Method, URL: targetURL(r),
		Host: r.Host, Header: h, Body: body, ID: x.id,
	}
	x.identity = quarantine.Identify(&quarantine.Request{
		Method: r.Method, Host: r.Host, Target: x.request.URL.RequestURI(), Account: x.keyAccount(), Header: h, Body: body,
		KeyHeader: x.match.KeyHeader,
	})
	return nil
}

// readBody returns the request's body, which the callers' server has already read.
func readBody(r *http.Request) (buffer.Body, error) {
	if body, ok := caller.BodyOf(r); ok {
		return body, nil
	}
	data, err := io.ReadAll(r.Body)
	return buffer.NewBody(data), err
}

// targetURL returns a URL whose RequestURI is the request target as the caller
// sent it, also where parsing and encoding the path again would change it.
func targetURL(r *http.Request) *url.URL {
	u := &url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	if u.RequestURI() == r.RequestURI || !strings.HasPrefix(r.RequestURI, "/") || strings.HasPrefix(r.RequestURI, "//") {
		return u
	}
	return &url.URL{Opaque: r.RequestURI, Path: r.URL.Path}
}

// writeResponse passes a response on to the caller, with the headers that report the
// outcome.
func (x *exchange) writeResponse(resp *backend.Response) {
	h := x.w.Header()
	dispatch.CopyResponseHeader(h, resp)
	h.Set(outcome.HeaderOutcome, string(outcome.Answered))
	h.Set(outcome.HeaderRequestID, x.id)
	if at := x.outcomeURL(); at != "" {
		h.Set(outcome.HeaderAskAt, at)
	}
	x.status = resp.Status
	x.w.WriteHeader(resp.Status)
	if err := backend.WriteBody(x.w, resp); err != nil {
		panic(http.ErrAbortHandler) // The caller must be able to see that the body is truncated.
	}
}

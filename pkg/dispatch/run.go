package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/egress"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/telemetry"
)

// reachTimeout bounds the check whether a server that closed a connection without a
// response still accepts new ones.
const reachTimeout = 300 * time.Millisecond

// minDoubt is the least time without a response after which the link to a server is checked.
const minDoubt = 100 * time.Millisecond

// attempt is one attempt to run a job on one server.
type attempt struct {
	slot      Slot
	grant     pool.Granted
	startedAt time.Time
	endedAt   time.Time     // When the response was complete or had failed.
	sentAt    time.Time     // When the request was sent on the path that it took in the end.
	via       roster.VMName // The VM that carried the request; empty if this VM sent it itself.
	response  *backend.Response
	refusal   pool.DeclineReason // Set if the server refused the request before running its handler.
	err       *backend.Error
	report    pool.Report
	lostHedge atomic.Bool // Set if another server responded first.
	// needsVerdict is set if it is still to be found out whether the server has crashed. Nobody
	// waits for the attempt any more.
	needsVerdict bool
	cancel       context.CancelFunc // Cancels the attempt.
}

// notRun reports whether the server is known not to have run the request.
func (t *attempt) notRun() bool {
	return t.refusal != "" || (t.err != nil && t.err.Stage == backend.NotSent)
}

// Run runs a job. The response is nil if the result has a failure. The context
// must carry the job's deadline.
func (d *Dispatcher) Run(ctx context.Context, j *Job) (*backend.Response, *Result) {
	ctx, span := d.cfg.Tracer.Start(ctx, "dispatch", trace.WithAttributes(
		attribute.String("service", string(j.Match.Service)), attribute.String("requestId", j.Request.ID)))
	defer span.End()
	res := &Result{}
	var resp *backend.Response
	if j.Match.Class == site.Repeatable {
		resp = d.runRepeatable(ctx, j, res)
	} else {
		resp = d.runAtMostOnce(ctx, j, res)
	}
	if res.Failure != nil {
		span.SetStatus(codes.Error, string(res.Failure.Kind))
	}
	return resp, res
}

// recordRefusal sets the failure when the pool grants no slot. The failure of an
// earlier attempt takes precedence if the request may have run in it, unless the
// pool refuses the request because that request has crashed servers.
func recordRefusal(ctx context.Context, res *Result, r *pool.Refused) {
	if res.Failure != nil && res.Failure.Outcome() != outcome.NotRun && r.Kind != outcome.CrashedServers {
		return
	}
	kind, detail := r.Kind, r.Detail
	if errors.Is(ctx.Err(), context.Canceled) {
		kind, detail = outcome.Canceled, "the caller went away"
	}
	res.setFailure(outcome.New(kind, "%s", detail).WithRetryAfter(r.RetryAfter))
}

// addAttempt updates the result with a finished attempt.
func (res *Result) addAttempt(t *attempt) {
	if t.err == nil || t.err.Stage != backend.NotSent {
		res.Attempts++
	}
	res.Server, res.Via = t.grant.Server.Name, t.via
	if t.response == nil || t.response.Status >= http.StatusInternalServerError {
		res.ExcludedServers = append(slices.Clip(res.ExcludedServers), t.grant.Server.Name)
	}
}

// finishAttempt releases the slot, or leaves that to the reader of the body if
// the response is streamed.
func (d *Dispatcher) finishAttempt(ctx context.Context, j *Job, t *attempt) {
	if t.response == nil || t.response.BodyRemainder == nil {
		t.cancel()
		if t.needsVerdict {
			go d.releaseByVerdict(ctx, j, t)
			return
		}
		d.releaseAttempt(j, t, t.report)
		return
	}
	t.response.BodyRemainder = &slotReader{ReadCloser: t.response.BodyRemainder, release: func(err error) {
		t.endedAt = time.Now()
		// A body with a length may be late because the caller reads slowly.
		endless := t.response.CloseDelimited && errors.Is(ctx.Err(), context.DeadlineExceeded)
		broken := err != nil && (ctx.Err() == nil || endless)
		if broken {
			t.report = pool.Failed{Rule: j.Match.Rule, Detail: "response truncated: " + err.Error()}
		}
		t.cancel()
		if broken && (backend.IsConnEnd(err) || t.via != "") {
			go d.releaseByVerdict(ctx, j, t) // The caller's connection is closed at once.
			return
		}
		d.releaseAttempt(j, t, t.report)
	}}
}

// newAttempt returns an attempt in a granted slot, and its cancelable context.
func newAttempt(ctx context.Context, s Slot) (context.Context, *attempt) {
	ctx, cancel := context.WithCancel(ctx)
	return ctx, &attempt{slot: s, grant: s.Grant(), cancel: cancel}
}

// send sends a job to the granted server and classifies the result. At-most-once
// requests use a new connection.
func (d *Dispatcher) send(ctx context.Context, j *Job, t *attempt) {
	g := t.grant
	ctx, span := d.cfg.Tracer.Start(ctx, "server", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", string(g.Server.Name))))
	defer span.End()
	opts := backend.Options{
		NewConn: j.Match.Class != site.Repeatable, MaxBufferedBody: d.cfg.MaxBufferedBody, Contract: d.cfg.Contract,
		BeforeWrite: func(now time.Time) error { return d.checkBeforeWrite(ctx, now, j, g.Server) },
		OnConnect:   d.countConnect,
		OnHead:      func(status int, h http.Header) { d.observeHead(j, t, status, h) },
	}
	t.startedAt = time.Now()
	// A server that is silent for longer than usual may be behind a link that is down.
	doubt := time.AfterFunc(max(g.Timeout, minDoubt), func() { d.cfg.Egress.Doubt(t.target(j)) })
	defer doubt.Stop()
	resp, path, err := d.cfg.Egress.Send(ctx, &egress.Attempt{
		Target: t.target(j), Request: d.buildRequest(ctx, j, g.Server), Options: opts,
	})
	t.response, t.via, t.sentAt, t.endedAt = resp, path.VM, path.Since, time.Now()
	t.err, _ = errors.AsType[*backend.Error](err)
	if path.VM != "" {
		span.SetAttributes(attribute.String("via", string(path.VM)))
	}
	d.classify(ctx, j, t, time.Since(t.sentAt))
	if t.err != nil {
		span.SetStatus(codes.Error, t.err.Error())
	}
	d.reportAttempt(j, t, time.Since(t.startedAt))
}

// target returns the server that the attempt is sent to.
func (t *attempt) target(j *Job) egress.Target {
	return egress.Target{Service: j.Match.Service, Server: t.grant.Server}
}

// countConnect counts a new connection to a server by its result.
func (d *Dispatcher) countConnect(r backend.ConnectResult) {
	d.cfg.Scope.Tagged(map[string]string{"result": string(r)}).Counter("connects").Inc(1)
}

// reportAttempt updates the metrics and logs a failed attempt with the values
// that its classification is based on.
func (d *Dispatcher) reportAttempt(j *Job, t *attempt, took time.Duration) {
	scope := d.cfg.Scope.Tagged(map[string]string{"end": fmt.Sprintf("%T", t.report)[len("pool."):]})
	scope.Counter("tries").Inc(1)
	scope.Histogram("serverSeconds", telemetry.DurationBuckets).RecordDuration(took)
	if t.response != nil {
		return // Logged by the entry.
	}
	record.Log("dispatch: try failed", "id", j.Request.ID, "server", t.grant.Server.Name,
		"home", t.slot.Home(), "took", took.Round(time.Millisecond), "patience", t.grant.Timeout,
		"trial", t.grant.Probe, "beaten", t.lostHedge.Load(), "registry", d.cfg.Registry.State().Revision,
		"stage", stageName(t), "via", t.via, "reused", t.err != nil && t.err.Reused, "reason", t.failure().Detail())
}

// stageName returns how far a failed attempt got.
func stageName(t *attempt) string {
	if t.refusal != "" {
		return "refused"
	}
	return t.err.Stage.String()
}

// buildRequest returns the request with the headers for a server.
func (d *Dispatcher) buildRequest(ctx context.Context, j *Job, s site.Server) *backend.Request {
	r := *j.Request
	r.Header = r.Header.Clone()
	setAccount(r.Header, d.cfg.Contract, j)
	r.Header.Set(backend.HeaderRequestID, j.Request.ID)
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set(backend.HeaderDeadlineMs, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	if s.StartedMs != 0 && d.cfg.Contract.HeaderExpect != "" {
		r.Header.Set(d.cfg.Contract.HeaderExpect, string(s.Name))
	}
	if span := trace.SpanContextFromContext(ctx); span.IsSampled() {
		propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(r.Header))
	}
	return &r
}

// noPathRetryAfter is the suggested retry delay for callers of a VM that is cut off from all
// servers, with no other VM that could carry the request.
const noPathRetryAfter = time.Second

// isFinal reports whether no other server is worth trying after an attempt that was not sent.
func (t *attempt) isFinal() bool { return t.err != nil && errors.Is(t.err, egress.ErrNoPath) }

// failure returns the failure that is reported to the caller for an attempt without
// a response.
func (t *attempt) failure() *outcome.Failure {
	n := t.grant.Server.Name
	if e, withheld := t.withheld(); withheld {
		return withheldFailure(e)
	}
	switch {
	case t.refusal != "":
		return outcome.New(outcome.Overload, "server %s refused the request: %s", n, t.refusal)
	case t.err.Stage == backend.NotSent && errors.Is(t.err, context.Canceled):
		return outcome.New(outcome.Canceled, "the caller went away")
	case errors.Is(t.err, egress.ErrNoPath):
		return outcome.New(outcome.NoServer, "%v", egress.ErrNoPath).WithRetryAfter(noPathRetryAfter)
	case t.err.Stage == backend.NotSent && errors.Is(t.err, context.DeadlineExceeded):
		return outcome.New(outcome.DeadlinePassed, "the deadline passed before the request was sent")
	case t.err.Stage == backend.NotSent:
		return outcome.New(outcome.NoServer, "server %s: %v", n, t.err)
	case errors.Is(t.err, context.Canceled):
		return outcome.New(outcome.CallerDisconnected, "the caller went away while server %s ran the request", n)
	case t.err.Stage == backend.InvalidResponse:
		return outcome.New(outcome.InvalidResponse, "server %s: %v", n, t.err)
	case errors.Is(t.err, context.DeadlineExceeded):
		return outcome.New(outcome.ServerTimeout, "server %s did not respond before the deadline", n)
	default:
		return outcome.New(outcome.ServerLost, "server %s: %v", n, t.err)
	}
}

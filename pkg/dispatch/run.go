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
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/telemetry"
)

// reachTimeout bounds the look whether a server that cut a connection is down.
const reachTimeout = 300 * time.Millisecond

// try is one sending of a job to one server.
type try struct {
	seat    Seat
	grant   pool.Granted
	answer  *backend.Answer
	refusal pool.Refusal // Set where the server refused before its handler.
	err     *backend.Error
	report  pool.Report
	beaten  atomic.Bool        // Another server has answered first.
	cancel  context.CancelFunc // Ends the try.
}

// notRun reports whether the try is known not to have run.
func (t *try) notRun() bool {
	return t.refusal != "" || (t.err != nil && t.err.Stage == backend.NotSent)
}

// Run runs a job. The answer is nil where the result has a failure. The context
// must carry the job's deadline.
func (d *Dispatcher) Run(ctx context.Context, j *Job) (*backend.Answer, *Result) {
	ctx, span := d.cfg.Tracer.Start(ctx, "dispatch", trace.WithAttributes(
		attribute.String("service", string(j.Match.Service)), attribute.String("requestId", j.Request.ID)))
	defer span.End()
	res := &Result{}
	var a *backend.Answer
	if j.Match.Run == site.Repeatable {
		a = d.runRepeatable(ctx, j, res)
	} else {
		a = d.runOnce(ctx, j, res)
	}
	if res.Failure != nil {
		span.SetStatus(codes.Error, string(res.Failure.Kind))
	}
	return a, res
}

// acquire gets a slot for a job, for which it may have to wait.
func (d *Dispatcher) acquire(ctx context.Context, j *Job, res *Result) (Seat, *pool.Refused) {
	return d.ask(ctx, j, res, false)
}

// ask asks for a slot. With atOnce a job that would have to wait gets none.
func (d *Dispatcher) ask(ctx context.Context, j *Job, res *Result, atOnce bool) (Seat, *pool.Refused) {
	now := time.Now()
	a := &home.SlotRequest{
		RequestID: j.Request.ID, Service: j.Match.Service, VM: d.cfg.Holder.VM, DataCentre: d.cfg.DataCentre, Account: j.Account,
		Class: j.Match.Run, Rule: j.Match.Rule, Priority: j.Match.Priority, Fingerprint: j.Fingerprint,
		Exclude: append(slices.Clone(res.Failed), d.shun.All(now)...), AskedBefore: res.Asks > 0, Sends: res.Tries, Attempts: j.Match.Attempts, NoWait: atOnce,
		Key: j.unclaimed(d.cfg.Site, res),
	}
	res.Asks++
	if deadline, ok := ctx.Deadline(); ok {
		a.Left = deadline.Sub(now)
	}
	if !j.Target.IsZero() {
		a.TargetLeft = j.Target.Sub(now)
	}
	s, refused := d.cfg.Homes.Acquire(ctx, a)
	if refused != nil {
		return nil, refused
	}
	if d.departed(s.Grant().Server) {
		// The home has not heard yet what this VM has.
		d.release(j, s, pool.Declined{Why: pool.Drain})
		return d.askOther(ctx, j, res, atOnce, s.Grant().Server.Name)
	}
	return s, nil
}

// askOther asks again without a server that must get no request.
func (d *Dispatcher) askOther(ctx context.Context, j *Job, res *Result, atOnce bool, n site.ServerName) (Seat, *pool.Refused) {
	if slices.Contains(res.Failed, n) {
		return nil, &pool.Refused{Kind: outcome.NoServer, Detail: "the home grants servers that leave", RetryAfter: time.Second}
	}
	res.Failed = append(slices.Clip(res.Failed), n)
	return d.ask(ctx, j, res, atOnce)
}

// departed reports whether this VM knows that a server leaves, has gone or has
// started anew.
func (d *Dispatcher) departed(s site.Server) bool {
	if s.StartedMs == 0 {
		return false // It is not of those that register themselves.
	}
	l, ok := d.cfg.Registry.State().Server(s.Name)
	return !ok || l.Draining || l.Server.StartedMs > s.StartedMs || l.Server.Address != s.Address
}

// release gives a slot back.
func (d *Dispatcher) release(j *Job, s Seat, r pool.Report) {
	s.Release(home.GrantResult{
		Service: j.Match.Service, Grant: s.Grant().ID, Report: r, Fingerprint: j.Fingerprint, Request: j.target(),
	})
}

// refusedTry fills the result where the pool gave no slot. An earlier failed
// try is the better account of what happened, unless nothing ran in it.
func refusedTry(ctx context.Context, res *Result, r *pool.Refused) {
	if res.Failure != nil && res.Failure.Outcome() != outcome.NotRun && r.Kind != outcome.CrashedServers {
		return
	}
	kind, detail := r.Kind, r.Detail
	if errors.Is(ctx.Err(), context.Canceled) {
		kind, detail = outcome.Canceled, "the caller went away"
	}
	res.fail(outcome.New(kind, "%s", detail).After(r.RetryAfter))
}

// note takes a try that has ended into the result.
func (res *Result) note(t *try) {
	if t.err == nil || t.err.Stage != backend.NotSent {
		res.Tries++
	}
	res.Server = t.grant.Server.Name
	if t.answer == nil || t.answer.Status >= http.StatusInternalServerError {
		res.Failed = append(slices.Clip(res.Failed), t.grant.Server.Name)
	}
}

// finish gives the slot back, unless an answer still streams.
func (d *Dispatcher) finish(ctx context.Context, j *Job, t *try) {
	if t.answer == nil || t.answer.Rest == nil {
		t.cancel()
		d.release(j, t.seat, t.report)
		return
	}
	t.answer.Rest = &slotReader{ReadCloser: t.answer.Rest, done: func(err error) {
		if err != nil && ctx.Err() == nil {
			t.report = pool.Failed{Rule: j.Match.Rule, Detail: "answer cut short: " + err.Error()}
		}
		t.cancel()
		d.release(j, t.seat, t.report)
	}}
}

// newTry returns a try of a granted slot, with the context to send it in.
func newTry(ctx context.Context, s Seat) (context.Context, *try) {
	ctx, cancel := context.WithCancel(ctx)
	return ctx, &try{seat: s, grant: s.Grant(), cancel: cancel}
}

// send sends a job to the granted server and judges the answer. At-most-once
// requests use a new connection.
func (d *Dispatcher) send(ctx context.Context, j *Job, t *try) {
	g := t.grant
	ctx, span := d.cfg.Tracer.Start(ctx, "server", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", string(g.Server.Name))))
	defer span.End()
	opts := backend.Options{
		Fresh: j.Match.Run != site.Repeatable, MaxWhole: d.cfg.MaxWhole, Contract: d.cfg.Contract,
	}
	start := time.Now()
	a, err := d.link(g.Server.Address).Send(ctx, d.request(ctx, j, g.Server), opts)
	t.answer = a
	t.err, _ = errors.AsType[*backend.Error](err)
	d.judge(ctx, j, t, time.Since(start))
	if t.err != nil {
		span.SetStatus(codes.Error, t.err.Error())
	}
	d.tell(j, t, time.Since(start))
}

// tell accounts for a try, with what decided it.
func (d *Dispatcher) tell(j *Job, t *try, took time.Duration) {
	scope := d.cfg.Scope.Tagged(map[string]string{"end": fmt.Sprintf("%T", t.report)[len("pool."):]})
	scope.Counter("tries").Inc(1)
	scope.Histogram("serverSeconds", telemetry.Seconds).RecordDuration(took)
	if t.answer != nil {
		return // The entry's line tells of it.
	}
	record.Notable("dispatch: try failed", "id", j.Request.ID, "server", t.grant.Server.Name,
		"home", t.seat.Home(), "took", took.Round(time.Millisecond), "patience", t.grant.Patience,
		"trial", t.grant.Trial, "beaten", t.beaten.Load(), "registry", d.cfg.Registry.State().Revision,
		"stage", stageOf(t), "reused", t.err != nil && t.err.Reused, "reason", t.failure().Detail())
}

// stageOf says how far a failed try came.
func stageOf(t *try) string {
	if t.refusal != "" {
		return "refused"
	}
	return t.err.Stage.String()
}

// request builds the request for a server.
func (d *Dispatcher) request(ctx context.Context, j *Job, s site.Server) *backend.Request {
	r := *j.Request
	r.Header = r.Header.Clone()
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

// judge turns the end of a try into evidence.
func (d *Dispatcher) judge(ctx context.Context, j *Job, t *try, took time.Duration) {
	rule := j.Match.Rule
	if t.err == nil {
		d.judgeAnswer(j, t, took)
		return
	}
	silent := t.beaten.Load() && took >= t.grant.Patience
	if silent || (t.err.Stage == backend.NotSent && ctx.Err() == nil) {
		d.shun.Add(time.Now(), t.grant.Server.Name)
		d.link(t.grant.Server.Address).Flush() // The kept connections may be at fault.
	}
	switch {
	case silent:
		t.report = pool.Failed{Rule: rule, Took: took, Detail: "no answer long after the usual time"}
	case ctx.Err() != nil:
		t.report = pool.Dropped{Rule: rule, Took: took}
	case t.err.Stage == backend.NotSent:
		t.report = pool.Unreached{Detail: t.err.Error()}
	case t.err.Stage == backend.Sent && d.wentDown(ctx, t.grant.Server):
		t.report = pool.Unreached{Crashed: true}
	case t.err.Stage == backend.Sent && t.err.Reused:
		// A kept connection that ends while a request crosses it was most
		// likely closed for idleness.
		t.report = pool.Dropped{}
	default:
		t.report = pool.Failed{Rule: rule, Took: took, Detail: t.err.Error()}
	}
}

func (d *Dispatcher) judgeAnswer(j *Job, t *try, took time.Duration) {
	a := t.answer
	if why, refused := d.cfg.Contract.Refusal(a); refused {
		t.refusal = pool.Refusal(why)
		t.report = pool.Declined{Why: t.refusal}
		t.answer = nil
		if a.Rest != nil {
			_ = a.Rest.Close() // Nothing of it is of use.
		}
		return
	}
	if a.Status >= http.StatusInternalServerError {
		t.report = pool.Failed{
			Rule: j.Match.Rule, Took: took, Detail: fmt.Sprintf("status %d", a.Status), Answered: true,
		}
		return
	}
	t.report = pool.Served{Rule: j.Match.Rule, Took: took}
}

// wentDown reports whether a server that cut a connection refuses new ones.
func (d *Dispatcher) wentDown(ctx context.Context, s site.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	err := d.link(s.Address).Reach(ctx)
	return err != nil && ctx.Err() == nil
}

// failure says what a try that has no answer means for the caller.
func (t *try) failure() *outcome.Failure {
	n := t.grant.Server.Name
	switch {
	case t.refusal != "":
		return outcome.New(outcome.Overload, "server %s refused: %s", n, t.refusal)
	case t.err.Stage == backend.NotSent && errors.Is(t.err, context.Canceled):
		return outcome.New(outcome.Canceled, "the caller went away")
	case t.err.Stage == backend.NotSent && errors.Is(t.err, context.DeadlineExceeded):
		return outcome.New(outcome.DeadlinePassed, "the deadline passed before anything was sent")
	case t.err.Stage == backend.NotSent:
		return outcome.New(outcome.NoServer, "server %s: %v", n, t.err)
	case errors.Is(t.err, context.Canceled):
		return outcome.New(outcome.CallerLeft, "the caller went away while server %s ran the request", n)
	case t.err.Stage == backend.Broken:
		return outcome.New(outcome.AnswerBroken, "server %s: %v", n, t.err)
	case errors.Is(t.err, context.DeadlineExceeded):
		return outcome.New(outcome.ServerSilent, "server %s gave no answer in time", n)
	default:
		return outcome.New(outcome.ServerLost, "server %s: %v", n, t.err)
	}
}

package dispatch

import (
	"context"
	"net/http"
	"time"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/claim"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
)

// claimTimeout bounds the write of a claim. Its answer's loss must leave time
// to tell the caller.
const claimTimeout = time.Second

// runOnce sends a job to at most one server's handler. It goes on to another
// server only when the one before is known not to have run it.
func (d *Dispatcher) runOnce(ctx context.Context, j *Job, res *Result) *backend.Response {
	deadline, _ := ctx.Deadline()
	var claimed *run
	for {
		s, refused := d.acquire(ctx, j, res)
		if refused != nil {
			refusedTry(ctx, res, refused)
			break
		}
		if j.Idempotency != nil && claimed == nil {
			if claimed = d.claim(ctx, j, res, deadline); claimed == nil {
				d.release(j, s, pool.Dropped{})
				return nil
			}
		}
		// A VM that was paused since the claim must not send late.
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			d.release(j, s, pool.Dropped{})
			res.fail(outcome.New(outcome.DeadlinePassed, "the deadline passed before anything was sent"))
			break
		}
		try, t := newTry(ctx, s)
		d.send(try, j, t)
		d.finish(ctx, j, t)
		res.note(t)
		if t.answer != nil {
			res.Failure = nil
			d.endAnswered(claimed, t.answer)
			return t.answer
		}
		f := t.failure()
		res.fail(f)
		if !t.notRun() {
			d.endUnknown(claimed, f)
			return nil
		}
	}
	d.giveUp(ctx, claimed, res)
	return nil
}

// claim claims the job's key. It returns nil where the job must not be sent,
// with the result filled.
func (d *Dispatcher) claim(ctx context.Context, j *Job, res *Result, deadline time.Time) *run {
	ctx, span := d.cfg.Tracer.Start(ctx, "claim")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	b := claim.Request{
		ID: j.claimID(d.cfg.Site), Attempt: j.Idempotency.Attempt, Digest: j.Idempotency.Digest,
		BaseRevision: j.Idempotency.BaseRevision, SendDeadline: deadline,
	}
	d.cfg.Scope.Counter("claims").Inc(1)
	res.ClaimAttempted = true
	switch a := d.ledger.Claim(ctx, time.Now(), b).(type) {
	case claim.Written:
		return d.runs.begin(b, a.Revision)
	case claim.Conflict:
		res.ClaimConflict = true
		res.fail(outcome.New(outcome.InProgress, "another request with the same key came first"))
	case claim.NotWritten:
		res.fail(outcome.New(outcome.StoreAway, "the key could not be claimed: %v", a.Cause))
	case claim.Indeterminate:
		// The claim may land, so it has to be taken back; nothing was sent.
		d.runs.end(d.runs.begin(b, 0), nil)
		res.fail(outcome.New(outcome.StoreAway, "the key's claim got no answer: %v", a.Cause))
	}
	return nil
}

// giveUp releases a claim of which nothing was sent. Only once the table has
// it is "not run" true of the key.
func (d *Dispatcher) giveUp(ctx context.Context, x *run, res *Result) {
	if x == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	if a, won := d.ledger.Release(ctx, time.Now(), x.bid, x.rev).(claim.Written); won {
		close(x.done)
		d.runs.drop(x)
		res.ClaimReleased, res.BaseRevision = true, a.Revision
		return
	}
	d.runs.end(x, nil)
}

// endAnswered keeps an answer for resends. A body that streams is not kept.
func (d *Dispatcher) endAnswered(x *run, a *backend.Response) {
	if x == nil {
		return
	}
	k := claim.StoredOutcome{
		Outcome: outcome.Answered, Status: a.Status, Header: keptHeader(a.Header), Body: a.Body,
	}
	if a.BodyRemainder != nil || len(k.Body) > claim.MaxStoredBody {
		k.Body, k.BodyOmitted = nil, true
	}
	d.runs.end(x, &k)
}

func (d *Dispatcher) endUnknown(x *run, f *outcome.Failure) {
	if x == nil {
		return
	}
	d.runs.end(x, &claim.StoredOutcome{Outcome: f.Outcome(), Kind: f.Kind, Detail: f.Detail()})
}

// keptHeader copies the lines of an answer's header that resends get.
func keptHeader(h http.Header) http.Header {
	out := make(http.Header)
	for _, n := range []string{"Content-Type", "Content-Language", "Content-Encoding", "Location", "Etag"} {
		if v := h.Values(n); len(v) > 0 {
			out[n] = v
		}
	}
	return out
}

// Ledger gives entries the same view of claims that the dispatcher has.
func (d *Dispatcher) Ledger() *claim.Ledger { return d.ledger }

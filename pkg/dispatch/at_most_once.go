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

// claimTimeout bounds the write of a claim or of its release, so that time is left
// to respond to the caller if the store's response is lost.
const claimTimeout = time.Second

// runAtMostOnce runs a job that must not run twice. It sends the job to another
// server only if the previous server is known not to have run it.
func (d *Dispatcher) runAtMostOnce(ctx context.Context, j *Job, res *Result) *backend.Response {
	deadline, _ := ctx.Deadline()
	var claimed *claimedRequest
	for {
		s, refused := d.waitForSlot(ctx, j, res)
		if refused != nil {
			recordRefusal(ctx, res, refused)
			break
		}
		if j.Idempotency != nil && claimed == nil {
			if claimed = d.claimKey(ctx, j, res, deadline); claimed == nil {
				d.releaseSlot(j, s, pool.Dropped{})
				return nil
			}
		}
		// The process may have been paused since the claim was written. Once the
		// deadline has passed, other VMs assume that this one no longer sends.
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			d.releaseSlot(j, s, pool.Dropped{})
			res.setFailure(outcome.New(outcome.DeadlinePassed, "the deadline passed before the request was sent"))
			break
		}
		attemptCtx, t := newAttempt(ctx, s)
		d.send(attemptCtx, j, t)
		d.finishAttempt(ctx, j, t)
		res.addAttempt(t)
		if t.response != nil {
			res.Failure = nil
			d.recordResponse(claimed, t.response)
			return t.response
		}
		f := t.failure()
		res.setFailure(f)
		if !t.notRun() {
			d.recordFailure(claimed, f)
			return nil
		}
		if t.isFinal() {
			break
		}
	}
	d.releaseClaim(ctx, claimed, res)
	return nil
}

// claimKey claims the job's idempotency key. If the job must not be sent, it
// returns nil and sets the failure in res.
func (d *Dispatcher) claimKey(ctx context.Context, j *Job, res *Result, deadline time.Time) *claimedRequest {
	ctx, span := d.cfg.Tracer.Start(ctx, "claim")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	req := claim.Request{
		ID: j.claimID(d.cfg.Site), Attempt: j.Idempotency.Attempt, Digest: j.Idempotency.Digest,
		BaseRevision: j.Idempotency.BaseRevision, SendDeadline: deadline,
	}
	d.cfg.Scope.Counter("claims").Inc(1)
	res.ClaimAttempted = true
	switch result := d.ledger.Claim(ctx, time.Now(), req).(type) {
	case claim.Written:
		return d.claimed.add(req, result.Revision)
	case claim.Conflict:
		res.ClaimConflict = true
		res.setFailure(outcome.New(outcome.InProgress, "another request with the same key was claimed first"))
	case claim.NotWritten:
		res.setFailure(outcome.New(outcome.StoreUnavailable, "the idempotency key could not be claimed: %v", result.Cause))
	case claim.Indeterminate:
		// The claim may still take effect. Nothing was sent, so the outcome writer
		// releases it.
		d.claimed.finish(d.claimed.add(req, 0), nil)
		res.setFailure(outcome.New(outcome.StoreUnavailable, "the idempotency key's claim has an unknown outcome: %v", result.Cause))
	}
	return nil
}

// releaseClaim releases a claim whose request was not run by any server. "Not
// run" is true of the key only after the release has been stored; otherwise the
// outcome writer repeats the write.
func (d *Dispatcher) releaseClaim(ctx context.Context, x *claimedRequest, res *Result) {
	if x == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	if a, written := d.ledger.Release(ctx, time.Now(), x.request, x.rev).(claim.Written); written {
		close(x.done)
		d.claimed.remove(x)
		res.ClaimReleased, res.BaseRevision = true, a.Revision
		return
	}
	d.claimed.finish(x, nil)
}

// recordResponse stores a response for replay to callers that repeat the request.
// Streamed and large bodies are omitted.
func (d *Dispatcher) recordResponse(x *claimedRequest, resp *backend.Response) {
	if x == nil {
		return
	}
	out := claim.StoredOutcome{
		Outcome: outcome.Answered, Status: resp.Status, Header: storedHeader(resp.Header), Body: resp.Body,
	}
	if resp.BodyRemainder != nil || len(out.Body) > claim.MaxStoredBody {
		out.Body, out.BodyOmitted = nil, true
	}
	d.claimed.finish(x, &out)
}

func (d *Dispatcher) recordFailure(x *claimedRequest, f *outcome.Failure) {
	if x == nil {
		return
	}
	d.claimed.finish(x, &claim.StoredOutcome{Outcome: f.Outcome(), Kind: f.Kind, Detail: f.Detail()})
}

// storedHeader returns the response headers that are stored for replay.
func storedHeader(h http.Header) http.Header {
	out := make(http.Header)
	for _, n := range []string{"Content-Type", "Content-Language", "Content-Encoding", "Location", "Etag"} {
		if v := h.Values(n); len(v) > 0 {
			out[n] = v
		}
	}
	return out
}

// Ledger returns the dispatcher's ledger, through which entries read and write
// claims.
func (d *Dispatcher) Ledger() *claim.Ledger { return d.ledger }

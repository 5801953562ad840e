package dispatch

import (
	"context"
	"errors"
	"time"

	"laburnumpick.org/pkg/egress"
	"laburnumpick.org/pkg/pool"
)

// hasCrashed reports whether a server that ran a request when the connection ended has gone down:
// it refuses connections, or no VM reaches it.
func hasCrashed(v egress.Verdict) bool {
	return v == egress.ServerRefuses || v == egress.ServerUnreachable
}

// classifyNoResponse returns the report about an attempt whose connection ended without a
// response. It finds out whether the server has crashed.
func (d *Dispatcher) classifyNoResponse(ctx context.Context, j *Job, t *attempt, took time.Duration) pool.Report {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	switch verdict := d.cfg.Egress.Check(ctx, t.target(j)); {
	case hasCrashed(verdict):
		return pool.Unreached{Crashed: true}
	case verdict == egress.ServerReachedElsewhere && t.via == "", verdict == egress.ServerUnknown:
		return pool.Dropped{} // The link has failed, not the server.
	case t.err.Reused && !t.err.Received:
		// The server most likely closed the reused connection because it was
		// idle, just as the request was sent.
		return pool.Dropped{}
	default:
		return pool.Failed{Rule: j.Match.Rule, Took: took, Detail: t.err.Error()}
	}
}

// classifyBroken returns the report about an attempt whose response broke off: the failure, unless
// the server has crashed.
func (d *Dispatcher) classifyBroken(ctx context.Context, j *Job, t *attempt, failed pool.Report) pool.Report {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reachTimeout)
	defer cancel()
	if hasCrashed(d.cfg.Egress.Check(ctx, t.target(j))) {
		return pool.Unreached{Crashed: true}
	}
	return failed
}

// classifyBlameless returns the report about an attempt that failed because of a link. The server may
// have crashed at the same time, which the links alone do not tell. If nobody waits for the attempt
// any more, the caller is not kept waiting for the answer.
func (d *Dispatcher) classifyBlameless(ctx context.Context, j *Job, t *attempt) pool.Report {
	if ctx.Err() != nil {
		t.needsVerdict = !errors.Is(ctx.Err(), context.Canceled)
		return pool.Dropped{}
	}
	return d.classifyBroken(ctx, j, t, pool.Dropped{})
}

// releaseByVerdict releases the slot of an attempt once it is known whether its server has crashed.
func (d *Dispatcher) releaseByVerdict(ctx context.Context, j *Job, t *attempt) {
	d.releaseAttempt(j, t, d.classifyBroken(ctx, j, t, t.report))
}

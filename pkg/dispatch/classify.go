package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/egress"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// classify sets the report that the pool gets about an attempt.
func (d *Dispatcher) classify(ctx context.Context, j *Job, t *attempt, took time.Duration) {
	if t.err == nil {
		d.classifyResponse(j, t, took)
		return
	}
	if e, withheld := t.withheld(); withheld {
		t.refusal = e.reason()
		t.report = pool.Declined{Reason: t.refusal}
		return
	}
	t.report = d.classifyError(ctx, j, t, took)
}

// classifyError returns the report about an attempt without a complete response.
func (d *Dispatcher) classifyError(ctx context.Context, j *Job, t *attempt, took time.Duration) pool.Report {
	timedOut := t.lostHedge.Load() && took >= t.grant.Timeout
	switch {
	case t.err.Stage == backend.NotSent:
		return d.classifyNotSent(ctx, j, t, took)
	case d.isBlameless(t):
		return d.classifyBlameless(ctx, j, t)
	case timedOut && d.linkIsDown(ctx, j, t):
		return pool.Dropped{}
	case timedOut:
		d.avoid(t.grant.Server)
		return pool.Failed{Rule: j.Match.Rule, Took: took, Detail: "no response after the attempt timeout; another server responded first"}
	case ctx.Err() != nil:
		return pool.Dropped{Rule: j.Match.Rule, Took: took}
	case t.err.Stage == backend.NoResponse:
		return d.classifyNoResponse(ctx, j, t, took)
	case t.err.Ended, t.via != "":
		return d.classifyBroken(ctx, j, t, pool.Failed{Rule: j.Match.Rule, Took: took, Detail: t.err.Error()})
	default:
		return pool.Failed{Rule: j.Match.Rule, Took: took, Detail: t.err.Error()}
	}
}

// classifyNotSent returns the report about an attempt of which no byte was sent. Only if other
// VMs do not reach the server either does it say anything about the server.
func (d *Dispatcher) classifyNotSent(ctx context.Context, j *Job, t *attempt, took time.Duration) pool.Report {
	switch {
	case ctx.Err() != nil:
		return pool.Dropped{Rule: j.Match.Rule, Took: took}
	case errors.Is(t.err, egress.ErrUnreachable):
		d.avoid(t.grant.Server)
		return pool.Unreached{Detail: t.err.Error()}
	default:
		return pool.Dropped{}
	}
}

// isBlameless reports whether an attempt without a complete response failed because of this VM's
// link to the server, or of the VM that carried the request.
func (d *Dispatcher) isBlameless(t *attempt) bool {
	if errors.Is(t.err, egress.ErrCarrierLost) {
		return true
	}
	return t.isSilent() && d.cfg.Egress.LinkFailed(t.grant.Server, t.startedAt)
}

// isSilent reports whether nothing came over this VM's own link to the server.
func (t *attempt) isSilent() bool { return t.via == "" && !t.err.Received }

// linkIsDown finds out whether this VM's link to the server of a silent attempt is down. Nobody
// waits for the attempt any more.
func (d *Dispatcher) linkIsDown(ctx context.Context, j *Job, t *attempt) bool {
	if !t.isSilent() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reachTimeout)
	defer cancel()
	return d.cfg.Egress.LinkDown(ctx, t.target(j), t.startedAt)
}

// avoid excludes a server from this VM's grants for a while, and closes the idle connections to
// it, which may be stale.
func (d *Dispatcher) avoid(s site.Server) {
	d.avoided.Add(time.Now(), s.Name)
	d.cfg.Egress.CloseIdleTo(s)
}

func (d *Dispatcher) classifyResponse(j *Job, t *attempt, took time.Duration) {
	resp := t.response
	if reason, refused := d.cfg.Contract.Refusal(resp); refused {
		t.refusal = d.refusalReason(pool.DeclineReason(reason), resp)
		t.report = pool.Declined{Reason: t.refusal}
		t.response = nil
		if resp.BodyRemainder != nil {
			_ = resp.BodyRemainder.Close() // The body of a refusal is not used.
		}
		return
	}
	if resp.Status >= http.StatusInternalServerError {
		t.report = pool.Failed{
			Rule: j.Match.Rule, Took: took, Detail: fmt.Sprintf("status %d", resp.Status), Answered: true,
		}
		return
	}
	t.report = pool.Served{Rule: j.Match.Rule, Took: took}
}

// refusalReason returns why a server refused a request: because of the limit that it names,
// because it wants no requests from this VM for a time, or else for the given reason. Invalid
// headers have been logged when the head came.
func (d *Dispatcher) refusalReason(r pool.DeclineReason, resp *backend.Response) pool.DeclineReason {
	if r != pool.Shed {
		return r
	}
	if l, _ := d.cfg.Contract.Limit(resp.Header); l.Named {
		return pool.Limited
	}
	if pause, _ := d.cfg.Contract.Pause(resp.Status, resp.Header); pause > 0 {
		return pool.Paused
	}
	return r
}

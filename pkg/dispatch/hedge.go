package dispatch

import (
	"context"
	"net/http"
	"time"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/outcome"
)

// hedgedRequest runs a repeatable request on one server after the other. If a
// server takes far longer than usual, the attempt continues and a second server
// with a free slot gets the request as well (a hedge). The first good response
// is used.
type hedgedRequest struct {
	d        *Dispatcher
	ctx      context.Context
	job      *Job
	res      *Result
	finished chan *attempt
	running  []*attempt
	// hedgeDue fires when the latest attempt exceeds its timeout.
	hedgeDue <-chan time.Time
	timer    *time.Timer
	// fallback is an attempt with a response that reports a server error. It is used if no
	// other server gives a better response.
	fallback *attempt
}

// maxConcurrentAttempts is how many servers may run one request at a time.
const maxConcurrentAttempts = 2

// runRepeatable runs a repeatable job until a response is usable or the pool
// grants no further slot, for example because the retry budget is exhausted.
func (d *Dispatcher) runRepeatable(ctx context.Context, j *Job, res *Result) *backend.Response {
	r := &hedgedRequest{d: d, ctx: ctx, job: j, res: res, finished: make(chan *attempt, maxConcurrentAttempts)}
	defer r.cancelRunning()
	for {
		if len(r.running) == 0 && !r.startNext() {
			return r.finalResponse()
		}
		select {
		case t := <-r.finished:
			if resp := r.handleFinished(t); resp != nil {
				return resp
			}
			if t.isFinal() && len(r.running) == 0 {
				return r.finalResponse()
			}
			if ctx.Err() != nil && len(r.running) == 0 {
				return r.finalResponse()
			}
		case <-r.hedgeDue:
			r.startHedge()
		}
	}
}

// startNext acquires a slot and starts an attempt. It reports whether a slot was
// granted.
func (r *hedgedRequest) startNext() bool {
	s, refused := r.d.waitForSlot(r.ctx, r.job, r.res)
	if refused != nil {
		recordRefusal(r.ctx, r.res, refused)
		return false
	}
	r.start(s)
	return true
}

// startHedge starts a second attempt beside a slow one if another server has a
// free slot. It does not queue for a slot.
func (r *hedgedRequest) startHedge() {
	r.hedgeDue = nil
	if len(r.running) >= maxConcurrentAttempts {
		return
	}
	withRunning := *r.res
	withRunning.Attempts += len(r.running)
	for _, t := range r.running {
		withRunning.ExcludedServers = append(withRunning.ExcludedServers[:len(withRunning.ExcludedServers):len(withRunning.ExcludedServers)], t.grant.Server.Name)
	}
	if s, refused := r.d.requestSlot(r.ctx, r.job, &withRunning, true); refused == nil {
		r.start(s)
	}
}

// start starts an attempt in a granted slot.
func (r *hedgedRequest) start(s Slot) {
	ctx, t := newAttempt(r.ctx, s)
	r.running = append(r.running, t)
	if s.Grant().MayRetry {
		r.armHedgeTimer(s.Grant().Timeout)
	}
	go func() {
		r.d.send(ctx, r.job, t)
		r.d.finishAttempt(r.ctx, r.job, t)
		r.finished <- t
	}()
}

func (r *hedgedRequest) armHedgeTimer(d time.Duration) {
	if r.timer != nil {
		r.timer.Stop()
	}
	c := make(chan time.Time, 1)
	r.hedgeDue = c
	r.timer = time.AfterFunc(d, func() { c <- time.Time{} })
}

// handleFinished records a finished attempt. It returns the response to use, or
// nil if another attempt may give a better one.
func (r *hedgedRequest) handleFinished(t *attempt) *backend.Response {
	r.remove(t)
	r.res.addAttempt(t)
	if t.response == nil {
		r.res.setFailure(t.failure())
		return nil
	}
	if t.response.Status < http.StatusInternalServerError || t.response.BodyRemainder != nil || (!t.grant.MayRetry && len(r.running) == 0) {
		r.res.Failure = nil
		return t.response
	}
	r.fallback = t
	r.res.setFailure(outcome.New(outcome.InvalidResponse, "server %s responded with status %d", t.grant.Server.Name, t.response.Status))
	return nil
}

func (r *hedgedRequest) remove(t *attempt) {
	for i, o := range r.running {
		if o == t {
			r.running = append(r.running[:i], r.running[i+1:]...)
			return
		}
	}
}

// finalResponse returns the fallback response, if any, when no further attempt
// is possible.
func (r *hedgedRequest) finalResponse() *backend.Response {
	if r.fallback == nil {
		return nil
	}
	r.res.Failure, r.res.Server, r.res.Via = nil, r.fallback.grant.Server.Name, r.fallback.via
	return r.fallback.response
}

// cancelRunning cancels the attempts that lost the hedge to another server.
func (r *hedgedRequest) cancelRunning() {
	if r.timer != nil {
		r.timer.Stop()
	}
	for _, t := range r.running {
		t.lostHedge.Store(true)
		t.cancel()
	}
}

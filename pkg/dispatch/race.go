package dispatch

import (
	"context"
	"net/http"
	"time"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/site"
)

// race is a repeatable request on its way to one server after the other. A
// server that takes far longer than usual is not given up: another one gets the
// request as well, if one has a slot free, and the first good answer counts.
type race struct {
	d       *Dispatcher
	ctx     context.Context
	job     *Job
	res     *Result
	ended   chan *try
	running []*try
	// hedge fires when the latest server should have answered.
	hedge <-chan time.Time
	timer *time.Timer
	// last is an answer that tells of a failure, and who gave it. It stands if no
	// server does better.
	last       *backend.Answer
	lastServer site.ServerName
}

// mostRunning is how many servers run one request at once.
const mostRunning = 2

// runRepeatable runs a repeatable job within the retry budget.
func (d *Dispatcher) runRepeatable(ctx context.Context, j *Job, res *Result) *backend.Answer {
	r := &race{d: d, ctx: ctx, job: j, res: res, ended: make(chan *try, mostRunning)}
	defer r.stop()
	for {
		if len(r.running) == 0 && !r.next() {
			return r.end()
		}
		select {
		case t := <-r.ended:
			if a := r.take(t); a != nil {
				return a
			}
			if ctx.Err() != nil && len(r.running) == 0 {
				return r.end()
			}
		case <-r.hedge:
			r.another()
		}
	}
}

// next gets a slot and starts a try. It reports false where there is none.
func (r *race) next() bool {
	s, refused := r.d.acquire(r.ctx, r.job, r.res)
	if refused != nil {
		refusedTry(r.ctx, r.res, refused)
		return false
	}
	r.start(s)
	return true
}

// another starts a second try beside one that takes long, if a server has a slot
// free.
func (r *race) another() {
	r.hedge = nil
	if len(r.running) >= mostRunning {
		return
	}
	with := *r.res
	with.Tries += len(r.running)
	for _, t := range r.running {
		with.Failed = append(with.Failed[:len(with.Failed):len(with.Failed)], t.grant.Server.Name)
	}
	if s, refused := r.d.ask(r.ctx, r.job, &with, true); refused == nil {
		r.start(s)
	}
}

// start sends the job to a granted server.
func (r *race) start(s Seat) {
	ctx, t := newTry(r.ctx, s)
	r.running = append(r.running, t)
	if s.Grant().MayRetry {
		r.arm(s.Grant().Timeout)
	}
	go func() {
		r.d.send(ctx, r.job, t)
		r.d.finish(r.ctx, r.job, t)
		r.ended <- t
	}()
}

func (r *race) arm(d time.Duration) {
	if r.timer != nil {
		r.timer.Stop()
	}
	c := make(chan time.Time, 1)
	r.hedge = c
	r.timer = time.AfterFunc(d, func() { c <- time.Time{} })
}

// take takes in a try that has ended. It returns the answer that stands, or nil
// where another try may do better.
func (r *race) take(t *try) *backend.Answer {
	r.drop(t)
	r.res.note(t)
	if t.answer == nil {
		r.res.fail(t.failure())
		return nil
	}
	if t.answer.Status < http.StatusInternalServerError || t.answer.Rest != nil || (!t.grant.MayRetry && len(r.running) == 0) {
		r.res.Failure = nil
		return t.answer
	}
	r.last, r.lastServer = t.answer, t.grant.Server.Name
	r.res.fail(outcome.New(outcome.AnswerBroken, "server %s answered with status %d", t.grant.Server.Name, t.answer.Status))
	return nil
}

func (r *race) drop(t *try) {
	for i, o := range r.running {
		if o == t {
			r.running = append(r.running[:i], r.running[i+1:]...)
			return
		}
	}
}

// end returns what stands where no server is left to try.
func (r *race) end() *backend.Answer {
	if r.last != nil {
		r.res.Failure, r.res.Server = nil, r.lastServer
	}
	return r.last
}

// stop ends the tries that another server has beaten.
func (r *race) stop() {
	if r.timer != nil {
		r.timer.Stop()
	}
	for _, t := range r.running {
		t.beaten.Store(true)
		t.cancel()
	}
}

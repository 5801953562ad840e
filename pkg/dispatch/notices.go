package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"laburnumpick.org/pkg/egress"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/site"
)

// observeNotice records whether the head of a response says that its server leaves, or wants
// no requests from this VM for a time.
func (d *Dispatcher) observeNotice(now time.Time, j *Job, t *attempt, status int, h http.Header) {
	if d.recordNotice(now, t.target(j), status, h) {
		t.slot.ReportNotices(j.Match.Service)
	}
}

// ObserveCarried records what the head of a response to another VM's request, which this VM
// carried, says about its server.
func (d *Dispatcher) ObserveCarried(now time.Time, t egress.Target, status int, h http.Header) {
	if status != http.StatusMisdirectedRequest {
		d.recordNotice(now, t, status, h)
	}
}

// recordNotice records what the head of a response says about its server. It reports whether
// the server leaves and the pool's home must be told at once.
func (d *Dispatcher) recordNotice(now time.Time, t egress.Target, status int, h http.Header) bool {
	leaving, leavingErr := d.cfg.Contract.Leaving(h)
	pause, pauseErr := d.cfg.Contract.Pause(status, h)
	n, s := t.Service, t.Server
	if err := errors.Join(leavingErr, pauseErr); err != nil {
		d.cfg.Scope.Counter("invalidNotices").Inc(1)
		record.Log("dispatch: response has an invalid header", "service", n, "server", s.Name,
			"reason", err, "leaving", leaving, "pause", pause)
	}
	if !d.cfg.Notices.Record(now, n, s, leaving, pause) {
		return false
	}
	if pause > 0 {
		d.cfg.Scope.Counter("pauses").Inc(1)
		record.Log("dispatch: server wants no requests from this VM", "service", n, "server", s.Name, "pause", pause)
	}
	if leaving {
		d.cfg.Scope.Counter("leavingServers").Inc(1)
		record.Log("dispatch: server says that it leaves", "service", n, "server", s.Name)
		d.cfg.Egress.CloseIdleTo(s)
	}
	return leaving
}

// CheckNotice returns an error if this VM must not send a request to a server.
func (d *Dispatcher) CheckNotice(now time.Time, t egress.Target) error {
	return d.checkNotice(now, t.Service, t.Server)
}

// withheldError means that a request was not written, because of what its server has told
// this VM.
type withheldError struct {
	server site.ServerName
	notice pool.Notice
}

// Error returns the reason.
func (e *withheldError) Error() string {
	if e.notice.Leaving {
		return fmt.Sprintf("server %s has said that it leaves", e.server)
	}
	return fmt.Sprintf("server %s wants no requests from this VM for %v", e.server, e.notice.Pause.Round(time.Millisecond))
}

// reason returns the reason for which the grant is declined.
func (e *withheldError) reason() pool.DeclineReason {
	if e.notice.Leaving {
		return pool.AnnouncedLeaving
	}
	return pool.Paused
}

// withheld returns why the attempt's request was not written, if the server has told this
// VM something that forbids it.
func (t *attempt) withheld() (*withheldError, bool) {
	if t.err == nil {
		return nil, false
	}
	return errors.AsType[*withheldError](t.err)
}

// checkNotice returns a *withheldError if this VM must not send a request to a server.
func (d *Dispatcher) checkNotice(now time.Time, n site.ServiceName, s site.Server) error {
	if notice, found := d.cfg.Notices.Check(now, n, s); found {
		return &withheldError{s.Name, notice}
	}
	return nil
}

// checkBeforeWrite returns an error if a request must not be written any more. Its grant may
// have waited, or this process may have been paused, since it was checked last.
func (d *Dispatcher) checkBeforeWrite(ctx context.Context, now time.Time, j *Job, s site.Server) error {
	if deadline, ok := ctx.Deadline(); ok && !now.Before(deadline) {
		return context.DeadlineExceeded
	}
	return d.checkNotice(now, j.Match.Service, s)
}

// declineGrant returns why this VM must not use a grant, or "".
func (d *Dispatcher) declineGrant(now time.Time, n site.ServiceName, s site.Server) pool.DeclineReason {
	if e, withheld := errors.AsType[*withheldError](d.checkNotice(now, n, s)); withheld {
		return e.reason()
	}
	if d.isUnlisted(s) {
		return pool.Unlisted
	}
	return ""
}

// withheldFailure returns the failure that is reported to the caller if the server has said
// that it leaves or wants no requests.
func withheldFailure(e *withheldError) *outcome.Failure {
	if e.notice.Leaving {
		return outcome.New(outcome.NoServer, "%v", e)
	}
	return outcome.New(outcome.ServerPauses, "%v", e).WithRetryAfter(e.notice.Pause)
}

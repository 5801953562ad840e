package egress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
)

// Limits of an attempt that goes through other VMs.
const (
	// vmConnectTimeout bounds opening a connection to another VM.
	vmConnectTimeout = 100 * time.Millisecond
	// maxSends is the number of VMs that are asked to run one attempt.
	maxSends = 6
)

// sendThrough sends an attempt through another VM. direct is the error of this VM's own
// attempt to connect.
func (s *Sender) sendThrough(ctx context.Context, a *Attempt, direct error) (*backend.Response, Path, error) {
	path := Path{Since: time.Now()}
	if err, failed := s.failures.Get(time.Now(), a.Target.Server.Name); failed {
		return nil, path, backend.NewConnectError(fmt.Errorf("%w: %w", err, direct))
	}
	q := &search{sender: s, target: a.Target}
	for range maxSends {
		vm, ok := q.next(ctx)
		if !ok {
			break
		}
		path = Path{VM: vm.Name, Since: time.Now()}
		resp, result, err := s.sendVia(ctx, vm, a)
		if result == Answered || err != nil {
			return resp, path, err
		}
		q.add(result)
	}
	if ctx.Err() != nil {
		return nil, path, backend.NewConnectError(ctx.Err())
	}
	return nil, Path{Since: path.Since}, s.reportNoPath(a, q, direct)
}

// reportNoPath returns the error of an attempt for which no VM was found.
func (s *Sender) reportNoPath(a *Attempt, q *search, direct error) error {
	err := q.failure()
	s.failures.Put(time.Now(), a.Target.Server.Name, err)
	s.cfg.Scope.Counter("noPath").Inc(1)
	record.Log("egress: no path to server", "id", a.Request.ID, "server", a.Target.Server.Name, "asked", len(q.asked),
		"unreachable", q.unreachable, "cutOff", s.links.Isolated(), "direct", direct, "err", err)
	if errors.Is(err, ErrUnreachable) {
		s.links.Forget(a.Target.Server.Name)
	}
	return backend.NewConnectError(fmt.Errorf("%w: %w", err, direct))
}

// sendVia asks one VM to run an attempt. The error is set if no other VM must be asked: the server
// may have got bytes of the request, or this VM must not send it any more.
func (s *Sender) sendVia(ctx context.Context, vm roster.VM, a *Attempt) (*backend.Response, Result, error) {
	now := time.Now()
	s.carriers.Begin(vm.Name)
	defer s.carriers.End(vm.Name)
	c := &call{from: s.cfg.Self.Name, target: a.Target, newConn: a.Options.NewConn, request: a.Request, left: maxLeft}
	if deadline, ok := ctx.Deadline(); ok {
		c.left = deadline.Sub(now)
	}
	o := backend.Options{
		NewConn: a.Options.NewConn, ConnectTimeout: vmConnectTimeout, MaxBufferedBody: a.Options.MaxBufferedBody,
		BeforeWrite: a.Options.BeforeWrite,
		OnHead: func(_ int, reply http.Header) {
			if status, h, err := serverHeader(reply); err == nil && resultOf(reply) == Answered && a.Options.OnHead != nil {
				a.Options.OnHead(status, h)
			}
		},
	}
	resp, err := s.connPool(vm.Address).Send(ctx, s.newRequest(c), o)
	result := s.classify(time.Now(), vm, resp, err)
	s.cfg.Scope.Tagged(map[string]string{"result": string(result)}).Counter("asked").Inc(1)
	record.LogSampled(now, record.Carried, "egress: asked another VM", "id", a.Request.ID, "server", a.Target.Server.Name,
		"vm", vm.Name, "result", result, "took", time.Since(now).Round(time.Millisecond))
	if result != Answered {
		return nil, result, s.errorOf(result, resp, err)
	}
	return s.serverResponse(resp)
}

// newRequest returns the request of a call to another VM.
func (s *Sender) newRequest(c *call) *backend.Request {
	path := PathCheck
	r := &backend.Request{Method: http.MethodPost, Host: string(s.cfg.Self.Name), Header: c.header()}
	if c.request != nil {
		path, r.Body, r.ID = PathAttempt, c.request.Body, c.request.ID
	}
	r.URL = &url.URL{Path: path}
	r.Header.Set(s.cfg.TokenHeader, s.cfg.Token)
	return r
}

// classify returns how a call ended, and records what it says of the VM.
func (s *Sender) classify(now time.Time, vm roster.VM, resp *backend.Response, err error) Result {
	if err != nil {
		return s.classifyError(now, vm, err)
	}
	result := resultOf(resp.Header)
	switch result {
	case Answered, Reached, NoResponse, InvalidResponse:
		s.carriers.Carried(now, vm.Name)
		s.links.Prove(now)
	case Busy:
		s.carriers.Pause(now, vm.Name, busyPause)
	case CutOff, Stopping, Malformed:
		s.carriers.Pause(now, vm.Name, cutOffPause)
	case Unreachable, Refused, Unlisted, Withheld:
	}
	return result
}

// classifyError returns how a call without a reply ended.
func (s *Sender) classifyError(now time.Time, vm roster.VM, err error) Result {
	e, ok := errors.AsType[*backend.Error](err)
	switch {
	case ok && e.Connect:
		s.carriers.Pause(now, vm.Name, cutOffPause)
		return CutOff
	case ok && e.Stage == backend.NotSent:
		return Withheld
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded): // The VM may be sound.
	default:
		s.carriers.Pause(now, vm.Name, cutOffPause)
	}
	if ok && e.Stage == backend.NoResponse {
		return NoResponse
	}
	return InvalidResponse
}

// errorOf returns the error of a call after which no other VM must be asked, or nil.
func (s *Sender) errorOf(result Result, resp *backend.Response, err error) error {
	e, failed := errors.AsType[*backend.Error](err)
	switch {
	case failed && e.Connect:
		return nil
	case failed && e.Stage == backend.NotSent:
		return e
	case failed:
		lost := backend.NewError(e.Stage, fmt.Errorf("%w: %w", ErrCarrierLost, e.Unwrap()))
		lost.Received = e.Received
		return lost
	case result == NoResponse, result == InvalidResponse:
		return replyError(result, resp)
	default:
		return nil
	}
}

// replyError returns the error of an attempt that another VM sent and that failed.
func replyError(result Result, resp *backend.Response) error {
	stage := backend.NoResponse
	if result == InvalidResponse {
		stage = backend.InvalidResponse
	}
	cause := errors.New(resp.Header.Get(headerDetail))
	if resp.Header.Get(headerLinkFailed) == "true" {
		cause = fmt.Errorf("%w: %w", ErrCarrierLost, cause)
	}
	e := backend.NewError(stage, cause)
	e.Reused = resp.Header.Get(headerReused) == "true"
	e.Received = resp.Header.Get(headerReceived) == "true"
	return e
}

// serverResponse returns the server's response in a reply.
func (s *Sender) serverResponse(reply *backend.Response) (*backend.Response, Result, error) {
	status, h, err := serverHeader(reply.Header)
	if err != nil {
		return nil, InvalidResponse, backend.NewError(backend.InvalidResponse, err)
	}
	resp := *reply
	resp.Status, resp.Header = status, h
	resp.CloseDelimited = reply.Header.Get(headerCloseDelimited) == "true"
	return &resp, Answered, nil
}

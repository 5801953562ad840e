package egress

import (
	"context"
	"errors"
	"time"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/roster"
)

// Verdict is what a check of a server has shown.
type Verdict int

// Verdicts.
const (
	// ServerReached means that this VM reaches the server.
	ServerReached Verdict = iota
	// ServerReachedElsewhere means that only another VM reaches the server, so that this VM's
	// link is down.
	ServerReachedElsewhere
	// ServerRefuses means that the server refuses connections, and has most likely crashed.
	ServerRefuses
	// ServerUnreachable means that neither this VM nor others reach the server.
	ServerUnreachable
	// ServerUnknown means that this VM does not reach the server, and that no other could be
	// asked.
	ServerUnknown
)

// Check finds out whether a server can be reached, by this VM or by another one. A server that
// refuses connections while another one of its service accepts them has most likely crashed; the
// requests that it ran must be known as suspects at once, so no other VM is asked then.
func (s *Sender) Check(ctx context.Context, t Target) Verdict {
	result := s.checkDirect(ctx, t)
	if result == backend.Connected {
		return ServerReached
	}
	if result == backend.ConnectionRefused && s.reachesPeerOf(ctx, t) {
		s.links.Forget(t.Server.Name)
		return ServerRefuses
	}
	q := &search{sender: s, target: t}
	if q.ask(ctx) {
		return ServerReachedElsewhere
	}
	if !errors.Is(q.failure(), ErrUnreachable) {
		return ServerUnknown
	}
	s.links.Forget(t.Server.Name)
	if result == backend.ConnectionRefused && q.refused == q.unreachable {
		return ServerRefuses
	}
	return ServerUnreachable
}

// reachesPeerOf reports whether this VM reaches another server of a server's service.
func (s *Sender) reachesPeerOf(ctx context.Context, t Target) bool {
	for _, o := range s.otherTargets(t) {
		if o.Service == t.Service {
			return s.checkDirect(ctx, o) == backend.Connected
		}
	}
	return false
}

// LinkDown finds out whether this VM's link is why an attempt, which was sent directly at a time,
// has got nothing from its server.
func (s *Sender) LinkDown(ctx context.Context, t Target, since time.Time) bool {
	if s.links.FailedSince(t.Server.Name, since) {
		return true
	}
	v := s.Check(ctx, t)
	return v == ServerReachedElsewhere || v == ServerUnknown
}

// checkDirect opens a connection to a server and closes it.
func (s *Sender) checkDirect(ctx context.Context, t Target) backend.ConnectResult {
	err := s.connPool(t.Server.Address).CheckReachable(ctx, connectTimeout)
	r := backend.ConnectResultOf(err)
	s.cfg.Scope.Tagged(map[string]string{"result": string(r)}).Counter("checks").Inc(1)
	s.recordConnect(time.Now(), t, r)
	return r
}

// checkVia asks another VM whether it reaches a server.
func (s *Sender) checkVia(ctx context.Context, vm roster.VM, t Target) Result {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	c := &call{from: s.cfg.Self.Name, target: t, newConn: true, left: checkTimeout}
	resp, err := s.connPool(vm.Address).Send(ctx, s.newRequest(c), backend.Options{
		ConnectTimeout: vmConnectTimeout, MaxBufferedBody: maxReplyBody,
	})
	return s.classify(time.Now(), vm, resp, err)
}

// checkTimeout bounds the check of a server by another VM.
const checkTimeout = 300 * time.Millisecond

// maxReplyBody bounds the body of a reply that holds no server's response, in bytes.
const maxReplyBody = 4 << 10

// checkTick is the time between two looks for links that must be checked.
const checkTick = 100 * time.Millisecond

// LinkChecker is the service that checks the links that are down. It sleeps while all are up.
type LinkChecker struct{ Sender *Sender }

// String names the service in logs.
func (LinkChecker) String() string { return "checker of links to backend servers" }

// Serve implements suture.Service.
func (k LinkChecker) Serve(ctx context.Context) error {
	s := k.Sender
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		}
		for !s.links.Idle() {
			for _, t := range s.links.TakeDue(time.Now(), s.randomTarget) {
				go s.checkDirect(ctx, t)
			}
			if err := control.Sleep(ctx, checkTick); err != nil {
				return err
			}
		}
		s.cfg.Scope.Gauge("linksDown").Update(0)
	}
}

// wakeChecker has the links checked that are due.
func (s *Sender) wakeChecker() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// resultOfConnect returns the result of a check for another VM.
func resultOfConnect(r backend.ConnectResult) Result {
	switch r {
	case backend.Connected:
		return Reached
	case backend.ConnectionRefused:
		return Refused
	default:
		return Unreachable
	}
}

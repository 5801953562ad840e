package dispatch

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/egress"
	"laburnumpick.org/pkg/notice"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/site"
)

// TestFailureAfterCallerDisconnects cancels the caller's context while a server
// runs the request. The failure must be attributed to the caller, not the server.
func TestFailureAfterCallerDisconnects(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conns := backend.NewConnPool("server:80", func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				cancel()
			}
		}()
		return near, nil
	})
	r := &backend.Request{Method: http.MethodGet, URL: &url.URL{Path: "/packs"}, Host: "packshelf", Header: http.Header{}, ID: "1"}
	_, err := conns.Send(ctx, r, backend.Options{})
	canceled := &attempt{}
	assert.Assert(t, errors.As(err, &canceled.err))
	assert.Equal(t, canceled.failure().Kind, outcome.CallerDisconnected)
	assert.Equal(t, canceled.failure().Outcome(), outcome.Unknown)
}

// TestResultNamesFallbackServer has one server respond with an error and a second,
// concurrent attempt get no response. The first response is returned, so the
// result must name the first server, although the second attempt ended later.
func TestResultNamesFallbackServer(t *testing.T) {
	attemptOn := func(n site.ServerName) *attempt {
		return &attempt{grant: pool.Granted{Server: site.Server{Name: n}, MayRetry: true}}
	}
	erring, silent := attemptOn("erring"), attemptOn("silent")
	erring.response = &backend.Response{Status: http.StatusInternalServerError}
	silent.err = &backend.Error{Stage: backend.NoResponse}
	r := &hedgedRequest{res: &Result{}, running: []*attempt{erring, silent}}
	assert.Assert(t, r.handleFinished(erring) == nil)
	assert.Assert(t, r.handleFinished(silent) == nil)
	assert.Equal(t, r.finalResponse(), erring.response)
	assert.Equal(t, r.res.Server, site.ServerName("erring"))
}

// TestLostResponseIsNotToldAsNotRun guards against a caller that is told that its request has not
// run, since a later attempt was not sent or was refused, although an earlier one may have run.
func TestLostResponseIsNotToldAsNotRun(t *testing.T) {
	lost := &attempt{err: backend.NewError(backend.NoResponse, errors.New("connection reset"))}
	unreached := &attempt{err: backend.NewConnectError(egress.ErrUnreachable)}
	unreached.grant.Server.Name = "other"
	refused := &attempt{refusal: pool.Shed}
	for _, later := range []*attempt{unreached, refused} {
		r := &hedgedRequest{res: &Result{}}
		assert.Assert(t, r.handleFinished(lost) == nil)
		assert.Assert(t, r.handleFinished(later) == nil)
		assert.Equal(t, r.res.Failure.Outcome(), outcome.Unknown, "%v", r.res.Failure)
		recordRefusal(context.Background(), r.res, &pool.Refused{Kind: outcome.NoServer})
		assert.Equal(t, r.res.Failure.Outcome(), outcome.Unknown, "%v", r.res.Failure)
	}
}

// TestWithheldRequests guards against a request that is written although its server has told
// this VM that it leaves or wants none, or although its deadline has passed while the process
// was paused.
func TestWithheldRequests(t *testing.T) {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	d := &Dispatcher{cfg: Config{Notices: notice.NewMemory(), Registry: registry.NewReplica()}}
	j := &Job{Match: site.Match{Service: "s"}}
	ctx, cancel := context.WithDeadline(context.Background(), now.Add(time.Second))
	defer cancel()
	free, leaving, pausing := site.Server{Name: "a", StartedMs: 1}, site.Server{Name: "b", StartedMs: 1}, site.Server{Name: "c", StartedMs: 1}
	d.cfg.Notices.Record(now, "s", leaving, true, 0)
	d.cfg.Notices.Record(now, "s", pausing, false, 300*time.Millisecond)
	check := func(now time.Time, s site.Server) error { return d.checkBeforeWrite(ctx, now, j, s) }
	assert.NilError(t, check(now, free))
	assert.ErrorIs(t, check(now.Add(time.Second), free), context.DeadlineExceeded)

	left := &attempt{err: withheldAttempt(t, check(now, leaving))}
	assert.Assert(t, left.notRun())
	assert.Equal(t, left.failure().Kind, outcome.NoServer)
	paused := &attempt{err: withheldAttempt(t, check(now, pausing))}
	assert.Equal(t, paused.failure().Kind, outcome.ServerPauses)
	assert.Equal(t, paused.failure().Outcome(), outcome.NotRun)
	assert.Equal(t, paused.failure().RetryDelay(), 300*time.Millisecond)
	assert.Equal(t, d.declineGrant(now, "s", leaving), pool.AnnouncedLeaving)
	assert.Equal(t, d.declineGrant(now, "s", pausing), pool.Paused)
	assert.NilError(t, check(now.Add(400*time.Millisecond), pausing))
}

// withheldAttempt returns the error of an attempt whose request was not written because of
// the given error.
func withheldAttempt(t *testing.T, cause error) *backend.Error {
	t.Helper()
	assert.Assert(t, cause != nil)
	conns := backend.NewConnPool("server:80", func(context.Context, string) (net.Conn, error) {
		near, _ := net.Pipe()
		return near, nil
	})
	r := &backend.Request{Method: http.MethodGet, URL: &url.URL{Path: "/packs"}, Host: "packshelf", Header: http.Header{}, ID: "1"}
	_, err := conns.Send(context.Background(), r, backend.Options{BeforeWrite: func(time.Time) error { return cause }})
	e, ok := errors.AsType[*backend.Error](err)
	assert.Assert(t, ok)
	return e
}

// TestOlderListDoesNotRejectARestartedServer guards against a VM that has not heard yet
// that a server has restarted and takes the home's newer knowledge for outdated.
func TestOlderListDoesNotRejectARestartedServer(t *testing.T) {
	listed := site.Server{Name: "s-1", Address: "10.0.0.1:80", StartedMs: 2000}
	with := func(edit func(*site.Server)) site.Server {
		s := listed
		edit(&s)
		return s
	}
	for _, c := range []struct {
		name     string
		granted  site.Server
		draining bool
		want     bool
	}{
		{"as listed", listed, false, false},
		{"draining", listed, true, true},
		{"the home knows a newer start", with(func(s *site.Server) { s.StartedMs = 3000 }), false, false},
		{"the home knows a newer start at another address", with(func(s *site.Server) { s.StartedMs, s.Address = 3000, "10.0.0.2:80" }), true, false},
		{"the home knows an older start", with(func(s *site.Server) { s.StartedMs = 1000 }), false, true},
		{"another address", with(func(s *site.Server) { s.Address = "10.0.0.2:80" }), false, true},
		{"not listed", with(func(s *site.Server) { s.Name = "s-2" }), false, true},
		{"a configured server", with(func(s *site.Server) { s.Name, s.StartedMs = "s-2", 0 }), false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := registry.NewReplica()
			e := registry.Entry{Service: "s", Server: listed, Draining: c.draining, Seq: 1}
			r.Apply(time.Now(), registry.Update{Full: true, Revision: 1, Entries: []registry.Entry{e}})
			d := &Dispatcher{cfg: Config{Registry: r}}
			assert.Equal(t, d.isUnlisted(c.granted), c.want)
		})
	}
}

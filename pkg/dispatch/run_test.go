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

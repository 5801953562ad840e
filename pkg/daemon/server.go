package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/buffer"
	"laburnumpick.org/pkg/caller"
	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/egress"
	"laburnumpick.org/pkg/settings"
)

// headerSlack is the ratio of net/http's header limit to the limit of the settings.
// A request whose header lies between the two limits gets the handler's response
// instead of net/http's.
const headerSlack = 4

// idleTimeout is how long a keep-alive connection may be idle.
const idleTimeout = 2 * time.Minute

// server is one HTTP listener as a suture service.
type server struct {
	name    string
	l       net.Listener
	http    *http.Server
	closing atomic.Bool
}

func newServer(name string, l net.Listener, h http.Handler, set *settings.Settings) *server {
	s := &server{name: name, l: l}
	s.http = &http.Server{
		Handler:           s.closeAfterResponse(h),
		ReadHeaderTimeout: set.Limits.CallerTimeout,
		ReadTimeout:       set.Limits.CallerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerSlack * set.Limits.HeaderBytes,
		ErrorLog:          klog.NewStandardLogger("INFO"),
		ConnContext:       backend.WithConn,
	}
	return s
}

// closeAfterResponse closes each keep-alive connection after its next response once
// the VM stops. Closing an idle connection could hit a request that the client has just
// sent.
func (s *server) closeAfterResponse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// disableKeepAlives makes connections close after their next response.
func (s *server) disableKeepAlives() { s.closing.Store(true) }

// String names the service in logs.
func (s *server) String() string { return "server for " + s.name }

// Serve implements suture.Service.
func (s *server) Serve(context.Context) error {
	err := s.http.Serve(s.l)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}

// shutdown waits for requests in flight and stops the server.
func (s *server) shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// callerService is the callers' server as a suture service.
type callerService struct {
	callers *caller.Server
	l       net.Listener
}

// String names the service in logs.
func (*callerService) String() string { return "server for callers" }

// Serve implements suture.Service. It returns once the listener has been closed.
func (s *callerService) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.l.Close() })
	defer stop()
	if err := s.callers.Serve(s.l); err != nil {
		return err
	}
	return suture.ErrDoNotRestart
}

// pruneInterval is the time between two searches for connections that have been
// idle too long.
const pruneInterval = 2 * time.Second

// pruner closes connections to backend servers and VMs that have been idle too long, and
// publishes what is held for bodies.
type pruner struct {
	egress  *egress.Sender
	buffers *buffer.Budget
	scope   tally.Scope
}

// Serve implements suture.Service.
func (p *pruner) Serve(ctx context.Context) error {
	for {
		if err := control.Sleep(ctx, pruneInterval); err != nil {
			return err
		}
		p.egress.Prune(time.Now())
		p.buffers.Publish(p.scope)
	}
}

package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/caller"
	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/dispatch"
	"laburnumpick.org/pkg/settings"
)

// headerSlack is how many times its limit a header may exceed before the
// connection's own limit cuts it off. Up to there the caller gets our answer.
const headerSlack = 4

// idleTime is how long a kept connection may rest.
const idleTime = 2 * time.Minute

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
		Handler:           s.lastAnswers(h),
		ReadHeaderTimeout: set.Limits.SlowCaller,
		ReadTimeout:       set.Limits.SlowCaller,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    headerSlack * set.Limits.HeaderBytes,
		ErrorLog:          klog.NewStandardLogger("INFO"),
	}
	return s
}

// lastAnswers ends each kept connection after one more answer once the VM
// stops, so that none is closed while a request may be crossing it.
func (s *server) lastAnswers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// close starts the end of kept connections.
func (s *server) close() { s.closing.Store(true) }

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

// shutdown lets requests in flight end.
func (s *server) shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// callerService serves callers as a suture service.
type callerService struct {
	callers *caller.Server
	l       net.Listener
}

// String names the service in logs.
func (*callerService) String() string { return "server for callers" }

// Serve implements suture.Service. It ends when Shutdown has closed the
// listener.
func (s *callerService) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.l.Close() })
	defer stop()
	if err := s.callers.Serve(s.l); err != nil {
		return err
	}
	return suture.ErrDoNotRestart
}

// pruneGap is the rest between two looks for connections that rest too long.
const pruneGap = 2 * time.Second

// pruner closes the connections to servers that rest too long.
type pruner struct{ dispatcher *dispatch.Dispatcher }

// Serve implements suture.Service.
func (p *pruner) Serve(ctx context.Context) error {
	for {
		if err := control.Sleep(ctx, pruneGap); err != nil {
			return err
		}
		p.dispatcher.Prune(time.Now())
	}
}

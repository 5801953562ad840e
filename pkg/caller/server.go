// Package caller is an HTTP/1 server for callers' connections.
//
// It parses requests with net/http but manages the connections itself, unlike
// http.Server. It keeps reading while a request runs, so that it notices at once
// when a caller disconnects, even one that has pipelined further requests. It stops
// reading only while a pipelined request waits for earlier ones. Responses are
// written in the order of the requests. A connection is closed only after the
// responses to all accepted requests, unless one of them could not be written
// completely or Shutdown runs out of time. Requests with ambiguous framing are
// refused.
package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"laburnumpick.org/pkg/buffer"
)

// Limits bound the size of requests and the time that callers may take.
type Limits struct {
	HeaderBytes   int           // Largest request header, in bytes.
	BodyBytes     int64         // Largest request body, in bytes.
	HeaderTimeout time.Duration // From a request's first byte to the end of its header.
	BodyTimeout   time.Duration // For the whole body.
	IdleTimeout   time.Duration // From one request to the next on a keep-alive connection.
	WriteTimeout  time.Duration // For one write of a piece of a response.
}

// Config holds the settings and dependencies of a server.
type Config struct {
	Handler http.Handler
	Limits  func() Limits
	// Parallel reports whether a request may run before the earlier requests of
	// its connection have been answered.
	Parallel func(*http.Request) bool
	// Buffers bounds the bytes of all bodies that are held.
	Buffers *buffer.Budget
	Scope   tally.Scope // May be nil.
}

// maxPipelined is the largest number of unanswered requests of one connection.
const maxPipelined = 16

// Server serves callers' connections. It supports pipelined requests.
type Server struct {
	cfg          Config
	ctx          context.Context // Parent of the contexts of all requests; canceled when Shutdown runs out of time.
	cancel       context.CancelFunc
	noKeepAlives atomic.Bool // Connections close after their next response.

	mu    sync.Mutex
	conns map[*conn]struct{}
	wg    sync.WaitGroup
}

// New returns a server that serves no listener yet.
func New(cfg Config) *Server {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{cfg: cfg, ctx: ctx, cancel: cancel, conns: make(map[*conn]struct{})}
}

// acceptRetryDelay is the pause after a failed Accept, for example when the process
// is out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			if ne, ok := errors.AsType[net.Error](err); ok && ne.Timeout() {
				continue
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConn(s, nc)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Go(func() {
			c.serve()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

// DisableKeepAlives makes each connection close after its next response that has no
// accepted request behind it.
func (s *Server) DisableKeepAlives() { s.noKeepAlives.Store(true) }

// CloseIdle closes the connections that have no unanswered or partly read request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Shutdown waits for the accepted requests to complete and closes each connection
// after its last response. When ctx ends, it cancels the remaining requests, closes
// their connections and returns ctx's error. It does not close listeners.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DisableKeepAlives()
	s.CloseIdle()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.cancel()
		s.mu.Lock()
		for c := range s.conns {
			c.stop()
		}
		s.mu.Unlock()
		return ctx.Err()
	}
}

// receivedAtKey is the context key of the time at which a request was received.
type receivedAtKey struct{}

// ReceivedAt returns when the first byte of a request was read, from the request's
// context.
func ReceivedAt(ctx context.Context) (time.Time, bool) {
	at, ok := ctx.Value(receivedAtKey{}).(time.Time)
	return at, ok
}

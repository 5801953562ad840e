// Package caller serves the connections of callers.
//
// It reads requests with net/http's parser but keeps the connections itself. It
// goes on reading while a request runs, so that it notices at once when a caller
// goes away, also one that has sent further requests ahead; it answers in the
// order of the requests; and it never closes a connection on a request that it
// has taken. Requests whose framing could be read in two ways are refused.
package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // From a request's first byte to the end of its header.
	BodyTimeout   time.Duration // To send a body.
	IdleTimeout   time.Duration // That a kept connection may rest.
	WriteTimeout  time.Duration // For the caller to take a piece of an answer.
}

// Config is what a server needs.
type Config struct {
	Handler http.Handler
	Limits  func() Limits
	// Parallel reports whether a request may run before those ahead of it on
	// its connection have been answered.
	Parallel func(*http.Request) bool
}

// mostAhead is how many requests of one connection run or wait at once.
const mostAhead = 16

// Server serves callers' connections.
type Server struct {
	cfg    Config
	ctx    context.Context // Of all requests; it ends with Close.
	cancel context.CancelFunc
	last   atomic.Bool // Each connection ends after one more answer.

	mu    sync.Mutex
	conns map[*conn]struct{}
	wg    sync.WaitGroup
}

// New returns a server.
func New(cfg Config) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{cfg: cfg, ctx: ctx, cancel: cancel, conns: make(map[*conn]struct{})}
}

// acceptPause is the rest after a failed accept, as when descriptors run out.
const acceptPause = 20 * time.Millisecond

// Serve takes connections until the listener is closed.
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
			time.Sleep(acceptPause)
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

// DisableKeepAlives lets each connection end after one more answer.
func (s *Server) DisableKeepAlives() { s.last.Store(true) }

// CloseIdle closes the connections on which nothing is under way.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.retire()
	}
}

// Shutdown lets the requests that were taken end, and closes every connection
// after its last answer. When the context ends it cuts what is left.
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
			_ = c.nc.Close()
		}
		s.mu.Unlock()
		return ctx.Err()
	}
}

// cameKey is the context's key of the time at which a request came.
type cameKey struct{}

// ReceivedAt returns when a request's first byte had been read.
func ReceivedAt(ctx context.Context) (time.Time, bool) {
	at, ok := ctx.Value(cameKey{}).(time.Time)
	return at, ok
}

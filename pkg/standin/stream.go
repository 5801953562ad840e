package standin

import (
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// deadline is a point in time that is safe for concurrent use.
type deadline struct {
	mu sync.Mutex
	at time.Time
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = t
}

func (d *deadline) passed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.at.IsZero() && !time.Now().Before(d.at)
}

// chunk is data, or the end of the stream, with its time of arrival.
type chunk struct {
	at   time.Time
	data []byte
	err  error
}

// stream carries one direction of a connection.
type stream struct {
	mu           sync.Mutex
	cond         *sync.Cond
	chunks       []chunk
	readerClosed bool
	aborted      bool
	deadline     time.Time
}

func newStream() *stream {
	s := &stream{}
	s.cond = sync.NewCond(&s.mu)
	return s
}

var errReset = &net.OpError{Op: "read", Net: "memory", Err: syscall.ECONNRESET}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case s.readerClosed:
			return 0, net.ErrClosed
		case !s.deadline.IsZero() && !now.Before(s.deadline):
			return 0, os.ErrDeadlineExceeded
		case len(s.chunks) > 0 && !s.chunks[0].at.After(now):
			return s.consume(p)
		case s.aborted:
			return 0, errReset
		}
		if len(s.chunks) > 0 {
			s.notifyAt(s.chunks[0].at)
		}
		s.cond.Wait()
	}
}

// consume reads from the first chunk. The caller must hold s.mu.
func (s *stream) consume(p []byte) (int, error) {
	c := &s.chunks[0]
	if c.err != nil {
		return 0, c.err
	}
	n := copy(p, c.data)
	c.data = c.data[n:]
	if len(c.data) == 0 {
		s.chunks = s.chunks[1:]
	}
	return n, nil
}

// notifyAt wakes blocked readers at time t. The caller must hold s.mu.
func (s *stream) notifyAt(t time.Time) {
	d := time.Until(t)
	if d <= 0 {
		// A timer that is already due crashes the race detector inside a
		// testing/synctest bubble.
		s.cond.Broadcast()
		return
	}
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cond.Broadcast()
	})
}

func (s *stream) write(p []byte, at time.Time) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readerClosed || s.aborted {
		return 0, &net.OpError{Op: "write", Net: "memory", Err: syscall.EPIPE}
	}
	s.chunks = append(s.chunks, chunk{at: at, data: append([]byte(nil), p...)})
	s.cond.Broadcast()
	return len(p), nil
}

func (s *stream) closeWriter(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chunks = append(s.chunks, chunk{at: at, err: io.EOF})
	s.cond.Broadcast()
}

func (s *stream) closeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerClosed = true
	s.cond.Broadcast()
}

// reset ends the stream. What has arrived can still be read.
func (s *stream) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborted = true
	now := time.Now()
	s.chunks = slices.DeleteFunc(s.chunks, func(c chunk) bool { return c.at.After(now) })
	s.cond.Broadcast()
}

func (s *stream) readable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readerClosed || s.aborted || (len(s.chunks) > 0 && !s.chunks[0].at.After(time.Now()))
}

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	s.cond.Broadcast()
	if !t.IsZero() {
		s.notifyAt(t)
	}
}

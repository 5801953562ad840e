package record

import (
	"io"
	"sync"
	"time"
)

// Writer passes lines on to another writer without ever waiting for it. A line
// for which the buffer has no room is dropped and counted.
type Writer struct {
	out  io.Writer
	size int

	mu      sync.Mutex
	more    *sync.Cond // Signals lines, an empty buffer or the end.
	pending [][]byte
	bytes   int
	busy    bool // A piece is being written.
	dropped int
	closed  bool
}

// NewWriter returns a writer that holds at most size bytes. Its goroutine ends
// with Close.
func NewWriter(out io.Writer, size int) *Writer {
	w := &Writer{out: out, size: size}
	w.more = sync.NewCond(&w.mu)
	go func() {
		for {
			piece, ok := w.next()
			if !ok {
				return
			}
			_, err := w.out.Write(piece) // A reader that is gone costs lines only.
			w.done(err != nil)
		}
	}()
	return w
}

// Write implements io.Writer. It never waits and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.bytes+len(p) > w.size {
		w.dropped++
		return len(p), nil
	}
	w.pending = append(w.pending, append([]byte(nil), p...))
	w.bytes += len(p)
	w.more.Broadcast()
	return len(p), nil
}

// next waits for lines and joins them to one piece. It reports false at the end.
func (w *Writer) next() ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.pending) == 0 && !w.closed {
		w.more.Wait()
	}
	if len(w.pending) == 0 {
		return nil, false
	}
	var piece []byte
	for _, l := range w.pending {
		piece = append(piece, l...)
	}
	w.pending = nil
	w.busy = true
	return piece, true
}

// done notes that a piece has been written, or lost.
func (w *Writer) done(lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy = false
	w.bytes = 0
	for _, l := range w.pending {
		w.bytes += len(l)
	}
	if lost {
		w.dropped++
	}
	w.more.Broadcast()
}

// TakeDropped returns how many lines were dropped since the last call.
func (w *Writer) TakeDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Close waits up to a time until all lines are out, and ends the goroutine.
func (w *Writer) Close(patience time.Duration) {
	late := time.AfterFunc(patience, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.pending = nil
		w.busy = false
		w.more.Broadcast()
	})
	defer late.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.more.Broadcast()
	for len(w.pending) > 0 || w.busy {
		w.more.Wait()
	}
}

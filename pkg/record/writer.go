package record

import (
	"io"
	"sync"
	"time"
)

// Writer is a buffered io.Writer that never blocks on the writer behind it. A line
// that does not fit into the buffer is dropped and counted.
type Writer struct {
	out  io.Writer
	size int

	mu      sync.Mutex
	changed *sync.Cond // Signaled when lines were added or written, and by Close.
	pending [][]byte
	bytes   int  // Size of the pending lines and of the batch that is being written.
	writing bool // A batch of lines is being written.
	dropped int
	closed  bool
}

// NewWriter returns a writer that buffers at most size bytes. It starts a goroutine
// that writes to out and ends after Close.
func NewWriter(out io.Writer, size int) *Writer {
	w := &Writer{out: out, size: size}
	w.changed = sync.NewCond(&w.mu)
	go func() {
		for {
			batch, ok := w.next()
			if !ok {
				return
			}
			_, err := w.out.Write(batch) // A failed write, for example to a closed pipe, only loses the lines.
			w.finishWrite(err != nil)
		}
	}()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.bytes+len(p) > w.size {
		w.dropped++
		return len(p), nil
	}
	w.pending = append(w.pending, append([]byte(nil), p...))
	w.bytes += len(p)
	w.changed.Broadcast()
	return len(p), nil
}

// next waits for lines and joins them into one batch. It reports false after Close,
// once no line is left.
func (w *Writer) next() ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.pending) == 0 && !w.closed {
		w.changed.Wait()
	}
	if len(w.pending) == 0 {
		return nil, false
	}
	var batch []byte
	for _, l := range w.pending {
		batch = append(batch, l...)
	}
	w.pending = nil
	w.writing = true
	return batch, true
}

// finishWrite records that a batch was written or, if lost is set, that its write
// failed.
func (w *Writer) finishWrite(lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
	w.bytes = 0
	for _, l := range w.pending {
		w.bytes += len(l)
	}
	if lost {
		w.dropped++
	}
	w.changed.Broadcast()
}

// TakeDropped returns the number of lines dropped since the last call. A failed
// write counts as one, whatever the number of lines in its batch.
func (w *Writer) TakeDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Close waits until all lines are written, at most for the timeout, and ends the
// goroutine. Lines that are still pending at the timeout are discarded without
// being counted; lines that arrive later are dropped.
func (w *Writer) Close(timeout time.Duration) {
	timer := time.AfterFunc(timeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.pending = nil
		w.writing = false
		w.changed.Broadcast()
	})
	defer timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.changed.Broadcast()
	for len(w.pending) > 0 || w.writing {
		w.changed.Wait()
	}
}

package head

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// ErrTooLarge means that a head is larger than allowed.
var ErrTooLarge = errors.New("the head is too large")

// growth is how much room a buffer has beyond the largest head, in bytes, for what follows the head.
const growth = 4 << 10

// Buffer has a reader buffer the whole head that it is about to read, of at most limit bytes, and checks it.
// It returns the reader, or one with a larger buffer that must replace it. source is what the reader reads
// from. The error is an *Error, ErrTooLarge or that of the source.
func Buffer(r *bufio.Reader, source io.Reader, s *Scanner, limit int) (*bufio.Reader, error) {
	for {
		b, _ := r.Peek(r.Buffered()) // Cannot fail: these bytes are buffered.
		complete, err := s.Scan(b)
		switch {
		case err != nil:
			return r, err
		case s.Len() > limit || (!complete && len(b) > limit):
			return r, ErrTooLarge
		case complete:
			return r, nil
		}
		if len(b) == r.Size() {
			r = grow(r, source, min(2*len(b), limit+growth))
		}
		if _, err := r.Peek(len(b) + 1); err != nil {
			return r, err
		}
	}
}

// grow returns a reader of the same bytes with a larger buffer.
func grow(r *bufio.Reader, source io.Reader, size int) *bufio.Reader {
	buffered, _ := r.Peek(r.Buffered()) // Cannot fail: these bytes are buffered.
	return bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), source), size)
}

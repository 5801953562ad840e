package dispatch

import (
	"errors"
	"io"
)

// slotReader holds a slot until the answer's body has been read.
type slotReader struct {
	io.ReadCloser
	done func(error)
	err  error
}

// Read notes an error that cuts the body short.
func (s *slotReader) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
	}
	return n, err
}

// Close gives the slot back.
func (s *slotReader) Close() error {
	if s.done != nil {
		s.done(s.err)
		s.done = nil
	}
	return s.ReadCloser.Close()
}

package dispatch

import (
	"errors"
	"io"
)

// slotReader reads the remainder of a response body and releases the slot when it
// is closed.
type slotReader struct {
	io.ReadCloser
	release func(error)
	err     error
}

// Read reads from the body and records an error that truncates it.
func (s *slotReader) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
	}
	return n, err
}

// Close releases the slot and closes the body. Further calls do not release it
// again.
func (s *slotReader) Close() error {
	if s.release != nil {
		s.release(s.err)
		s.release = nil
	}
	return s.ReadCloser.Close()
}

package buffer

import (
	"errors"
	"io"
)

// Read reads a response's body to its end, of at most maxBytes, into one buffer. length is the body's length, or
// negative if it is not known. It reserves the bytes in the account, which may be nil. ended is false if the
// body is longer than maxBytes or if there is no room for more; what was read is returned then.
// The error is that of the reader.
func Read(a *Account, body io.Reader, length, maxBytes int64) (data []byte, ended bool, err error) {
	s := &single{account: a, last: largestCapacity(length, maxBytes), known: length >= 0}
	ended, err = fill(a, body, s)
	return s.data, ended, err
}

// ReadBody is Read for a request's body, which is held in the pieces in which it was read: none of it is copied.
func ReadBody(a *Account, body io.Reader, length, maxBytes int64) (data Body, ended bool, err error) {
	p := &pieces{account: a, left: largestCapacity(length, maxBytes), known: length >= 0}
	ended, err = fill(a, body, p)
	return p.data, ended, err
}

// largestCapacity returns the largest useful capacity for a body. One byte more than allowed tells a body
// that is too long.
func largestCapacity(length, maxBytes int64) int64 {
	if length >= 0 {
		return min(maxBytes, length) + 1
	}
	return maxBytes + 1
}

// destination is where a body is read to.
type destination interface {
	// free returns room for at least one more byte, or nothing if the body has reached its largest size
	// or there is no room.
	free() []byte
	// add records that n bytes of the room have been filled.
	add(n int)
}

// fill reads a body to its end, or until there is no room.
func fill(a *Account, body io.Reader, to destination) (ended bool, err error) {
	for {
		room := to.free()
		if len(room) == 0 {
			return false, nil
		}
		n, err := body.Read(room)
		to.add(n)
		a.Receive(n)
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// single is a destination of one buffer, which grows.
type single struct {
	account *Account
	last    int64 // Largest useful capacity.
	known   bool  // The length of the body is known.
	data    []byte
}

func (s *single) add(n int) { s.data = s.data[:len(s.data)+n] }

func (s *single) free() []byte {
	had := int64(cap(s.data))
	if int64(len(s.data)) < had {
		return s.data[len(s.data):had]
	}
	if had >= s.last {
		return nil
	}
	next := s.nextCapacity(had)
	if !s.account.Reserve(next) {
		return nil
	}
	larger := make([]byte, len(s.data), next)
	copy(larger, s.data)
	s.data = larger
	s.account.Release(had)
	return s.data[len(s.data):next]
}

// nextCapacity returns the capacity after had. A body of known length gets its whole buffer once it
// has filled the first one, so it is copied only once.
func (s *single) nextCapacity(had int64) int64 {
	switch {
	case had == 0:
		return min(firstBytes, s.last)
	case s.known:
		return s.last
	default:
		return min(had+max(had/2, firstBytes), s.last)
	}
}

// largestPiece bounds the pieces of a body of unknown length, in bytes, and so what is reserved beyond it.
const largestPiece = 1 << 20

// pieces is a destination of several buffers.
type pieces struct {
	account *Account
	left    int64 // Largest useful capacity of what is not reserved yet.
	known   bool  // The length of the body is known.
	held    int64 // Reserved bytes.
	data    Body
}

func (p *pieces) add(n int) {
	last := &p.data[len(p.data)-1]
	*last = (*last)[:len(*last)+n]
}

func (p *pieces) free() []byte {
	if n := len(p.data); n > 0 && len(p.data[n-1]) < cap(p.data[n-1]) {
		last := p.data[n-1]
		return last[len(last):cap(last)]
	}
	size := p.nextSize()
	if size == 0 || !p.account.Reserve(size) {
		return nil
	}
	p.held += size
	p.left -= size
	p.data = append(p.data, make([]byte, 0, size))
	return p.data[len(p.data)-1][:size]
}

// nextSize returns the size of the next piece. A body of known length gets all of it once it has filled the first
// one; another one gets as much as it has.
func (p *pieces) nextSize() int64 {
	switch {
	case p.held == 0:
		return min(firstBytes, p.left)
	case p.known:
		return p.left
	default:
		return min(p.held, largestPiece, p.left)
	}
}

package buffer

import (
	"errors"
	"io"
)

// Read reads a body to its end, of at most maxBytes. length is the body's length, or negative if
// it is not known. It reserves the bytes in the account, which may be nil. ended is false if the
// body is longer than maxBytes or if there is no room for more; what was read is returned then.
// The error is that of the reader.
func Read(a *Account, body io.Reader, length, maxBytes int64) (data []byte, ended bool, err error) {
	last := maxBytes + 1 // One byte more tells a body that is too long.
	if length >= 0 {
		last = min(last, length+1)
	}
	r := &reading{account: a, last: last, known: length >= 0}
	for r.grow() {
		n, err := body.Read(r.data[len(r.data):cap(r.data)])
		r.data = r.data[:len(r.data)+n]
		a.Receive(n)
		if errors.Is(err, io.EOF) {
			return r.data, true, nil
		}
		if err != nil {
			return r.data, false, err
		}
	}
	return r.data, false, nil
}

// reading is a body that is being read.
type reading struct {
	account *Account
	last    int64 // Largest useful capacity.
	known   bool  // The length of the body is known.
	data    []byte
}

// grow makes room for at least one more byte. It returns false if the body has reached its
// largest size, or if there is no room.
func (r *reading) grow() bool {
	had := int64(cap(r.data))
	if int64(len(r.data)) < had {
		return true
	}
	if had >= r.last {
		return false
	}
	next := r.nextCapacity(had)
	if !r.account.Reserve(next) {
		return false
	}
	larger := make([]byte, len(r.data), next)
	copy(larger, r.data)
	r.data = larger
	r.account.Release(had)
	return true
}

// nextCapacity returns the capacity after had. A body of known length gets its whole buffer once it
// has filled the first one, so it is copied only once.
func (r *reading) nextCapacity(had int64) int64 {
	switch {
	case had == 0:
		return min(firstBytes, r.last)
	case r.known:
		return r.last
	default:
		return min(had+max(had/2, firstBytes), r.last)
	}
}

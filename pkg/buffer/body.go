package buffer

import (
	"io"
	"net"
	"slices"
)

// Body is the body of a request, in pieces. It must not be modified.
type Body [][]byte

// NewBody returns a body of one piece, or none if there are no bytes.
func NewBody(data []byte) Body {
	if len(data) == 0 {
		return nil
	}
	return Body{data}
}

// Len returns the size of the body in bytes.
func (b Body) Len() int64 {
	n := int64(0)
	for _, piece := range b {
		n += int64(len(piece))
	}
	return n
}

// Reader returns a reader of the whole body.
func (b Body) Reader() io.Reader {
	left := net.Buffers(slices.Clone(b)) // Reading consumes the list, not the pieces.
	return &left
}

// WriteTo writes the whole body, as to a hash.
func (b Body) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, b.Reader()) }

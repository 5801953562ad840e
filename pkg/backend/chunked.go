package backend

import (
	"errors"
	"io"
	"net/http/httputil"

	"laburnumpick.org/pkg/head"
)

// chunkedBody reads a body in chunks and checks its trailers, which net/http would not. They are not
// passed on.
type chunkedBody struct {
	conn   *conn
	chunks io.Reader
	ended  bool // The trailers have been read.
}

func newChunkedBody(c *conn) *chunkedBody {
	return &chunkedBody{conn: c, chunks: httputil.NewChunkedReader(c.r)}
}

// Read returns io.EOF only after the last byte of the trailers.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if !errors.Is(err, io.EOF) || b.ended {
		return n, err
	}
	if err := b.readTrailers(); err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}

// readTrailers reads the trailer section, which may be empty.
func (b *chunkedBody) readTrailers() error {
	b.conn.allowBytes(maxHeadBytes)
	defer b.conn.allowAll()
	s := head.NewTrailer()
	err := b.conn.bufferHead(s)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	_, err = b.conn.r.Discard(s.Len())
	return err
}

// Close does nothing: the exchange closes the connection.
func (b *chunkedBody) Close() error { return nil }

package backend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"laburnumpick.org/pkg/head"
	"laburnumpick.org/pkg/socket"
)

// bufferSize is the size of a connection's read and write buffers in bytes.
const bufferSize = 8 << 10

// conn is a connection that carries one request at a time.
type conn struct {
	nc          net.Conn
	r           *bufio.Reader
	w           *bufio.Writer
	written     int64 // Bytes of the current request that were written to the socket.
	writeErr    error // The first error of the socket while a request was written.
	reused      bool  // The connection has carried an earlier request.
	idleSince   time.Time
	idleTimeout time.Duration // How long the connection may be idle before it must not be reused.
	refusedIDs  []string      // IDs of the requests that the server has refused on the connection.
	received    bool          // A byte has come since the current request was written.
	limited     bool          // Only readLeft more bytes may be read from the socket.
	readLeft    int
}

func newConn(nc net.Conn) *conn {
	c := &conn{nc: nc, idleTimeout: maxIdleTime}
	c.resetReader()
	c.w = bufio.NewWriterSize(countingWriter{c}, bufferSize)
	return c
}

// resetReader gives the connection an empty read buffer of the usual size.
func (c *conn) resetReader() { c.r = bufio.NewReaderSize(limitedReader{c}, bufferSize) }

// shrink drops a read buffer that a large head has made grow. The buffer must be empty.
func (c *conn) shrink() {
	if c.r.Size() > bufferSize {
		c.resetReader()
	}
}

// countingWriter counts the bytes that are written to the socket. A request of
// which no byte was written cannot have run.
type countingWriter struct{ c *conn }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.nc.Write(p)
	w.c.written += int64(n)
	if w.c.writeErr == nil {
		w.c.writeErr = err
	}
	return n, err
}

// maxHeadBytes bounds the heads of an exchange, with those of interim responses, and one
// buffer of what follows them. A peer may send bytes that are no response and never end.
const maxHeadBytes = 64 << 10

// errHeadTooLarge means that a response has no complete head within maxHeadBytes.
var errHeadTooLarge = fmt.Errorf("%w: more than %d bytes", head.ErrTooLarge, maxHeadBytes)

// limitedReader reads from the socket, and returns errHeadTooLarge after the bytes that are
// allowed.
type limitedReader struct{ c *conn }

func (r limitedReader) Read(p []byte) (int, error) {
	if r.c.limited {
		if r.c.readLeft <= 0 {
			return 0, errHeadTooLarge
		}
		p = p[:min(len(p), r.c.readLeft)]
	}
	n, err := r.c.nc.Read(p)
	r.c.readLeft -= n
	r.c.received = r.c.received || n > 0
	return n, err
}

// bufferHead buffers the whole head that comes next, or the trailer section, and checks it.
func (c *conn) bufferHead(s *head.Scanner) error {
	r, err := head.Buffer(c.r, limitedReader{c}, s, maxHeadBytes)
	c.r = r
	return err
}

// allowBytes lets n more bytes be read from the socket.
func (c *conn) allowBytes(n int) { c.limited, c.readLeft = true, n }

// allowAll lifts the limit of allowBytes.
func (c *conn) allowAll() { c.limited = false }

// isReusable reports whether an idle connection is open and has nothing to read. A
// connection with unexpected bytes must not be reused, because they belong to no
// request.
func (c *conn) isReusable() bool { return c.r.Buffered() == 0 && socket.IsQuiet(c.nc) }

// keepAliveShare is the share of the peer's Keep-Alive timeout that is used. It
// leaves a margin, because the peer's idle timer started before this one.
const keepAliveShare = 0.6

// updateIdleTimeout sets the idle timeout from the peer's Keep-Alive header.
func (c *conn) updateIdleTimeout(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(v); err == nil && s >= 0 {
			c.idleTimeout = min(maxIdleTime, time.Duration(keepAliveShare*float64(s)*float64(time.Second)))
		}
	}
}

func (c *conn) close() { _ = c.nc.Close() }

package backend

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// bufferSize is the size of a connection's read and write buffers in bytes.
const bufferSize = 8 << 10

// conn is one connection that carries one request at a time.
type conn struct {
	nc      net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	written int64 // Bytes of the present request that reached the socket.
	reused  bool
	idleAt  time.Time
	keep    time.Duration // How long it may rest.
}

func newConn(nc net.Conn) *conn {
	c := &conn{nc: nc, keep: maxIdleTime}
	c.r = bufio.NewReaderSize(nc, bufferSize)
	c.w = bufio.NewWriterSize(countingWriter{c}, bufferSize)
	return c
}

// countingWriter counts what reaches the socket, since a request of which no
// byte was written cannot have run.
type countingWriter struct{ c *conn }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.nc.Write(p)
	w.c.written += int64(n)
	return n, err
}

// peeker is a connection that can tell whether a read would return at once.
type peeker interface{ Readable() bool }

// quiet reports whether an idle connection is open with nothing to read.
// Bytes on an idle connection belong to no request, so it must not be reused.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if p, ok := c.nc.(peeker); ok {
		return !p.Readable()
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keepShare is the share of the time that a peer tells of which is used, since
// its clock started before ours.
const keepShare = 0.6

// keepFor takes in how long the peer keeps the connection open while it rests.
func (c *conn) keepFor(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(v); err == nil && s >= 0 {
			c.keep = min(maxIdleTime, time.Duration(keepShare*float64(s)*float64(time.Second)))
		}
	}
}

func (c *conn) close() { _ = c.nc.Close() }

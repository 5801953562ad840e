package standin

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// listener is a net.Listener of a Network.
type listener struct {
	network *Network
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address is a net.Addr of a Network.
type address string

// Network implements net.Addr.
func (a address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// resetReport tells one end of a connection of its reset once, as a kernel does: whoever reads or writes
// first takes the error. After that reads find a plain end and writes fail with EPIPE.
type resetReport struct {
	mu           sync.Mutex
	added, taken bool
}

// add records that the connection was reset.
func (r *resetReport) add() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.added = true
}

// take reports whether the connection was reset and nobody has been told yet.
func (r *resetReport) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.added && !r.taken
	r.taken = r.taken || first
	return first
}

// Conn is one end of an in-memory connection.
type Conn struct {
	network       *Network
	link          Link // From this end to the peer.
	in            *stream
	out           *stream
	blackholed    *flag
	dropped       flag // Data was dropped, so no later data of the byte stream can arrive.
	writeDeadline deadline
	resetReport   resetReport
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.in.read(p)
	if errors.Is(err, syscall.ECONNRESET) && !c.resetReport.take() {
		err = io.EOF
	}
	return n, err
}

// Write implements net.Conn. It reports dropped data as written, as a kernel does
// that buffers it.
func (c *Conn) Write(p []byte) (int, error) {
	if c.writeDeadline.passed() {
		return 0, os.ErrDeadlineExceeded
	}
	if c.network.IsCut(c.link) {
		c.dropped.set()
	}
	if c.blackholed.get() || c.dropped.get() {
		return len(p), nil
	}
	n, err := c.out.write(p, c.network.arrival(c.link))
	if err != nil && c.resetReport.take() {
		err = &net.OpError{Op: "write", Net: "memory", Err: syscall.ECONNRESET}
	}
	return n, err
}

// Readable reports whether Read would return without blocking.
func (c *Conn) Readable() bool { return c.in.readable() }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	c.in.closeReader()
	return c.CloseWrite()
}

// CloseWrite ends the stream to the peer.
func (c *Conn) CloseWrite() error {
	if !c.blackholed.get() && !c.dropped.get() && !c.network.IsCut(c.link) {
		c.out.closeWriter(c.network.arrival(c.link))
	}
	return nil
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return address(c.link.From + ":0") }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return address(c.link.To + ":0") }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return c.SetReadDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return nil
}

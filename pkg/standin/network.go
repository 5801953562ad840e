// Package standin holds small stand-ins for what surrounds the fleet: backend
// servers with faults, and a network in memory with delays and cuts. Tests and
// the experiment tool use them.
package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"laburnumpick.org/pkg/control"
)

// Link is the direction from one host to another.
type Link struct{ From, To string }

// Network is a network in memory. Hosts are named by the part of an address
// before the colon.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*Conn]bool
	cuts      map[Link]bool
	held      map[string]time.Time // Until when a host stands still.
	delay     func(Link) time.Duration
	port      int
}

// NewNetwork returns a network whose links all take the given time one way.
func NewNetwork(delay func(Link) time.Duration) *Network {
	if delay == nil {
		delay = func(Link) time.Duration { return 0 }
	}
	return &Network{
		listeners: make(map[string]*listener), conns: make(map[*Conn]bool),
		cuts: make(map[Link]bool), held: make(map[string]time.Time), delay: delay, port: 10000,
	}
}

// SetCut loses all that goes one way, or mends the way. Both ends are kept in the
// dark, as with a real partition.
func (n *Network) SetCut(w Link, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[w] = cut
}

// IsCut reports whether a way is cut.
func (n *Network) IsCut(w Link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[w]
}

// Pause makes a host stand still: what goes to it or comes from it arrives late.
func (n *Network) Pause(host string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held[host] = time.Now().Add(d)
}

// arrival returns when something sent now arrives.
func (n *Network) arrival(w Link) time.Time {
	at := time.Now().Add(n.delay(w))
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, host := range []string{w.From, w.To} {
		if until := n.held[host]; until.After(at) {
			at = until
		}
	}
	return at
}

// BlackholeOpenConns makes the connections to a host that are open now lose everything,
// while new ones work.
func (n *Network) BlackholeOpenConns(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.way.To == host || c.way.From == host {
			c.silent.set()
		}
	}
}

// Kill ends a host: its listeners close and its connections are reset.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var ls []*listener
	var cs []*Conn
	for a, l := range n.listeners {
		if hostOf(a) == host {
			ls = append(ls, l)
		}
	}
	for c := range n.conns {
		if c.way.From == host || c.way.To == host {
			cs = append(cs, c)
		}
	}
	n.mu.Unlock()
	for _, l := range ls {
		_ = l.Close()
	}
	for _, c := range cs {
		c.in.reset()
		c.out.reset()
	}
}

// Close ends all hosts.
func (n *Network) Close() {
	n.mu.Lock()
	hosts := make(map[string]bool)
	for a := range n.listeners {
		hosts[hostOf(a)] = true
	}
	for c := range n.conns {
		hosts[c.way.From] = true
	}
	n.mu.Unlock()
	for h := range hosts {
		n.Kill(h)
	}
}

func hostOf(address string) string {
	h, _, _ := strings.Cut(address, ":")
	return h
}

// Listen takes connections to an address. Port 0 takes a free one.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if host, port, _ := strings.Cut(address, ":"); port == "0" {
		n.port++
		address = host + ":" + strconv.Itoa(n.port)
	}
	if _, taken := n.listeners[address]; taken {
		return nil, fmt.Errorf("address %s is taken", address)
	}
	l := &listener{n: n, address: address, conns: make(chan net.Conn, 1024), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// dialPatience is how long a dialer tries a link that is cut.
const dialPatience = 10 * time.Second

// DialFrom opens a connection from a host. A cut link leaves the dialer
// waiting, a host without a listener refuses at once.
func (n *Network) DialFrom(ctx context.Context, from, address string) (net.Conn, error) {
	out, back := Link{from, hostOf(address)}, Link{hostOf(address), from}
	if n.IsCut(out) || n.IsCut(back) {
		if err := control.Sleep(ctx, dialPatience); err != nil {
			return nil, err
		}
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ETIMEDOUT}
	}
	if err := control.Sleep(ctx, time.Until(n.arrival(out))+time.Until(n.arrival(back))); err != nil {
		return nil, err
	}
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	}
	client, server := n.pair(out, back)
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	}
}

func (n *Network) pair(out, back Link) (client, server *Conn) {
	a, b := newStream(), newStream()
	flag := &flag{}
	client = &Conn{n: n, way: out, in: b, out: a, silent: flag}
	server = &Conn{n: n, way: back, in: a, out: b, silent: flag}
	n.mu.Lock()
	n.conns[client], n.conns[server] = true, true
	n.mu.Unlock()
	return client, server
}

type flag struct {
	mu sync.Mutex
	on bool
}

func (f *flag) set() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.on = true
}

func (f *flag) get() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.on
}

type listener struct {
	n       *Network
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
		l.n.mu.Lock()
		delete(l.n.listeners, l.address)
		l.n.mu.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (a address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// Conn is one end of a connection in memory.
type Conn struct {
	n      *Network
	way    Link // From this end to the other.
	in     *stream
	out    *stream
	silent *flag
	lost   flag // Something was lost on the way, so nothing later can arrive.
	wrote  deadline
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn. What a cut loses looks written.
func (c *Conn) Write(p []byte) (int, error) {
	if c.wrote.passed() {
		return 0, os.ErrDeadlineExceeded
	}
	if c.n.IsCut(c.way) {
		c.lost.set()
	}
	if c.silent.get() || c.lost.get() {
		return len(p), nil
	}
	return c.out.write(p, c.n.arrival(c.way))
}

// Readable reports whether a read would return at once.
func (c *Conn) Readable() bool { return c.in.readable() }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.n.mu.Lock()
	delete(c.n.conns, c)
	c.n.mu.Unlock()
	c.in.closeReader()
	if !c.silent.get() && !c.lost.get() && !c.n.IsCut(c.way) {
		c.out.closeWriter(c.n.arrival(c.way))
	}
	return nil
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return address(c.way.From + ":0") }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return address(c.way.To + ":0") }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.wrote.set(t)
	return c.SetReadDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.wrote.set(t)
	return nil
}

type deadline struct {
	mu sync.Mutex
	at time.Time
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = t
}

func (d *deadline) passed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.at.IsZero() && !time.Now().Before(d.at)
}

// chunk is bytes, or the end, that arrive at a time.
type chunk struct {
	at   time.Time
	data []byte
	err  error
}

// stream carries bytes one way.
type stream struct {
	mu       sync.Mutex
	cond     *sync.Cond
	chunks   []chunk
	closed   bool // The reader has closed.
	broken   bool
	deadline time.Time
}

func newStream() *stream {
	s := &stream{}
	s.cond = sync.NewCond(&s.mu)
	return s
}

var errReset = &net.OpError{Op: "read", Net: "memory", Err: syscall.ECONNRESET}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case s.closed:
			return 0, net.ErrClosed
		case s.broken:
			return 0, errReset
		case !s.deadline.IsZero() && !now.Before(s.deadline):
			return 0, os.ErrDeadlineExceeded
		case len(s.chunks) > 0 && !s.chunks[0].at.After(now):
			return s.take(p)
		}
		if len(s.chunks) > 0 {
			s.wakeAt(s.chunks[0].at)
		}
		s.cond.Wait()
	}
}

// take reads from the first chunk. The caller holds the lock.
func (s *stream) take(p []byte) (int, error) {
	c := &s.chunks[0]
	if c.err != nil {
		return 0, c.err
	}
	n := copy(p, c.data)
	c.data = c.data[n:]
	if len(c.data) == 0 {
		s.chunks = s.chunks[1:]
	}
	return n, nil
}

// wakeAt wakes readers at a time that lies ahead. The caller holds the lock.
func (s *stream) wakeAt(t time.Time) {
	d := time.Until(t)
	if d <= 0 {
		// A timer that is due at once crashes the race detector in a bubble of
		// testing/synctest.
		s.cond.Broadcast()
		return
	}
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cond.Broadcast()
	})
}

func (s *stream) write(p []byte, at time.Time) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.broken {
		return 0, &net.OpError{Op: "write", Net: "memory", Err: syscall.EPIPE}
	}
	s.chunks = append(s.chunks, chunk{at: at, data: append([]byte(nil), p...)})
	s.cond.Broadcast()
	return len(p), nil
}

func (s *stream) closeWriter(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chunks = append(s.chunks, chunk{at: at, err: io.EOF})
	s.cond.Broadcast()
}

func (s *stream) closeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.cond.Broadcast()
}

func (s *stream) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = true
	s.cond.Broadcast()
}

func (s *stream) readable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || s.broken || (len(s.chunks) > 0 && !s.chunks[0].at.After(time.Now()))
}

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	s.cond.Broadcast()
	if !t.IsZero() {
		s.wakeAt(t)
	}
}

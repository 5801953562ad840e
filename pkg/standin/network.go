// Package standin provides test doubles for the environment of a fleet: backend
// servers that inject faults, and an in-memory network with delays and
// partitions. Tests and the benchmark tool use them.
package standin

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"laburnumpick.org/pkg/control"
)

// Link is the direction from one host to another.
type Link struct{ From, To string }

// Network is an in-memory network. A host is identified by the part of its
// address before the colon.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	conns       map[*Conn]bool
	cuts        map[Link]bool
	partitions  map[Link]CutMode     // How hosts that are partitioned fail to reach each other.
	pausedUntil map[string]time.Time // End of the pause, by host.
	delay       func(Link) time.Duration
	port        int
}

// NewNetwork returns a network in which delay gives the one-way delay of each
// link. A nil delay means none.
func NewNetwork(delay func(Link) time.Duration) *Network {
	if delay == nil {
		delay = func(Link) time.Duration { return 0 }
	}
	return &Network{
		listeners: make(map[string]*listener), conns: make(map[*Conn]bool),
		cuts: make(map[Link]bool), partitions: make(map[Link]CutMode), pausedUntil: make(map[string]time.Time), delay: delay, port: 10000,
	}
}

// SetCut drops all traffic on a link from now on, or restores the link. Neither
// end gets an error, as with a real partition.
func (n *Network) SetCut(l Link, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[l] = cut
}

// IsCut reports whether a link is cut.
func (n *Network) IsCut(l Link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[l]
}

// Pause simulates a paused host: data sent to it or by it arrives no sooner than
// d from now.
func (n *Network) Pause(host string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pausedUntil[host] = time.Now().Add(d)
}

// arrival returns when data sent on a link now arrives.
func (n *Network) arrival(l Link) time.Time {
	at := time.Now().Add(n.delay(l))
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, host := range []string{l.From, l.To} {
		if until := n.pausedUntil[host]; until.After(at) {
			at = until
		}
	}
	return at
}

// BlackholeOpenConns drops all later traffic on the connections that a host has
// open now. New connections work.
func (n *Network) BlackholeOpenConns(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.link.To == host || c.link.From == host {
			c.blackholed.set()
		}
	}
}

// Kill simulates the crash of a host: its listeners close and its connections are
// reset.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var ls []*listener
	for a, l := range n.listeners {
		if hostOf(a) == host {
			ls = append(ls, l)
		}
	}
	n.mu.Unlock()
	for _, l := range ls {
		_ = l.Close()
	}
	n.resetConns(func(l Link) bool { return l.From == host || l.To == host })
}

// resetConns resets the open connections on the links that accept takes.
func (n *Network) resetConns(accept func(Link) bool) {
	n.mu.Lock()
	var cs []*Conn
	for c := range n.conns {
		if accept(c.link) {
			cs = append(cs, c)
		}
	}
	n.mu.Unlock()
	for _, c := range cs {
		c.resetReport.add() // Before either end can notice.
	}
	for _, c := range cs {
		c.in.reset()
		c.out.reset()
	}
}

// Close kills all hosts.
func (n *Network) Close() {
	n.mu.Lock()
	hosts := make(map[string]bool)
	for a := range n.listeners {
		hosts[hostOf(a)] = true
	}
	for c := range n.conns {
		hosts[c.link.From] = true
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

// Listen returns a listener on an address. Port 0 stands for any free port.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if host, port, _ := strings.Cut(address, ":"); port == "0" {
		n.port++
		address = host + ":" + strconv.Itoa(n.port)
	}
	if _, exists := n.listeners[address]; exists {
		return nil, fmt.Errorf("address %s is already in use", address)
	}
	l := &listener{network: n, address: address, conns: make(chan net.Conn, 1024), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// dialTimeout is how long dialing over a cut link takes to fail.
const dialTimeout = 10 * time.Second

// DialFrom opens a connection from a host. If either direction is cut, it blocks
// until dialTimeout or the end of ctx; if nothing listens on the address, it
// fails with ECONNREFUSED after one round trip.
func (n *Network) DialFrom(ctx context.Context, from, address string) (net.Conn, error) {
	out, reverse := Link{from, hostOf(address)}, Link{hostOf(address), from}
	if n.IsCut(out) || n.IsCut(reverse) {
		if err := control.Sleep(ctx, dialTimeout); err != nil {
			return nil, err
		}
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ETIMEDOUT}
	}
	if err := control.Sleep(ctx, time.Until(n.arrival(out))+time.Until(n.arrival(reverse))); err != nil {
		return nil, err
	}
	if err := n.dialError(out); err != nil {
		return nil, err
	}
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	}
	client, server := n.pair(out, reverse)
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	}
}

// pair creates both ends of a connection.
func (n *Network) pair(out, reverse Link) (client, server *Conn) {
	a, b := newStream(), newStream()
	blackholed := &flag{}
	client = &Conn{network: n, link: out, in: b, out: a, blackholed: blackholed}
	server = &Conn{network: n, link: reverse, in: a, out: b, blackholed: blackholed}
	n.mu.Lock()
	n.conns[client], n.conns[server] = true, true
	n.mu.Unlock()
	return client, server
}

// flag is a boolean that is safe for concurrent use.
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

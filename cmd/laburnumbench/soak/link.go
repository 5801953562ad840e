package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"laburnumpick.org/pkg/standin"
)

// LinkFault is a network fault that a link simulates.
type LinkFault string

// Faults of a link.
const (
	LinkOK         LinkFault = ""
	LinkDelayed    LinkFault = "delayed" // Data is delivered after linkDelay.
	LinkReset      LinkFault = "reset"   // Open connections are reset; new ones work.
	LinkOneWay     LinkFault = "oneWay"  // Data sent by the server side is dropped.
	LinkBlackholed LinkFault = "silent"  // Open connections drop all data from now on; new ones work.
	LinkRefused    LinkFault = "refused" // New connections are reset; open ones work.
)

// linkDelay is how long a delayed link waits before it forwards a chunk of data.
const linkDelay = 80 * time.Millisecond

// link is a TCP proxy in front of an address that simulates network faults.
type link struct {
	listen net.Listener
	target string

	mu    sync.Mutex
	fault LinkFault
	cuts  map[*vm]standin.CutMode // VMs that are cut off.
	conns map[*linkConn]struct{}
}

// cut cuts a VM off, or restores its link if the mode is empty. Connections that hung stay dead.
func (k *link) cut(v *vm, m standin.CutMode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m == "" {
		delete(k.cuts, v)
		return
	}
	k.cuts[v] = m
	for p := range k.conns {
		if m == standin.CutRefusesNew || !v.ownsConn(portOf(p.client.RemoteAddr())) {
			continue
		}
		p.blackholed = true
		if m == standin.CutResets {
			p.reset()
		}
	}
}

// cutOf returns how a new connection is cut off, or "".
func (k *link) cutOf(client net.Conn) standin.CutMode {
	k.mu.Lock()
	defer k.mu.Unlock()
	for v, m := range k.cuts {
		if v.ownsConn(portOf(client.RemoteAddr())) {
			return m
		}
	}
	return ""
}

// linkConn is a proxied connection.
type linkConn struct {
	client, server net.Conn
	blackholed     bool // Drops all data in both directions.
}

// newLink starts a link on a loopback port that forwards connections to an address.
func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listen: l, target: target, cuts: make(map[*vm]standin.CutMode), conns: make(map[*linkConn]struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // The link was closed.
			}
			go k.proxy(c)
		}
	}()
	return k, nil
}

// address returns the address that the link listens on.
func (k *link) address() string { return k.listen.Addr().String() }

// setFault replaces the link's fault. LinkReset and LinkSilent act on the
// connections that are open now.
func (k *link) setFault(f LinkFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
	for p := range k.conns {
		switch f {
		case LinkReset:
			p.reset()
		case LinkBlackholed:
			p.blackholed = true
		case LinkOK, LinkDelayed, LinkOneWay, LinkRefused:
		}
	}
}

// close stops the listener and resets all open connections.
func (k *link) close() {
	_ = k.listen.Close()
	k.setFault(LinkReset)
}

// reset closes both sides with a TCP reset.
func (p *linkConn) reset() {
	for _, c := range []net.Conn{p.client, p.server} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // Makes Close send a reset.
		}
		_ = c.Close()
	}
}

// proxy forwards data between a client and the link's target until both
// directions have ended.
func (k *link) proxy(client net.Conn) {
	server, err := net.Dial("tcp", k.target)
	p := &linkConn{client: client, server: server}
	cut := k.cutOf(client)
	p.blackholed = cut == standin.CutHangs
	k.mu.Lock()
	refused := k.fault == LinkRefused || cut == standin.CutResets || cut == standin.CutRefusesNew
	if err == nil && !refused {
		k.conns[p] = struct{}{}
	}
	k.mu.Unlock()
	if err != nil || refused {
		if err != nil {
			p.server = client // reset needs two connections.
		}
		p.reset()
		return
	}
	defer func() {
		k.mu.Lock()
		delete(k.conns, p)
		k.mu.Unlock()
	}()
	var wg sync.WaitGroup
	wg.Go(func() { k.forward(p, server, client, false) })
	wg.Go(func() { k.forward(p, client, server, true) })
	wg.Wait()
}

// forward copies data in one direction until either side closes. While data from
// the server is dropped, the end of the server's stream is hidden from the client
// as well.
func (k *link) forward(p *linkConn, to, from net.Conn, fromServer bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		k.mu.Lock()
		fault, dropped := k.fault, p.blackholed
		k.mu.Unlock()
		if fault == LinkDelayed {
			time.Sleep(linkDelay)
		}
		dropped = dropped || (fault == LinkOneWay && fromServer)
		if n > 0 && !dropped {
			if _, werr := to.Write(buf[:n]); werr != nil {
				p.reset()
				return
			}
		}
		if err != nil && (!dropped || !fromServer) {
			if t, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = t.CloseWrite() // The other direction may still be in use.
			} else {
				p.reset()
			}
			return
		}
		if err != nil {
			return
		}
	}
}

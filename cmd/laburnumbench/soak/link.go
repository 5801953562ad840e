package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// LinkFault is a way in which a link misbehaves.
type LinkFault string

// Ways in which a link misbehaves.
const (
	LinkOK      LinkFault = ""
	LinkDelayed LinkFault = "delayed" // Bytes come late.
	LinkReset   LinkFault = "reset"   // Open connections are reset, new ones work.
	LinkOneWay  LinkFault = "oneWay"  // What the far end sends is lost.
	LinkSilent  LinkFault = "silent"  // Open connections carry nothing any more, new ones work.
	LinkRefused LinkFault = "refused" // New connections are reset.
)

// linkDelay is how late bytes come on a delayed link.
const linkDelay = 80 * time.Millisecond

// link passes connections on to an address, with faults.
type link struct {
	listen net.Listener
	to     string

	mu    sync.Mutex
	fault LinkFault
	open  map[*pair]struct{}
}

// pair is one connection through a link.
type pair struct {
	near, far net.Conn
	silent    bool
}

func newLink(to string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listen: l, to: to, open: make(map[*pair]struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // The link was closed.
			}
			go k.carry(c)
		}
	}()
	return k, nil
}

// address returns where the link is found.
func (k *link) address() string { return k.listen.Addr().String() }

// set makes the link misbehave from now on.
func (k *link) set(f LinkFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
	for p := range k.open {
		switch f {
		case LinkReset:
			p.reset()
		case LinkSilent:
			p.silent = true
		case LinkOK, LinkDelayed, LinkOneWay, LinkRefused:
		}
	}
}

func (k *link) close() {
	_ = k.listen.Close()
	k.set(LinkReset)
}

// reset ends both ends at once.
func (p *pair) reset() {
	for _, c := range []net.Conn{p.near, p.far} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // Closing then resets.
		}
		_ = c.Close()
	}
}

func (k *link) carry(near net.Conn) {
	far, err := net.Dial("tcp", k.to)
	p := &pair{near: near, far: far}
	k.mu.Lock()
	refused := k.fault == LinkRefused
	if err == nil && !refused {
		k.open[p] = struct{}{}
	}
	k.mu.Unlock()
	if err != nil || refused {
		if err != nil {
			p.far = near
		}
		p.reset()
		return
	}
	defer func() {
		k.mu.Lock()
		delete(k.open, p)
		k.mu.Unlock()
	}()
	var wg sync.WaitGroup
	wg.Go(func() { k.copy(p, far, near, false) })
	wg.Go(func() { k.copy(p, near, far, true) })
	wg.Wait()
}

// copy carries bytes one way until an end closes.
func (k *link) copy(p *pair, to, from net.Conn, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		k.mu.Lock()
		fault, lost := k.fault, p.silent
		k.mu.Unlock()
		if fault == LinkDelayed {
			time.Sleep(linkDelay)
		}
		lost = lost || (fault == LinkOneWay && back)
		if n > 0 && !lost {
			if _, werr := to.Write(buf[:n]); werr != nil {
				p.reset()
				return
			}
		}
		if err != nil && (!lost || !back) {
			if t, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = t.CloseWrite() // The other way may still carry bytes.
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

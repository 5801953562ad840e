package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
)

// proxy stands between the VMs and one upstream, and can carry nothing for one of the VMs.
type proxy struct {
	l      net.Listener
	target string

	mu    sync.Mutex
	cut   *vm
	conns map[net.Conn]*proxyConn
	all   []*vm
}

// proxyConn is a connection of a VM.
type proxyConn struct {
	owner *vm
	dead  bool // It carries nothing.
}

// newProxy starts a proxy of an upstream. vms are those that may connect.
func newProxy(target string, vms []*vm) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{l: l, target: target, conns: make(map[net.Conn]*proxyConn), all: vms}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// setCut has the connections of a VM, open ones and new ones, carry nothing from now on; nil ends that for
// new ones.
func (p *proxy) setCut(v *vm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = v
	for _, c := range p.conns {
		if v != nil && c.owner == v {
			c.dead = true // It stays dead.
		}
	}
}

// isDead reports whether a connection carries nothing.
func (p *proxy) isDead(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c].dead
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	owner := p.owner(c)
	p.mu.Lock()
	p.conns[c] = &proxyConn{owner, owner != nil && owner == p.cut}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	defer up.Close()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(up, c, c) })
	wg.Go(func() { p.copy(c, up, c) })
	wg.Wait()
}

// copy passes bytes on until an end. What comes on a dead connection is dropped, and so is its end.
func (p *proxy) copy(to, from, vmSide net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		dead := p.isDead(vmSide)
		if n > 0 && !dead {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && !dead {
			_ = to.(*net.TCPConn).CloseWrite()
		} else if from == vmSide {
			_ = to.Close()
		}
		return
	}
}

// owner returns the VM that has opened a connection, as the kernel's tables tell it.
func (p *proxy) owner(c net.Conn) *vm {
	inode := socketInode(c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
	for _, v := range p.all {
		dir := fmt.Sprintf("/proc/%d/fd", v.cmd.Process.Pid)
		entries, _ := os.ReadDir(dir)
		for _, e := range entries {
			if link, err := os.Readlink(dir + "/" + e.Name()); err == nil && link == "socket:["+inode+"]" {
				return v
			}
		}
	}
	return nil
}

// socketInode returns the inode of the socket that is connected on loopback from one port to another.
func socketInode(from, to int) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	local, remote := fmt.Sprintf(":%04X", from), fmt.Sprintf(":%04X", to)
	for in := bufio.NewScanner(f); in.Scan(); {
		if columns := strings.Fields(in.Text()); len(columns) > 9 && strings.HasSuffix(columns[1], local) && strings.HasSuffix(columns[2], remote) {
			return columns[9]
		}
	}
	return ""
}

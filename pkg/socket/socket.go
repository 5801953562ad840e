// Package socket tells what the network has delivered on a connection, without reading it, and chooses how a
// connection ends.
package socket

import (
	"net"
	"syscall"
)

// readable is implemented by connections that can report whether a read would return at once,
// such as those of the tests' network.
type readable interface{ Readable() bool }

// wrapper is implemented by connections around another one, as by tls.Conn.
type wrapper interface{ NetConn() net.Conn }

// lingerer is implemented by connections whose close can discard what is under way.
type lingerer interface{ SetLinger(seconds int) error }

// ResetAtClose makes the close of a connection a reset, which its peer cannot take for an end in order. What
// has not arrived by then is lost. Connections that cannot be reset are left as they are.
func ResetAtClose(nc net.Conn) {
	if w, ok := nc.(wrapper); ok {
		ResetAtClose(w.NetConn())
		return
	}
	if l, ok := nc.(lingerer); ok {
		_ = l.SetLinger(0) // Fails only if the connection has been closed.
	}
}

// IsQuiet reports whether a connection is open as far as is known, and has nothing to read. It
// reads nothing, and no deadline of the connection hides what the network has delivered.
func IsQuiet(nc net.Conn) bool {
	if w, ok := nc.(wrapper); ok {
		return IsQuiet(w.NetConn())
	}
	if r, ok := nc.(readable); ok {
		return !r.Readable()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	// Control, unlike Read, does not wait for a goroutine that reads from the connection.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = e == syscall.EAGAIN
	})
	return err == nil && wouldBlock
}

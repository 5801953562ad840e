package soak

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"

	"laburnumpick.org/pkg/standin"
)

// cutOff cuts a VM off from all servers, in the mode that the variant selects. The returned
// function restores its links.
func (s *soak) cutOff(v *vm, variant int) func() error {
	modes := standin.CutModes()
	links := slices.Clone(s.serverLinks)
	for _, k := range links {
		k.cut(v, modes[variant%len(modes)])
	}
	return func() error {
		for _, k := range links {
			k.cut(v, "")
		}
		return nil
	}
}

// ownsConn reports whether a process has the client end of a TCP connection on loopback that
// comes from a port. All VMs have the same address, so that only the kernel's tables tell them
// apart.
func ownsConn(pid, port int) bool {
	inode := socketInode(port)
	if inode == "" {
		return false
	}
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false // The process has ended.
	}
	for _, e := range entries {
		if target, err := os.Readlink(dir + "/" + e.Name()); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// socketInode returns the inode of the socket on loopback that is bound to a port and connected,
// or "" if there is none.
func socketInode(port int) string {
	const localColumn, inodeColumn = 1, 9
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }() // Nothing was written.
	suffix := fmt.Sprintf(":%04X", port)
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		columns := strings.Fields(lines.Text())
		if len(columns) > inodeColumn && strings.HasSuffix(columns[localColumn], suffix) {
			return columns[inodeColumn]
		}
	}
	return ""
}

// portOf returns the port of a TCP address.
func portOf(a net.Addr) int {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.Port
	}
	return 0
}

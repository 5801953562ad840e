package standin

import (
	"fmt"
	"net"
	"syscall"
)

// CutMode is how connections between two hosts fail while they are partitioned.
type CutMode string

// Modes of a partition.
const (
	CutHangs      CutMode = "hangs"      // Nothing arrives, and neither end gets an error.
	CutResets     CutMode = "resets"     // Open connections are reset, and so are new ones.
	CutRefusesNew CutMode = "refusesNew" // Open connections live on; new ones are refused.
)

// CutModes lists all modes of a partition.
func CutModes() []CutMode { return []CutMode{CutHangs, CutResets, CutRefusesNew} }

// Partition cuts the links between two hosts in both directions, or changes how they are cut.
func (n *Network) Partition(a, b string, m CutMode) {
	n.setPartition(a, b, m)
	n.SetCut(Link{a, b}, m == CutHangs)
	n.SetCut(Link{b, a}, m == CutHangs)
	if m == CutResets {
		n.resetConns(func(l Link) bool { return l == Link{a, b} || l == Link{b, a} })
	}
}

// Heal restores the links between two hosts. Connections on which data was dropped stay dead.
func (n *Network) Heal(a, b string) {
	n.setPartition(a, b, "")
	n.SetCut(Link{a, b}, false)
	n.SetCut(Link{b, a}, false)
}

func (n *Network) setPartition(a, b string, m CutMode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range []Link{{a, b}, {b, a}} {
		if m == "" {
			delete(n.partitions, l)
		} else {
			n.partitions[l] = m
		}
	}
}

// dialError returns the error with which the peer, or the network, rejects a new connection,
// or nil if it does not.
func (n *Network) dialError(l Link) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch m := n.partitions[l]; m {
	case "", CutHangs: // A dial over a link that hangs is cut elsewhere.
		return nil
	case CutResets:
		return &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNRESET}
	case CutRefusesNew:
		return &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	default:
		return fmt.Errorf("unknown mode of a partition: %q", m)
	}
}

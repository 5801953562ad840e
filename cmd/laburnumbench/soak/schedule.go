package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// EventKind names a fault or an operational action that the soak performs.
type EventKind string

// Kinds of events.
const (
	VMTerminate     EventKind = "vm terminated"
	VMKill          EventKind = "vm killed"
	VMPause         EventKind = "vm paused"
	VMReload        EventKind = "vm reloads"
	VMCutOff        EventKind = "vm cut off from all servers"
	ServerLinkFault EventKind = "link"
	StoreFault      EventKind = "store"
	StoreLinkFault  EventKind = "store link of a vm"
	ServerFault     EventKind = "server"
	ServerCrash     EventKind = "server crashes"
	ServerDrain     EventKind = "server drains"
	ConfigChange    EventKind = "configuration"
)

// weightedKinds lists each kind as many times as its relative frequency.
var weightedKinds = []EventKind{
	VMTerminate, VMTerminate, VMKill, VMPause, VMReload, VMCutOff, VMCutOff, ServerLinkFault, ServerLinkFault, StoreFault, StoreFault, StoreLinkFault,
	ServerFault, ServerFault, ServerFault, ServerCrash, ServerDrain, ConfigChange, ConfigChange,
}

// Event is one scheduled fault or action.
type Event struct {
	At       time.Duration // Since the start of the schedule.
	Duration time.Duration
	Kind     EventKind
	Target   int // Index of a VM, a link or a server, modulo the number of them.
	Variant  int // Selects a variant of the kind, modulo the number of variants.
}

// String describes the event on one line.
func (e Event) String() string {
	return fmt.Sprintf("%5.1f s %s %d variant %d for %.1f s", e.At.Seconds(), e.Kind, e.Target, e.Variant, e.Duration.Seconds())
}

// Schedule returns the events of a soak, which may overlap. The same seed and
// length always give the same schedule.
func Schedule(seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 11))
	var out []Event
	for at := time.Second; at < length; {
		e := Event{
			At: at, Duration: time.Duration(200+rng.IntN(2500)) * time.Millisecond,
			Kind: weightedKinds[rng.IntN(len(weightedKinds))], Target: rng.IntN(1000), Variant: rng.IntN(1000),
		}
		out = append(out, e)
		if rng.IntN(4) == 0 { // Repeat the event on the following targets.
			for range 1 + rng.IntN(3) {
				e.At += time.Duration(rng.IntN(700)) * time.Millisecond
				e.Target++
				out = append(out, e)
			}
		}
		at += time.Duration(100+rng.IntN(1100)) * time.Millisecond
	}
	return out
}

package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// EventKind is what happens.
type EventKind string

// Kinds of events.
const (
	VMTerminate     EventKind = "vm terminated"
	VMKill          EventKind = "vm killed"
	VMPause         EventKind = "vm paused"
	VMReload        EventKind = "vm reloads"
	ServerLinkFault EventKind = "link"
	StoreFault      EventKind = "store"
	StoreLinkFault  EventKind = "store link of a vm"
	ServerFault     EventKind = "server"
	ServerCrash     EventKind = "server crashes"
	ServerDrain     EventKind = "server drains"
	ConfigChange    EventKind = "configuration"
)

// kinds holds each kind as often as it is drawn.
var kinds = []EventKind{
	VMTerminate, VMTerminate, VMKill, VMPause, VMReload, ServerLinkFault, ServerLinkFault, StoreFault, StoreFault, StoreLinkFault,
	ServerFault, ServerFault, ServerFault, ServerCrash, ServerDrain, ConfigChange, ConfigChange,
}

// Event is something that happens at a time of the soak.
type Event struct {
	At       time.Duration
	Duration time.Duration
	Kind     EventKind
	Target   int // Place of a VM, a link or a server.
	Variant  int // Which of the kind's ways.
}

// String describes the event on one line.
func (e Event) String() string {
	return fmt.Sprintf("%5.1f s %s %d way %d for %.1f s", e.At.Seconds(), e.Kind, e.Target, e.Variant, e.Duration.Seconds())
}

// Schedule returns what happens in a soak. One seed gives one schedule. Events
// come in series and overlap.
func Schedule(seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 11))
	var out []Event
	for at := time.Second; at < length; {
		e := Event{
			At: at, Duration: time.Duration(200+rng.IntN(2500)) * time.Millisecond,
			Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(1000), Variant: rng.IntN(1000),
		}
		out = append(out, e)
		if rng.IntN(4) == 0 { // A series of the same, one target after the other.
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

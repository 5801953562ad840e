package fleet

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// The reader of the platform's tables sends its state to the VMs of its own data centre, and
// to two relays in each other one. Each relay passes it on to the VMs of its data centre, so
// each VM gets it twice and misses nothing if one relay fails.
const (
	relaysPerDataCentre = 2
	roleRelay           = "relay"
	// maxRelayAge is how long after its arrival a message is still passed on. A process that
	// was paused must not make others believe that they are up to date.
	maxRelayAge = takeOverAfter / 3
)

// receiver is a VM that gets a message of the reader.
type receiver struct {
	vm     roster.VM
	passOn bool // It passes the message on to the VMs of its data centre.
}

// stateReceivers returns the VMs to which the reader sends its state. Relays that lately
// gave no reply are replaced by the next ones.
func (n *Node) stateReceivers(now time.Time) []receiver {
	var out []receiver
	others := make(map[site.DataCentre]bool)
	for _, vm := range n.View().VMs() {
		switch {
		case vm.DataCentre != n.cfg.Self.DataCentre:
			others[vm.DataCentre] = true
		case vm.Name != n.cfg.Self.Name:
			out = append(out, receiver{vm: vm})
		}
	}
	for dc := range others {
		for _, vm := range n.relays(now, dc) {
			out = append(out, receiver{vm, true})
		}
	}
	return out
}

// relays returns the relays of a data centre.
func (n *Node) relays(now time.Time, dc site.DataCentre) []roster.VM {
	var out []roster.VM
	for _, vm := range n.View().InDataCentre(roleRelay, dc, maxCandidates+1) {
		if len(out) < relaysPerDataCentre && !n.lostRelays.Has(now, vm.Name) {
			out = append(out, vm)
		}
	}
	return out
}

// startSend starts to send the state to a VM, unless an earlier message is still on its way.
func (n *Node) startSend(ctx context.Context, r receiver, req *fleetapi.LevelRequest) {
	if !n.beginSend(r.vm.Name) {
		return
	}
	if r.passOn {
		req = proto.CloneOf(req)
		req.PassOn = true
	}
	go func() {
		if !n.sendState(ctx, r.vm, req) && r.passOn {
			n.lostRelays.Add(time.Now(), r.vm.Name)
		}
	}()
}

// passOnState sends a message of the reader, which arrived at a time, to the VMs of this data
// centre.
func (n *Node) passOnState(arrived time.Time, from roster.VMName, req *fleetapi.LevelRequest) {
	next := proto.CloneOf(req)
	next.From, next.Address, next.PassOn = string(n.cfg.Self.Name), n.cfg.Self.Address, false
	for _, vm := range n.View().VMs() {
		if time.Since(arrived) > maxRelayAge {
			return
		}
		if vm.DataCentre == n.cfg.Self.DataCentre && vm.Name != n.cfg.Self.Name && vm.Name != from {
			n.startSend(context.Background(), receiver{vm: vm}, next)
		}
	}
}

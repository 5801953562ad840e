package egress

import (
	"context"
	"slices"
	"sync"
	"time"

	"laburnumpick.org/pkg/roster"
)

// Limits of a search.
const (
	// askedAtOnce is the number of VMs that are asked at the same time whether they reach a
	// server, and askedRounds how often that is done for one attempt.
	askedAtOnce = 10
	askedRounds = 2
	// failureMemory is how long a search that found no VM is not repeated. Requests for a server
	// that has gone would otherwise each ask many VMs.
	failureMemory = 300 * time.Millisecond
)

// search is the search for a VM that reaches a server, for one attempt or check.
type search struct {
	sender *Sender
	target Target

	asked       []roster.VMName // VMs that do not reach the server, or did not say so.
	rounds      int
	unreachable int // VMs that reach other servers, and not this one.
	refused     int // Those of them that the server refused.
}

// next returns the VM to try next, or false if none is known that reaches the server. If a VM
// has failed, others are asked first.
func (q *search) next(ctx context.Context) (roster.VM, bool) {
	s := q.sender
	for ctx.Err() == nil {
		vm, ok := s.carriers.Choose(time.Now(), s.cfg.VMs(), q.asked)
		if !ok {
			return roster.VM{}, false
		}
		if len(q.asked) == 0 || s.carriers.Proven(time.Now(), vm.Name) {
			q.asked = append(q.asked, vm.Name)
			return vm, true
		}
		if q.rounds == askedRounds {
			return roster.VM{}, false
		}
		q.rounds++
		q.ask(ctx)
	}
	return roster.VM{}, false
}

// ask asks some VMs at the same time whether they reach the server. Those that do are proven
// afterwards. It reports whether there is one.
func (q *search) ask(ctx context.Context) bool {
	s := q.sender
	var vms []roster.VM
	skip := slices.Clone(q.asked)
	for len(vms) < askedAtOnce {
		vm, ok := s.carriers.Choose(time.Now(), s.cfg.VMs(), skip)
		if !ok {
			break
		}
		vms, skip = append(vms, vm), append(skip, vm.Name)
	}
	results := make([]Result, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() { results[i] = s.checkVia(ctx, vm, q.target) })
	}
	wg.Wait()
	reached := false
	for i, r := range results {
		if r == Reached {
			reached = true
			continue
		}
		q.asked = append(q.asked, vms[i].Name)
		q.add(r)
	}
	return reached
}

// add records what a VM that does not reach the server has said.
func (q *search) add(r Result) {
	switch r {
	case Unreachable:
		q.unreachable++
	case Refused:
		q.unreachable++
		q.refused++
	default:
	}
}

// failure returns why no VM was found.
func (q *search) failure() error {
	alone := len(q.asked) == 0 && len(q.sender.cfg.VMs()) <= 1
	switch {
	case q.unreachable > 0:
		return ErrUnreachable
	case q.sender.links.Isolated():
		return ErrNoPath
	case alone:
		return ErrUnreachable // Nobody else could be asked.
	default:
		return ErrUnconfirmed
	}
}

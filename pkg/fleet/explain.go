package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/roster"
)

// explainTimeout bounds a call that asks a home what it would decide. No request waits for it.
const explainTimeout = time.Second

// ExplainedDecision is what the home of a pool would decide on a request for a slot.
type ExplainedDecision struct {
	Home    roster.VMName
	Passed  []string // What came of the VMs that were asked before.
	Problem string   // Why the decision is not known; empty if it is.
	home.Explanation
}

// Explain asks the VMs that Acquire would ask, in the same order, what they would decide on a
// request for a slot. Nothing is decided, and no VM is skipped later for not answering.
func (n *Node) Explain(ctx context.Context, req *home.SlotRequest) ExplainedDecision {
	out := ExplainedDecision{Problem: "no VM that may be the home of the service's pool answered"}
	for _, vm := range n.homeCandidates(time.Now(), req.Service) {
		e, err := n.explainFrom(ctx, vm, req)
		if lacksCall(err) {
			out.Home, out.Problem = vm.Name, fmt.Sprintf("VM %s decides, and its build cannot explain decisions", vm.Name)
			return out
		}
		if err != nil {
			out.Passed = append(out.Passed, fmt.Sprintf("%s: %v", vm.Name, err))
			continue
		}
		out.Home, out.Problem, out.Explanation = vm.Name, "", e
		if r, refused := e.Decision.(pool.Refused); !refused || r.Kind != outcome.NoServer {
			return out
		}
		out.Passed = append(out.Passed, fmt.Sprintf("%s: it knows no server that can be used", vm.Name))
	}
	return out
}

// lacksCall reports whether a call failed because the other VM's build does not have it.
func lacksCall(err error) bool {
	te, ok := errors.AsType[twirp.Error](err)
	return ok && te.Code() == twirp.BadRoute
}

var errNotExplained = errors.New("the call ended before the home was free to explain")

// explainFrom asks one VM, which may be this one.
func (n *Node) explainFrom(ctx context.Context, vm roster.VM, req *home.SlotRequest) (home.Explanation, error) {
	ctx, cancel := context.WithTimeout(n.withToken(ctx), explainTimeout)
	defer cancel()
	if n.isSelf(vm) {
		e, ok := n.cfg.Home.Explain(ctx, req)
		if !ok {
			return home.Explanation{}, errNotExplained
		}
		return e, nil
	}
	reply, err := n.client(vm.Address).Explain(ctx, &fleetapi.ExplainRequest{Request: fleetapi.FromSlotRequest(req)})
	if err != nil {
		return home.Explanation{}, err
	}
	e, ok := fleetapi.ToExplanation(reply)
	if !ok {
		return home.Explanation{}, errors.New("the reply contains no decision")
	}
	return e, nil
}

// Explain implements fleetapi.Fleet.
func (s server) Explain(ctx context.Context, req *fleetapi.ExplainRequest) (*fleetapi.ExplainAnswer, error) {
	e, ok := s.node.cfg.Home.Explain(ctx, fleetapi.ToSlotRequest(req.GetRequest()))
	if !ok {
		return nil, twirp.NewError(twirp.DeadlineExceeded, errNotExplained.Error())
	}
	return fleetapi.FromExplanation(e), nil
}

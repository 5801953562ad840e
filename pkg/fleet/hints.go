package fleet

import (
	"fmt"
	"sync"
	"time"

	"laburnumpick.org/pkg/admission"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// knownHint is the latest hint of a service's home.
type knownHint struct {
	home   roster.VMName
	hint   admission.Hint
	sentAt time.Time // When the request was sent to which the home replied.
}

// knownHints holds what the homes of pools have told this VM about their capacity.
type knownHints struct {
	mu       sync.Mutex
	services map[site.ServiceName]knownHint
}

func newKnownHints() *knownHints {
	return &knownHints{services: make(map[site.ServiceName]knownHint)}
}

// record keeps the hint in the reply to a request that was sent at a time, unless the
// same home has replied to a later one. A reply without a hint ends the one before.
func (k *knownHints) record(sentAt time.Time, svc site.ServiceName, vm roster.VMName, h admission.Hint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, known := k.services[svc]
	switch {
	case known && before.home == vm && before.sentAt.After(sentAt):
	case h.Validity > 0:
		k.services[svc] = knownHint{vm, h, sentAt}
	case known && before.home == vm:
		delete(k.services, svc)
	}
}

// of returns the hint of a VM as the home of a service's pool, and its age.
func (k *knownHints) of(now time.Time, svc site.ServiceName, vm roster.VMName) (admission.Hint, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.services[svc]
	if h.home != vm {
		return admission.Hint{}, 0
	}
	return h.hint, now.Sub(h.sentAt)
}

// refuseByHint refuses a request that a home would refuse, by its latest hint. It reports
// false if the home is to decide. Only the home knows whether another attempt with the
// same idempotency key is queued or runs, so requests with a key that is not claimed yet
// go there.
func (n *Node) refuseByHint(now time.Time, vm roster.VMName, req *home.SlotRequest) (pool.Refused, bool) {
	h, age := n.hints.of(now, req.Service, vm)
	if req.Key != "" || !h.Refuses(age, req.Priority, req.Attempts) {
		return pool.Refused{}, false
	}
	r := pool.Refused{
		Kind:       outcome.Overload,
		Detail:     fmt.Sprintf("the pool's home refuses requests of priority %d and less urgent ones, as it told %d ms before", h.RefusesFrom, age.Milliseconds()),
		RetryAfter: admission.RetryAfter(h.RetryAfter, admission.RandomOf(req.RequestID)),
	}
	n.cfg.Scope.Counter("hintRefusals").Inc(1)
	record.LogSampled(now, record.HintRefused, "fleet: refused by the hint of a home", "id", req.RequestID, "pool", req.Service, "home", vm,
		"priority", req.Priority, "refusesFrom", h.RefusesFrom, "age", age.Round(time.Millisecond), "retryAfter", r.RetryAfter.Round(time.Millisecond))
	return r, true
}

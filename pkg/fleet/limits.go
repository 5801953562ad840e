package fleet

import (
	"slices"
	"sync"
	"time"

	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// limitsInterval is the time after which a home is told limits again that it has been
// told before, in case it has restarted.
const limitsInterval = 250 * time.Millisecond

// toldHome is a VM that was told the limits of a service's servers.
type toldHome struct {
	vm      roster.VMName
	service site.ServiceName
}

// toldLimits are the limits that a home was told last, and when.
type toldLimits struct {
	at     time.Time
	limits []pool.NamedLimit
}

// limitsTold remembers which limits this VM has told to which homes, so that not each
// request for a slot repeats them. It is safe for concurrent use.
type limitsTold struct {
	mu    sync.Mutex
	homes map[toldHome]toldLimits
}

func newLimitsTold() *limitsTold { return &limitsTold{homes: make(map[toldHome]toldLimits)} }

// isDue reports whether a request to a home must name the limits that this VM knows.
func (t *limitsTold) isDue(now time.Time, vm roster.VMName, req *home.SlotRequest) bool {
	if len(req.Limits) == 0 || req.Ticket != 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.homes[toldHome{vm, req.Service}]
	return now.Sub(last.at) >= limitsInterval || !slices.EqualFunc(last.limits, req.Limits, haveSameLimit)
}

// record records that a home has been told the limits of a request.
func (t *limitsTold) record(now time.Time, vm roster.VMName, req *home.SlotRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for h, told := range t.homes {
		if now.Sub(told.at) > limitsInterval {
			delete(t.homes, h)
		}
	}
	t.homes[toldHome{vm, req.Service}] = toldLimits{now, req.Limits}
}

func haveSameLimit(a, b pool.NamedLimit) bool {
	return a.Server == b.Server && a.StartedMs == b.StartedMs && a.Limit == b.Limit
}

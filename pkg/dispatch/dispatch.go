package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/claim"
	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/journal"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

// Homes finds the home of a pool and asks it. A home that does not answer is
// replaced by the VM that stands in for it.
type Homes interface {
	// Acquire returns Granted or Refused; waits are followed to their end.
	Acquire(ctx context.Context, a *home.SlotRequest) (Seat, *pool.Refused)
}

// Seat is a granted slot. It ends with Release.
type Seat interface {
	Grant() pool.Granted
	Home() string // The VM that granted it.
	Release(e home.GrantResult)
}

// Config is what a dispatcher needs.
type Config struct {
	Site       site.Name
	DataCentre site.DataCentre
	Holder     claim.Holder // This VM, as it stands in claims.
	Homes      Homes
	Dial       backend.Dialer
	Contract   backend.Contract
	Registry   *registry.Book
	Store      store.Table
	Journal    *journal.Journal
	Tracer     trace.Tracer
	Scope      tally.Scope
	MaxWhole   int // Bytes of an answer that are held back until whole.
}

// Dispatcher runs jobs.
type Dispatcher struct {
	cfg    Config
	ledger *claim.Ledger
	runs   *runs
	shun   *control.Recent[site.ServerName] // Servers without success here.

	mu    sync.Mutex // Guards links.
	links map[string]*backend.Link
}

// New returns a dispatcher. Its settler must be served.
func New(cfg Config) *Dispatcher {
	l := claim.NewLedger(cfg.Store, cfg.Holder)
	return &Dispatcher{
		cfg: cfg, ledger: l, runs: newRuns(l, cfg.Journal), shun: control.NewRecent[site.ServerName](shunTime),
		links: make(map[string]*backend.Link),
	}
}

// Settler returns the service that brings ends of claims to the table.
func (d *Dispatcher) Settler() *Settler { return &Settler{d.runs} }

// Unsettled returns how many ends of claims the table lacks.
func (d *Dispatcher) Unsettled() int { return d.runs.pending() }

// CloseIdle closes the connections that rest.
func (d *Dispatcher) CloseIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.links {
		l.Flush()
	}
}

// Prune closes the connections that have rested too long and forgets the links
// to servers without any.
func (d *Dispatcher) Prune(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for a, l := range d.links {
		if l.Prune(now) {
			delete(d.links, a)
		}
	}
}

// link returns the connections to a server.
func (d *Dispatcher) link(address string) *backend.Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.links[address]
	if !ok {
		l = backend.NewLink(address, d.cfg.Dial)
		d.links[address] = l
	}
	return l
}

// shunTime is how long this VM leaves a server out that it could not reach or
// that gave it no answer. The link may be cut for this VM alone.
const shunTime = 3 * time.Second

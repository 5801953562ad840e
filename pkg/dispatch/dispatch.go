package dispatch

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/claim"
	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/egress"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/journal"
	"laburnumpick.org/pkg/notice"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

// Homes requests slots from the home of a pool, or from its standby if the home
// does not respond.
type Homes interface {
	// Acquire returns a granted slot or a refusal. It blocks while the request
	// is queued.
	Acquire(ctx context.Context, req *home.SlotRequest) (Slot, *pool.Refused)
}

// Slot is a granted slot of a backend server. Its holder must call Release.
type Slot interface {
	Grant() pool.Granted
	Home() string // Name of the VM that granted the slot.
	Release(result home.GrantResult)
	// ObserveLimit records what a response to the grant says about the limit of the
	// service's server. It does not block.
	ObserveLimit(n site.ServiceName, o ObservedLimit)
	// ReportNotices tells the home what the service's servers have told this VM. It does
	// not block.
	ReportNotices(n site.ServiceName)
}

// Egress sends requests to servers, directly or through another VM. *egress.Sender implements it.
type Egress interface {
	// Send sends an attempt once.
	Send(ctx context.Context, a *egress.Attempt) (*backend.Response, egress.Path, error)
	// Check finds out whether a server can be reached, by this VM or by another one.
	Check(ctx context.Context, t egress.Target) egress.Verdict
	// LinkDown finds out whether this VM's link is why an attempt, which was sent directly at a
	// time, has got nothing from its server.
	LinkDown(ctx context.Context, t egress.Target, since time.Time) bool
	// Doubt has this VM's link to a server checked soon.
	Doubt(t egress.Target)
	// LinkFailed reports whether an attempt that has got nothing from a server since a time may
	// have failed because of this VM's links.
	LinkFailed(s site.Server, since time.Time) bool
	// CloseIdleTo closes the idle connections to a server.
	CloseIdleTo(s site.Server)
}

// Config holds the settings and dependencies of a Dispatcher.
type Config struct {
	Site            site.Name
	DataCentre      site.DataCentre
	Holder          claim.Holder // This VM, as it is recorded in claims.
	Homes           Homes
	Egress          Egress
	Contract        backend.Contract
	Registry        *registry.Replica
	Notices         *notice.Memory // What servers have told this VM.
	Store           store.Table
	Journal         *journal.Journal
	Tracer          trace.Tracer
	Scope           tally.Scope
	MaxBufferedBody int // Largest body, in bytes, that is buffered until it is complete.
}

// Dispatcher sends jobs to backend servers and records the outcomes of keyed ones.
type Dispatcher struct {
	cfg     Config
	ledger  *claim.Ledger
	claimed *claimedRequests
	avoided *control.TTLSet[site.ServerName] // Servers that no VM could reach lately, or that did not respond to this one.
}

// New returns a dispatcher. The caller must run its OutcomeWriter.
func New(cfg Config) *Dispatcher {
	l := claim.NewLedger(cfg.Store, cfg.Holder)
	return &Dispatcher{
		cfg: cfg, ledger: l, claimed: newClaimedRequests(l, cfg.Journal), avoided: control.NewTTLSet[site.ServerName](avoidTime),
	}
}

// OutcomeWriter returns the service that writes outcomes of claimed requests to
// the store.
func (d *Dispatcher) OutcomeWriter() *OutcomeWriter { return &OutcomeWriter{d.claimed} }

// UnwrittenOutcomes returns the number of finished claimed requests whose outcome
// is not stored yet.
func (d *Dispatcher) UnwrittenOutcomes() int { return d.claimed.unwrittenCount() }

// avoidTime is how long this VM excludes a server that it could not reach or
// that did not respond. The expiry is short because the network path may be down
// for this VM only.
const avoidTime = 3 * time.Second

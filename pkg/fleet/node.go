// Package fleet makes one VM a member of its site's fleet. It maintains the
// roster, gossips updates, finds the home of each pool, and keeps the
// configuration and the registry in sync with the other VMs.
//
// The home of a pool is the VM that grants its slots. All VMs compute the same
// candidates for it from the roster, and for site-wide roles such as reading the
// platform's tables.
package fleet

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/claim"
	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/dispatch"
	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/journal"
	"laburnumpick.org/pkg/notice"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/quota"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/store"
)

// rosterTick is the interval at which expired suspicions are checked.
const rosterTick = quota.TickPeriod

// Config holds the settings and dependencies of a node.
type Config struct {
	Self    roster.VM
	Store   store.Store
	Source  catalog.Source
	Replica *catalog.Replica
	Home    *home.Home
	Losses  *quarantine.Tracker // What this VM knows of requests that crash servers.
	Keeper  *quarantine.Keeper
	Notices *notice.Memory
	Journal *journal.Journal
	HTTP    *http.Client // Used for calls to other VMs.
	Dial    backend.Dialer
	Token   string
	Scope   tally.Scope
	Rand    *rand.Rand

	// Servers is the source of registered servers, or nil if no service has any.
	Servers  registry.Source
	Registry *registry.Replica
	Keyed    Keyed // Tracks the keyed requests that this VM runs.

	ListInterval time.Duration // Between two reads of the platform's list of VMs.
	ListReaders  int           // Number of VMs that read the list.
	// Tolerance returns what all VMs may spend beyond a quota.
	Tolerance func() quota.Tolerance
	// Standalone makes this VM the home of all pools, as the baseline of
	// experiments.
	Standalone bool
}

// Keyed gives access to the keyed requests (those with an idempotency key) that
// this VM runs.
type Keyed interface {
	// Await waits up to wait for an attempt to end and returns its status.
	Await(ctx context.Context, id claim.ID, a claim.AttemptID, wait time.Duration) dispatch.Status
}

// Node is one VM's membership in the fleet.
type Node struct {
	cfg       Config
	startedAt time.Time
	loop      *control.Loop
	view      atomic.Pointer[roster.View]
	leftAt    atomic.Pointer[time.Time] // When a VM last left the view; nil for never.
	freshAt   atomic.Pointer[time.Time] // When the last VM started, if all have started together; otherwise nil.
	isolated  atomic.Bool               // Whether the roster considers this VM isolated.
	behind    chan roster.VM            // VMs that have a newer configuration or registry.
	gossipNow chan struct{}             // Signals that updates are to be pushed at once.
	eraRose   chan struct{}             // Signals that the store has come back from an older copy.

	// The fields below are owned by the loop's goroutine.
	roster  *roster.Roster
	gossip  *gossip
	wantAll bool // No VM has answered yet with all of its updates.

	mu           sync.Mutex // Guards clients.
	clients      map[string]fleetapi.Fleet
	limits       *knownLimits
	quotas       *quotas
	hints        *knownHints
	unresponsive *control.TTLSet[roster.VMName] // VMs that recently did not answer as homes.
	lostRelays   *control.TTLSet[roster.VMName] // VMs that recently did not answer as relays.

	// The fields below are owned by the goroutine that reads the list.
	unknownSince map[string]time.Time // When a listed VM was first dead or missing in the roster.
	registeredIn int64                // The store's era in which this VM registered.

	lossesRead  bool  // The stored losses have been read; owned by the goroutine that reads the tables.
	reportedEra int64 // The store's era last reported, or unknownEra; owned by the goroutine that reads the tables.

	syncMu    sync.Mutex // Guards the fields below.
	syncState syncState
	sending   map[roster.VMName]bool // VMs to which a Level call is in flight.
}

// NewNode returns a node. Its Services must be run by a supervisor.
func NewNode(now time.Time, cfg Config) *Node {
	n := &Node{
		cfg:          cfg,
		startedAt:    now,
		behind:       make(chan roster.VM, 1),
		gossipNow:    make(chan struct{}, 1),
		eraRose:      make(chan struct{}, 1),
		roster:       roster.New(now, cfg.Self, cfg.Rand),
		gossip:       newGossip(),
		wantAll:      true,
		clients:      make(map[string]fleetapi.Fleet),
		limits:       newKnownLimits(cfg.Self.Name),
		quotas:       newQuotas(cfg.Tolerance),
		hints:        newKnownHints(),
		unresponsive: control.NewTTLSet[roster.VMName](unresponsivePenalty),
		lostRelays:   control.NewTTLSet[roster.VMName](unresponsivePenalty),
		sending:      make(map[roster.VMName]bool),
		unknownSince: make(map[string]time.Time),
		reportedEra:  unknownEra,
	}
	n.view.Store(n.roster.View())
	n.quotas.addView(now, n.roster.View())
	n.loop = control.NewLoop(rosterTick, n.tick)
	return n
}

// Services returns the node's services for the supervisor.
func (n *Node) Services() []suture.Service {
	return []suture.Service{
		n.loop,
		&service{"heartbeats", n.serveHeartbeats},
		&service{"news", n.serveGossip},
		&service{"catalog fetches", n.serveFetches},
		&service{"sync with the platform's tables", n.serveTableSync},
		&service{"list of VMs", n.serveList},
		n.cfg.Keeper,
	}
}

// service adapts a function to suture.Service.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s *service) Serve(ctx context.Context) error { return s.run(ctx) }

// String returns the name that the supervisor logs.
func (s *service) String() string { return s.name }

// isSelf reports whether a VM is this one.
func (n *Node) isSelf(vm roster.VM) bool { return vm.Name == n.cfg.Self.Name }

// View returns the VMs that are eligible for roles.
func (n *Node) View() *roster.View { return n.view.Load() }

// tick applies the roster's timeouts.
func (n *Node) tick(now time.Time) {
	n.roster.Tick(now)
	n.publish(now)
	n.tickQuotas(now)
}

// publish makes a changed view available to other goroutines and pushes changed
// updates.
func (n *Node) publish(now time.Time) {
	if n.roster.TakeChanged() {
		n.triggerGossip()
	}
	n.isolated.Store(n.roster.Isolated())
	v := n.roster.View()
	if old := n.view.Load(); old != v {
		n.view.Store(v)
		n.quotas.addView(now, v)
		n.cfg.Scope.Gauge("members").Update(float64(len(v.VMs())))
		n.journalMembers(now, old, v)
		n.noteStarts(now)
	}
}

// journalMembers records which VMs joined or left between two views.
func (n *Node) journalMembers(now time.Time, old, v *roster.View) {
	was := make(map[roster.VMName]bool, len(old.VMs()))
	for _, vm := range old.VMs() {
		was[vm.Name] = true
	}
	for _, vm := range v.VMs() {
		if !was[vm.Name] {
			n.cfg.Journal.Add(now, "vm "+string(vm.Name), "joined the fleet and is eligible for roles")
			record.Log("fleet: VM joined", "vm", vm.Name, "members", len(v.VMs()))
		}
		delete(was, vm.Name)
	}
	if len(was) > 0 {
		n.leftAt.Store(&now)
	}
	for name := range was {
		n.cfg.Journal.Add(now, "vm "+string(name), "left the fleet and is no longer eligible for roles")
		record.Log("fleet: VM left", "vm", name, "members", len(v.VMs()))
	}
}

// Leave informs the other VMs that this one stops.
func (n *Node) Leave(ctx context.Context) {
	n.loop.Do(ctx, func(now time.Time) {
		n.roster.Leave(now)
		n.publish(now)
	})
	n.pushGossip(ctx, leaveFanout)
}

// Members returns this VM's own update, all updates that it has about members,
// and whether it is isolated from the other VMs.
func (n *Node) Members(ctx context.Context) (self roster.Update, all []roster.Update, isolated bool) {
	n.loop.Do(ctx, func(time.Time) {
		self, all, isolated = n.roster.Self(), n.roster.All(), n.roster.Isolated()
	})
	return self, all, isolated
}

// client returns a client for calls to another VM.
func (n *Node) client(address string) fleetapi.Fleet {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := n.clients[address]
	if !ok {
		c = fleetapi.NewFleetProtobufClient("http://"+address, n.cfg.HTTP)
		n.clients[address] = c
	}
	return c
}

// withToken adds the fleet's token to the headers of a call.
func (n *Node) withToken(ctx context.Context) context.Context {
	h := make(http.Header)
	h.Set(fleetapi.HeaderToken, n.cfg.Token)
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, h)
	if err != nil {
		return ctx // The other VM rejects the call without a token, so the caller gets an error.
	}
	return ctx
}

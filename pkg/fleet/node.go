// Package fleet makes one VM a member of its site's fleet: it keeps the roster,
// spreads facts, and keeps the configuration level with the other VMs.
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
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/store"
)

// rosterTick is the gap between two looks at suspicions.
const rosterTick = 250 * time.Millisecond

// Config is what a node needs.
type Config struct {
	Self    roster.VM
	Store   store.Store
	Source  catalog.Source
	Replica *catalog.Replica
	Home    *home.Home
	Journal *journal.Journal
	HTTP    *http.Client // For calls to other VMs.
	Dial    backend.Dialer
	Token   string
	Scope   tally.Scope
	Rand    *rand.Rand

	// Servers is where registered servers are read, or nil where there are none.
	Servers  registry.Source
	Registry *registry.Replica
	Keyed    Keyed // Answers for the keyed requests that this VM runs.

	ListGap     time.Duration // Between two reads of the list of VMs.
	ListReaders int           // VMs that read it.
	// Alone makes this VM the home of all pools, as the baseline of experiments.
	Alone bool
}

// Keyed tells how the keyed requests that this VM runs end.
type Keyed interface {
	Await(ctx context.Context, id claim.ID, a claim.AttemptID, wait time.Duration) dispatch.Status
}

// Node is one VM's membership of the fleet.
type Node struct {
	cfg    Config
	loop   *control.Loop
	view   atomic.Pointer[roster.View]
	behind chan roster.VM // VMs that have a newer configuration.
	tell   chan struct{}  // There is news to push at once.

	// The loop's goroutine owns what follows.
	roster *roster.Roster
	rumors *rumors
	greet  bool // This VM still wants all facts from somebody.

	mu      sync.Mutex // Guards clients.
	clients map[string]fleetapi.Fleet
	gray    *control.TTLSet[roster.VMName] // VMs that did not answer as homes lately.

	stale map[string]time.Time // Since when a listed VM is not known; of the reader of the list.

	levelMu sync.Mutex // Guards what follows.
	level   level
	telling map[roster.VMName]bool // VMs to which a message is on its way.
}

// NewNode returns a node. Its services must be served.
func NewNode(now time.Time, cfg Config) *Node {
	n := &Node{
		cfg:     cfg,
		behind:  make(chan roster.VM, 1),
		tell:    make(chan struct{}, 1),
		roster:  roster.New(now, cfg.Self, cfg.Rand),
		rumors:  newRumors(),
		greet:   true,
		clients: make(map[string]fleetapi.Fleet),
		gray:    control.NewTTLSet[roster.VMName](grayPenalty),
		telling: make(map[roster.VMName]bool),
		stale:   make(map[string]time.Time),
	}
	n.view.Store(n.roster.View())
	n.loop = control.NewLoop(rosterTick, n.tick)
	return n
}

// Services returns the node's services for the supervisor.
func (n *Node) Services() []suture.Service {
	return []suture.Service{
		n.loop,
		&service{"heartbeats", n.serveHeartbeats},
		&service{"news", n.serveNews},
		&service{"catalog fetches", n.serveSync},
		&service{"reads of the platform's tables", n.serveLevel},
		&service{"list of VMs", n.serveList},
	}
}

// service makes a function a suture service with a name.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s *service) Serve(ctx context.Context) error { return s.run(ctx) }

// String names the service in logs.
func (s *service) String() string { return s.name }

// View returns the VMs that can have roles.
func (n *Node) View() *roster.View { return n.view.Load() }

// tick ends suspicions.
func (n *Node) tick(now time.Time) {
	n.roster.Tick(now)
	n.publish(now)
}

// publish makes a changed view known to the other goroutines.
func (n *Node) publish(now time.Time) {
	if n.roster.TakeNews() {
		n.news()
	}
	v := n.roster.View()
	if old := n.view.Load(); old != v {
		n.view.Store(v)
		n.cfg.Scope.Gauge("members").Update(float64(len(v.VMs())))
		n.journalMembers(now, old, v)
	}
}

func (n *Node) journalMembers(now time.Time, old, v *roster.View) {
	was := make(map[roster.VMName]bool, len(old.VMs()))
	for _, vm := range old.VMs() {
		was[vm.Name] = true
	}
	for _, vm := range v.VMs() {
		if !was[vm.Name] {
			n.cfg.Journal.Add(now, "vm "+string(vm.Name), "joined the fleet's roles")
			record.Log("fleet: VM joined", "vm", vm.Name, "members", len(v.VMs()))
		}
		delete(was, vm.Name)
	}
	for name := range was {
		n.cfg.Journal.Add(now, "vm "+string(name), "left the fleet's roles")
		record.Log("fleet: VM left", "vm", name, "members", len(v.VMs()))
	}
}

// Leave tells the other VMs that this one stops.
func (n *Node) Leave(ctx context.Context) {
	n.loop.Do(ctx, func(now time.Time) {
		n.roster.Leave(now)
		n.publish(now)
	})
	n.pushNews(ctx, leaveFanout)
}

// Members returns every fact about members, this VM's first, and whether this
// VM has heard nobody for a while.
func (n *Node) Members(ctx context.Context) (self roster.Update, all []roster.Update, isolated bool) {
	n.loop.Do(ctx, func(time.Time) {
		self, all, isolated = n.roster.Self(), n.roster.All(), n.roster.Isolated()
	})
	return self, all, isolated
}

// client returns the Fleet client of another VM.
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

// withToken shows the fleet's token in a call.
func (n *Node) withToken(ctx context.Context) context.Context {
	h := make(http.Header)
	h.Set(fleetapi.HeaderToken, n.cfg.Token)
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, h)
	if err != nil {
		return ctx // The other VM refuses the call, which is told as an error.
	}
	return ctx
}

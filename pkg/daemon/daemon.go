// Package daemon assembles the services of one entry VM, a VM that accepts callers'
// requests, and runs them under a supervisor tree.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"laburnumpick.org/pkg/admission"
	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/buffer"
	"laburnumpick.org/pkg/caller"
	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/claim"
	"laburnumpick.org/pkg/credential"
	"laburnumpick.org/pkg/dispatch"
	"laburnumpick.org/pkg/egress"
	"laburnumpick.org/pkg/entry"
	"laburnumpick.org/pkg/fleet"
	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/journal"
	"laburnumpick.org/pkg/notice"
	"laburnumpick.org/pkg/operator"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/quota"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/settings"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
	"laburnumpick.org/pkg/telemetry"
)

// journalCapacity is the number of decisions that a VM keeps in its journal.
const journalCapacity = 4096

// Network dials and accepts connections. Tests replace it.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   backend.Dialer // For backend servers and other VMs.
	// DialControl, if set, dials the connections of control calls. Experiments use
	// it to count their traffic.
	DialControl backend.Dialer
	// Standalone makes the VM the home of all pools: it grants all slots itself, by
	// its own observations only. It is the baseline of experiments and not a
	// setting.
	Standalone bool
	// EventLog, if set, is the writer of the event log, whose dropped lines are
	// reported.
	EventLog *record.Writer
	// Peer, if set, translates the calls between this VM and the others. Trials use it
	// to run VMs of two builds side by side.
	Peer Peer
}

// TCP returns the network of real VMs.
func TCP() Network {
	d := &net.Dialer{KeepAlive: 15 * time.Second}
	return Network{
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		},
	}
}

// Platform holds the external systems that a daemon uses.
type Platform struct {
	Store store.Store
	// Source provides the configuration. If it is nil, the configuration is read
	// from the log of operators' changes in the store.
	Source catalog.Source
	// Servers provides the registered backend servers, or is nil if there is no
	// registry.
	Servers registry.Source
	// Contract is the protocol agreed with the backend servers.
	Contract backend.Contract
	// KeyScheme is the scheme with which callers send keys of client accounts. If it is
	// empty, it is credential.DefaultScheme.
	KeyScheme credential.Scheme
	// Calls counts the calls to the store, or is nil.
	Calls *store.Meter
}

// Addresses holds the name of a VM and the addresses at which its daemon is
// reached. Health and Metrics are empty if the settings name no address for them.
type Addresses struct {
	VM        string `json:"vm"` // Name of the VM.
	Callers   string `json:"callers"`
	VMs       string `json:"vms"`
	Operators string `json:"operators"`
	Health    string `json:"health,omitempty"`
	Metrics   string `json:"metrics,omitempty"`
}

// Daemon is one entry VM.
type Daemon struct {
	set           *settings.Settings // As at the start; current has the settings after reloads.
	current       atomic.Pointer[settings.Settings]
	tel           *telemetry.Telemetry
	replica       *catalog.Replica
	registry      *registry.Replica
	notices       *notice.Memory
	home          *home.Home
	egress        *egress.Sender
	dispatcher    *dispatch.Dispatcher
	callers       *caller.Server
	listener      net.Listener // For callers.
	node          *fleet.Node
	entry         *entry.Entry
	buffers       *buffer.Budget
	tree          *suture.Supervisor
	addr          Addresses
	servers       []*server
	transports    []*http.Transport
	stopRequested chan struct{}
	stopOnce      sync.Once
}

// New listens on the addresses of the settings and assembles the daemon. If
// p.Store is nil, the daemon uses the store that the settings name.
func New(set *settings.Settings, nw Network, p Platform) (*Daemon, error) {
	ls, err := listen(set, nw)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		set: set, tel: telemetry.New(set.VM.Name, set.Trace.SampleRatio, set.Trace.MaxSpans),
		replica: catalog.NewReplica(), registry: registry.NewReplica(), notices: notice.NewMemory(), stopRequested: make(chan struct{}),
		addr: ls.addresses(set), buffers: buffer.NewBudget(set.Limits.BodyMemory()),
	}
	d.current.Store(set)
	if p.Store == nil {
		p.Store = d.newStore(nw)
	}
	if p.Calls != nil {
		p.Calls.SetScope(d.tel.Scope.SubScope("store"))
	}
	d.assemble(nw, p, ls)
	return d, d.writeAddresses()
}

// assemble creates the components and the tree that supervises them.
func (d *Daemon) assemble(nw Network, p Platform, ls *listeners) {
	set, now := d.set, time.Now()
	self := roster.VM{
		Name: roster.VMName(set.VM.Name), Address: d.addr.VMs, DataCentre: site.DataCentre(set.VM.DataCentre), Cores: set.VM.Cores,
		Protocol: roster.ProtocolQuotas,
	}
	jr := journal.New(set.VM.Name, journalCapacity)
	var lg *catalog.Log
	if p.Source == nil {
		lg = catalog.NewLog(p.Store, site.Name(set.VM.Site))
		p.Source = lg
	}
	d.egress = egress.NewSender(d.egressConfig(nw, self, jr))
	losses := quarantine.NewTracker()
	keeper := quarantine.NewKeeper(losses, p.Store, d.tel.Scope.SubScope("quarantine"))
	d.home = home.New(home.Config{
		VM: set.VM.Name, Site: site.Name(set.VM.Site), Reaches: d.reaches, Store: p.Store,
		Replica: d.replica, Registry: d.registry, Journal: jr, Scope: d.tel.Scope.SubScope("home"),
		Retry:      d.retryLimits,
		Admission:  func() admission.Policy { return d.current.Load().Admission.Policy },
		Losses:     losses,
		OnLoss:     func(l quarantine.Loss) { d.node.BroadcastLoss(context.Background(), l) },
		OnCleared:  func(r quarantine.Release) { d.node.BroadcastRelease(r) },
		LimitShare: func(n site.ServiceName) float64 { return d.node.LimitShare(n) },
		BudgetRole: func(n site.ServiceName) pool.BudgetRole { return d.node.BudgetRole(n) },
		SendBudgetUse: func(n site.ServiceName, vm string, u pool.BudgetUse) (bool, error) {
			return d.node.SendBudgetUse(n, vm, u)
		},
		Standby: func(n site.ServiceName) string { return d.node.Standby(n) },
		Share:   func(n site.ServiceName, vm string, s pool.StandbyState) { d.node.Share(n, vm, s) },
	})
	nodeConfig := d.nodeConfig(nw, p, self, jr)
	nodeConfig.Losses, nodeConfig.Keeper = losses, keeper
	d.node = fleet.NewNode(now, nodeConfig)
	d.dispatcher = dispatch.New(dispatch.Config{
		Site: site.Name(set.VM.Site), DataCentre: self.DataCentre,
		Holder: claim.Holder{VM: set.VM.Name, Address: d.addr.VMs}, Homes: d.node,
		Egress: d.egress, Contract: p.Contract, Registry: d.registry, Notices: d.notices, Store: p.Store, Journal: jr,
		Tracer: d.tel.Tracer, Scope: d.tel.Scope.SubScope("dispatch"), MaxBufferedBody: set.Limits.BufferedResponseBytes,
	})
	d.entry = entry.New(d.entryConfig(self, p.KeyScheme))
	console := operator.NewConsole(operator.Config{
		VM: set.VM.Name, DataCentre: self.DataCentre, Node: d.node, Home: d.home, Dispatcher: d.dispatcher, ConfigLog: lg, Replica: d.replica, Store: p.Store, Journal: jr,
		Stop: d.Stop,
	})
	d.buildServices(nw, ls, console, p.Contract)
}

// buildServices creates the servers and the supervisor tree. It starts none of them.
func (d *Daemon) buildServices(nw Network, ls *listeners, c *operator.Console, contract backend.Contract) {
	set := d.set
	d.callers = caller.New(caller.Config{
		Handler: d.entry, Limits: d.callerLimits, Parallel: d.entry.Parallel, Buffers: d.buffers,
		Scope: d.tel.Scope.SubScope("caller"),
	})
	d.listener = newLimitListener(ls.callers, set.Limits.Connections, set.Limits.ConnectionsPerHost)
	d.servers = []*server{
		newServer("vms", ls.vms, d.vmHandler(contract, nw.peer()), set),
		newServer("operators", ls.operators, d.operatorHandler(c), set),
	}
	if ls.health != nil {
		d.servers = append(d.servers, newServer("health", ls.health, d.entry.Health(), set))
	}
	if ls.metrics != nil {
		d.servers = append(d.servers, newServer("metrics", ls.metrics, d.tel.Metrics(), set))
	}
	d.tree = suture.New("laburnumpickd", suture.Spec{EventHook: logEvent})
	control := suture.New("control", suture.Spec{EventHook: logEvent})
	control.Add(d.home.Loop())
	control.Add(d.dispatcher.OutcomeWriter())
	control.Add(egress.LinkChecker{Sender: d.egress})
	control.Add(&pruner{d.egress, d.buffers, d.tel.Scope.SubScope("buffer")})
	if nw.EventLog != nil {
		control.Add(record.DropReporter{Writer: nw.EventLog, Scope: d.tel.Scope.SubScope("record")})
	}
	for _, s := range d.node.Services() {
		control.Add(s)
	}
	d.tree.Add(control)
	traffic := suture.New("traffic", suture.Spec{EventHook: logEvent})
	traffic.Add(&callerService{d.callers, d.listener})
	for _, s := range d.servers {
		traffic.Add(s)
	}
	d.tree.Add(traffic)
}

func (d *Daemon) nodeConfig(nw Network, p Platform, self roster.VM, jr *journal.Journal) fleet.Config {
	now := time.Now()
	cfg := fleet.Config{
		Self: self, Store: p.Store, Source: p.Source, Replica: d.replica, Home: d.home, Notices: d.notices, Journal: jr,
		HTTP: d.vmClient(nw), Dial: nw.Dial, Token: d.set.Access.FleetToken,
		Scope: d.tel.Scope.SubScope("fleet"), Rand: rand.New(rand.NewPCG(uint64(now.UnixNano()), 0)),
		Servers: p.Servers, Registry: d.registry, Keyed: keyed{d}, Standalone: nw.Standalone,
		ListInterval: listInterval, ListReaders: listReaders, Tolerance: d.quotaTolerance,
	}
	if p.Servers != nil {
		// Backend servers come from the registry. The list then holds only entry
		// VMs, which find each other by heartbeats.
		cfg.ListInterval, cfg.ListReaders = vmOnlyListInterval, 1
	}
	return cfg
}

// Interval at which the platform's list of VMs is read, and the number of VMs that
// read it.
const (
	listInterval       = time.Second
	vmOnlyListInterval = 10 * time.Second
	listReaders        = 3
)

// keyed gives other VMs the outcomes of the keyed requests that this VM runs.
type keyed struct{ daemon *Daemon }

// Await implements fleet.Keyed.
func (k keyed) Await(ctx context.Context, id claim.ID, a claim.AttemptID, wait time.Duration) dispatch.Status {
	return k.daemon.dispatcher.Await(ctx, id, a, wait)
}

func (d *Daemon) entryConfig(self roster.VM, keys credential.Scheme) entry.Config {
	return entry.Config{
		Self: self, Site: site.Name(d.set.VM.Site), Replica: d.replica,
		Holder: fleet.HolderClient{Node: d.node}, Tracer: d.tel.Tracer, Scope: d.tel.Scope.SubScope("entry"),
		Dispatcher: d.dispatcher, NotReadyReason: d.notReadyReason, PlatformAge: d.node.PlatformAge, FractionalRetry: d.set.Callers.FractionalRetryAfter,
		Limits: d.entryLimits, KeyScheme: keys, Quotas: d.node,
	}
}

// notReadyReason returns why this VM cannot serve callers, or "" if it can.
func (d *Daemon) notReadyReason() string {
	if !d.node.Synced() {
		return "no list of backend servers yet"
	}
	return ""
}

// operatorHandler returns the handler for operators: Twirp calls, metrics and
// spans.
func (d *Daemon) operatorHandler(c *operator.Console) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fleetapi.OperatorPathPrefix, fleetapi.NewOperatorServer(c))
	mux.Handle("GET /metrics", d.tel.Metrics())
	mux.Handle("GET /spans", d.tel.Spans())
	operators := make([]operator.Operator, len(d.set.Access.Operators))
	for i, o := range d.set.Access.Operators {
		operators[i] = operator.Operator{Name: o.Name, Role: operator.ParseRole(o.Role), Token: o.Token}
	}
	return operator.RequireOperator(func() []operator.Operator { return operators }, http.MaxBytesHandler(mux, maxOperatorMessageBytes))
}

// Addresses returns the addresses at which the daemon is reached.
func (d *Daemon) Addresses() Addresses { return d.addr }

// View returns this VM's view of the VMs among which roles are assigned.
func (d *Daemon) View() *roster.View { return d.node.View() }

// QuotaHome returns the VM that this one considers the home of a part of a quota.
func (d *Daemon) QuotaHome(p quota.PartID) roster.VM { return d.node.QuotaHome(p) }

// Pools returns the state of the pools that this VM owns.
func (d *Daemon) Pools(ctx context.Context) []pool.View { return d.home.Status(ctx).Pools }

// CatalogVersion returns the version of the current configuration.
func (d *Daemon) CatalogVersion() int64 { return int64(d.replica.State().Version) }

package trial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/daemon"
	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/settings"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/store"
)

// Hosts of the network in memory, beside the VMs and servers.
const (
	callerHost = "caller"
	storeHost  = "store"
)

// Tokens of the trial's fleet.
const (
	fleetToken    = "trial-fleet-token-0001"
	operatorToken = "trial-operator-token-0001"
)

// Options steer how a trial's site is brought up.
type Options struct {
	VMs        int
	Seed       uint64
	NoDelay    bool          // Links take no time.
	StoreDelay time.Duration // Each call to the store takes so long.
	Standalone bool          // Each VM decides by its own knowledge: the baseline.
	Downtime   time.Duration // Of a server after a crash.
	Settings   func(*settings.Settings)
}

// VM is one entry VM of a trial.
type VM struct {
	Name       string
	DataCentre site.DataCentre
	Daemon     *daemon.Daemon
	stop       context.CancelFunc
	done       chan struct{}
}

// Fleet is a site that is up.
type Fleet struct {
	Plan    *Plan
	Net     *standin.Network
	Store   *store.Memory
	Servers map[site.ServerName]*standin.Server
	VMs     []*VM
	// ControlBytes counts what control calls of all VMs carried, both ways.
	ControlBytes atomic.Int64

	// PauseAfterWrite, if set, tells how long a VM stands still right after a
	// write of its has taken effect, as when the machine is paused.
	PauseAfterWrite func(vm string, k store.Key) time.Duration

	all    []*VM // With those that were killed.
	opts   Options
	places map[string]site.DataCentre // By host.
	mu     sync.Mutex                 // Guards places and the lists of VMs.
	ctx    context.Context
}

// Start brings a site up. Its configuration is in the store before the VMs
// start.
func Start(ctx context.Context, p *Plan, o Options) (*Fleet, error) {
	f := &Fleet{
		Plan: p, Store: store.NewMemory(), Servers: make(map[site.ServerName]*standin.Server),
		opts: o, places: make(map[string]site.DataCentre), ctx: ctx,
	}
	f.Net = standin.NewNetwork(f.delay)
	f.Store.SetDelay(o.StoreDelay)
	if err := f.startServers(); err != nil {
		return nil, err
	}
	objects := p.Objects(func(n site.ServerName) string { return f.Servers[n].Address() })
	if err := f.Configure(objects...); err != nil {
		return nil, err
	}
	for i := range o.VMs {
		if _, err := f.StartVM(fmt.Sprintf("vm-%d", i+1), p.DataCentre(i)); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// delay is the time that a link takes one way.
func (f *Fleet) delay(w standin.Link) time.Duration {
	if f.opts.NoDelay {
		return 0
	}
	if w.From == callerHost || w.To == callerHost {
		return f.Plan.CallerDelay
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.places[w.From] == f.places[w.To] {
		return 100 * time.Microsecond
	}
	return f.Plan.LinkDelay
}

func (f *Fleet) place(host string, dc site.DataCentre) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.places[host] = dc
}

func (f *Fleet) startServers() error {
	seed := f.opts.Seed
	for i := range f.Plan.Services {
		s := &f.Plan.Services[i]
		for j, n := range s.ServerNames() {
			seed++
			host := string(n)
			f.place(host, f.Plan.DataCentre(j))
			srv, err := standin.NewServer(standin.ServerConfig{
				Name: host, Address: host + ":80", Slots: s.Slots, Mean: s.Mean, Base: s.Base,
				Downtime: f.opts.Downtime, Seed: seed, Listen: f.Net.Listen,
				ResetConns: func() { f.Net.Kill(host) },
			})
			if err != nil {
				return err
			}
			f.Servers[n] = srv
		}
	}
	return nil
}

// Configure writes objects as an operator would.
func (f *Fleet) Configure(objects ...site.Object) error {
	return Configure(f.Store, f.Plan.Site, objects...)
}

// Configure writes objects of a site into a store, as an operator would.
func Configure(s store.Store, name site.Name, objects ...site.Object) error {
	lg := catalog.NewLog(s, name)
	r := catalog.NewReplica()
	ctx := context.Background()
	if err := lg.Boot(ctx, time.Now(), r); err != nil {
		return err
	}
	for _, o := range objects {
		raw, err := site.EncodeJSON(o)
		if err != nil {
			return err
		}
		id := catalog.CommandID(fmt.Sprintf("%s at %d", o.ID(), r.State().Version))
		v := lg.Write(ctx, time.Now(), r, r.State().Version, catalog.Change{Command: id, Operator: "trial", Put: raw})
		if _, ok := v.(catalog.Accepted); !ok {
			return fmt.Errorf("%s: %+v", o.ID(), v)
		}
	}
	return nil
}

// StartVM starts one entry VM and puts it on the platform's list.
func (f *Fleet) StartVM(name string, dc site.DataCentre) (*VM, error) {
	f.place(name, dc)
	set := settings.Default()
	set.VM = settings.VM{Name: name, Site: string(f.Plan.Site), DataCentre: string(dc)}
	set.Listen = settings.Listen{Callers: name + ":80", VMs: name + ":81", Operators: name + ":82"}
	set.Access = settings.Access{
		FleetToken: fleetToken,
		Operators:  []settings.Operator{{Name: "trial", Role: "administer", Token: operatorToken}},
	}
	set.Limits.Account = settings.Account{Rate: 1e5, Burst: 100_000, InFlight: 100_000}
	if f.opts.Settings != nil {
		f.opts.Settings(&set)
	}
	nw := daemon.Network{
		Listen: f.Net.Listen,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return f.Net.DialFrom(ctx, name, address)
		},
		DialControl: func(ctx context.Context, address string) (net.Conn, error) {
			c, err := f.Net.DialFrom(ctx, name, address)
			return &countedConn{Conn: c, bytes: &f.ControlBytes}, err
		},
		Standalone: f.opts.Standalone,
	}
	d, err := daemon.New(&set, nw, daemon.Platform{Store: &storeLink{Store: f.Store, fleet: f, host: name}})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(f.ctx)
	vm := &VM{Name: name, DataCentre: dc, Daemon: d, stop: cancel, done: make(chan struct{})}
	f.mu.Lock()
	f.VMs = append(slices.Clone(f.VMs), vm)
	f.all = append(f.all, vm)
	f.mu.Unlock()
	f.Store.SetVM(store.VM{
		Name: name, Address: d.Addresses().VMs, DataCentre: string(dc),
		Role: store.RoleEntry, State: store.VMLive,
	})
	go func() {
		defer close(vm.done)
		_ = d.Run(ctx) // A stop that ran out of patience shows in what callers got.
	}()
	return vm, nil
}

// Stop stops a VM gracefully and waits for its end.
func (vm *VM) Stop() {
	vm.Daemon.Stop()
	<-vm.done
}

// Kill cuts a VM off for good, as when its machine dies. Its goroutines end
// with the trial.
func (f *Fleet) Kill(vm *VM) {
	f.Net.Kill(vm.Name)
	f.Isolate(vm.Name, true)
	f.retire(vm)
}

// retire takes a VM out of those that the balancer uses.
func (f *Fleet) retire(vm *VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.VMs = slices.DeleteFunc(slices.Clone(f.VMs), func(o *VM) bool { return o == vm })
}

// Serving returns the VMs that the balancer uses.
func (f *Fleet) Serving() []*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.VMs
}

// Isolate cuts a host off from everything, both ways.
func (f *Fleet) Isolate(host string, cut bool) {
	f.mu.Lock()
	hosts := []string{callerHost, storeHost}
	for h := range f.places {
		hosts = append(hosts, h)
	}
	f.mu.Unlock()
	for _, h := range hosts {
		f.Net.SetCut(standin.Link{From: host, To: h}, cut)
		f.Net.SetCut(standin.Link{From: h, To: host}, cut)
	}
}

// CutStore cuts a VM off from the store: its calls get lost, or the answers.
func (f *Fleet) CutStore(vm string, calls, answers bool) {
	f.Net.SetCut(standin.Link{From: vm, To: storeHost}, calls)
	f.Net.SetCut(standin.Link{From: storeHost, To: vm}, answers)
}

// Stop stops all VMs and closes all servers.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, vm := range f.all {
		wg.Go(func() {
			vm.stop()
			<-vm.done
		})
	}
	wg.Wait()
	for _, s := range f.Servers {
		s.Close()
	}
	f.Net.Close()
}

// Operator returns a client of a VM's operators' port.
func (f *Fleet) Operator(vm *VM) fleetapi.Operator { return f.OperatorWith(vm, operatorToken) }

// OperatorWith returns a client that shows a token of its own.
func (f *Fleet) OperatorWith(vm *VM, token string) fleetapi.Operator {
	return fleetapi.NewOperatorClient(vm.Daemon.Addresses().Operators, token, &http.Client{Transport: f.CallerTransport()})
}

// CallerTransport returns a transport for callers and operators. Each request
// opens a connection.
func (f *Fleet) CallerTransport() http.RoundTripper {
	return &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return f.Net.DialFrom(ctx, callerHost, address)
		},
	}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// storeLink is a VM's way to the store, which can be cut.
type storeLink struct {
	store.Store
	fleet *Fleet
	host  string
}

var errNoAnswer = errors.New("no answer from the store")

// call runs one call with the link's faults.
func (l *storeLink) call(ctx context.Context, write bool, do func() error) error {
	class := store.Unavailable
	if write {
		class = store.Unknown
	}
	if l.fleet.Net.IsCut(standin.Link{From: l.host, To: storeHost}) {
		<-timeout(ctx)
		return class.Wrap(errNoAnswer)
	}
	err := do()
	if l.fleet.Net.IsCut(standin.Link{From: storeHost, To: l.host}) {
		<-timeout(ctx)
		return class.Wrap(errNoAnswer)
	}
	return err
}

// timeout is done when a call to the store gives up.
func timeout(ctx context.Context) <-chan struct{} {
	ctx, cancel := context.WithTimeout(ctx, store.CallTimeout)
	context.AfterFunc(ctx, cancel)
	return ctx.Done()
}

// Get implements store.Table.
func (l *storeLink) Get(ctx context.Context, k store.Key) (row store.Row, err error) {
	err = l.call(ctx, false, func() error {
		row, err = l.Store.Get(ctx, k)
		return err
	})
	return row, err
}

// Put implements store.Table.
func (l *storeLink) Put(ctx context.Context, k store.Key, v []byte, expect store.Revision) (rev store.Revision, err error) {
	err = l.call(ctx, true, func() error {
		rev, err = l.Store.Put(ctx, k, v, expect)
		return err
	})
	if pause := l.fleet.PauseAfterWrite; pause != nil {
		time.Sleep(pause(l.host, k)) // Whatever the caller's deadline.
	}
	return rev, err
}

// List implements store.Table.
func (l *storeLink) List(ctx context.Context, prefix, after store.Key, limit int) (rows []store.Row, err error) {
	err = l.call(ctx, false, func() error {
		rows, err = l.Store.List(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

// VMs implements store.VMList.
func (l *storeLink) VMs(ctx context.Context) (vms []store.VM, err error) {
	err = l.call(ctx, false, func() error {
		vms, err = l.Store.VMs(ctx)
		return err
	})
	return vms, err
}

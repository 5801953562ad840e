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
	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/settings"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/store"
)

// Hosts of the in-memory network besides the VMs and servers.
const (
	callerHost = "caller"
	storeHost  = "store"
)

// Access tokens of a trial fleet.
const (
	fleetToken    = "trial-fleet-token-0001"
	operatorToken = "trial-operator-token-0001"
)

// Options configures how Start brings up a site.
type Options struct {
	VMs          int                      // Number of entry VMs.
	Seed         uint64                   // Of the servers' processing times and faults.
	NoDelay      bool                     // The network has no delay.
	StoreDelay   time.Duration            // Duration of each call to the store.
	Standalone   bool                     // VMs do not coordinate; the baseline of comparisons.
	Registered   bool                     // The servers register themselves.
	SteadyTimes  bool                     // Each request takes a service's mean processing time, so that none is slow by chance.
	Downtime     time.Duration            // How long a server stays down after a crash.
	EditSettings func(*settings.Settings) // Edits the settings of each VM; may be nil.
	// Peer returns the translation of a VM's calls to and from other VMs, as of when it
	// starts; may be nil.
	Peer func(vm string) daemon.Peer
}

// VM is a running entry VM.
type VM struct {
	Name       string
	DataCentre site.DataCentre
	Daemon     *daemon.Daemon
	cancelRun  context.CancelFunc
	done       chan struct{}
}

// Fleet is a running site: its VMs, backend servers, store and network.
type Fleet struct {
	Plan    *Plan
	Net     *standin.Network
	Store   *store.Memory
	Servers map[site.ServerName]*standin.Server
	VMs     []*VM // VMs that the load balancer uses.
	// ControlBytes counts the bytes that the control connections of all VMs sent
	// and received.
	ControlBytes atomic.Int64

	// PauseAfterWrite, if set, returns how long a VM's write to the store blocks
	// after it has succeeded or failed, as if the machine were paused.
	PauseAfterWrite func(vm string, k store.Key) time.Duration

	registrations *registrations

	allVMs    []*VM // Includes VMs that were killed or stopped.
	opts      Options
	locations map[string]site.DataCentre // Data centre by host.
	mu        sync.Mutex                 // Guards locations and the lists of VMs.
	ctx       context.Context
}

// Start brings up a site. It writes the configuration to the store before it
// starts the VMs.
func Start(ctx context.Context, p *Plan, o Options) (*Fleet, error) {
	f := &Fleet{
		Plan: p, Store: store.NewMemory(), Servers: make(map[site.ServerName]*standin.Server),
		opts: o, locations: make(map[string]site.DataCentre), ctx: ctx,
		registrations: &registrations{entries: make(map[site.ServerName]registry.Entry)},
	}
	f.Net = standin.NewNetwork(f.linkDelay)
	f.Store.SetDelay(o.StoreDelay)
	if err := f.startServers(); err != nil {
		return nil, err
	}
	f.registerServers()
	objects := p.Objects(func(n site.ServerName) string { return f.Servers[n].Address() })
	if o.Registered {
		leaveOutServers(objects)
	}
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

// leaveOutServers changes services to those whose servers register themselves.
func leaveOutServers(objects []site.Object) {
	for _, o := range objects {
		if svc, ok := o.(*site.Service); ok {
			svc.Registered, svc.Servers, svc.Floor, svc.FloorShare = true, nil, 0, standin.FloorShare
		}
	}
}

// linkDelay returns the one-way delay of a link.
func (f *Fleet) linkDelay(l standin.Link) time.Duration {
	if f.opts.NoDelay {
		return 0
	}
	if l.From == callerHost || l.To == callerHost {
		return f.Plan.CallerDelay
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locations[l.From] == f.locations[l.To] {
		return 100 * time.Microsecond
	}
	return f.Plan.LinkDelay
}

// setLocation records the data centre of a host.
func (f *Fleet) setLocation(host string, dc site.DataCentre) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.locations[host] = dc
}

func (f *Fleet) startServers() error {
	seed := f.opts.Seed
	for i := range f.Plan.Services {
		s := &f.Plan.Services[i]
		for j, n := range s.ServerNames() {
			seed++
			host := string(n)
			f.setLocation(host, f.Plan.DataCentre(j))
			mean, base := s.Mean, s.Base
			if f.opts.SteadyTimes {
				mean, base = 0, s.Mean+s.Base
			}
			srv, err := standin.NewServer(standin.ServerConfig{
				Name: host, Address: host + ":80", Slots: s.Slots, Mean: mean, Base: base,
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

// Configure writes objects to the fleet's store, as an operator's commands do.
func (f *Fleet) Configure(objects ...site.Object) error {
	return Configure(f.Store, f.Plan.Site, objects...)
}

// Configure writes objects of a site to a store, as an operator's commands do.
func Configure(s store.Store, name site.Name, objects ...site.Object) error {
	lg := catalog.NewLog(s, name)
	r := catalog.NewReplica()
	ctx := context.Background()
	if err := lg.Bootstrap(ctx, time.Now(), r); err != nil {
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
			return fmt.Errorf("write %s: not accepted: %+v", o.ID(), v)
		}
	}
	return nil
}

// StartVM starts an entry VM and adds it to the platform's list of VMs.
func (f *Fleet) StartVM(name string, dc site.DataCentre) (*VM, error) {
	f.setLocation(name, dc)
	set := settings.Default()
	set.VM = settings.VM{Name: name, Site: string(f.Plan.Site), DataCentre: string(dc)}
	set.Listen = settings.Listen{Callers: name + ":80", VMs: name + ":81", Operators: name + ":82"}
	set.Access = settings.Access{
		FleetToken: fleetToken,
		Operators:  []settings.Operator{{Name: "trial", Role: "administer", Token: operatorToken}},
	}
	set.Limits.Account = settings.Account{Rate: 1e5, Burst: 100_000, InFlight: 100_000}
	if f.opts.EditSettings != nil {
		f.opts.EditSettings(&set)
	}
	nw := daemon.Network{
		Listen: f.Net.Listen,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return f.Net.DialFrom(ctx, name, address)
		},
		DialControl: func(ctx context.Context, address string) (net.Conn, error) {
			c, err := f.Net.DialFrom(ctx, name, address)
			return &countingConn{Conn: c, bytes: &f.ControlBytes}, err
		},
		Standalone: f.opts.Standalone,
	}
	if f.opts.Peer != nil {
		nw.Peer = f.opts.Peer(name)
	}
	d, err := daemon.New(&set, nw, f.platform(name))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(f.ctx)
	vm := &VM{Name: name, DataCentre: dc, Daemon: d, cancelRun: cancel, done: make(chan struct{})}
	f.mu.Lock()
	f.VMs = append(slices.Clone(f.VMs), vm)
	f.allVMs = append(f.allVMs, vm)
	f.mu.Unlock()
	f.Store.SetVM(store.VM{
		Name: name, Address: d.Addresses().VMs, DataCentre: string(dc),
		Role: store.RoleEntry, State: store.VMLive,
	})
	go func() {
		defer close(vm.done)
		_ = d.Run(ctx) // A stop that timed out shows in the callers' replies.
	}()
	return vm, nil
}

// platform returns a VM's interface to the platform.
func (f *Fleet) platform(host string) daemon.Platform {
	p := daemon.Platform{Store: &storeLink{Store: f.Store, fleet: f, host: host}}
	if f.opts.Registered {
		p.Servers = registrationsLink{f.registrations, f, host}
	}
	return p
}

// Stop stops a VM gracefully and waits until it has ended.
func (vm *VM) Stop() {
	vm.Daemon.Stop()
	<-vm.done
}

// Kill simulates the crash of a VM's machine: the VM's connections are reset, it is
// isolated for good, and the load balancer no longer uses it. Its goroutines keep
// running until Stop.
func (f *Fleet) Kill(vm *VM) {
	f.Net.Kill(vm.Name)
	f.Isolate(vm.Name, true)
	f.removeFromBalancer(vm)
}

// Retire takes a VM that was stopped out of those that the load balancer uses.
func (f *Fleet) Retire(vm *VM) { f.removeFromBalancer(vm) }

// removeFromBalancer removes a VM from those that the load balancer uses.
func (f *Fleet) removeFromBalancer(vm *VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.VMs = slices.DeleteFunc(slices.Clone(f.VMs), func(o *VM) bool { return o == vm })
}

// Serving returns the VMs that the load balancer uses.
func (f *Fleet) Serving() []*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.VMs
}

// Isolate cuts, or restores, the links between a host and all others in both
// directions.
func (f *Fleet) Isolate(host string, cut bool) {
	f.mu.Lock()
	hosts := []string{callerHost, storeHost}
	for h := range f.locations {
		hosts = append(hosts, h)
	}
	f.mu.Unlock()
	for _, h := range hosts {
		f.Net.SetCut(standin.Link{From: host, To: h}, cut)
		f.Net.SetCut(standin.Link{From: h, To: host}, cut)
	}
}

// CutStore sets whether a VM's calls to the store, and the responses to them, are
// lost.
func (f *Fleet) CutStore(vm string, calls, responses bool) {
	f.Net.SetCut(standin.Link{From: vm, To: storeHost}, calls)
	f.Net.SetCut(standin.Link{From: storeHost, To: vm}, responses)
}

// Stop stops all VMs and closes all servers.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, vm := range f.allVMs {
		wg.Go(func() {
			vm.cancelRun()
			<-vm.done
		})
	}
	wg.Wait()
	for _, s := range f.Servers {
		s.Close()
	}
	f.Net.Close()
}

// OperatorClient returns a client of a VM's operator API.
func (f *Fleet) OperatorClient(vm *VM) fleetapi.Operator {
	return f.OperatorClientWithToken(vm, operatorToken)
}

// OperatorClientWithToken returns a client of a VM's operator API that uses the given
// token.
func (f *Fleet) OperatorClientWithToken(vm *VM, token string) fleetapi.Operator {
	return fleetapi.NewOperatorClient(vm.Daemon.Addresses().Operators, token, &http.Client{Transport: f.CallerTransport()})
}

// FleetHeader returns the headers of calls between VMs.
func (f *Fleet) FleetHeader() http.Header {
	h := make(http.Header)
	h.Set(fleetapi.HeaderToken, fleetToken)
	return h
}

// CallerTransport returns a transport for callers and operators. It opens a new
// connection for each request.
func (f *Fleet) CallerTransport() http.RoundTripper {
	return &http.Transport{DisableKeepAlives: true, DialContext: f.DialAsCaller}
}

// DialAsCaller connects a caller to an address.
func (f *Fleet) DialAsCaller(ctx context.Context, _, address string) (net.Conn, error) {
	return f.Net.DialFrom(ctx, callerHost, address)
}

// countingConn adds the bytes read and written to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// storeLink is a VM's connection to the store. It honors cut links of the network.
type storeLink struct {
	store.Store
	fleet *Fleet
	host  string
}

var errNoResponse = errors.New("no response from the store")

// call runs a call to the store. If the link to the store is cut, do is not run;
// if the link back is cut, its result is dropped. Both block until the call times
// out.
func (l *storeLink) call(ctx context.Context, write bool, do func() error) error {
	class := store.Unavailable
	if write {
		class = store.Indeterminate
	}
	if l.fleet.Net.IsCut(standin.Link{From: l.host, To: storeHost}) {
		<-storeCallTimeout(ctx)
		return class.Wrap(errNoResponse)
	}
	err := do()
	if l.fleet.Net.IsCut(standin.Link{From: storeHost, To: l.host}) {
		<-storeCallTimeout(ctx)
		return class.Wrap(errNoResponse)
	}
	return err
}

// storeCallTimeout returns a channel that is closed when a call to the store times
// out.
func storeCallTimeout(ctx context.Context) <-chan struct{} {
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
		time.Sleep(pause(l.host, k)) // Ignores ctx, as a paused machine does.
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

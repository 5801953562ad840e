package fleet

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"time"

	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/roster"
)

// Times of keeping level with the platform's tables. One VM reads them every
// readGap and tells all others; a VM that has heard nothing for too long reads
// for itself, the next in rank first. What is accepted is then in force
// everywhere within about takeOver and the steps of the ranks after it, also
// when the reader has just been lost.
const (
	readGap     = 400 * time.Millisecond
	idleGap     = 150 * time.Millisecond // Between two looks whether to read.
	readTime    = 700 * time.Millisecond // Bound on one read.
	takeOver    = 900 * time.Millisecond
	takeStep    = 120 * time.Millisecond // Between two ranks.
	ranks       = 4                      // VMs that tell all others what they read.
	spread      = 300 * time.Millisecond // Over which all other VMs are spread.
	firstBack   = 100 * time.Millisecond // Rest after a failed read, doubled each time.
	maxBack     = time.Second
	tellTime    = 500 * time.Millisecond
	told        = 3 * time.Second // Changes of the last so long ride on each message.
	roleReader  = "reader"
	maxSnapshot = 64 << 20 // Bytes of a configuration on the wire.
)

// level is how level this VM is with the platform's tables.
type level struct {
	heard    time.Time // At which moment the platform's state was last known.
	failures int
	notUntil time.Time // After failed reads.
	sent     catalog.Version
	marks    []mark // The registry's revisions of the last while.
	lost     bool   // The platform was last found out of reach.
}

// mark is a revision of the registry at a time.
type mark struct {
	at       time.Time
	revision registry.Revision
}

// serveLevel keeps this VM level with the platform's tables.
func (n *Node) serveLevel(ctx context.Context) error {
	for {
		began := time.Now()
		gap := idleGap
		if n.dueToRead(began) {
			n.read(ctx)
			gap = readGap
		}
		n.cfg.Registry.Expire(time.Now())
		n.tellRegistry()
		if err := control.Sleep(ctx, max(idleGap/3, gap-time.Since(began))); err != nil {
			return err
		}
	}
}

// tellRegistry accounts for what has become of the registered servers.
func (n *Node) tellRegistry() {
	revision := n.cfg.Registry.State().Revision
	for _, c := range n.cfg.Registry.TakeChanges() {
		record.Log("fleet: registered server", "news", c.Event, "service", c.Service, "server", c.Server, "registry", revision)
	}
	n.cfg.Scope.Gauge("registryRevision").Update(float64(revision))
	n.cfg.Scope.Gauge("platformAgeSeconds").Update(n.StoreAway(time.Now()).Seconds())
}

// rank returns this VM's place among the readers, or false where it has none.
func (n *Node) rank() (int, bool) {
	for i := range ranks {
		if n.View().Holds(roleReader, i+1, n.cfg.Self.Name) {
			return i, true
		}
	}
	return 0, false
}

// dueToRead reports whether this VM should read the tables now.
func (n *Node) dueToRead(now time.Time) bool {
	n.levelMu.Lock()
	defer n.levelMu.Unlock()
	l := &n.level
	if now.Before(l.notUntil) {
		return false
	}
	if l.heard.IsZero() || n.cfg.Replica.State().Version == 0 {
		return true
	}
	r, ranked := n.rank()
	switch {
	case ranked && r == 0:
		return true
	case ranked:
		return now.Sub(l.heard) > takeOver+time.Duration(r)*takeStep
	default:
		return now.Sub(l.heard) > takeOver+ranks*takeStep+n.jitter()
	}
}

// jitter spreads the VMs without a rank.
func (n *Node) jitter() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.cfg.Self.Name)) // A hash takes all.
	return spread * time.Duration(h.Sum32()%1000) / 1000
}

// read reads the tables and tells the others.
func (n *Node) read(ctx context.Context) {
	asOf, err := n.readTables(ctx)
	n.levelMu.Lock()
	l := &n.level
	if err != nil {
		back := min(firstBack<<min(l.failures, 4), maxBack)
		l.failures++
		l.notUntil = time.Now().Add(back)
		first := !l.lost
		l.lost = true
		n.levelMu.Unlock()
		n.cfg.Scope.Counter("readsFailed").Inc(1)
		if first {
			record.Log("fleet: platform lost", "err", err)
		}
		return
	}
	back, away := l.lost, l.heard
	l.failures, l.lost, l.heard = 0, false, asOf
	n.levelMu.Unlock()
	if back {
		record.Log("fleet: platform regained", "away", asOf.Sub(away).Round(time.Millisecond))
	}
	if _, ranked := n.rank(); ranked {
		n.tellAll(ctx, asOf)
	}
}

// readTables reads the configuration, for a change of which it may wait, then
// the registered servers. It returns the moment from which on all is known.
func (n *Node) readTables(ctx context.Context) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	was := n.cfg.Replica.State().Version
	wait := time.Duration(0)
	if r, ranked := n.rank(); ranked && r == 0 && was > 0 {
		wait = readGap - idleGap/3
	}
	if err := n.cfg.Source.Follow(ctx, time.Now(), n.cfg.Replica, wait); err != nil {
		return time.Time{}, fmt.Errorf("configuration: %w", err)
	}
	if v := n.cfg.Replica.State().Version; v > was {
		n.inForce(v, "the platform")
		n.news()
	}
	now := time.Now()
	if n.cfg.Servers == nil {
		return now, nil
	}
	u, err := n.cfg.Servers.Read(ctx, n.cfg.Registry.State().Revision)
	if err != nil {
		return time.Time{}, fmt.Errorf("registered servers: %w", err)
	}
	n.cfg.Registry.Apply(time.Now(), u)
	return now, nil
}

// inForce logs a new version of the configuration.
func (n *Node) inForce(v catalog.Version, from string) {
	record.Log("fleet: configuration in force", "version", v, "from", from)
	n.cfg.Scope.Gauge("catalogVersion").Update(float64(v))
}

// tellAll tells all other VMs how level this one is, with what has changed.
func (n *Node) tellAll(ctx context.Context, began time.Time) {
	st := n.cfg.Replica.State()
	req := &fleetapi.LevelRequest{
		From: string(n.cfg.Self.Name), Address: n.cfg.Self.Address, CatalogVersion: int64(st.Version),
	}
	n.levelMu.Lock()
	fresh := st.Version > n.level.sent
	n.level.sent = st.Version
	since := n.level.since(began, n.cfg.Registry.State().Revision)
	n.levelMu.Unlock()
	if n.cfg.Servers != nil {
		req.Servers = fleetapi.FromRegistry(n.cfg.Registry.Since(began, since))
	}
	if fresh {
		req.Snapshot = n.snapshot()
	}
	for _, vm := range n.View().VMs() {
		if vm.Name != n.cfg.Self.Name && n.mayTell(vm.Name) {
			go n.tellLevel(ctx, vm, req)
		}
	}
}

// since returns the revision of a while ago, from which on changes are told.
func (l *level) since(now time.Time, present registry.Revision) registry.Revision {
	l.marks = append(l.marks, mark{now, present})
	for len(l.marks) > 1 && now.Sub(l.marks[1].at) > told {
		l.marks = l.marks[1:]
	}
	return l.marks[0].revision
}

// snapshot returns the configuration in force for the wire, or nil, with which
// the others fetch it.
func (n *Node) snapshot() []byte {
	s, err := n.cfg.Replica.Snapshot()
	if err != nil {
		klog.ErrorS(err, "fleet: configuration cannot be told")
		return nil
	}
	var buf bytes.Buffer
	z := gzip.NewWriter(&buf)
	if err := json.NewEncoder(z).Encode(s); err != nil {
		klog.ErrorS(err, "fleet: configuration cannot be told")
		return nil
	}
	if err := z.Close(); err != nil {
		klog.ErrorS(err, "fleet: configuration cannot be told")
		return nil
	}
	return buf.Bytes()
}

// mayTell reports whether no message is on its way to a VM, and notes that one
// is.
func (n *Node) mayTell(vm roster.VMName) bool {
	n.levelMu.Lock()
	defer n.levelMu.Unlock()
	if n.telling[vm] {
		return false
	}
	n.telling[vm] = true
	return true
}

func (n *Node) tellLevel(ctx context.Context, vm roster.VM, req *fleetapi.LevelRequest) {
	defer func() {
		n.levelMu.Lock()
		delete(n.telling, vm.Name)
		n.levelMu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(n.withToken(ctx), tellTime)
	defer cancel()
	a, err := n.client(vm.Address).Level(ctx, req)
	if err != nil {
		n.cfg.Scope.Counter("levelsLost").Inc(1)
		return // The VM reads for itself when it hears from nobody.
	}
	n.hearOf(vm, catalog.Version(a.GetCatalogVersion()), registry.Revision(a.GetRegistryRevision()))
}

// hearOf notes what another VM has, and fetches it where this one is behind.
func (n *Node) hearOf(vm roster.VM, v catalog.Version, r registry.Revision) {
	late := n.cfg.Replica.Hear(v)
	if n.cfg.Servers != nil && r > n.cfg.Registry.State().Revision {
		late = true
	}
	if !late {
		return
	}
	select {
	case n.behind <- vm:
	default:
	}
}

// Level implements fleetapi.Fleet.
func (s server) Level(_ context.Context, req *fleetapi.LevelRequest) (*fleetapi.LevelAnswer, error) {
	n := s.node
	now := time.Now()
	vm := roster.VM{Name: roster.VMName(req.GetFrom()), Address: req.GetAddress()}
	if err := n.loadSnapshot(now, req.GetSnapshot(), string(vm.Name)); err != nil {
		klog.ErrorS(err, "fleet: configuration from a VM cannot be used", "vm", vm.Name)
	}
	if n.cfg.Servers != nil && !n.cfg.Registry.Apply(now, fleetapi.ToRegistry(req.GetServers())) {
		n.hearOf(vm, 0, registry.Revision(req.GetServers().GetRevision()))
	}
	n.hearOf(vm, catalog.Version(req.GetCatalogVersion()), 0)
	n.levelMu.Lock()
	n.level.heard = now
	n.levelMu.Unlock()
	return &fleetapi.LevelAnswer{
		CatalogVersion:   int64(n.cfg.Replica.State().Version),
		RegistryRevision: int64(n.cfg.Registry.State().Revision),
	}, nil
}

// loadSnapshot puts a configuration from another VM in force.
func (n *Node) loadSnapshot(now time.Time, raw []byte, from string) error {
	if len(raw) == 0 {
		return nil
	}
	z, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return err
	}
	var s catalog.Snapshot
	if err := json.NewDecoder(io.LimitReader(z, maxSnapshot)).Decode(&s); err != nil {
		return err
	}
	loaded, err := n.cfg.Replica.Load(now, &s)
	if loaded {
		n.inForce(s.Version, from)
	}
	return err
}

// Servers implements fleetapi.Fleet.
func (s server) Servers(_ context.Context, req *fleetapi.ServersRequest) (*fleetapi.ServersAnswer, error) {
	u := s.node.cfg.Registry.Since(time.Now(), registry.Revision(req.GetSince()))
	return &fleetapi.ServersAnswer{Servers: fleetapi.FromRegistry(u)}, nil
}

// fetchServers brings the registry up to another VM's revision.
func (n *Node) fetchServers(ctx context.Context, vm roster.VM) error {
	ctx, cancel := context.WithTimeout(n.withToken(ctx), fetchTime)
	defer cancel()
	since := n.cfg.Registry.State().Revision
	a, err := n.client(vm.Address).Servers(ctx, &fleetapi.ServersRequest{Since: int64(since)})
	if err != nil {
		return err
	}
	n.cfg.Registry.Apply(time.Now(), fleetapi.ToRegistry(a.GetServers()))
	return nil
}

// StoreAway returns for how long this VM has not known the platform's state.
func (n *Node) StoreAway(now time.Time) time.Duration {
	n.levelMu.Lock()
	defer n.levelMu.Unlock()
	if n.level.heard.IsZero() {
		return 0
	}
	return max(0, now.Sub(n.level.heard)-2*readGap)
}

// Known reports whether this VM has what it needs to decide: the configuration
// and, where servers register themselves, their list.
func (n *Node) Known() bool {
	return n.cfg.Replica.State().Version > 0 && (n.cfg.Servers == nil || n.cfg.Registry.State().Revision > 0)
}

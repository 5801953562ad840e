package fleet

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/twitchtv/twirp"
	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/roster"
)

// Timing of the sync with the platform's tables. One VM, the reader, reads them
// every readInterval and sends the changes to all others. A VM that has received
// nothing for too long reads the tables itself, in order of rank. An accepted
// change is therefore in force on all VMs within about takeOverAfter plus one
// rankDelay for each failed rank, even if the reader has just been lost.
const (
	readInterval  = 400 * time.Millisecond
	checkInterval = 150 * time.Millisecond // Between two checks whether a read is due.
	readTimeout   = 700 * time.Millisecond // Bounds one read of all tables.
	takeOverAfter = 900 * time.Millisecond // Age of the state beyond which other VMs read the tables too.
	rankDelay     = 120 * time.Millisecond // Added to takeOverAfter for each rank.
	readerRanks   = 4                      // VMs that send what they read to all others.
	maxJitter     = 300 * time.Millisecond // Spreads the reads of the VMs without a rank.
	meetTime      = 120 * time.Millisecond // For which a VM that has just started waits to meet others before it reads.
	earlyReaders  = 16                     // One VM in so many reads as soon as it starts.
	minBackOff    = 100 * time.Millisecond // After a failed read; doubled each time.
	maxBackOff    = time.Second
	sendTimeout   = 500 * time.Millisecond
	changesWindow = 3 * time.Second // Each message repeats the registry's changes of this period.
	roleReader    = "reader"
)

// syncState tracks how current this VM's copy of the platform's tables is.
type syncState struct {
	currentAt   time.Time       // Time at which the copy was last known to be current.
	failures    int             // Failed reads in a row.
	retryAt     time.Time       // No read before this time, after failed reads.
	listReadAt  time.Time       // When this VM last read the list of servers.
	sentVersion catalog.Version // Version of the configuration last sent to all VMs.
	revisions   []revisionMark  // Registry revisions within changesWindow, the oldest first.
	unreachable bool            // The last read failed.
}

// revisionMark is the registry's revision at a point in time.
type revisionMark struct {
	at       time.Time
	revision registry.Revision
}

// serveTableSync keeps this VM's copy of the platform's tables current.
func (n *Node) serveTableSync(ctx context.Context) error {
	for {
		began := time.Now()
		gap := checkInterval
		if n.dueToRead(began) {
			n.syncTables(ctx)
			gap = readInterval
		}
		n.cfg.Registry.Expire(time.Now())
		n.reportRegistry()
		if err := control.Sleep(ctx, max(checkInterval/3, gap-time.Since(began))); err != nil {
			return err
		}
	}
}

// unknownEra is the era before the tables have been read.
const unknownEra = -1

// reportRegistry logs changes of registered servers and updates the registry's
// metrics. It signals that the store's era has risen.
func (n *Node) reportRegistry() {
	revision := n.cfg.Registry.State().Revision
	if era := revision.Era(); revision > 0 && era > n.reportedEra {
		if n.reportedEra != unknownEra {
			n.reportEraRise(era)
		}
		n.reportedEra = era
	}
	for _, c := range n.cfg.Registry.TakeChanges() {
		if c.Event == registry.Implausible {
			n.cfg.Scope.Counter("registrationsImplausible").Inc(1)
		}
		record.Log("fleet: registered server", "news", c.Event, "service", c.Service, "server", c.Server, "registry", revision)
	}
	n.cfg.Scope.Gauge("registryRevision").Update(float64(revision.Number()))
	n.cfg.Scope.Gauge("storeEra").Update(float64(revision.Era()))
	n.cfg.Scope.Gauge("suspects").Update(float64(n.cfg.Losses.Len()))
	n.cfg.Scope.Gauge("platformAgeSeconds").Update(n.PlatformAge(time.Now()).Seconds())
}

// reportEraRise logs that the store has come back from an older copy, and has this VM register
// again.
func (n *Node) reportEraRise(era int64) {
	record.Log("fleet: the platform's store has come back from an older copy; registering again", "era", era, "previousEra", n.reportedEra)
	n.cfg.Journal.Add(time.Now(), "store", fmt.Sprintf("came back from an older copy: era %d after %d", era, n.reportedEra))
	n.cfg.Scope.Counter("storeEraRises").Inc(1)
	if r, ranked := n.readerRank(); ranked && r == 0 {
		n.cfg.Losses.MarkAllUnsaved() // What was stored in the lost seconds is gone.
	}
	select {
	case n.eraRose <- struct{}{}:
	default:
	}
}

// readerRank returns this VM's place among the readers, starting at 0, or false
// if it is not one of them.
func (n *Node) readerRank() (int, bool) {
	for i := range readerRanks {
		if n.View().HasRole(roleReader, i+1, n.cfg.Self.Name) {
			return i, true
		}
	}
	return 0, false
}

// dueToRead reports whether this VM should read the tables now.
func (n *Node) dueToRead(now time.Time) bool {
	n.syncMu.Lock()
	defer n.syncMu.Unlock()
	s := &n.syncState
	if now.Before(s.retryAt) {
		return false
	}
	// A VM that starts gets its first copy from one that has it, so that not all VMs read at
	// once when all start.
	since := s.currentAt
	if since.IsZero() {
		since = n.startedAt
	}
	age := now.Sub(since)
	r, ranked := n.readerRank()
	switch {
	case s.currentAt.IsZero() && n.isAlone():
		return n.nameHash()%earlyReaders == 0 || age > meetTime
	case ranked && r == 0:
		return true
	case ranked:
		return age > takeOverAfter+time.Duration(r)*rankDelay
	default:
		return age > takeOverAfter+readerRanks*rankDelay+n.jitter()
	}
}

// jitter returns a fixed delay for this VM, so that VMs without a rank do not
// all read at once.
func (n *Node) jitter() time.Duration {
	return maxJitter * time.Duration(n.nameHash()%1000) / 1000
}

// nameHash returns a hash of this VM's name.
func (n *Node) nameHash() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.cfg.Self.Name)) // Never fails.
	return h.Sum32()
}

// syncTables reads the tables and, if this VM has a reader rank, sends the state
// to all others. Failed reads are retried with exponential back-off.
func (n *Node) syncTables(ctx context.Context) {
	n.readLosses(ctx)
	before := n.cfg.Registry.State().Revision
	asOf, err := n.readTables(ctx)
	n.syncMu.Lock()
	s := &n.syncState
	if err != nil {
		delay := min(minBackOff<<min(s.failures, 4), maxBackOff)
		s.failures++
		s.retryAt = time.Now().Add(delay)
		first := !s.unreachable
		s.unreachable = true
		n.syncMu.Unlock()
		n.cfg.Scope.Counter("readsFailed").Inc(1)
		if first {
			record.Log("fleet: cannot read the platform's tables", "err", err)
		}
		return
	}
	recovered, lastCurrent := s.unreachable, s.currentAt
	s.failures, s.unreachable, s.currentAt = 0, false, asOf
	n.syncMu.Unlock()
	if recovered {
		record.Log("fleet: reading the platform's tables again", "away", asOf.Sub(lastCurrent).Round(time.Millisecond))
	}
	if _, ranked := n.readerRank(); ranked {
		n.sendStateToAll(ctx, asOf, before)
	}
}

// readTables reads the configuration and then the registered servers. The
// first-ranked reader waits for a change of the configuration. It returns the
// time at which the copy was current.
func (n *Node) readTables(ctx context.Context) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	was := n.cfg.Replica.State().Version
	wait := time.Duration(0)
	if r, ranked := n.readerRank(); ranked && r == 0 && was > 0 {
		wait = readInterval - checkInterval/3
	}
	if err := n.cfg.Source.Follow(ctx, time.Now(), n.cfg.Replica, wait); err != nil {
		return time.Time{}, fmt.Errorf("reading the configuration: %w", err)
	}
	if v := n.cfg.Replica.State().Version; v > was {
		n.reportConfigInForce(v, "the platform")
		n.triggerGossip()
	}
	now := time.Now()
	if n.cfg.Servers == nil {
		return now, nil
	}
	u, err := n.cfg.Servers.Read(ctx, n.readFrom(now))
	if err != nil {
		return time.Time{}, fmt.Errorf("reading the registered servers: %w", err)
	}
	n.cfg.Registry.Apply(time.Now(), u)
	return now, nil
}

// readFrom returns the revision from which the list of servers is read. A VM that has not read it
// for a while reads all of it: the one that did may have stopped before it told which servers
// have not registered again after an outage.
func (n *Node) readFrom(now time.Time) registry.Revision {
	n.syncMu.Lock()
	defer n.syncMu.Unlock()
	s := &n.syncState
	fresh := now.Sub(s.listReadAt) <= changesWindow
	s.listReadAt = now
	if !fresh {
		return 0
	}
	return n.cfg.Registry.State().Revision
}

// reportConfigInForce logs and publishes the version of the configuration that
// came into force, and its source.
func (n *Node) reportConfigInForce(v catalog.Version, from string) {
	record.Log("fleet: configuration in force", "version", v, "from", from)
	n.cfg.Scope.Gauge("catalogVersion").Update(float64(v))
}

// sendStateToAll sends this VM's versions to all other VMs, with the recent
// changes of the registry and, if it is new, the configuration. before is the registry's revision
// before the last read.
func (n *Node) sendStateToAll(ctx context.Context, asOf time.Time, before registry.Revision) {
	st := n.cfg.Replica.State()
	req := &fleetapi.LevelRequest{
		From: string(n.cfg.Self.Name), Address: n.cfg.Self.Address, CatalogVersion: int64(st.Version),
	}
	n.syncMu.Lock()
	fresh := st.Version > n.syncState.sentVersion
	n.syncState.sentVersion = st.Version
	baseRevision := n.syncState.baseRevision(asOf, before)
	n.syncMu.Unlock()
	if n.cfg.Servers != nil {
		req.Servers = fleetapi.FromRegistry(n.cfg.Registry.Since(asOf, baseRevision))
	}
	if fresh {
		req.Snapshot = n.snapshot()
	}
	for _, r := range n.stateReceivers(asOf) {
		n.startSend(ctx, r, req)
	}
}

// baseRevision records the revision before a read and returns the one from changesWindow
// ago. Changes since then are sent: those of a VM's first read as reader too, since the reader
// before may not have sent them.
func (s *syncState) baseRevision(now time.Time, before registry.Revision) registry.Revision {
	s.revisions = append(s.revisions, revisionMark{now, before})
	for len(s.revisions) > 1 && now.Sub(s.revisions[1].at) > changesWindow {
		s.revisions = s.revisions[1:]
	}
	return s.revisions[0].revision
}

// snapshot returns the compressed configuration in force, or nil if it cannot be
// encoded; the other VMs then fetch it.
func (n *Node) snapshot() []byte {
	s, err := n.cfg.Replica.Snapshot()
	if err != nil {
		klog.ErrorS(err, "fleet: cannot encode the configuration for other VMs")
		return nil
	}
	packed, err := packSnapshot(s)
	if err != nil {
		klog.ErrorS(err, "fleet: cannot encode the configuration for other VMs")
		return nil
	}
	return packed
}

// beginSend marks a Level call to a VM as in flight. It returns false if there
// already is one.
func (n *Node) beginSend(vm roster.VMName) bool {
	n.syncMu.Lock()
	defer n.syncMu.Unlock()
	if n.sending[vm] {
		return false
	}
	n.sending[vm] = true
	return true
}

// sendState sends one Level call to a VM and reports whether it was answered.
func (n *Node) sendState(ctx context.Context, vm roster.VM, req *fleetapi.LevelRequest) bool {
	defer func() {
		n.syncMu.Lock()
		delete(n.sending, vm.Name)
		n.syncMu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(n.withToken(ctx), sendTimeout)
	defer cancel()
	reply, err := n.client(vm.Address).Level(ctx, req)
	if err != nil {
		n.cfg.Scope.Counter("levelsLost").Inc(1)
		return false // A VM that receives nothing reads the tables itself.
	}
	n.fetchIfBehind(vm, catalog.Version(reply.GetCatalogVersion()), registry.Revision(reply.GetRegistryRevision()))
	return true
}

// fetchIfBehind schedules a fetch from another VM if that VM has a newer
// configuration or registry.
func (n *Node) fetchIfBehind(vm roster.VM, v catalog.Version, r registry.Revision) {
	isBehind := n.cfg.Replica.ObserveVersion(v)
	if n.cfg.Servers != nil && r > n.cfg.Registry.State().Revision {
		isBehind = true
	}
	if !isBehind {
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
		klog.ErrorS(err, "fleet: cannot load the configuration received from a VM", "vm", vm.Name)
	}
	if n.cfg.Servers != nil && !n.cfg.Registry.Apply(now, fleetapi.ToRegistry(req.GetServers())) {
		n.fetchIfBehind(vm, 0, registry.Revision(req.GetServers().GetRevision()))
	}
	n.fetchIfBehind(vm, catalog.Version(req.GetCatalogVersion()), 0)
	if n.isOfPresentEra(req.GetServers()) {
		n.syncMu.Lock()
		n.syncState.currentAt = now
		n.syncMu.Unlock()
	}
	if req.GetPassOn() {
		go n.passOnState(now, vm.Name, req)
	}
	return &fleetapi.LevelAnswer{
		CatalogVersion:   int64(n.cfg.Replica.State().Version),
		RegistryRevision: int64(n.cfg.Registry.State().Revision),
	}, nil
}

// isOfPresentEra reports whether a VM that sent the list of servers has read it in the era that
// this VM knows. One of an earlier build knows no eras, and what it sends is ignored.
func (n *Node) isOfPresentEra(list *fleetapi.ServerList) bool {
	return n.cfg.Servers == nil || registry.Revision(list.GetRevision()).Era() >= n.cfg.Registry.State().Revision.Era()
}

// loadSnapshot puts a compressed configuration from another VM into force, if
// there is one and it is newer.
func (n *Node) loadSnapshot(now time.Time, raw []byte, from string) error {
	if len(raw) == 0 {
		return nil
	}
	s, err := unpackSnapshot(raw)
	if err != nil {
		return err
	}
	loaded, err := n.cfg.Replica.Load(now, s)
	if loaded {
		n.reportConfigInForce(s.Version, from)
	}
	return err
}

// Servers implements fleetapi.Fleet.
func (s server) Servers(_ context.Context, req *fleetapi.ServersRequest) (*fleetapi.ServersAnswer, error) {
	u := s.node.cfg.Registry.Since(time.Now(), registry.Revision(req.GetSince()))
	packed, err := packServers(fleetapi.FromRegistry(u))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &fleetapi.ServersAnswer{PackedServers: packed}, nil
}

// fetchServers updates the registry from another VM.
func (n *Node) fetchServers(ctx context.Context, vm roster.VM) error {
	ctx, cancel := context.WithTimeout(n.withToken(ctx), fetchTimeout)
	defer cancel()
	since := n.cfg.Registry.State().Revision
	reply, err := n.client(vm.Address).Servers(ctx, &fleetapi.ServersRequest{Since: int64(since)})
	if err != nil {
		return err
	}
	servers, err := unpackServers(reply.GetPackedServers())
	if err != nil {
		return err
	}
	n.cfg.Registry.Apply(time.Now(), fleetapi.ToRegistry(servers))
	return nil
}

// PlatformAge returns for how long this VM has had no current copy of the
// platform's tables; 0 while reads are on schedule and before the first one.
func (n *Node) PlatformAge(now time.Time) time.Duration {
	n.syncMu.Lock()
	defer n.syncMu.Unlock()
	if n.syncState.currentAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(n.syncState.currentAt)-2*readInterval)
}

// Synced reports whether this VM has the configuration and, if servers register
// themselves, the registry.
func (n *Node) Synced() bool {
	return n.cfg.Replica.State().Version > 0 && (n.cfg.Servers == nil || n.cfg.Registry.State().Revision > 0)
}

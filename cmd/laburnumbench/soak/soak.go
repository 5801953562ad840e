// Package soak runs laburnumpickd processes on loopback, injects faults from outside
// of them, and checks the promises of the system against what callers and
// backend servers observe. A promise is a guarantee of laburnumpick, such as that an
// at-most-once request runs at most once.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"laburnumpick.org/platform/standin"
)

// Config holds the parameters of a soak.
type Config struct {
	Bin         string        // Path of laburnumpickd.
	Dir         string        // Directory for settings and logs.
	Seed        uint64        // Of the fault schedule, the callers and the servers.
	Length      time.Duration // Of the fault schedule.
	VMs         int
	Callers     int
	CheckTiming bool      // Also check promises that a slow machine can break.
	Out         io.Writer // Receives the events and a summary.
}

// Timing of a soak.
const (
	startTimeout   = time.Minute            // Allows for slow machines.
	settleTime     = 9 * time.Second        // From the end of the last fault until the system must have recovered.
	recoveryTime   = 3 * time.Second        // Requests of this last period must succeed again.
	healthInterval = 200 * time.Millisecond // Between two health checks of the simulated load balancer.
)

// Size and speed of the services.
const (
	serversPerService = 6
	slots             = 3
	serviceTime       = 50 * time.Millisecond
)

// soak is the state of a running soak.
type soak struct {
	cfg            Config
	store          *standin.Store
	storeServer    *httptest.Server // Serves store over HTTP.
	log            *standin.Log
	vms            []*vm
	serversMu      sync.Mutex // Guards the three fields below.
	serverLinks    []*link    // Links to the servers, at the same indexes.
	servers        []*standin.Server
	serversStarted int                                // Counts the servers started so far, to name the next one.
	replacing      [2 * serversPerService]atomic.Bool // By index: whether an event is replacing the server.
	limited        []*standin.Server                  // All servers that have named a limit.
	version        int                                // Of the configuration.
	errs           []error
}

// Run runs a soak and returns a description of each broken promise. The error
// reports that the soak itself failed.
func Run(ctx context.Context, cfg Config) ([]string, error) {
	s := &soak{cfg: cfg, store: standin.NewStore(), log: &standin.Log{}}
	s.storeServer = httptest.NewServer(s.store)
	defer s.storeServer.Close()
	defer s.shutdown()
	if err := s.startAll(); err != nil {
		return nil, err
	}
	watch, stop := context.WithCancel(ctx)
	defer stop()
	go s.pollHealth(watch)
	if err := s.awaitHealthy(ctx); err != nil {
		return nil, err
	}
	c := &callers{vms: s.vms, stop: make(chan struct{})}
	c.start(cfg.Callers, cfg.Seed)
	crashes, stopCrashes := context.WithCancel(ctx)
	defer stopCrashes()
	go s.sendCrashRequests(crashes, c)
	s.runSchedule(ctx)
	stopCrashes()
	time.Sleep(settleTime)
	recoveryStart := time.Now()
	time.Sleep(recoveryTime)
	all := c.stopAndWait()
	broken := checkPromises(all, s.log.Runs(), recoveryStart, cfg.CheckTiming)
	broken = append(broken, checkCrashes(s.log.Runs())...)
	if cfg.CheckTiming {
		broken = append(broken, checkLimits(s.limited)...)
	}
	statuses := make(map[int]int)
	for _, t := range all {
		statuses[t.status]++
	}
	_, err := fmt.Fprintf(cfg.Out, "seed %d: %d requests, by status %v, %d servers lost to the request that crashes them, %d broken promises\n",
		cfg.Seed, len(all), statuses, len(crashTimes(s.log.Runs())), len(broken))
	return broken, errors.Join(append(s.errs, err)...)
}

// startAll starts the servers and the VMs.
func (s *soak) startAll() error {
	s.writeConfig(0)
	for i := range 2 * serversPerService {
		if err := s.startServer(i); err != nil {
			return err
		}
	}
	for i := range s.cfg.VMs {
		toStore, err := newLink(strings.TrimPrefix(s.storeServer.URL, "http://"))
		if err != nil {
			return err
		}
		v := &vm{
			name: "vm-" + strings.Repeat("i", i+1), dir: s.cfg.Dir, bin: s.cfg.Bin,
			storeURL: "http://" + toStore.address(), storeLink: toStore,
		}
		s.vms = append(s.vms, v)
		if err := v.writeSettings(0); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// startServer starts the server with the given index and a link in front of it,
// and registers it under the link's address. An earlier server with that index is
// replaced.
func (s *soak) startServer(index int) error {
	s.serversMu.Lock()
	defer s.serversMu.Unlock()
	s.serversStarted++
	service := []string{"reads", "votes"}[index%2]
	srv, err := standin.NewServer(fmt.Sprintf("i-%d", s.serversStarted), service, []string{"a", "b"}[index/2%2], slots, serviceTime,
		s.cfg.Seed+uint64(s.serversStarted), s.store, s.log)
	if err != nil {
		return err
	}
	k, err := newLink(srv.Address())
	if err != nil {
		return err
	}
	if index < len(s.servers) {
		s.servers[index], s.serverLinks[index] = srv, k
	} else {
		s.servers, s.serverLinks = append(s.servers, srv), append(s.serverLinks, k)
	}
	srv.OnCrash = func() { s.crashServer(index, srv, k) }
	srv.Register(k.address())
	return nil
}

// serverAt returns the server with an index, and its link.
func (s *soak) serverAt(index int) (*standin.Server, *link) {
	s.serversMu.Lock()
	defer s.serversMu.Unlock()
	return s.servers[index], s.serverLinks[index]
}

// writeConfig writes a new version of the configuration. The variant sets by how
// much the version rises, and the timeout of requests to /read/.
func (s *soak) writeConfig(variant int) {
	s.version += 1 + variant%3
	timeout := time.Duration(1500+variant%500) * time.Millisecond
	s.store.Put("op", "config", standin.Config(s.version, timeout))
}

// pollHealth checks the readiness of each VM regularly, as a load balancer would,
// and keeps the unready ones out of rotation.
func (s *soak) pollHealth(ctx context.Context) {
	hc := &http.Client{Timeout: healthInterval}
	for ctx.Err() == nil {
		for _, v := range s.vms {
			v.readAddresses()
			resp, err := hc.Get("http://" + v.addresses().Health + "/readiness")
			if err == nil {
				_ = resp.Body.Close() // Only the status is used.
			}
			v.mu.Lock()
			v.healthy = err == nil && resp.StatusCode == http.StatusOK
			v.mu.Unlock()
		}
		time.Sleep(healthInterval)
	}
}

// awaitHealthy waits until all VMs are ready.
func (s *soak) awaitHealthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		n := 0
		for _, v := range s.vms {
			v.mu.Lock()
			if v.healthy {
				n++
			}
			v.mu.Unlock()
		}
		if n == len(s.vms) {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("only %d of %d VMs became ready; see the logs in %s", n, len(s.vms), s.cfg.Dir)
		}
		time.Sleep(healthInterval / 2)
	}
}

// runSchedule injects each event at its time and waits until all have ended.
func (s *soak) runSchedule(ctx context.Context) {
	start := time.Now()
	done := make(chan error)
	events := Schedule(s.cfg.Seed, s.cfg.Length)
	limits := s.nameLimits(start)
	defer limits.Wait()
	for _, e := range events {
		time.Sleep(time.Until(start.Add(e.At)))
		_, _ = fmt.Fprintln(s.cfg.Out, e) // Run reports an error of Out when it writes the summary.
		undo := s.inject(e)
		go func() {
			time.Sleep(e.Duration)
			done <- undo()
		}()
	}
	for range events {
		select {
		case err := <-done:
			s.errs = append(s.errs, err)
		case <-ctx.Done():
			return
		}
	}
}

// inject starts an event. The returned function undoes it.
func (s *soak) inject(e Event) func() error {
	v := s.vms[e.Target%len(s.vms)]
	index := e.Target % len(s.servers)
	noUndo := func() error { return nil }
	switch e.Kind {
	case VMTerminate:
		return v.terminate()
	case VMKill:
		v.markDisrupted(e.Duration + disruptionMargin)
		return v.kill()
	case VMPause:
		v.markDisrupted(e.Duration + disruptionMargin)
		v.signal(syscall.SIGSTOP)
		return func() error {
			v.signal(syscall.SIGCONT)
			return nil
		}
	case VMReload:
		err := v.writeSettings(e.Variant % 2)
		v.signal(syscall.SIGHUP)
		return func() error { return err }
	case VMCutOff:
		return s.cutOff(v, e.Variant)
	case ServerLinkFault:
		_, k := s.serverAt(index)
		k.setFault([]LinkFault{LinkDelayed, LinkReset, LinkOneWay, LinkBlackholed, LinkRefused}[e.Variant%5])
		return func() error {
			k.setFault(LinkOK)
			return nil
		}
	case StoreLinkFault:
		v.storeLink.setFault([]LinkFault{LinkDelayed, LinkReset, LinkOneWay, LinkBlackholed, LinkRefused}[e.Variant%5])
		return func() error {
			v.storeLink.setFault(LinkOK)
			return nil
		}
	case StoreFault:
		return s.injectStoreFault(e)
	case ServerFault:
		srv, _ := s.serverAt(index)
		srv.SetFaults([]standin.ServerFaults{
			{SlowFactor: 8},
			{ErrorShare: 0.5},
			{ResetShare: 0.8},
			{TruncateShare: 0.5},
			{DuplicateShare: 0.5},
			{ShedShare: 0.6},
			{Unresponsive: true},
			{ShedShare: 0.6, RetryAfter: "1.5"},
		}[e.Variant%8])
		return func() error {
			srv.SetFaults(standin.ServerFaults{})
			return nil
		}
	case ServerCrash, ServerDrain:
		return s.replaceServer(e, index)
	case ConfigChange:
		s.writeConfig(e.Variant)
	}
	return noUndo
}

// injectStoreFault sets the fault of the store that the event selects. The
// returned function clears it.
func (s *soak) injectStoreFault(e Event) func() error {
	s.store.SetFaults([]standin.StoreFaults{
		{Status: http.StatusServiceUnavailable},
		{Status: http.StatusTooManyRequests},
		{Delay: 300 * time.Millisecond},
		{LoseResponses: true},
		{ApplyDelay: time.Second},
		{CompactedBefore: s.store.Revision() + 1},
		{CompactedBefore: s.store.Revision() + 1, StaleBy: 5},
	}[e.Variant%7])
	return func() error {
		s.store.SetFaults(standin.StoreFaults{})
		return nil
	}
}

// replaceServer crashes or drains the server with the given index. The returned
// function starts its successor; it does nothing if an earlier event is replacing
// the server.
func (s *soak) replaceServer(e Event, index int) func() error {
	if s.replacing[index].Swap(true) {
		return func() error { return nil } // The earlier event starts the successor.
	}
	srv, k := s.serverAt(index)
	if e.Kind == ServerCrash {
		srv.Close(true)
		k.close()
		return func() error {
			defer s.replacing[index].Store(false)
			s.store.Delete("servers", srv.Name)
			return s.startServer(index)
		}
	}
	srv.Drain()
	return func() error {
		defer s.replacing[index].Store(false)
		time.Sleep(drainTime)
		srv.Close(false)
		k.close()
		return s.startServer(index)
	}
}

// drainTime is how long a draining server keeps serving after the event's
// duration.
const drainTime = 3 * time.Second

// shutdown stops all VMs, servers and links.
func (s *soak) shutdown() {
	for _, v := range s.vms {
		v.shutdown()
		v.storeLink.close()
	}
	for i := range s.servers {
		srv, k := s.serverAt(i)
		srv.Close(true)
		k.close()
	}
}

// MkdirTemp creates a temporary directory for the settings and logs of a soak.
func MkdirTemp(seed uint64) (string, error) { return os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed)) }

// Package soak runs the real program as processes on loopback, lets things fail
// from outside them, and holds the promises against what callers and backend
// servers see.
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
	"sync/atomic"
	"syscall"
	"time"

	"laburnumpick.org/platform/standin"
)

// Config describes a soak.
type Config struct {
	Bin         string // The program.
	Dir         string // For settings and logs.
	Seed        uint64
	Length      time.Duration // Of the faults.
	VMs         int
	Callers     int
	CheckTiming bool // Promises that depend on the machine's speed are checked too.
	Out         io.Writer
}

// Times of a soak, besides its length.
const (
	startTime = time.Minute     // Machines may be slow.
	settle    = 9 * time.Second // From the last fault until all must be well.
	quietTime = 3 * time.Second
	lookGap   = 200 * time.Millisecond // Between two looks of the balancer.
)

// Sizes of a soak's services.
const (
	serversEach = 6
	slots       = 3
	work        = 50 * time.Millisecond
)

// soak is a soak that is under way.
type soak struct {
	cfg     Config
	store   *standin.Store
	front   *httptest.Server // Serves the store.
	log     *standin.Log
	vms     []*vm
	links   []*link // To the servers, by their place.
	servers []*standin.Server
	ending  [2 * serversEach]atomic.Bool // By place: its server ends, and another one comes.
	version int
	started int // Servers so far, for their names.
	failed  []error
}

// Run runs a soak. It returns the promises that were broken.
func Run(ctx context.Context, cfg Config) ([]string, error) {
	s := &soak{cfg: cfg, store: standin.NewStore(), log: &standin.Log{}}
	s.front = httptest.NewServer(s.store)
	defer s.front.Close()
	defer s.end()
	if err := s.begin(); err != nil {
		return nil, err
	}
	watch, stop := context.WithCancel(ctx)
	defer stop()
	go s.balance(watch)
	if err := s.ready(ctx); err != nil {
		return nil, err
	}
	c := &callers{vms: s.vms, stop: make(chan struct{})}
	c.run(cfg.Callers, cfg.Seed)
	s.play(ctx)
	time.Sleep(settle)
	quiet := time.Now()
	time.Sleep(quietTime)
	all := c.done()
	broken := check(all, s.log.Runs(), quiet, cfg.CheckTiming)
	statuses := make(map[int]int)
	for _, t := range all {
		statuses[t.status]++
	}
	_, err := fmt.Fprintf(cfg.Out, "seed %d: %d requests, by status %v, %d broken promises\n", cfg.Seed, len(all), statuses, len(broken))
	return broken, errors.Join(append(s.failed, err)...)
}

// begin starts the servers and the VMs.
func (s *soak) begin() error {
	s.configure(0)
	for i := range 2 * serversEach {
		if err := s.startServer(i); err != nil {
			return err
		}
	}
	for i := range s.cfg.VMs {
		toStore, err := newLink(strings.TrimPrefix(s.front.URL, "http://"))
		if err != nil {
			return err
		}
		v := &vm{
			name: "vm-" + strings.Repeat("i", i+1), dir: s.cfg.Dir, bin: s.cfg.Bin,
			url: "http://" + toStore.address(), store: toStore,
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

// startServer starts the server of a place, with a link before it.
func (s *soak) startServer(place int) error {
	s.started++
	service := []string{"reads", "votes"}[place%2]
	srv, err := standin.NewServer(fmt.Sprintf("i-%d", s.started), service, []string{"a", "b"}[place/2%2], slots, work,
		s.cfg.Seed+uint64(s.started), s.store, s.log)
	if err != nil {
		return err
	}
	k, err := newLink(srv.Address())
	if err != nil {
		return err
	}
	if place < len(s.servers) {
		s.servers[place], s.links[place] = srv, k
	} else {
		s.servers, s.links = append(s.servers, srv), append(s.links, k)
	}
	srv.Register(k.address())
	return nil
}

// configure writes a new version of the configuration.
func (s *soak) configure(way int) {
	s.version += 1 + way%3
	timeout := time.Duration(1500+way%500) * time.Millisecond
	s.store.Put("op", "config", standin.Config(s.version, timeout))
}

// balance keeps the rotation as a balancer would.
func (s *soak) balance(ctx context.Context) {
	hc := &http.Client{Timeout: lookGap}
	for ctx.Err() == nil {
		for _, v := range s.vms {
			v.look()
			resp, err := hc.Get("http://" + v.addresses().Health + "/readiness")
			if err == nil {
				_ = resp.Body.Close() // Only the status matters.
			}
			v.mu.Lock()
			v.healthy = err == nil && resp.StatusCode == http.StatusOK
			v.mu.Unlock()
		}
		time.Sleep(lookGap)
	}
}

// ready waits until all VMs serve.
func (s *soak) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
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
			return fmt.Errorf("only %d of %d VMs came up; see %s", n, len(s.vms), s.cfg.Dir)
		}
		time.Sleep(lookGap / 2)
	}
}

// play lets the schedule happen.
func (s *soak) play(ctx context.Context) {
	began := time.Now()
	done := make(chan error)
	events := Schedule(s.cfg.Seed, s.cfg.Length)
	for _, e := range events {
		time.Sleep(time.Until(began.Add(e.At)))
		_, _ = fmt.Fprintln(s.cfg.Out, e) // The report's end tells of a lost writer.
		undo := s.begins(e)
		go func() {
			time.Sleep(e.Duration)
			done <- undo()
		}()
	}
	for range events {
		select {
		case err := <-done:
			s.failed = append(s.failed, err)
		case <-ctx.Done():
			return
		}
	}
}

// begins lets an event begin and returns what ends it.
func (s *soak) begins(e Event) func() error {
	v := s.vms[e.Target%len(s.vms)]
	place := e.Target % len(s.servers)
	nothing := func() error { return nil }
	switch e.Kind {
	case VMTerminate:
		return v.terminate()
	case VMKill:
		v.harm(e.Duration + contact)
		return v.kill()
	case VMPause:
		v.harm(e.Duration + contact)
		v.signal(syscall.SIGSTOP)
		return func() error {
			v.signal(syscall.SIGCONT)
			return nil
		}
	case VMReload:
		err := v.writeSettings(e.Variant % 2)
		v.signal(syscall.SIGHUP)
		return func() error { return err }
	case ServerLinkFault:
		k := s.links[place]
		k.set([]LinkFault{LinkDelayed, LinkReset, LinkOneWay, LinkSilent, LinkRefused}[e.Variant%5])
		return func() error {
			k.set(LinkOK)
			return nil
		}
	case StoreLinkFault:
		v.store.set([]LinkFault{LinkDelayed, LinkReset, LinkOneWay, LinkSilent, LinkRefused}[e.Variant%5])
		return func() error {
			v.store.set(LinkOK)
			return nil
		}
	case StoreFault:
		return s.storeFault(e)
	case ServerFault:
		srv := s.servers[place]
		srv.SetFaults([]standin.ServerFaults{
			{SlowFactor: 8}, {ErrorShare: 0.5}, {ResetShare: 0.8}, {TruncateShare: 0.5}, {DuplicateShare: 0.5}, {ShedShare: 0.6}, {Unresponsive: true},
		}[e.Variant%7])
		return func() error {
			srv.SetFaults(standin.ServerFaults{})
			return nil
		}
	case ServerCrash, ServerDrain:
		return s.serverEnds(e, place)
	case ConfigChange:
		s.configure(e.Variant)
	}
	return nothing
}

// storeFault lets the store misbehave.
func (s *soak) storeFault(e Event) func() error {
	s.store.SetFaults([]standin.StoreFaults{
		{Status: http.StatusServiceUnavailable},
		{Status: http.StatusTooManyRequests},
		{Delay: 300 * time.Millisecond},
		{LoseAnswers: true},
		{ApplyDelay: time.Second},
		{CompactedBefore: s.store.Revision() + 1},
		{CompactedBefore: s.store.Revision() + 1, StaleBy: 5},
	}[e.Variant%7])
	return func() error {
		s.store.SetFaults(standin.StoreFaults{})
		return nil
	}
}

// serverEnds lets a server crash, or leave, and another come in its place.
func (s *soak) serverEnds(e Event, place int) func() error {
	if s.ending[place].Swap(true) {
		return func() error { return nil } // An earlier event ends it.
	}
	srv, k := s.servers[place], s.links[place]
	if e.Kind == ServerCrash {
		srv.Close(true)
		k.close()
		return func() error {
			defer s.ending[place].Store(false)
			s.store.Delete("servers", srv.Name)
			return s.startServer(place)
		}
	}
	srv.Drain()
	return func() error {
		defer s.ending[place].Store(false)
		time.Sleep(drainTime)
		srv.Close(false)
		k.close()
		return s.startServer(place)
	}
}

// drainTime is how long a server that leaves goes on serving, beyond what the
// event lasts.
const drainTime = 3 * time.Second

// end stops what the soak started.
func (s *soak) end() {
	for _, v := range s.vms {
		v.end()
		v.store.close()
	}
	for i, srv := range s.servers {
		srv.Close(true)
		s.links[i].close()
	}
}

// MkdirTemp returns a folder for a soak's settings and logs.
func MkdirTemp(seed uint64) (string, error) { return os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed)) }

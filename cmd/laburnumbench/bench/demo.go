package bench

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/store"
	"laburnumpick.org/pkg/trial"
)

// Timing of the demo.
const (
	demoLength         = 34 * time.Second
	progressInterval   = 2 * time.Second // Between two progress reports.
	watchInterval      = 100 * time.Millisecond
	propagationTimeout = 3 * time.Second // An accepted change must reach every VM by then.
	drainLimit         = 3 * time.Second // A draining server must get no new requests later than this.
)

type demoCmd struct {
	Dir  string `required:"" help:"Directory of the processes' address files."`
	VMs  int    `name:"vms" default:"6" help:"Number of entry VMs of each site."`
	Seed uint64 `default:"1"`
}

// event is a fault or an operator's action at a time of the demo.
type event struct {
	at          time.Duration
	description string
	action      func(ctx context.Context) error
}

// demo is the state of a run.
type demo struct {
	start       time.Time
	tt          *liveSite
	lagos       *liveSite
	sites       []*liveSite
	loads       []*load
	watcher     *watcher
	drainStarts map[string]time.Time // When each server began to drain.
}

// Run runs the demo and fails if a promise was broken.
func (c *demoCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), 55*time.Second)
	defer cancel()
	d := &demo{drainStarts: make(map[string]time.Time)}
	var err error
	if d.tt, err = openSite(ctx, c.Dir, "tt-north", c.VMs); err != nil {
		return err
	}
	if d.lagos, err = openSite(ctx, c.Dir, "lagos", c.VMs); err != nil {
		return err
	}
	fmt.Printf("Two sites are up: tt-north and lagos, %d entry VMs each. The load starts.\n\n", c.VMs)
	d.start = time.Now()
	d.sites = []*liveSite{d.tt, d.lagos}
	for i, s := range d.sites {
		rt := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}
		d.loads = append(d.loads, newLoad(s.plan, s.callerAddresses, rt, c.Seed+uint64(i)))
	}
	d.watcher = newWatcher(d.sites...)
	d.play(ctx)
	broken := d.printSummary(ctx)
	if len(broken) > 0 {
		return fmt.Errorf("%d promises were broken", len(broken))
	}
	fmt.Println("\nEvery promise held in this run.")
	return nil
}

// play runs the load, the events, the watcher and the progress report.
func (d *demo) play(ctx context.Context) {
	loadCtx, stop := context.WithTimeout(ctx, demoLength)
	defer stop()
	done := make(chan struct{}, len(d.loads))
	for _, l := range d.loads {
		go func() {
			l.run(loadCtx)
			done <- struct{}{}
		}()
	}
	go d.watcher.run(loadCtx)
	go d.printProgress(loadCtx)
	for _, e := range d.events() {
		select {
		case <-loadCtx.Done():
		case <-time.After(time.Until(d.start.Add(e.at))):
		}
		d.logf("%s", e.description)
		if err := e.action(ctx); err != nil {
			d.watcher.fail("the demo failed: %s: %v", e.description, err)
		}
	}
	for range d.loads {
		<-done
	}
}

// logf prints a line with the time since the start.
func (d *demo) logf(format string, args ...any) {
	fmt.Printf("%5.1fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// printProgress prints the results so far every progressInterval.
func (d *demo) printProgress(ctx context.Context) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, l := range d.loads {
			answered, notRun, unknown, aborted := l.countOutcomes()
			d.logf("%-9s answered %d, not run %d, unknown %d, aborted %d", l.plan.Site, answered, notRun, unknown, aborted)
		}
	}
}

// events returns the demo's schedule.
func (d *demo) events() []event {
	return []event{
		{4 * time.Second, "tt-north: packshelf-3 becomes ten times slower", func(ctx context.Context) error {
			return d.tt.setServerFaults(ctx, "packshelf-3", standin.Faults{SlowFactor: 10})
		}},
		{5 * time.Second, "lagos: titlebook-2 fails half of its requests", func(ctx context.Context) error {
			return d.lagos.setServerFaults(ctx, "titlebook-2", standin.Faults{ErrorShare: 0.5})
		}},
		{9 * time.Second, "tt-north: sealbook-5 begins to drain", func(ctx context.Context) error {
			d.drainStarts["sealbook-5"] = time.Now()
			return d.tt.setServerFaults(ctx, "sealbook-5", standin.Faults{Draining: true})
		}},
		{10 * time.Second, "lagos: the platform's list shows payledger-7 as leaving", func(ctx context.Context) error {
			d.drainStarts["payledger-7"] = time.Now()
			return d.lagos.put(ctx, d.lagos.platform+"/control/vm", store.VM{
				Name: "payledger-7", Address: d.lagos.servers.Servers["payledger-7"],
				Role: store.RoleBackend, State: store.VMLeaving,
			})
		}},
		{12 * time.Second, "tt-north: a request crashes each minutevault server that runs it; its caller resends it", d.sendCrashRequest},
		{15 * time.Second, "tt-north: an operator lowers the floor of ballotline to 5", d.lowerFloor},
		{17 * time.Second, "lagos: the platform's store becomes unavailable", func(ctx context.Context) error {
			return d.lagos.put(ctx, d.lagos.platform+"/control/faults", platformFaults{Unavailable: true})
		}},
		{21 * time.Second, "lagos: the store is available again", func(ctx context.Context) error {
			return d.lagos.put(ctx, d.lagos.platform+"/control/faults", platformFaults{})
		}},
		{23 * time.Second, "tt-north: an operator stops the second entry VM", func(ctx context.Context) error {
			_, err := d.tt.operator(1).Stop(ctx, &fleetapi.StopRequest{})
			return err
		}},
		{26 * time.Second, "both sites: the faulty servers recover", func(ctx context.Context) error {
			return errors.Join(
				d.tt.setServerFaults(ctx, "packshelf-3", standin.Faults{}),
				d.lagos.setServerFaults(ctx, "titlebook-2", standin.Faults{}))
		}},
	}
}

// sendCrashRequest sends a request that crashes each server that runs it, several
// times through different VMs.
func (d *demo) sendCrashRequest(ctx context.Context) error {
	l := d.loads[0]
	for i := range 4 {
		c := trial.Call{
			Service: "minutevault", Method: "GET", Path: "/minutes", Body: standin.CrashTrigger,
			Mark: "crash", Account: "account-crash", Deadline: 2 * time.Second,
		}
		r := l.attempt(ctx, d.tt.vms[i%len(d.tt.vms)].Callers, c, false)
		d.logf("  attempt %d: status %d, %s (%s)", i+1, r.Status, r.Outcome, r.Kind)
		time.Sleep(300 * time.Millisecond)
	}
	return nil
}

// lowerFloor lowers the floor of ballotline and waits until the change has reached
// every VM.
func (d *demo) lowerFloor(ctx context.Context) error {
	for _, o := range d.tt.plan.Objects(func(n site.ServerName) string { return d.tt.servers.Servers[n] }) {
		s, ok := o.(*site.Service)
		if !ok || s.Name != "ballotline" {
			continue
		}
		s.Floor = 5
		start := time.Now()
		v, err := d.tt.apply(ctx, 0, s)
		if err != nil {
			return err
		}
		return d.awaitVersion(ctx, start, v)
	}
	return errors.New("service ballotline is not in the plan of tt-north")
}

// awaitVersion waits until every VM of tt-north has reached a configuration version, and
// records a broken promise after propagationTimeout.
func (d *demo) awaitVersion(ctx context.Context, start time.Time, v int64) error {
	for time.Since(start) < propagationTimeout {
		behind := 0
		for i := range d.tt.vms {
			state, err := d.tt.vmState(ctx, i, time.Now().UnixMilli())
			if err != nil || state.GetCatalogVersion() < v {
				behind++
			}
		}
		if behind == 0 {
			d.logf("  version %d reached all VMs after %v", v, time.Since(start).Round(time.Millisecond))
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.watcher.fail("an accepted configuration reaches every VM within seconds: version %d did not within %v", v, propagationTimeout)
	return nil
}

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

// Times of the demo.
const (
	demoLength  = 34 * time.Second
	demoGap     = 2 * time.Second // Between two lines of the live report.
	watchGap    = 100 * time.Millisecond
	configLimit = 3 * time.Second // A change must be in force everywhere by then.
	leaveLimit  = 3 * time.Second // A leaving server gets no new work after it.
)

type demoCmd struct {
	Dir  string `required:"" help:"Where the processes wrote their addresses."`
	VMs  int    `name:"vms" default:"6" help:"Entry VMs of each site."`
	Seed uint64 `default:"1"`
}

// event is something that the demo does to a site at a time.
type event struct {
	at   time.Duration
	what string
	do   func(ctx context.Context) error
}

// demo is one run.
type demo struct {
	start  time.Time
	tt     *liveSite
	lagos  *liveSite
	sites  []*liveSite
	loads  []*load
	watch  *watcher
	leaves map[string]time.Time // When a server began to leave.
}

// Run runs the demo. The error names the promises that were broken.
func (c *demoCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), 55*time.Second)
	defer cancel()
	d := &demo{leaves: make(map[string]time.Time)}
	var err error
	if d.tt, err = openSite(ctx, c.Dir, "tt-north", c.VMs); err != nil {
		return err
	}
	if d.lagos, err = openSite(ctx, c.Dir, "lagos", c.VMs); err != nil {
		return err
	}
	fmt.Printf("Two sites are up: tt-north and lagos, %d entry VMs each. The night begins.\n\n", c.VMs)
	d.start = time.Now()
	d.sites = []*liveSite{d.tt, d.lagos}
	for i, s := range d.sites {
		rt := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}
		d.loads = append(d.loads, newLoad(s.plan, s.callers, rt, c.Seed+uint64(i)))
	}
	d.watch = newWatcher(d.sites...)
	d.play(ctx)
	broken := d.summary(ctx)
	if len(broken) > 0 {
		return fmt.Errorf("%d promises were broken", len(broken))
	}
	fmt.Println("\nEvery promise held in this run.")
	return nil
}

// play runs the load, the events, the watcher and the live report.
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
	go d.watch.run(loadCtx)
	go d.live(loadCtx)
	for _, e := range d.events() {
		select {
		case <-loadCtx.Done():
		case <-time.After(time.Until(d.start.Add(e.at))):
		}
		d.say("%s", e.what)
		if err := e.do(ctx); err != nil {
			d.watch.fail("the demo itself: %s: %v", e.what, err)
		}
	}
	for range d.loads {
		<-done
	}
}

func (d *demo) say(format string, args ...any) {
	fmt.Printf("%5.1fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// live prints what callers get, every two seconds.
func (d *demo) live(ctx context.Context) {
	t := time.NewTicker(demoGap)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, l := range d.loads {
			a, n, u, b := l.tally()
			d.say("%-9s answered %d, not run %d, unknown %d, cut %d", l.plan.Site, a, n, u, b)
		}
	}
}

// events is the night's schedule.
func (d *demo) events() []event {
	return []event{
		{4 * time.Second, "tt-north: packshelf-3 turns gray, ten times slower", func(ctx context.Context) error {
			return d.tt.setServer(ctx, "packshelf-3", standin.Faults{SlowFactor: 10})
		}},
		{5 * time.Second, "lagos: titlebook-2 turns gray, half its answers are errors", func(ctx context.Context) error {
			return d.lagos.setServer(ctx, "titlebook-2", standin.Faults{ErrorShare: 0.5})
		}},
		{9 * time.Second, "tt-north: sealbook-5 begins to drain", func(ctx context.Context) error {
			d.leaves["sealbook-5"] = time.Now()
			return d.tt.setServer(ctx, "sealbook-5", standin.Faults{Draining: true})
		}},
		{10 * time.Second, "lagos: the platform's list shows payledger-7 as leaving", func(ctx context.Context) error {
			d.leaves["payledger-7"] = time.Now()
			return d.lagos.put(ctx, d.lagos.platform+"/control/vm", store.VM{
				Name: "payledger-7", Address: d.lagos.servers.Servers["payledger-7"],
				Role: store.RoleBackend, State: store.VMLeaving,
			})
		}},
		{12 * time.Second, "tt-north: a request crashes each minutevault server that runs it; its caller resends it", d.crash},
		{15 * time.Second, "tt-north: an operator lowers the floor of ballotline to 5", d.changeFloor},
		{17 * time.Second, "lagos: the platform's store goes away", func(ctx context.Context) error {
			return d.lagos.put(ctx, d.lagos.platform+"/control/faults", platformFaults{Unavailable: true})
		}},
		{21 * time.Second, "lagos: the store is back", func(ctx context.Context) error {
			return d.lagos.put(ctx, d.lagos.platform+"/control/faults", platformFaults{})
		}},
		{23 * time.Second, "tt-north: an operator stops the second entry VM", func(ctx context.Context) error {
			_, err := d.tt.operator(1).Stop(ctx, &fleetapi.StopRequest{})
			return err
		}},
		{26 * time.Second, "both sites: the gray servers are well again", func(ctx context.Context) error {
			return errors.Join(
				d.tt.setServer(ctx, "packshelf-3", standin.Faults{}),
				d.lagos.setServer(ctx, "titlebook-2", standin.Faults{}))
		}},
	}
}

// crash sends a request that crashes servers, again and again through other
// VMs.
func (d *demo) crash(ctx context.Context) error {
	l := d.loads[0]
	for i := range 4 {
		c := trial.Call{
			Service: "minutevault", Method: "GET", Path: "/minutes", Body: standin.CrashWord,
			Mark: "crash", Account: "account-crash", Deadline: 2 * time.Second,
		}
		r := l.attempt(ctx, d.tt.vms[i%len(d.tt.vms)].Callers, c, false)
		d.say("  attempt %d: status %d, %s (%s)", i+1, r.Status, r.Outcome, r.Kind)
		time.Sleep(300 * time.Millisecond)
	}
	return nil
}

// changeFloor changes the configuration and waits until it is in force in
// every VM.
func (d *demo) changeFloor(ctx context.Context) error {
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
	return errors.New("there is no ballotline")
}

func (d *demo) awaitVersion(ctx context.Context, start time.Time, v int64) error {
	for time.Since(start) < configLimit {
		behind := 0
		for i := range d.tt.vms {
			b, err := d.tt.believe(ctx, i, time.Now().UnixMilli())
			if err != nil || b.GetCatalogVersion() < v {
				behind++
			}
		}
		if behind == 0 {
			d.say("  version %d is in force in all VMs after %v", v, time.Since(start).Round(time.Millisecond))
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.watch.fail("an accepted configuration is in force everywhere within seconds: version %d was not after %v", v, configLimit)
	return nil
}

package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"
)

// Stop requests a graceful stop. It returns at once.
func (d *Daemon) Stop() { d.stopOnce.Do(func() { close(d.stopRequested) }) }

// Run serves until ctx ends or Stop is called, then stops gracefully: requests in
// flight complete first.
func (d *Daemon) Run(ctx context.Context) error {
	tree, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := d.tree.ServeBackground(tree)
	klog.InfoS("daemon: serving", "vm", d.addr.VM, "dataCentre", d.set.VM.DataCentre, "callers", d.addr.Callers, "vms", d.addr.VMs, "operators", d.addr.Operators)
	select {
	case <-ctx.Done():
	case <-d.stopRequested:
	case err := <-ended:
		return err
	}
	err := d.drain()
	cancel()
	<-ended
	d.closeIdleConnections()
	return errors.Join(err, d.tel.Close())
}

// drain makes the health check fail, waits until the load balancer has reacted,
// lets the requests in flight complete and writes the outcomes of claims to the
// table. Meanwhile this VM keeps granting slots to the VMs that have not yet been
// informed that it is leaving.
func (d *Daemon) drain() error {
	klog.InfoS("daemon: stopping", "vm", d.addr.VM, "inFlight", d.entry.InFlight())
	stop := d.current.Load().Stop.Times()
	total := stop.KeepAlive + stop.Idle + stop.Drain
	d.entry.Stop(time.Now().Add(total))
	ctx, cancel := context.WithTimeout(context.Background(), total+stop.Respond)
	defer cancel()
	go d.node.Leave(ctx)
	time.Sleep(stop.KeepAlive)
	d.callers.DisableKeepAlives()
	time.Sleep(stop.Idle)
	errs := []error{d.listener.Close(), d.callers.Shutdown(ctx)}
	for _, s := range d.servers {
		s.disableKeepAlives()
		errs = append(errs, s.shutdown(ctx))
	}
	errs = append(errs, d.dispatcher.Flush(ctx))
	klog.InfoS("daemon: stopped", "vm", d.addr.VM, "inFlight", d.entry.InFlight())
	return errors.Join(errs...)
}

// closeIdleConnections closes the idle connections to backend servers and of
// control calls.
func (d *Daemon) closeIdleConnections() {
	d.egress.CloseIdle()
	for _, t := range d.transports {
		t.CloseIdleConnections()
	}
}

func logEvent(e suture.Event) { klog.ErrorS(nil, "daemon: supervisor event", "event", e.String()) }

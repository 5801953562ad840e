package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"

	"laburnumpick.org/pkg/settings"
)

// listeners are the open listeners of a daemon. health and metrics are nil if the
// settings name no address for them.
type listeners struct {
	callers, vms, operators, health, metrics net.Listener
}

// addresses returns the addresses of the listeners.
func (ls *listeners) addresses(set *settings.Settings) Addresses {
	a := Addresses{
		VM: set.VM.Name, Callers: ls.callers.Addr().String(),
		VMs: advertised(set, ls.vms), Operators: ls.operators.Addr().String(),
	}
	if ls.health != nil {
		a.Health = ls.health.Addr().String()
	}
	if ls.metrics != nil {
		a.Metrics = ls.metrics.Addr().String()
	}
	return a
}

// listen opens all listeners. If one fails, it closes those already opened.
func listen(set *settings.Settings, nw Network) (*listeners, error) {
	var ls listeners
	var open []net.Listener
	for _, w := range []struct {
		address string
		dst     *net.Listener
	}{
		{set.Listen.Callers, &ls.callers},
		{set.Listen.VMs, &ls.vms},
		{set.Listen.Operators, &ls.operators},
		{set.Listen.Health, &ls.health},
		{set.Listen.Metrics, &ls.metrics},
	} {
		if w.address == "" {
			continue
		}
		l, err := nw.Listen(w.address)
		if err != nil {
			for _, o := range open {
				err = errors.Join(err, o.Close())
			}
			return nil, fmt.Errorf("listen on %s: %w", w.address, err)
		}
		*w.dst = l
		open = append(open, l)
	}
	return &ls, nil
}

// advertised returns the address at which other VMs reach a listener.
func advertised(set *settings.Settings, l net.Listener) string {
	if set.Listen.Advertise == "" {
		return l.Addr().String()
	}
	_, port, err := net.SplitHostPort(l.Addr().String())
	if err != nil {
		return l.Addr().String()
	}
	return net.JoinHostPort(set.Listen.Advertise, port)
}

// writeAddresses writes the address file, if the settings name one.
func (d *Daemon) writeAddresses() error {
	if d.set.Listen.AddressFile == "" {
		return nil
	}
	raw, err := json.Marshal(d.addr)
	if err != nil {
		return err
	}
	// Readers wait for the file to appear, so it is renamed once it is complete.
	tmp := d.set.Listen.AddressFile + ".new"
	if err := os.WriteFile(tmp, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, d.set.Listen.AddressFile)
}

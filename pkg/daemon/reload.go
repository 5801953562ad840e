package daemon

import (
	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/settings"
	"laburnumpick.org/pkg/telemetry"
)

// Reload puts changed settings in force where that is safe while the daemon
// serves. What needs a start anew stays as it was and is told.
func (d *Daemon) Reload(next *settings.Settings) {
	old := d.current.Load()
	merged := *next
	kept := settings.KeepFixed(&merged, old)
	if len(kept) > 0 {
		klog.InfoS("daemon: settings need a start anew and stay as they were", "keys", kept)
	}
	if err := telemetry.SetVerbosity(merged.Log.Verbosity); err != nil {
		klog.ErrorS(err, "daemon: verbosity cannot be set", "verbosity", merged.Log.Verbosity)
	}
	d.current.Store(&merged)
	klog.InfoS("daemon: settings reloaded", "vm", d.addr.VM)
}

package daemon

import (
	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/settings"
	"laburnumpick.org/pkg/telemetry"
)

// Reload applies changed settings that can change while the daemon serves. It logs
// the keys of changed settings that need a restart, and keeps their old values.
func (d *Daemon) Reload(next *settings.Settings) {
	old := d.current.Load()
	merged := *next
	ignored := settings.RestoreStatic(&merged, old)
	if len(ignored) > 0 {
		klog.InfoS("daemon: changed settings ignored until restart", "keys", ignored)
	}
	if err := telemetry.SetVerbosity(merged.Log.Verbosity); err != nil {
		klog.ErrorS(err, "daemon: failed to set log verbosity", "verbosity", merged.Log.Verbosity)
	}
	d.current.Store(&merged)
	klog.InfoS("daemon: settings reloaded", "vm", d.addr.VM)
}

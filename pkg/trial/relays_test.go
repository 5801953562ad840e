package trial_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/trial"
)

// lossesOfRelays are the ways in which a data centre loses the VMs that pass on what the
// reader of the platform's tables sends.
var lossesOfRelays = map[string]func(f *trial.Fleet, vm *trial.VM){
	"killed": func(f *trial.Fleet, vm *trial.VM) { f.Kill(vm) },
	"paused": func(f *trial.Fleet, vm *trial.VM) { f.Net.Pause(vm.Name, 10*time.Second) },
	"cut off from the other data centres": func(f *trial.Fleet, vm *trial.VM) {
		var others []*trial.VM
		for _, o := range f.Serving() {
			if o.DataCentre != vm.DataCentre {
				others = append(others, o)
			}
		}
		cutBetween(f, []*trial.VM{vm}, others, true)
	},
}

// TestDataCentreLosesItsRelays guards against a data centre that hears nothing of the reader
// after it has lost both of its relays at once: a change accepted right then is in force on
// all its other VMs within the users' two seconds.
func TestDataCentreLosesItsRelays(t *testing.T) {
	for name, lose := range lossesOfRelays {
		t.Run(name, func(t *testing.T) {
			withFleet(t, "tt-north", trial.Options{VMs: 24, Seed: 1, Registered: true}, func(t *testing.T, f *trial.Fleet) {
				dc := f.VMs[0].DataCentre
				lost := make(map[roster.VMName]bool)
				for _, vm := range f.VMs[0].Daemon.View().InDataCentre("relay", dc, 2) {
					lost[vm.Name] = true
				}
				assert.Equal(t, len(lost), 2)
				vms := f.Serving()
				for _, vm := range vms {
					if lost[roster.VMName(vm.Name)] {
						lose(f, vm)
					}
				}
				for i := range 3 {
					account := &site.Account{Name: site.AccountName(fmt.Sprint("account-", i)), Rate: 1, Burst: 1, InFlight: 1}
					assert.NilError(t, f.Configure(account))
					time.Sleep(2 * time.Second)
					want := latestVersion(vms)
					for _, vm := range vms {
						if !lost[roster.VMName(vm.Name)] {
							assert.Check(t, vm.Daemon.CatalogVersion() == want, "%s has version %d of %d", vm.Name, vm.Daemon.CatalogVersion(), want)
						}
					}
				}
			})
		})
	}
}

// latestVersion returns the latest version of the configuration that any VM uses.
func latestVersion(vms []*trial.VM) int64 {
	latest := int64(0)
	for _, vm := range vms {
		latest = max(latest, vm.Daemon.CatalogVersion())
	}
	return latest
}

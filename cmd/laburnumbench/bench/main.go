// Package bench implements the commands of laburnumbench: stand-ins for the
// platform and the backend servers, the demo, experiments, measurements and the
// soak. A promise is a guarantee of laburnumpick that a run checks, such as that an
// at-most-once request runs at most once.
package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type cli struct {
	Platform   platformCmd   `cmd:"" help:"Serve an in-memory platform: table, objects and list of VMs."`
	Servers    serversCmd    `cmd:"" help:"Serve stand-ins for all backend servers of a site."`
	Experiment experimentCmd `cmd:"" help:"Simulate a site of many entry VMs in virtual time, with faults, and print the results."`
	Idle       idleCmd       `cmd:"" help:"Measure the cost of the control traffic of an idle fleet."`
	Memory     memoryCmd     `cmd:"" help:"Send entry VMs, as processes, bodies beyond their memory, and watch what they hold."`
	Overhead   overheadCmd   `cmd:"" help:"Compare requests through an entry VM with a minimal reverse proxy."`
	Demo       demoCmd       `cmd:"" help:"Send load and faults to running sites and check every promise."`
	Soak       soakCmd       `cmd:"" help:"Run laburnumpickd processes, inject faults from outside and check every promise."`
}

// Main parses the command line, runs the command and exits with status 1 if it
// fails.
func Main() {
	var c cli
	k := kong.Parse(&c, kong.Name("laburnumbench"),
		kong.Description("Stand-ins, demo, experiments and fault tests for laburnumpick."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "laburnumbench:", err)
		os.Exit(1)
	}
}

// waitForSignal blocks until the process receives SIGTERM or an interrupt.
func waitForSignal() {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGTERM, os.Interrupt)
	<-ch
}

// writeFileAtomically writes v as JSON. The file appears under its name only once
// it is complete, since other processes poll for it.
func writeFileAtomically(name string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if err := os.WriteFile(name+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

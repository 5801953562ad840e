// Package bench holds the commands of the stand-ins, the load and the
// experiments.
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
	Platform   platformCmd   `cmd:"" help:"Stand in for the platform: table, objects, list of VMs."`
	Servers    serversCmd    `cmd:"" help:"Stand in for all backend servers of a site."`
	Experiment experimentCmd `cmd:"" help:"Run a site of many entry VMs in virtual time, with faults, and print figures."`
	Idle       idleCmd       `cmd:"" help:"Measure what control costs without load."`
	Overhead   overheadCmd   `cmd:"" help:"Compare the way through an entry VM with a bare pass-through."`
	Demo       demoCmd       `cmd:"" help:"Send a night's load to running sites and check every promise."`
	Soak       soakCmd       `cmd:"" help:"Run the real program as processes, let things fail from outside, and check the promises."`
}

// Main runs the command line and exits.
func Main() {
	var c cli
	k := kong.Parse(&c, kong.Name("laburnumbench"),
		kong.Description("Stand-ins, load and experiments for laburnumpick."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "laburnumbench:", err)
		os.Exit(1)
	}
}

// untilStopped waits for a signal to end.
func untilStopped() {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGTERM, os.Interrupt)
	<-ch
}

// writeFile writes a JSON file that appears whole, since readers wait for it.
func writeFile(name string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if err := os.WriteFile(name+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

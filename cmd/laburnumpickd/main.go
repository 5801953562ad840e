// Command laburnumpickd is the daemon that runs on each entry VM.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"laburnumpick.org/pkg/daemon"
	"laburnumpick.org/pkg/settings"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
	"laburnumpick.org/pkg/telemetry"
	"laburnumpick.org/platform"
)

// Exit statuses.
const (
	statusOK       = 0
	statusFailed   = 1
	statusSettings = 2 // Invalid settings file or command line.
)

type cli struct {
	Settings string `arg:"" help:"Settings file in YAML."`
	Check    bool   `help:"Validate the settings file and exit."`
}

func main() {
	signal.Ignore(syscall.SIGHUP) // Ignored until watchSettings handles it.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// run executes the command line and returns the exit status.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c cli
	helpShown := false
	k, err := kong.New(&c, kong.Name("laburnumpickd"), kong.Description("Runs an entry VM of a laburnumpick fleet."),
		kong.Writers(out, errOut), kong.Exit(func(int) { helpShown = true }))
	if err == nil {
		_, err = k.Parse(args)
	}
	if helpShown {
		return statusOK // Help was requested and has been printed.
	}
	if err != nil {
		return reportError(errOut, err, statusSettings)
	}
	set, err := settings.Load(c.Settings)
	if err != nil {
		return reportError(errOut, err, statusSettings)
	}
	if c.Check {
		_, err = fmt.Fprintf(out, "%s is valid\n", c.Settings)
	} else {
		err = serve(ctx, c.Settings, set)
	}
	if err != nil {
		return reportError(errOut, err, statusFailed)
	}
	return statusOK
}

// reportError prints an error and returns the status. A failed write is ignored,
// since only the status can be reported then.
func reportError(errOut io.Writer, err error, status int) int {
	_, _ = fmt.Fprintln(errOut, err)
	return status
}

// logFlushTimeout bounds how long the last lines of the event log may take to be
// written.
const logFlushTimeout = 200 * time.Millisecond

func serve(ctx context.Context, file string, set *settings.Settings) error {
	if err := telemetry.SetVerbosity(set.Log.Verbosity); err != nil {
		return err
	}
	if limit, known := set.Limits.HeapLimit(); known {
		debug.SetMemoryLimit(limit)
	}
	signal.Ignore(syscall.SIGPIPE) // A closed reader of the event log must not kill the process.
	eventLog, err := telemetry.LogTo(os.Stdout)
	if err != nil {
		return err
	}
	defer eventLog.Close(logFlushTimeout)
	nw := daemon.TCP()
	nw.EventLog = eventLog
	d, err := daemon.New(set, nw, newPlatform(set, nw))
	if err != nil {
		return err
	}
	watch, stop := context.WithCancel(ctx)
	defer stop()
	go watchSettings(watch, file, d.Reload)
	return d.Run(ctx)
}

// newPlatform returns the platform that the settings select. The zero Platform
// selects laburnumpick's own platform interface.
func newPlatform(set *settings.Settings, nw daemon.Network) daemon.Platform {
	if set.Platform.Kind != settings.KindTables {
		return daemon.Platform{}
	}
	meter := store.NewMeter(daemon.NewTransport(nw))
	cfg := platform.Config{
		URL: set.Platform.URL, Site: site.Name(set.VM.Site), FloorShare: set.Platform.FloorShare,
		EjectionThreshold: site.EjectionThreshold(set.Platform.EjectionThreshold), HTTP: &http.Client{Transport: meter},
	}
	for _, dc := range set.Platform.DataCentres {
		cfg.DataCentres = append(cfg.DataCentres, site.DataCentre(dc))
	}
	p := platform.New(cfg)
	p.Calls = meter
	return p
}

// Command laburnumpickd is the daemon of one entry VM.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
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
	statusSettings = 2 // Of a settings file that is not valid, and of wrong flags.
)

type cli struct {
	Settings string `arg:"" help:"The settings file, in YAML."`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	signal.Ignore(syscall.SIGHUP) // Until the settings are watched.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// run runs the command line and returns the exit status.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c cli
	asked := false
	k, err := kong.New(&c, kong.Name("laburnumpickd"), kong.Description("Serves one entry VM of a laburnumpick fleet."),
		kong.Writers(out, errOut), kong.Exit(func(int) { asked = true }))
	if err == nil {
		_, err = k.Parse(args)
	}
	if asked {
		return statusOK // The help was asked for and printed.
	}
	if err != nil {
		return fail(errOut, err, statusSettings)
	}
	set, err := settings.Load(c.Settings)
	if err != nil {
		return fail(errOut, err, statusSettings)
	}
	if c.Check {
		_, err = fmt.Fprintf(out, "%s is valid\n", c.Settings)
	} else {
		err = serve(ctx, c.Settings, set)
	}
	if err != nil {
		return fail(errOut, err, statusFailed)
	}
	return statusOK
}

// fail tells an error. Where even that fails, the status is all that is left.
func fail(errOut io.Writer, err error, status int) int {
	_, _ = fmt.Fprintln(errOut, err)
	return status
}

// accountPatience is how long the last lines may take to be written.
const accountPatience = 200 * time.Millisecond

func serve(ctx context.Context, file string, set *settings.Settings) error {
	if err := telemetry.SetVerbosity(set.Log.Verbosity); err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE) // A reader of the account that is gone must not end the process.
	account, err := telemetry.LogTo(os.Stdout)
	if err != nil {
		return err
	}
	defer account.Close(accountPatience)
	nw := daemon.TCP()
	nw.EventLog = account
	d, err := daemon.New(set, nw, platformOf(set, nw))
	if err != nil {
		return err
	}
	watch, stop := context.WithCancel(ctx)
	defer stop()
	go watchSettings(watch, file, d.Reload)
	return d.Run(ctx)
}

// platformOf returns the platform that the settings name. The zero platform
// stands for laburnumpick's own interface.
func platformOf(set *settings.Settings, nw daemon.Network) daemon.Platform {
	if set.Platform.Kind != settings.KindTables {
		return daemon.Platform{}
	}
	calls := store.NewMeter(daemon.NewTransport(nw))
	cfg := platform.Config{
		URL: set.Platform.URL, Site: site.Name(set.VM.Site), FloorShare: set.Platform.FloorShare,
		Sureness: site.EjectionThreshold(set.Platform.EjectionThreshold), HTTP: &http.Client{Transport: calls},
	}
	for _, dc := range set.Platform.DataCentres {
		cfg.DataCentres = append(cfg.DataCentres, site.DataCentre(dc))
	}
	p := platform.New(cfg)
	p.Calls = calls
	return p
}

// Package command implements the operators' command line.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/google/uuid"

	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/site"
)

// Exit statuses.
const (
	statusFailed        = 1 // The call to the VM failed.
	statusRejected      = 3 // The fleet refused the command.
	statusIndeterminate = 4 // Unknown outcome: the command may have taken effect.
)

// callTimeout bounds one call to a VM.
const callTimeout = 15 * time.Second

// errRejected and errIndeterminate select the exit status.
var (
	errRejected      = errors.New("rejected")
	errIndeterminate = errors.New("unsure")
)

type cli struct {
	VM    string `name:"vm" help:"Operators' address of any VM, as host:port." env:"LABURNUMPICK_VM" default:"127.0.0.1:8082"`
	Token string `help:"Your token." env:"LABURNUMPICK_TOKEN"`

	Apply   applyCmd   `cmd:"" help:"Create or change objects from a YAML file."`
	Delete  deleteCmd  `cmd:"" help:"Delete an object."`
	Show    showCmd    `cmd:"" help:"Show a VM's view of the fleet."`
	Hold    holdCmd    `cmd:"" help:"Take a server out of service."`
	Restore restoreCmd `cmd:"" help:"Return a held server to service."`
	Free    freeCmd    `cmd:"" help:"Release a quarantined request."`
	Outcome outcomeCmd `cmd:"" help:"Show the outcome of the request with an idempotency key."`
	Stop    stopCmd    `cmd:"" help:"Stop the VM gracefully."`
	Digest  digestCmd  `cmd:"" help:"Print the digest of a client account's key read from standard input, for the keys of the account's document."`
	Where   whereCmd   `cmd:"" help:"Show where a request would go now, and why, without sending it."`
	Explain explainCmd `cmd:"" help:"Explain from log files what happened to a request or a server, and why."`
}

// Main runs the command line and exits.
func Main() {
	var c cli
	k := kong.Parse(&c, kong.Name("laburnumpick"), kong.Description("Controls and inspects a laburnumpick fleet."))
	client := fleetapi.NewOperatorClient(c.VM, c.Token, &http.Client{Timeout: callTimeout})
	k.BindTo(client, (*fleetapi.Operator)(nil))
	var err error
	if c.Token == "" && k.Command() != explainCommand && k.Command() != digestCommand {
		err = errors.New("no token: give --token or set LABURNUMPICK_TOKEN")
	} else {
		err = k.Run()
	}
	switch {
	case err == nil:
	case errors.Is(err, errRejected):
		exitWith(statusRejected, err)
	case errors.Is(err, errIndeterminate):
		exitWith(statusIndeterminate, err)
	default:
		exitWith(statusFailed, err)
	}
}

func exitWith(status int, err error) {
	fmt.Fprintln(os.Stderr, "laburnumpick:", err)
	os.Exit(status)
}

// verdictError converts the fleet's verdict on a command into an error that selects
// the exit status.
func verdictError(v, reason string) error {
	switch v {
	case "accepted":
		return nil
	case "rejected":
		return fmt.Errorf("%w: %s", errRejected, reason)
	default:
		return fmt.Errorf("%w: %s", errIndeterminate, reason)
	}
}

type applyCmd struct {
	File    string `arg:"" type:"existingfile" help:"YAML file with one object per document."`
	Command string `help:"Id of the command; it is safe to repeat a command with the same id."`
}

// Run applies the documents in the order of the file.
func (c *applyCmd) Run(op fleetapi.Operator) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	objects, err := site.ParseYAML(text)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	id := c.Command
	if id == "" {
		id = uuid.NewString()
	}
	for i, o := range objects {
		raw, err := site.EncodeJSON(o)
		if err != nil {
			return err
		}
		resp, err := op.Apply(context.Background(), &fleetapi.ApplyRequest{
			Command: fmt.Sprintf("%s/%d", id, i), Document: raw,
		})
		if err != nil {
			return err
		}
		if err := verdictError(resp.GetVerdict(), resp.GetReason()); err != nil {
			return fmt.Errorf("%s (command %s): %w", o.ID(), id, err)
		}
		fmt.Printf("%s accepted in version %d\n", o.ID(), resp.GetVersion())
	}
	return nil
}

type deleteCmd struct {
	Kind string `arg:"" enum:"service,rule,route,account" help:"Kind of the object."`
	Name string `arg:"" help:"Name of the object."`
}

// Run deletes one object.
func (c *deleteCmd) Run(op fleetapi.Operator) error {
	resp, err := op.Apply(context.Background(), &fleetapi.ApplyRequest{DeleteKind: c.Kind, DeleteName: c.Name})
	if err != nil {
		return err
	}
	return verdictError(resp.GetVerdict(), resp.GetReason())
}

type showCmd struct {
	What string `arg:"" enum:"servers,vms,suspects,journal,vm,account" help:"One of servers, vms, suspects, journal, vm, account."`
	Name string `arg:"" optional:"" help:"Name of the account."`
}

// Run prints a table.
func (c *showCmd) Run(op fleetapi.Operator) error {
	if c.What == "account" {
		return showAccount(op, c.Name)
	}
	view, err := op.Believe(context.Background(), &fleetapi.BelieveRequest{})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	printers := map[string]func(*tabwriter.Writer, *fleetapi.BelieveAnswer){
		"servers": printServers, "vms": printVMs, "suspects": printSuspects,
		"journal": printJournal, "vm": printVM,
	}
	printers[c.What](w, view)
	return w.Flush()
}

// printRow writes one row of a table. The writer reports a failed write when it
// is flushed.
func printRow(w *tabwriter.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	_, _ = io.WriteString(w, strings.Join(texts, "\t")+"\n")
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format("15:04:05.000") }

func printServers(w *tabwriter.Writer, view *fleetapi.BelieveAnswer) {
	printRow(w, "POOL", "SERVER", "STATE", "SINCE", "IN USE", "SLOTS", "SCORE", "LIMIT", "VMS PAUSED", "REASON")
	for _, p := range view.GetPools() {
		for _, s := range p.GetServers() {
			printRow(w, p.GetService(), s.GetName(), s.GetState(), formatTime(s.GetSinceUnixMs()),
				s.GetInUse(), s.GetSlots(), fmt.Sprintf("%.1f", s.GetScore()), formatLimit(s), s.GetPausedVms(), s.GetReason())
		}
	}
}

// formatLimit returns the limit on requests that a server names, to which VM, since
// when, and how many requests were granted against it.
func formatLimit(s *fleetapi.ServerView) string {
	if s.GetLimit() == nil {
		return "-"
	}
	return fmt.Sprintf("%g/s to %s at %s, %d granted", s.GetLimit().GetPerSecond(), s.GetLimitVm(), formatTime(s.GetLimitUnixMs()), s.GetLimitGrants())
}

func printVMs(w *tabwriter.Writer, view *fleetapi.BelieveAnswer) {
	printRow(w, "VM", "ADDRESS", "DATA CENTRE", "STATUS")
	for _, m := range view.GetMembers() {
		printRow(w, m.GetName(), m.GetAddress(), m.GetDataCentre(), m.GetStatus())
	}
}

func printSuspects(w *tabwriter.Writer, view *fleetapi.BelieveAnswer) {
	printRow(w, "FINGERPRINT", "REQUEST", "SERVERS LOST", "QUARANTINED", "UNTIL", "TRIALS")
	for _, s := range view.GetSuspects() {
		request := s.GetService() + " " + s.GetRequest()
		if s.GetIsClass() {
			request += " (all requests of the path)"
		}
		printRow(w, s.GetFingerprint(), request, formatLosses(s), s.GetBlocked(), formatTime(s.GetUntilUnixMs()), s.GetTrials())
	}
}

// formatLosses returns the servers that were lost, when each had started, the VMs that saw it and
// when.
func formatLosses(s *fleetapi.Suspect) string {
	if len(s.GetLosses()) == 0 { // Of a build that names only the servers.
		return fmt.Sprint(s.GetServers())
	}
	var out []string
	for _, l := range s.GetLosses() {
		text := l.GetServer()
		if l.GetStartedMs() > 0 {
			text += " started " + formatTime(l.GetStartedMs())
		}
		out = append(out, fmt.Sprintf("%s, seen by %s at %s", text, l.GetVm(), formatTime(l.GetAtUnixMs())))
	}
	return strings.Join(out, "; ")
}

func printJournal(w *tabwriter.Writer, view *fleetapi.BelieveAnswer) {
	printRow(w, "AT", "VM", "SUBJECT", "WHAT")
	for _, e := range view.GetJournal() {
		printRow(w, formatTime(e.GetAtUnixMs()), e.GetVm(), e.GetSubject(), e.GetText())
	}
}

func printVM(w *tabwriter.Writer, view *fleetapi.BelieveAnswer) {
	printRow(w, "VM", view.GetVm().GetName())
	printRow(w, "configuration version", view.GetCatalogVersion())
	printRow(w, "versions behind", view.GetCatalogBehind())
	printRow(w, "store unavailable for", time.Duration(view.GetStoreAwayMs())*time.Millisecond)
	printRow(w, "isolated", view.GetIsolated())
	printRow(w, "claim outcomes not yet stored", view.GetUnsettledClaims())
}

type holdCmd struct {
	Service string `arg:""`
	Server  string `arg:""`
	Reason  string `required:"" help:"Reason; it is recorded."`
	Force   bool   `help:"Ignore the service's floor; this is recorded."`
}

// Run takes a server out of service.
func (c *holdCmd) Run(op fleetapi.Operator) error {
	resp, err := op.Take(context.Background(), &fleetapi.TakeRequest{
		Service: c.Service, Server: c.Server, Reason: c.Reason, Forced: c.Force,
	})
	if err != nil {
		return err
	}
	return verdictError(resp.GetVerdict(), resp.GetReason())
}

type restoreCmd struct {
	Service string `arg:""`
	Server  string `arg:""`
}

// Run returns a held server to service.
func (c *restoreCmd) Run(op fleetapi.Operator) error {
	resp, err := op.Take(context.Background(), &fleetapi.TakeRequest{Service: c.Service, Server: c.Server, Back: true})
	if err != nil {
		return err
	}
	return verdictError(resp.GetVerdict(), resp.GetReason())
}

type freeCmd struct {
	Fingerprint string `arg:""`
}

// Run releases a quarantined request.
func (c *freeCmd) Run(op fleetapi.Operator) error {
	_, err := op.Free(context.Background(), &fleetapi.FreeRequest{Fingerprint: c.Fingerprint})
	return err
}

type outcomeCmd struct {
	Site    string `arg:""`
	Service string `arg:""`
	Key     string `arg:""`
	Account string `help:"Client account that sent the key."`
}

// Run prints the outcome of the request with a key.
func (c *outcomeCmd) Run(op fleetapi.Operator) error {
	resp, err := op.KeyOutcome(context.Background(), &fleetapi.KeyOutcomeRequest{Key: &fleetapi.OnceKey{
		Site: c.Site, Service: c.Service, Account: c.Account, Key: c.Key,
	}})
	if err != nil {
		return err
	}
	k := resp.GetKept()
	fmt.Println(resp.GetPhase(), k.GetOutcome(), k.GetStatus(), resp.GetDetail(), k.GetDetail())
	return nil
}

type stopCmd struct{}

// Run starts a graceful stop of the VM.
func (c *stopCmd) Run(op fleetapi.Operator) error {
	_, err := op.Stop(context.Background(), &fleetapi.StopRequest{})
	return err
}

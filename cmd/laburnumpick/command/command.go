// Package command is the operators' command line.
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
	statusFailed   = 1 // The VM could not be asked.
	statusRejected = 3 // The fleet refused the command.
	statusUnsure   = 4 // The command may have taken effect.
)

// callTimeout bounds one call to a VM.
const callTimeout = 15 * time.Second

// errRejected and errUnsure pick the exit status.
var (
	errRejected = errors.New("rejected")
	errUnsure   = errors.New("unsure")
)

type cli struct {
	VM    string `name:"vm" help:"Operators' address of any VM, as host:port." env:"LABURNUMPICK_VM" default:"127.0.0.1:8082"`
	Token string `help:"Your token." env:"LABURNUMPICK_TOKEN"`

	Apply   applyCmd   `cmd:"" help:"Create or change objects from a YAML file."`
	Delete  deleteCmd  `cmd:"" help:"Delete an object."`
	Show    showCmd    `cmd:"" help:"Show what a VM believes."`
	Hold    holdCmd    `cmd:"" help:"Take a server out of use."`
	Restore restoreCmd `cmd:"" help:"Let a held server back."`
	Free    freeCmd    `cmd:"" help:"Release a quarantined request."`
	Outcome outcomeCmd `cmd:"" help:"Tell what became of a once-only key."`
	Stop    stopCmd    `cmd:"" help:"Stop the VM gracefully."`
	Explain explainCmd `cmd:"" help:"Tell from logs what became of a request or a server, and why."`
}

// Main runs the command line and exits.
func Main() {
	var c cli
	k := kong.Parse(&c, kong.Name("laburnumpick"), kong.Description("Asks and commands a laburnumpick fleet."))
	client := fleetapi.NewOperatorClient(c.VM, c.Token, &http.Client{Timeout: callTimeout})
	k.BindTo(client, (*fleetapi.Operator)(nil))
	var err error
	if c.Token == "" && k.Command() != explainCommand {
		err = errors.New("no token: give --token or set LABURNUMPICK_TOKEN")
	} else {
		err = k.Run()
	}
	switch {
	case err == nil:
	case errors.Is(err, errRejected):
		fail(statusRejected, err)
	case errors.Is(err, errUnsure):
		fail(statusUnsure, err)
	default:
		fail(statusFailed, err)
	}
}

func fail(status int, err error) {
	fmt.Fprintln(os.Stderr, "laburnumpick:", err)
	os.Exit(status)
}

// verdict turns a verdict of the fleet into the error that picks the status.
func verdict(v, reason string) error {
	switch v {
	case "accepted":
		return nil
	case "rejected":
		return fmt.Errorf("%w: %s", errRejected, reason)
	default:
		return fmt.Errorf("%w: %s", errUnsure, reason)
	}
}

type applyCmd struct {
	File    string `arg:"" type:"existingfile" help:"Documents of objects."`
	Command string `help:"Id of the command; repeating an id is harmless."`
}

// Run applies each document in its order.
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
		a, err := op.Apply(context.Background(), &fleetapi.ApplyRequest{
			Command: fmt.Sprintf("%s/%d", id, i), Document: raw,
		})
		if err != nil {
			return err
		}
		if err := verdict(a.GetVerdict(), a.GetReason()); err != nil {
			return fmt.Errorf("%s (command %s): %w", o.ID(), id, err)
		}
		fmt.Printf("%s accepted in version %d\n", o.ID(), a.GetVersion())
	}
	return nil
}

type deleteCmd struct {
	Kind string `arg:"" enum:"service,rule,route,account" help:"Kind of the object."`
	Name string `arg:"" help:"Name of the object."`
}

// Run deletes one object.
func (c *deleteCmd) Run(op fleetapi.Operator) error {
	a, err := op.Apply(context.Background(), &fleetapi.ApplyRequest{DeleteKind: c.Kind, DeleteName: c.Name})
	if err != nil {
		return err
	}
	return verdict(a.GetVerdict(), a.GetReason())
}

type showCmd struct {
	What string `arg:"" enum:"servers,vms,suspects,journal,vm" help:"One of servers, vms, suspects, journal, vm."`
}

// Run prints a table.
func (c *showCmd) Run(op fleetapi.Operator) error {
	b, err := op.Believe(context.Background(), &fleetapi.BelieveRequest{})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	printers := map[string]func(*tabwriter.Writer, *fleetapi.BelieveAnswer){
		"servers": printServers, "vms": printVMs, "suspects": printSuspects,
		"journal": printJournal, "vm": printVM,
	}
	printers[c.What](w, b)
	return w.Flush()
}

// row writes one line of a table. A failed write shows when the table is
// flushed.
func row(w *tabwriter.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	_, _ = io.WriteString(w, strings.Join(texts, "\t")+"\n")
}

func clock(ms int64) string { return time.UnixMilli(ms).UTC().Format("15:04:05.000") }

func printServers(w *tabwriter.Writer, b *fleetapi.BelieveAnswer) {
	row(w, "POOL", "SERVER", "STATE", "SINCE", "IN USE", "SLOTS", "SCORE", "REASON")
	for _, p := range b.GetPools() {
		for _, s := range p.GetServers() {
			row(w, p.GetService(), s.GetName(), s.GetState(), clock(s.GetSinceUnixMs()),
				s.GetInUse(), s.GetSlots(), fmt.Sprintf("%.1f", s.GetScore()), s.GetReason())
		}
	}
}

func printVMs(w *tabwriter.Writer, b *fleetapi.BelieveAnswer) {
	row(w, "VM", "ADDRESS", "DATA CENTRE", "STATUS")
	for _, m := range b.GetMembers() {
		row(w, m.GetName(), m.GetAddress(), m.GetDataCentre(), m.GetStatus())
	}
}

func printSuspects(w *tabwriter.Writer, b *fleetapi.BelieveAnswer) {
	row(w, "FINGERPRINT", "REQUEST", "SERVERS LOST", "QUARANTINED", "UNTIL")
	for _, s := range b.GetSuspects() {
		row(w, s.GetFingerprint(), s.GetService()+" "+s.GetRequest(), s.GetServers(), s.GetBlocked(), clock(s.GetUntilUnixMs()))
	}
}

func printJournal(w *tabwriter.Writer, b *fleetapi.BelieveAnswer) {
	row(w, "AT", "VM", "SUBJECT", "WHAT")
	for _, e := range b.GetJournal() {
		row(w, clock(e.GetAtUnixMs()), e.GetVm(), e.GetSubject(), e.GetText())
	}
}

func printVM(w *tabwriter.Writer, b *fleetapi.BelieveAnswer) {
	row(w, "VM", b.GetVm().GetName())
	row(w, "configuration version", b.GetCatalogVersion())
	row(w, "versions behind", b.GetCatalogBehind())
	row(w, "store away", time.Duration(b.GetStoreAwayMs())*time.Millisecond)
	row(w, "isolated", b.GetIsolated())
	row(w, "claims the table lacks", b.GetUnsettledClaims())
}

type holdCmd struct {
	Service string `arg:""`
	Server  string `arg:""`
	Reason  string `required:"" help:"Why; it is recorded."`
	Force   bool   `help:"Even below the service's floor; it is recorded."`
}

// Run takes a server out of use.
func (c *holdCmd) Run(op fleetapi.Operator) error {
	a, err := op.Take(context.Background(), &fleetapi.TakeRequest{
		Service: c.Service, Server: c.Server, Reason: c.Reason, Forced: c.Force,
	})
	if err != nil {
		return err
	}
	return verdict(a.GetVerdict(), a.GetReason())
}

type restoreCmd struct {
	Service string `arg:""`
	Server  string `arg:""`
}

// Run lets a server back.
func (c *restoreCmd) Run(op fleetapi.Operator) error {
	a, err := op.Take(context.Background(), &fleetapi.TakeRequest{Service: c.Service, Server: c.Server, Back: true})
	if err != nil {
		return err
	}
	return verdict(a.GetVerdict(), a.GetReason())
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
	Account string `help:"The client account that sent the key."`
}

// Run prints what became of a key.
func (c *outcomeCmd) Run(op fleetapi.Operator) error {
	a, err := op.KeyOutcome(context.Background(), &fleetapi.KeyOutcomeRequest{Key: &fleetapi.OnceKey{
		Site: c.Site, Service: c.Service, Account: c.Account, Key: c.Key,
	}})
	if err != nil {
		return err
	}
	k := a.GetKept()
	fmt.Println(a.GetPhase(), k.GetOutcome(), k.GetStatus(), a.GetDetail(), k.GetDetail())
	return nil
}

type stopCmd struct{}

// Run starts a planned stop.
func (c *stopCmd) Run(op fleetapi.Operator) error {
	_, err := op.Stop(context.Background(), &fleetapi.StopRequest{})
	return err
}

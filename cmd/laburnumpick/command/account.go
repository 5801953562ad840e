package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"laburnumpick.org/pkg/fleetapi"
)

// showAccount prints the quota of a client account, its use and its parts.
func showAccount(op fleetapi.Operator, name string) error {
	if name == "" {
		return errors.New("name the account: laburnumpick show account NAME")
	}
	a, err := op.ShowAccount(context.Background(), &fleetapi.ShowAccountRequest{Name: name})
	if err != nil {
		return err
	}
	if !a.GetKnown() {
		return fmt.Errorf("the configuration contains no account %q", name)
	}
	return printAccount(os.Stdout, name, a)
}

func printAccount(out io.Writer, name string, a *fleetapi.ShowAccountAnswer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	printRow(w, "ACCOUNT", name)
	if a.GetRate() == 0 {
		printRow(w, "quota", "none")
		return w.Flush()
	}
	window := time.Duration(a.GetWindowMs()) * time.Millisecond
	taken, unknown := 0, 0
	for _, p := range a.GetParts() {
		taken += int(p.GetUsage().GetTaken())
		if p.GetUnknown() != "" {
			unknown++
		}
	}
	printRow(w, "quota", fmt.Sprintf("%g requests per second, burst %d", a.GetRate(), a.GetBurst()))
	printRow(w, "taken", fmt.Sprintf("%d in the last %v", taken, window))
	if unknown > 0 {
		printRow(w, "not counted", fmt.Sprintf("%d parts whose homes did not answer", unknown))
	}
	printRow(w, "PART", "HOME", "TOKENS", "TAKEN", "DEMAND", "KNOWN HERE")
	for _, p := range a.GetParts() {
		u := p.GetUsage()
		switch {
		case p.GetUnknown() != "":
			printRow(w, p.GetPart(), p.GetHome(), "?", "?", "?", p.GetUnknown())
		case u == nil:
			printRow(w, p.GetPart(), p.GetHome(), "-", 0, "0/s", p.GetHint())
		default:
			printRow(w, p.GetPart(), p.GetHome(), fmt.Sprintf("%.1f", u.GetTokens()), u.GetTaken(), fmt.Sprintf("%.1f/s", u.GetDemand()), p.GetHint())
		}
	}
	return w.Flush()
}

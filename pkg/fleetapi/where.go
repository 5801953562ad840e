package fleetapi

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/pool"
)

// WriteWhereJSON writes where a request would go as JSON.
func WriteWhereJSON(w io.Writer, m *WhereAnswer) error {
	raw, err := protojson.MarshalOptions{EmitDefaultValues: true}.Marshal(m)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, raw, "", "  "); err != nil { // protojson's own spacing is random.
		return err
	}
	out.WriteByte('\n')
	_, err = out.WriteTo(w)
	return err
}

// WriteWhere writes where a request would go, and why, for people to read.
func WriteWhere(w io.Writer, m *WhereAnswer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(cells ...string) {
		_, _ = io.WriteString(t, strings.Join(cells, "\t")+"\n") // Flush reports a failed write.
	}
	row("asked", fmt.Sprintf("VM %s, configuration version %d", m.GetVm(), m.GetCatalogVersion()))
	row("arrives in", m.GetDataCentre())
	row("account", describeAccount(m.GetAccount()))
	if r := m.GetRefusal(); r != nil {
		row("refused", r.GetKind()+": "+r.GetDetail())
		return t.Flush()
	}
	row("route", describeMatch(m))
	for _, p := range m.GetParts() {
		row("service", fmt.Sprintf("%s, %.4g%% of the requests", p.GetService(), 100*p.GetShare()))
		for _, passed := range p.GetPassedHomes() {
			row("passed over as home", passed)
		}
		writePart(row, p)
	}
	return t.Flush()
}

func describeAccount(a *AccountView) string {
	switch {
	case a.GetName() == "":
		return "none"
	case !a.GetKnown():
		return a.GetName() + ", not in the configuration"
	case a.GetQuotaRate() > 0:
		return fmt.Sprintf("%s, quota of %g requests/s with a burst of %d", a.GetName(), a.GetQuotaRate(), a.GetQuotaBurst())
	default:
		return a.GetName() + ", no quota"
	}
}

func describeMatch(m *WhereAnswer) string {
	class := "runs at most once"
	if m.GetRepeatable() {
		class = "may be repeated"
	}
	text := fmt.Sprintf("%s, priority %d, %s, up to %d servers, timeout %v",
		m.GetRule(), m.GetPriority(), class, m.GetAttempts(), fromMilliseconds(m.GetTimeoutMs()))
	if m.GetTargetMs() > 0 {
		text += fmt.Sprintf(", target %v", fromMilliseconds(m.GetTargetMs()))
	}
	return text
}

// writePart writes what the home of a service's pool would decide.
func writePart(row func(cells ...string), p *WherePart) {
	if p.GetProblem() != "" {
		row("decision", "not known: "+p.GetProblem())
		return
	}
	e, ok := ToExplanation(p.GetDecision())
	if !ok {
		row("decision", "not known: the reply contains none")
		return
	}
	row("home", fmt.Sprintf("%s, configuration version %d", p.GetHome(), e.Version))
	row("decision", describeDecision(e))
	if len(e.Candidates) == 0 {
		return
	}
	slices.SortStableFunc(e.Candidates, func(a, b pool.Candidate) int { return cmp.Compare(order(a), order(b)) })
	row("", "SERVER", "DATA CENTRE", "STATE", "IN USE", "VERDICT")
	for _, c := range e.Candidates {
		row("", string(c.Server.Name), string(c.Server.DataCentre), string(c.State), fmt.Sprintf("%d/%d", c.InUse, c.OpenSlots), verdict(c))
	}
}

// order sorts the chosen server first, then those without an obstacle.
func order(c pool.Candidate) int {
	switch {
	case c.Chosen:
		return 0
	case c.Obstacle == pool.Unobstructed:
		return 1
	default:
		return 2
	}
}

func describeDecision(e home.Explanation) string {
	switch d := e.Decision.(type) {
	case pool.Granted:
		kind := "at once"
		if d.Probe {
			kind = "at once, as a probe"
		}
		return fmt.Sprintf("%s %s; timeout of the attempt %v", d.Server.Name, kind, d.Timeout)
	case pool.Waiting:
		return fmt.Sprintf("queued behind %d of %d requests, for about %v", e.Ahead, e.Queued, e.Wait.Round(time.Millisecond))
	case pool.Refused:
		return fmt.Sprintf("refused, %s: %s; retry after %v", d.Kind, d.Detail, d.RetryAfter.Round(time.Millisecond))
	}
	return "not known"
}

// verdict says why a server is chosen or passed over.
func verdict(c pool.Candidate) string {
	switch {
	case c.Chosen:
		return "chosen"
	case c.Obstacle == pool.Unobstructed:
		return "free"
	default:
		return "passed over: " + string(c.Obstacle)
	}
}

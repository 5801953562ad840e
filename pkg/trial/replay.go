package trial

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/site"
)

// TraceCall is one caller's request of a recorded trace.
type TraceCall struct {
	ID         string           `json:"id"` // Requests with one id carry one mark.
	VM         int              `json:"vm"` // Place in the list of VMs, from 1.
	Account    site.AccountName `json:"account,omitempty"`
	Service    site.ServiceName `json:"service"`
	Method     string           `json:"method"`
	Path       string           `json:"path"`
	Key        string           `json:"key,omitempty"`
	Body       string           `json:"body,omitempty"`
	DeadlineMs int64            `json:"deadlineMs,omitempty"`
}

// TraceFault is something that happened between requests.
type TraceFault struct {
	Kind   FaultKind `json:"kind"`
	Target string    `json:"where,omitempty"`
	To     string    `json:"to,omitempty"`
	Factor float64   `json:"factor,omitempty"`
	Share  float64   `json:"share,omitempty"`
	ForMs  int64     `json:"forMs,omitempty"`
}

// TraceLine is one line of a recorded trace: a site, a call or a fault.
type TraceLine struct {
	AtMs  int64       `json:"atMs"`
	Site  string      `json:"site,omitempty"` // In the first line only.
	VMs   int         `json:"vms,omitempty"`  // In the first line only.
	Call  *TraceCall  `json:"call,omitempty"`
	Fault *TraceFault `json:"fault,omitempty"`
}

// ParseTrace reads a trace, a JSON object a line.
func ParseTrace(r io.Reader) ([]TraceLine, error) {
	var out []TraceLine
	sc := bufio.NewScanner(r)
	for n := 1; sc.Scan(); n++ {
		var l TraceLine
		if err := json.Unmarshal(sc.Bytes(), &l); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		out = append(out, l)
	}
	if len(out) == 0 || out[0].Site == "" || out[0].VMs < 1 {
		return nil, fmt.Errorf("the first line must name the site and the number of VMs")
	}
	return out, sc.Err()
}

// TraceResult is what became of one call of a trace.
type TraceResult struct {
	ID       string          `json:"id"`
	VM       int             `json:"vm"`
	Status   int             `json:"status"`
	Outcome  outcome.Outcome `json:"outcome"`
	Kind     outcome.Kind    `json:"kind,omitempty"`
	Replayed bool            `json:"replayed,omitempty"`
	Matches  bool            `json:"whole,omitempty"`
	Runs     int             `json:"runs"` // Of all calls with the id, at the end.
}

// Replay plays a trace on a fleet and returns what became of its calls, in the
// trace's order.
func (f *Fleet) Replay(ctx context.Context, lines []TraceLine) []TraceResult {
	var wg sync.WaitGroup
	vms := f.Serving()
	results := make([]TraceResult, len(lines))
	for i, l := range lines {
		at := time.Duration(l.AtMs) * time.Millisecond
		switch {
		case l.Call != nil:
			c, vm := l.Call.call(), vms[l.Call.VM-1]
			wg.Go(func() {
				time.Sleep(at)
				r := f.Call(ctx, vm, c)
				results[i] = TraceResult{
					ID: l.Call.ID, VM: l.Call.VM, Status: r.Status, Outcome: r.Outcome, Kind: r.Kind,
					Replayed: r.Replayed, Matches: r.Matches(c),
				}
			})
		case l.Fault != nil:
			fault := Fault{
				At: at, For: time.Duration(l.Fault.ForMs) * time.Millisecond, Kind: l.Fault.Kind,
				Target: l.Fault.Target, To: l.Fault.To, Factor: l.Fault.Factor, Share: l.Fault.Share,
			}
			wg.Go(func() {
				if err := fault.Run(f); err != nil {
					results[i] = TraceResult{ID: err.Error()}
				}
			})
		}
	}
	wg.Wait()
	runs := f.RunCounts()
	var out []TraceResult
	for _, r := range results {
		if r.ID != "" {
			r.Runs = runs[r.ID]
			out = append(out, r)
		}
	}
	return out
}

func (c *TraceCall) call() Call {
	return Call{
		Service: c.Service, Method: c.Method, Path: c.Path, Key: c.Key, Account: c.Account,
		Mark: c.ID, Body: c.Body, Deadline: time.Duration(c.DeadlineMs) * time.Millisecond,
	}
}

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

// TraceCall is a caller's request in a recorded trace.
type TraceCall struct {
	ID         string           `json:"id"` // Used as the mark; retries of a request share it.
	VM         int              `json:"vm"` // Position in the list of VMs, from 1.
	Account    site.AccountName `json:"account,omitempty"`
	Service    site.ServiceName `json:"service"`
	Method     string           `json:"method"`
	Path       string           `json:"path"`
	Key        string           `json:"key,omitempty"`
	Body       string           `json:"body,omitempty"`
	DeadlineMs int64            `json:"deadlineMs,omitempty"`
}

// TraceFault is a fault in a recorded trace. Its fields correspond to those of
// Fault.
type TraceFault struct {
	Kind   FaultKind `json:"kind"`
	Target string    `json:"where,omitempty"`
	To     string    `json:"to,omitempty"`
	Factor float64   `json:"factor,omitempty"`
	Share  float64   `json:"share,omitempty"`
	ForMs  int64     `json:"forMs,omitempty"`
}

// TraceLine is one line of a recorded trace. The first line names the site, each
// other line holds a call or a fault.
type TraceLine struct {
	AtMs  int64       `json:"atMs"`           // Milliseconds from the start of the replay.
	Site  string      `json:"site,omitempty"` // In the first line only.
	VMs   int         `json:"vms,omitempty"`  // In the first line only.
	Call  *TraceCall  `json:"call,omitempty"`
	Fault *TraceFault `json:"fault,omitempty"`
}

// ParseTrace reads a trace, which holds one JSON object per line.
func ParseTrace(r io.Reader) ([]TraceLine, error) {
	var out []TraceLine
	sc := bufio.NewScanner(r)
	for n := 1; sc.Scan(); n++ {
		var l TraceLine
		if err := json.Unmarshal(sc.Bytes(), &l); err != nil {
			return nil, fmt.Errorf("trace line %d: %w", n, err)
		}
		out = append(out, l)
	}
	if len(out) == 0 || out[0].Site == "" || out[0].VMs < 1 {
		return nil, fmt.Errorf("the first line of the trace must hold site, and vms of at least 1")
	}
	return out, sc.Err()
}

// TraceResult is the result of a call in a trace.
type TraceResult struct {
	ID       string          `json:"id"`
	VM       int             `json:"vm"`
	Status   int             `json:"status"`
	Outcome  outcome.Outcome `json:"outcome"`
	Kind     outcome.Kind    `json:"kind,omitempty"`
	Replayed bool            `json:"replayed,omitempty"`
	Matches  bool            `json:"whole,omitempty"`
	Runs     int             `json:"runs"` // Runs of all calls with this ID by the end of the replay.
}

// Replay plays a trace on a fleet and returns the results of its calls in the
// order of the trace. A fault that cannot be injected adds a result whose ID is
// the error.
func (f *Fleet) Replay(ctx context.Context, lines []TraceLine) []TraceResult {
	var wg sync.WaitGroup
	vms := f.Serving()
	results := make([]TraceResult, len(lines))
	for i, l := range lines {
		delay := time.Duration(l.AtMs) * time.Millisecond
		switch {
		case l.Call != nil:
			c, vm := l.Call.toCall(), vms[l.Call.VM-1]
			wg.Go(func() {
				time.Sleep(delay)
				r := f.Call(ctx, vm, c)
				results[i] = TraceResult{
					ID: l.Call.ID, VM: l.Call.VM, Status: r.Status, Outcome: r.Outcome, Kind: r.Kind,
					Replayed: r.Replayed, Matches: r.Matches(c),
				}
			})
		case l.Fault != nil:
			fault := Fault{
				At: delay, For: time.Duration(l.Fault.ForMs) * time.Millisecond, Kind: l.Fault.Kind,
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

// toCall returns the call to send.
func (c *TraceCall) toCall() Call {
	return Call{
		Service: c.Service, Method: c.Method, Path: c.Path, Key: c.Key, Account: c.Account,
		Mark: c.ID, Body: c.Body, Deadline: time.Duration(c.DeadlineMs) * time.Millisecond,
	}
}

package trial

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"laburnumpick.org/pkg/entry"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/standin"
)

// Call is a request of a caller.
type Call struct {
	Service      site.ServiceName
	Method       string
	Path         string
	Key          string // Idempotency key.
	Account      site.AccountName
	Mark         string // Identifies the request in the servers' records of runs.
	Body         string
	Size         int           // Bytes of the response body to ask for; 0 for the shortest.
	Deadline     time.Duration // 0 for the service's default.
	Header       http.Header   // Further headers, written as they are.
	FirstAttempt bool          // The caller declares that it has not sent the key before.
}

// callerTimeout is how long a caller waits for a response from a VM.
const callerTimeout = 30 * time.Second

// Reply is the response, or the error, that a caller received.
type Reply struct {
	Err          error // The connection failed, so the outcome is unknown.
	Status       int
	Outcome      outcome.Outcome
	Kind         outcome.Kind
	RetryAfterMs string // Value of outcome.HeaderRetryMs, or "".
	Replayed     bool   // The VM sent the stored response of an earlier attempt.
	Header       http.Header
	Body         []byte
	Duration     time.Duration
}

// Matches reports whether the reply holds the complete, correct response to the
// call.
func (r Reply) Matches(c Call) bool {
	return r.Err == nil && bytes.Equal(r.Body, standin.ResponseBody(c.Mark, c.Size))
}

// Call sends a request through a VM, as a caller behind the load balancer does.
func (f *Fleet) Call(ctx context.Context, vm *VM, c Call) Reply {
	return Send(ctx, &http.Client{Transport: f.CallerTransport()}, vm.Daemon.Addresses().Callers, c)
}

// Send sends a call to the address on which a VM accepts callers.
func Send(ctx context.Context, hc *http.Client, address string, c Call) Reply {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	start := time.Now()
	req, err := c.request(ctx, address)
	if err != nil {
		return Reply{Err: err}
	}
	resp, err := hc.Do(req)
	if err != nil {
		return Reply{Err: err, Duration: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return Reply{
		Err: err, Status: resp.StatusCode, Body: body, Duration: time.Since(start), Header: resp.Header,
		Outcome:      outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)),
		Kind:         outcome.Kind(resp.Header.Get(outcome.HeaderKind)),
		RetryAfterMs: resp.Header.Get(outcome.HeaderRetryMs),
		Replayed:     resp.Header.Get(outcome.HeaderReplayed) == "true",
	}
}

// request builds the HTTP request. Its body cannot be rewound, so the HTTP client
// never retries it by itself.
func (c Call) request(ctx context.Context, address string) (*http.Request, error) {
	u := "http://" + address + c.Path
	if c.Size > 0 {
		u += fmt.Sprintf("?size=%d", c.Size)
	}
	var body io.Reader
	if c.Body != "" {
		body = io.NopCloser(bytes.NewReader([]byte(c.Body)))
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, u, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.Body))
	req.Host = string(c.Service)
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	set(KeyHeader, c.Key)
	set(entry.HeaderAccount, string(c.Account))
	set(standin.HeaderMark, c.Mark)
	if c.Deadline > 0 {
		set(entry.HeaderDeadlineMs, fmt.Sprint(c.Deadline.Milliseconds()))
	}
	if c.FirstAttempt {
		set(entry.HeaderFirstAttempt, "true")
	}
	for n, v := range c.Header {
		req.Header[n] = v
	}
	return req, nil
}

// ArrivalsOf returns, for each server of a service, when it began to run requests.
func (f *Fleet) ArrivalsOf(n site.ServiceName) [][]time.Time {
	var out [][]time.Time
	for _, name := range f.Plan.Service(n).ServerNames() {
		var at []time.Time
		for _, r := range f.Servers[name].Runs() {
			at = append(at, r.At)
		}
		out = append(out, at)
	}
	return out
}

// RunCounts returns how many times the servers ran the requests with each mark.
func (f *Fleet) RunCounts() map[string]int {
	runs := make(map[string]int)
	for _, s := range f.Servers {
		for _, r := range s.Runs() {
			runs[r.Mark]++
		}
	}
	return runs
}

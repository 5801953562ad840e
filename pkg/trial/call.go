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

// Call is one caller's request.
type Call struct {
	Service      site.ServiceName
	Method       string
	Path         string
	Key          string
	Account      site.AccountName
	Mark         string
	Body         string
	Size         int // Of the answer's body.
	Deadline     time.Duration
	FirstAttempt bool // The caller says that it never sent the key before.
}

// callerPatience is how long a caller waits for a VM that says nothing.
const callerPatience = 30 * time.Second

// Reply is what the caller got.
type Reply struct {
	Err      error // The connection broke; nothing is known.
	Status   int
	Outcome  outcome.Outcome
	Kind     outcome.Kind
	RetryMs  string
	Replayed bool
	Header   http.Header
	Body     []byte
	Took     time.Duration
}

// Matches reports whether the reply is the whole answer to the call's own mark.
func (r Reply) Matches(c Call) bool {
	return r.Err == nil && bytes.Equal(r.Body, standin.ResponseBody(c.Mark, c.Size))
}

// Call sends a request through a VM, as a caller behind the balancer.
func (f *Fleet) Call(ctx context.Context, vm *VM, c Call) Reply {
	return Send(ctx, &http.Client{Transport: f.CallerTransport()}, vm.Daemon.Addresses().Callers, c)
}

// Send sends a call to a VM's address for callers.
func Send(ctx context.Context, hc *http.Client, address string, c Call) Reply {
	ctx, cancel := context.WithTimeout(ctx, callerPatience)
	defer cancel()
	start := time.Now()
	req, err := c.request(ctx, address)
	if err != nil {
		return Reply{Err: err}
	}
	resp, err := hc.Do(req)
	if err != nil {
		return Reply{Err: err, Took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return Reply{
		Err: err, Status: resp.StatusCode, Body: body, Took: time.Since(start), Header: resp.Header,
		Outcome:  outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)),
		Kind:     outcome.Kind(resp.Header.Get(outcome.HeaderKind)),
		RetryMs:  resp.Header.Get(outcome.HeaderRetryMs),
		Replayed: resp.Header.Get(outcome.HeaderReplayed) == "true",
	}
}

// request builds the HTTP request. Its body cannot be sent a second time.
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
	return req, nil
}

// RunCounts returns how often each mark ran on any server.
func (f *Fleet) RunCounts() map[string]int {
	runs := make(map[string]int)
	for _, s := range f.Servers {
		for _, r := range s.Runs() {
			runs[r.Mark]++
		}
	}
	return runs
}

package trial_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/settings"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/trial"
)

// TestMalformedInput sends raw bytes to a VM. Each input gets the error response
// that fits, none reaches a server, and the VM still serves other requests.
func TestMalformedInput(t *testing.T) {
	const ok = "Host: packshelf\r\nConnection: close\r\n"
	cases := []struct {
		name, raw string
		status    int
		kind      outcome.Kind
	}{
		{"not HTTP", "\x16\x03\x01 hello\r\n\r\n", 400, outcome.Malformed},
		{"missing host", "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", 400, outcome.Malformed},
		{"unknown host", "GET / HTTP/1.1\r\nHost: nowhere\r\nConnection: close\r\n\r\n", 404, outcome.NoSuchService},
		{"duplicate Content-Length", "POST / HTTP/1.1\r\n" + ok + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400, outcome.Malformed},
		{"invalid Content-Length", "POST / HTTP/1.1\r\n" + ok + "Content-Length: -3\r\n\r\n", 400, outcome.Malformed},
		{"both Content-Length and chunked (request smuggling)", "POST / HTTP/1.1\r\n" + ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: packshelf\r\n\r\n", 400, outcome.Malformed},
		{"bare LF line ends", "GET / HTTP/1.1\nHost: packshelf\nConnection: close\n\n", 400, outcome.Malformed},
		{"folded header line", "GET / HTTP/1.1\r\n" + ok + "X: a\r\n b\r\n\r\n", 400, outcome.Malformed},
		{"unsupported transfer coding", "POST / HTTP/1.1\r\n" + ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400, outcome.Malformed},
		{"invalid chunk size", "POST / HTTP/1.1\r\n" + ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, outcome.Malformed},
		{"header over the limit", "GET / HTTP/1.1\r\n" + ok + "X: " + strings.Repeat("x", 40<<10) + "\r\n\r\n", 431, outcome.HeaderTooLarge},
		{"header far over the limit", "GET / HTTP/1.1\r\n" + ok + "X: " + strings.Repeat("x", 400<<10) + "\r\n\r\n", 431, outcome.HeaderTooLarge},
		{"upgrade", "GET / HTTP/1.1\r\nHost: packshelf\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", 400, outcome.Malformed},
		{"body over the limit", "POST / HTTP/1.1\r\n" + ok + "Content-Length: 2000000\r\n\r\n" + strings.Repeat("b", 2_000_000), 413, outcome.BodyTooLarge},
		{"incomplete body", "POST / HTTP/1.1\r\n" + ok + "Content-Length: 10\r\n\r\nabc", 408, outcome.RequestTimeout},
		{"incomplete header", "GET / HTTP/1.1\r\nHost: packsh", 408, outcome.RequestTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, "tt-north", trial.Options{VMs: 2, Seed: 1}, func(t *testing.T, f *trial.Fleet) {
				nc, err := f.Net.DialFrom(bg, "caller", f.VMs[0].Daemon.Addresses().Callers)
				assert.NilError(t, err)
				defer func() { _ = nc.Close() }()
				assert.NilError(t, nc.SetDeadline(time.Now().Add(30*time.Second)))
				_, err = io.WriteString(nc, c.raw)
				assert.NilError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
				assert.NilError(t, err)
				assert.NilError(t, resp.Body.Close())
				assert.Equal(t, resp.StatusCode, c.status)
				assert.Equal(t, resp.Header.Get(outcome.HeaderKind), string(c.kind))
				assertOutcome(t, f.Call(bg, f.VMs[0], newRead("after")), outcome.Answered, "")
				for mark := range f.RunCounts() {
					assert.Equal(t, mark, "after")
				}
			})
		})
	}
}

// TestRequestLimits checks the limits of requests in flight, per client account and
// per VM. Requests over a limit are refused promptly, as not run.
func TestRequestLimits(t *testing.T) {
	o := trial.Options{VMs: 2, Seed: 1, EditSettings: func(s *settings.Settings) {
		s.Limits.Requests = 3
		s.Limits.Account = settings.Account{Rate: 1000, Burst: 1000, InFlight: 2}
	}}
	withFleet(t, "tt-north", o, func(t *testing.T, f *trial.Fleet) {
		for _, s := range f.Servers {
			s.SetFaults(standin.Faults{Unresponsive: true})
		}
		send := func(account string, n int) (kinds map[outcome.Kind]int) {
			kinds = map[outcome.Kind]int{}
			replies := make(chan trial.Reply, n)
			for i := range n {
				c := newRead(fmt.Sprintf("%s-%d", account, i))
				c.Account, c.Deadline = site.AccountName(account), time.Second
				go func() { replies <- f.Call(bg, f.VMs[0], c) }()
			}
			for range n {
				r := <-replies
				kinds[r.Kind]++
				if r.Kind == outcome.AccountLimit || r.Kind == outcome.Overload {
					assert.Equal(t, r.Outcome, outcome.NotRun)
					assert.Assert(t, r.RetryAfterMs != "" && r.Duration < 100*time.Millisecond)
				}
			}
			return kinds
		}
		assert.Equal(t, send("one", 3)[outcome.AccountLimit], 1)
		both := make(chan map[outcome.Kind]int, 2)
		go func() { both <- send("one", 2) }()
		go func() { both <- send("two", 2) }()
		kinds1, kinds2 := <-both, <-both
		assert.Equal(t, kinds1[outcome.Overload]+kinds2[outcome.Overload], 1, "replies by kind: %v and %v", kinds1, kinds2)
	})
}

// TestConnectionLimit checks that a connection over the limit gets a refusal, and
// that closing connections makes room for new ones.
func TestConnectionLimit(t *testing.T) {
	o := trial.Options{VMs: 1, Seed: 1, EditSettings: func(s *settings.Settings) { s.Limits.Connections = 3 }}
	withFleet(t, "tt-north", o, func(t *testing.T, f *trial.Fleet) {
		var open []net.Conn
		for range 3 {
			nc, err := f.Net.DialFrom(bg, "caller", f.VMs[0].Daemon.Addresses().Callers)
			assert.NilError(t, err)
			open = append(open, nc)
		}
		r := f.Call(bg, f.VMs[0], newRead("too many"))
		assertOutcome(t, r, outcome.NotRun, outcome.Overload)
		assert.Equal(t, r.Header.Get("Retry-After"), "1")
		for _, nc := range open {
			assert.NilError(t, nc.Close())
		}
		time.Sleep(time.Second)
		assertOutcome(t, f.Call(bg, f.VMs[0], newRead("now")), outcome.Answered, "")
		assert.Equal(t, f.RunCounts()["too many"], 0)
	})
}

// TestCallerDisconnects cancels a request. The server must not keep working on it.
func TestCallerDisconnects(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		for _, s := range f.Servers {
			s.SetFaults(standin.Faults{SlowFactor: 1000})
		}
		ctx, cancel := context.WithTimeout(bg, 200*time.Millisecond)
		defer cancel()
		r := f.Call(ctx, f.VMs[0], newRead("gone"))
		assert.Assert(t, r.Err != nil)
		time.Sleep(time.Second)
		for _, s := range f.Servers {
			assert.Equal(t, s.InFlight(), 0, "server %s still runs a canceled request", s.Name())
		}
	})
}

// TestDeadlinePropagation checks that a server is sent the time left until the
// caller's deadline, and that the caller gets a reply by then.
func TestDeadlinePropagation(t *testing.T) {
	withFleet(t, "tt-north", smallFleet(), func(t *testing.T, f *trial.Fleet) {
		for _, s := range f.Servers {
			s.SetFaults(standin.Faults{Unresponsive: true})
		}
		c := newVote("late")
		c.Deadline = 400 * time.Millisecond
		r := f.Call(bg, f.VMs[0], c)
		assertOutcome(t, r, outcome.Unknown, outcome.ServerTimeout)
		assert.Assert(t, r.Duration < 600*time.Millisecond, "%v", r.Duration)
		left := time.Duration(0)
		for _, s := range f.Servers {
			left = max(left, s.LastDeadline())
		}
		assert.Assert(t, left > 300*time.Millisecond && left <= 400*time.Millisecond, "%v", left)
	})
}

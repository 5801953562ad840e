package egress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/journal"
	"laburnumpick.org/pkg/roster"
)

// TestRequestThatMustNotBeSentAsksNobody guards against a request that its own VM must not send
// any more, since the server has told it so or the time is over, and that is offered to one VM
// after the other and then told as a server that no VM reaches.
func TestRequestThatMustNotBeSentAsksNobody(t *testing.T) {
	vms := newVMs(6)
	dialed := 0
	s := NewSender(Config{
		Self: vms[0], Rand: rand.New(rand.NewPCG(1, 2)), VMs: func() []roster.VM { return vms },
		Servers: func() []Target { return nil }, Journal: journal.New("vm-0", 10), Scope: tally.NoopScope,
		Dial: func(_ context.Context, address string) (net.Conn, error) {
			if address == "server:80" {
				return nil, syscall.ECONNREFUSED
			}
			dialed++
			near, _ := net.Pipe()
			return near, nil
		},
	})
	withheld := errors.New("the server wants no requests")
	a := &Attempt{
		Target:  target(1),
		Request: &backend.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}, ID: "1"},
		Options: backend.Options{BeforeWrite: func(time.Time) error { return withheld }},
	}
	a.Target.Server.Address = "server:80"
	_, _, err := s.Send(context.Background(), a)
	assert.ErrorIs(t, err, withheld)
	assert.Equal(t, dialed, 1)
}

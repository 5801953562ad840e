package dispatch

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// TestFailureTellsThatTheCallerLeft has a caller leave while a server works on its
// request. That is not the server's doing, and must not be told so.
func TestFailureTellsThatTheCallerLeft(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	link := backend.NewLink("server:80", func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				leave()
			}
		}()
		return near, nil
	})
	r := &backend.Request{Method: http.MethodGet, URL: &url.URL{Path: "/packs"}, Host: "packshelf", Header: http.Header{}, ID: "1"}
	_, err := link.Send(ctx, r, backend.Options{})
	tried := &try{}
	assert.Assert(t, errors.As(err, &tried.err))
	assert.Equal(t, tried.failure().Kind, outcome.CallerLeft)
	assert.Equal(t, tried.failure().Outcome(), outcome.Unknown)
}

// TestResultNamesTheServerThatAnswered has one server answer with a failure while
// another one, which stays silent, is tried as well. The answer that stands is the
// first one's, and so must be the name in the account.
func TestResultNamesTheServerThatAnswered(t *testing.T) {
	tried := func(n site.ServerName) *try {
		return &try{grant: pool.Granted{Server: site.Server{Name: n}, MayRetry: true}}
	}
	erring, silent := tried("erring"), tried("silent")
	erring.answer = &backend.Answer{Status: http.StatusInternalServerError}
	silent.err = &backend.Error{Stage: backend.Sent}
	r := &race{res: &Result{}, running: []*try{erring, silent}}
	assert.Assert(t, r.take(erring) == nil)
	assert.Assert(t, r.take(silent) == nil)
	assert.Equal(t, r.end(), erring.answer)
	assert.Equal(t, r.res.Server, site.ServerName("erring"))
}

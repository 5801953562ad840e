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
	_, err := link.Send(ctx, r, backend.Options{}) //nolint:bodyclose // There is no answer.
	tried := &try{}
	assert.Assert(t, errors.As(err, &tried.err))
	assert.Equal(t, tried.failure().Kind, outcome.CallerLeft)
	assert.Equal(t, tried.failure().Outcome(), outcome.Unknown)
}

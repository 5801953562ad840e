package egress

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/buffer"
	"laburnumpick.org/pkg/site"
)

// newCall returns a call that can be sent.
func newCall(target string) *call {
	u, _ := url.ParseRequestURI(target)
	return &call{
		from: "vm-1", left: time.Second, newConn: true,
		target:  Target{"s", site.Server{Name: "s-1", Address: "10.0.0.1:80", StartedMs: 5}},
		request: &backend.Request{Method: "PUT", URL: u, Host: "shop.example", Header: http.Header{"X-Own": {"1", "2"}}, Body: buffer.NewBody([]byte("b"))},
	}
}

// TestCallsArriveAsTheyWereSent guards against requests that change on their way through another
// VM, and against headers of VMs that reach a server.
func TestCallsArriveAsTheyWereSent(t *testing.T) {
	for _, target := range []string{"/", "/a/b?c=d", "/a%2Fb", "/a?", "/%zz", "/a b"[:2], "/ü"} {
		c := newCall("/x")
		c.request.URL = &url.URL{Opaque: target}
		r := httptest.NewRequest(http.MethodPost, PathAttempt, nil)
		r.Header = c.header()
		got, err := parseCall(r, c.request.Body)
		assert.NilError(t, err, target)
		assert.Equal(t, got.request.URL.RequestURI(), target)
		assert.Equal(t, got.request.Method, "PUT")
		assert.Equal(t, got.request.Host, "shop.example")
		assert.DeepEqual(t, got.request.Header, http.Header{"X-Own": {"1", "2"}})
		assert.Equal(t, got.target, c.target)
		assert.Equal(t, got.left, c.left)
		assert.Assert(t, got.newConn)
	}
}

// FuzzParseCall guards against calls that bring a VM down, or that put bytes of their own into
// the first line of a request.
func FuzzParseCall(f *testing.F) {
	f.Add("GET", "/a?b", "1000", "5", "true")
	f.Add("GET /x HTTP/1.1\r\n", "//x", "-1", "", "perhaps")
	f.Add("GET /x", "/a", "1000", "5", "true")
	f.Add("GET", "/a HTTP/1.1\r\nX: y", "1000", "5", "true")
	f.Add("", "http://h/x", "9223372036854775807", "x", "1")
	f.Fuzz(func(t *testing.T, method, target, left, started, newConn string) {
		r := httptest.NewRequest(http.MethodPost, PathAttempt, nil)
		for n, v := range map[string]string{
			headerMethod: method, headerTarget: target, headerLeftMs: left, headerStartedMs: started, headerNewConn: newConn,
		} {
			r.Header.Set(n, v)
		}
		c, err := parseCall(r, nil)
		if err != nil {
			return
		}
		assert.Equal(t, c.request.URL.RequestURI(), target)
		assert.Assert(t, !strings.ContainsAny(c.request.Method+target, " \r\n\t"))
		assert.Assert(t, c.left > 0 && c.left <= maxLeft)
	})
}

// TestRepliesWithoutAResult guards against a response of something else than the handler of
// calls that is taken for a server's.
func TestRepliesWithoutAResult(t *testing.T) {
	assert.Equal(t, resultOf(http.Header{}), Malformed)
	assert.Equal(t, resultOf(http.Header{headerResult: {"great"}}), Malformed)
	for _, status := range []string{"", "99", "1000", "ok", "-200", "000", "099", "100", "199", "600", "999", "+200", "+20", "0200", " 200"} {
		_, _, err := serverHeader(http.Header{headerStatus: {status}})
		assert.Check(t, err != nil, status)
	}
	for _, status := range []string{"200", "418", "599"} {
		_, _, err := serverHeader(http.Header{headerStatus: {status}})
		assert.Check(t, err, status)
	}
}

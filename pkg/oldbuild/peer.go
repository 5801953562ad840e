package oldbuild

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Transport returns a transport of calls that a VM of the build makes. Calls that the
// build does not have are not sent.
func (b *Build) Transport(next http.RoundTripper) http.RoundTripper { return &transport{b, next} }

type transport struct {
	build *Build
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !isCall(r.URL.Path) {
		return t.next.RoundTrip(r)
	}
	m := t.build.method(r.URL.Path)
	if m == nil {
		if r.Body != nil {
			_ = r.Body.Close() // Nothing is sent.
		}
		return nil, fmt.Errorf("the earlier build does not make the call %s", r.URL.Path)
	}
	r = r.Clone(r.Context())
	body, err := translateBody(m.Input(), r.Body)
	if err != nil {
		return nil, err
	}
	r.Body, r.ContentLength, r.GetBody = io.NopCloser(bytes.NewReader(body)), int64(len(body)), nil
	resp, err := t.next.RoundTrip(r)
	if err != nil || resp.StatusCode != http.StatusOK {
		return resp, err
	}
	reply, err := translateBody(m.Output(), resp.Body)
	if err != nil {
		return nil, err
	}
	resp.Body, resp.ContentLength = io.NopCloser(bytes.NewReader(reply)), int64(len(reply))
	resp.Header.Set("Content-Length", strconv.Itoa(len(reply)))
	return resp, nil
}

// translateBody reads a message and returns it as the build encodes it.
func translateBody(d protoreflect.MessageDescriptor, body io.ReadCloser) ([]byte, error) {
	raw, err := io.ReadAll(body)
	_ = body.Close() // Read to its end, or the error is returned.
	if err != nil {
		return nil, err
	}
	return Translate(d, raw)
}

// Handler returns a handler of calls to a VM of the build.
func (b *Build) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(w, r, next) })
}

func (b *Build) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	m := b.method(r.URL.Path)
	if m == nil {
		_ = twirp.WriteError(w, twirp.NewError(twirp.BadRoute, fmt.Sprintf("no handler for path %q", r.URL.Path)))
		return
	}
	body, err := translateBody(m.Input(), r.Body)
	if err != nil {
		_ = twirp.WriteError(w, twirp.NewError(twirp.Malformed, "the protobuf request could not be decoded"))
		return
	}
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	reply := &replyRecorder{header: make(http.Header), status: http.StatusOK}
	next.ServeHTTP(reply, r)
	out := reply.body.Bytes()
	if reply.status == http.StatusOK {
		if out, err = Translate(m.Output(), out); err != nil {
			_ = twirp.WriteError(w, twirp.InternalErrorWith(err))
			return
		}
	}
	reply.writeTo(w, out)
}

// replyRecorder keeps a reply until it has been translated.
type replyRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *replyRecorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *replyRecorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *replyRecorder) Write(p []byte) (int, error) { return r.body.Write(p) }

// writeTo sends the reply with another body.
func (r *replyRecorder) writeTo(w http.ResponseWriter, body []byte) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	_, _ = w.Write(body) // On failure the VM that called sees a truncated reply.
}

package dispatch

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"laburnumpick.org/pkg/backend"
)

// WriteBody writes the whole body of a response, including its remainder.
func WriteBody(w io.Writer, resp *backend.Response) error {
	if _, err := w.Write(resp.Body); err != nil {
		err = errors.Join(err, closeRemainder(resp))
		return fmt.Errorf("write response body: %w", err)
	}
	if resp.BodyRemainder == nil {
		return nil
	}
	_, err := io.Copy(w, resp.BodyRemainder)
	return errors.Join(err, closeRemainder(resp))
}

func closeRemainder(resp *backend.Response) error {
	if resp.BodyRemainder == nil {
		return nil
	}
	return resp.BodyRemainder.Close()
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// CopyResponseHeader copies the header of a response and sets Content-Length if
// the length is known. The response to a HEAD request keeps its Content-Length.
func CopyResponseHeader(dst http.Header, resp *backend.Response) {
	length := resp.Header.Get("Content-Length")
	CopyHeader(dst, resp.Header)
	switch {
	case resp.BodyRemainder != nil || resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified:
	case len(resp.Body) == 0 && length != "":
		dst.Set("Content-Length", length)
	default:
		dst.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
}

// CopyHeader copies the end-to-end headers. It omits hop-by-hop headers, headers
// that the Connection header names, and the fleet's internal headers.
func CopyHeader(dst, src http.Header) {
	named := make(map[string]bool)
	for _, line := range src.Values("Connection") {
		for _, n := range strings.Split(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	for n, v := range src {
		if !named[n] && !hopByHopHeaders[n] && !internalHeaders[n] {
			dst[n] = v
		}
	}
}

// internalHeaders belong to the fleet's protocols with callers and backend
// servers. They are set separately on each side and never forwarded, so that
// neither side can forge them.
var internalHeaders = map[string]bool{
	"Laburnumpick-Account": true, "Laburnumpick-Ask-At": true, backend.HeaderDeadlineMs: true,
	"Laburnumpick-First-Attempt": true, "Laburnumpick-Kind": true, "Laburnumpick-Outcome": true,
	backend.HeaderRefused: true, "Laburnumpick-Replayed": true, backend.HeaderRequestID: true,
	"Laburnumpick-Retry-After-Ms": true,
}

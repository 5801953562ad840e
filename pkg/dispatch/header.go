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

// WriteBody writes an answer's body to its end.
func WriteBody(w io.Writer, a *backend.Response) error {
	if _, err := w.Write(a.Body); err != nil {
		err = errors.Join(err, closeRest(a))
		return fmt.Errorf("the reader went away: %w", err)
	}
	if a.BodyRemainder == nil {
		return nil
	}
	_, err := io.Copy(w, a.BodyRemainder)
	return errors.Join(err, closeRest(a))
}

func closeRest(a *backend.Response) error {
	if a.BodyRemainder == nil {
		return nil
	}
	return a.BodyRemainder.Close()
}

// hopByHop are the header lines that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// CopyResponseHeader copies an answer's header and sets the length where it is
// known. The answer to a HEAD request keeps the length that it tells of.
func CopyResponseHeader(dst http.Header, a *backend.Response) {
	length := a.Header.Get("Content-Length")
	CopyHeader(dst, a.Header)
	switch {
	case a.BodyRemainder != nil || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified:
	case len(a.Body) == 0 && length != "":
		dst.Set("Content-Length", length)
	default:
		dst.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
}

// CopyHeader copies the lines that go from end to end: not those that concern
// one connection only, nor those that the Connection line names, nor the
// fleet's own.
func CopyHeader(dst, src http.Header) {
	named := make(map[string]bool)
	for _, line := range src.Values("Connection") {
		for _, n := range strings.Split(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	for n, v := range src {
		if !named[n] && !hopByHop[n] && !internal[n] {
			dst[n] = v
		}
	}
}

// internal are the lines of the fleet's own contract with callers and servers.
// They are made anew on each side, so that nobody can feign them.
var internal = map[string]bool{
	"Laburnumpick-Account": true, "Laburnumpick-Ask-At": true, backend.HeaderDeadlineMs: true,
	"Laburnumpick-First-Attempt": true, "Laburnumpick-Kind": true, "Laburnumpick-Outcome": true,
	backend.HeaderRefused: true, "Laburnumpick-Replayed": true, backend.HeaderRequestID: true,
	"Laburnumpick-Retry-After-Ms": true,
}

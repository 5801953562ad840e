package dispatch

import (
	"cmp"
	"net/http"
	"strconv"

	"laburnumpick.org/pkg/backend"
)

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

// CopyHeader copies the end-to-end headers without the fleet's internal ones.
func CopyHeader(dst, src http.Header) {
	endToEnd := make(http.Header, len(src))
	backend.CopyEndToEnd(endToEnd, src)
	for n, v := range endToEnd {
		if !internalHeaders[n] {
			dst[n] = v
		}
	}
}

// internalHeaders belong to the fleet's protocols with callers and backend
// servers. They are set separately on each side and never forwarded, so that
// neither side can forge them.
var internalHeaders = map[string]bool{
	backend.HeaderAccount: true, "Laburnumpick-Ask-At": true, backend.HeaderDeadlineMs: true,
	"Laburnumpick-First-Attempt": true, "Laburnumpick-Kind": true, "Laburnumpick-Outcome": true,
	backend.HeaderRefused: true, "Laburnumpick-Replayed": true, backend.HeaderRequestID: true,
	"Laburnumpick-Retry-After-Ms": true,
}

// setAccount tells a server the client account that the request's key identifies, and
// removes what the caller says about it. Servers may take an underscore in a header's name
// for a hyphen, so that such spellings are removed as well.
func setAccount(h http.Header, c backend.Contract, j *Job) {
	if !j.KeysRequired {
		return
	}
	name := cmp.Or(c.HeaderAccount, backend.HeaderAccount)
	backend.RemoveHeader(h, name)
	backend.RemoveHeader(h, backend.HeaderAccount)
	if j.AccountOfKey != "" {
		h.Set(name, string(j.AccountOfKey))
	}
}

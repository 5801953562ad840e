package backend

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not passed on.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// CopyEndToEnd copies the headers that do not apply to a single connection. It omits
// hop-by-hop headers and those that the Connection header names.
func CopyEndToEnd(dst, src http.Header) {
	named := make(map[string]bool)
	for _, line := range src.Values("Connection") {
		for _, n := range strings.Split(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	for n, v := range src {
		if !named[n] && !hopByHopHeaders[n] {
			dst[n] = v
		}
	}
}

// RemoveHeader removes a header in all spellings that a server may take for its name: in any
// case, and with underscores for hyphens.
func RemoveHeader(h http.Header, name string) {
	for n := range h {
		if strings.EqualFold(strings.ReplaceAll(n, "_", "-"), name) {
			delete(h, n)
		}
	}
}

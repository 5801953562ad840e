package egress

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/buffer"
	"laburnumpick.org/pkg/head"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// Paths of the calls between VMs. Both are POST requests to the listener for VMs.
const (
	// PathAttempt runs a request on a server. The request and the response are those of the
	// server, with the headers below.
	PathAttempt = "/egress/v1/attempt"
	// PathCheck reports whether the VM reaches a server.
	PathCheck = "/egress/v1/check"
)

// headerPrefix begins the headers that VMs send each other. They never reach a server or a
// caller.
const headerPrefix = "Laburnumpick-Egress-"

// Headers of a call.
const (
	headerFrom      = headerPrefix + "From" // The VM that makes the call.
	headerService   = headerPrefix + "Service"
	headerServer    = headerPrefix + "Server"
	headerAddress   = headerPrefix + "Address"
	headerStartedMs = headerPrefix + "Started-Ms"
	headerMethod    = headerPrefix + "Method"
	headerTarget    = headerPrefix + "Target" // The request target as the caller sent it.
	headerHost      = headerPrefix + "Host"
	headerLeftMs    = headerPrefix + "Left-Ms" // Milliseconds until the deadline.
	headerNewConn   = headerPrefix + "New-Conn"
)

// Headers of the reply to a call.
const (
	headerResult         = headerPrefix + "Result"
	headerDetail         = headerPrefix + "Detail"
	headerReused         = headerPrefix + "Reused"      // The connection to the server had carried an earlier request.
	headerReceived       = headerPrefix + "Received"    // Bytes came after the request was written.
	headerLinkFailed     = headerPrefix + "Link-Failed" // The VM's own link may be why there is no response.
	headerStatus         = headerPrefix + "Status"      // Of the server's response.
	headerLength         = headerPrefix + "Length"      // The response's Content-Length.
	headerCloseDelimited = headerPrefix + "Close-Delimited"
)

// Result is how a call to another VM ended.
type Result string

// Results. Only after Answered, NoResponse and InvalidResponse can the server have got any byte
// of the request.
const (
	Answered        Result = "answered"        // The reply holds the server's response.
	Reached         Result = "reached"         // The VM can open a connection to the server.
	Unreachable     Result = "unreachable"     // The VM cannot open a connection to the server.
	Refused         Result = "refused"         // As Unreachable; the server refuses connections.
	CutOff          Result = "cutOff"          // The VM's own links are down.
	Busy            Result = "busy"            // The VM carries as many requests as it may.
	Stopping        Result = "stopping"        // The VM is stopping.
	Unlisted        Result = "unlisted"        // The VM does not know the server, or knows another one by the name.
	Withheld        Result = "withheld"        // The server wants no requests from the VM, or the time is over.
	Malformed       Result = "malformed"       // The call cannot be read.
	NoResponse      Result = "noResponse"      // The request was sent, and no response came.
	InvalidResponse Result = "invalidResponse" // The request was sent, and the response is broken.
)

// call is a call to another VM, as it is sent.
type call struct {
	from    roster.VMName
	target  Target
	newConn bool
	left    time.Duration
	request *backend.Request // Nil if only the connection is checked.
}

// header returns the headers of the call, with the request's own ones.
func (c *call) header() http.Header {
	h := make(http.Header)
	if c.request != nil {
		h = c.request.Header.Clone()
		h.Set(headerMethod, c.request.Method)
		h.Set(headerTarget, c.request.URL.RequestURI())
		h.Set(headerHost, c.request.Host)
	}
	s := &c.target.Server
	h.Set(headerFrom, string(c.from))
	h.Set(headerService, string(c.target.Service))
	h.Set(headerServer, string(s.Name))
	h.Set(headerAddress, s.Address)
	h.Set(headerStartedMs, strconv.FormatInt(s.StartedMs, 10))
	h.Set(headerNewConn, strconv.FormatBool(c.newConn))
	h.Set(headerLeftMs, strconv.FormatInt(c.left.Milliseconds(), 10))
	return h
}

// maxLeft bounds the time left that a call may name.
const maxLeft = 24 * time.Hour

// parseCall reads a call. body is the request's body; the call has no request if it only checks
// the connection.
func parseCall(r *http.Request, body buffer.Body) (*call, error) {
	h := r.Header
	started, startedErr := strconv.ParseInt(h.Get(headerStartedMs), 10, 64)
	left, leftErr := strconv.ParseInt(h.Get(headerLeftMs), 10, 64)
	newConn, newConnErr := strconv.ParseBool(h.Get(headerNewConn))
	if err := errors.Join(startedErr, leftErr, newConnErr); err != nil {
		return nil, err
	}
	if left <= 0 || left > maxLeft.Milliseconds() {
		return nil, fmt.Errorf("%s %d must lie between 1 and %d", headerLeftMs, left, maxLeft.Milliseconds())
	}
	c := &call{
		from: roster.VMName(h.Get(headerFrom)), newConn: newConn, left: time.Duration(left) * time.Millisecond,
		target: Target{site.ServiceName(h.Get(headerService)), site.Server{
			Name: site.ServerName(h.Get(headerServer)), Address: h.Get(headerAddress), StartedMs: started,
		}},
	}
	if r.URL.Path == PathCheck {
		return c, nil
	}
	u, err := parseTarget(h.Get(headerTarget))
	if err != nil {
		return nil, err
	}
	c.request = &backend.Request{
		Method: h.Get(headerMethod), URL: u, Host: h.Get(headerHost), Header: make(http.Header), Body: body,
		ID: h.Get(backend.HeaderRequestID),
	}
	if !head.IsToken(c.request.Method) {
		return nil, fmt.Errorf("%s %.100q is no method", headerMethod, c.request.Method)
	}
	backend.CopyEndToEnd(c.request.Header, h)
	removeInternal(c.request.Header)
	return c, nil
}

// parseTarget returns a URL whose RequestURI is the given request target.
func parseTarget(target string) (*url.URL, error) {
	if !strings.HasPrefix(target, "/") || strings.ContainsFunc(target, isNotPrintable) {
		return nil, fmt.Errorf("%s %.100q is no path with a query", headerTarget, target)
	}
	raw, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(raw)
	if err != nil {
		path = raw
	}
	u := &url.URL{Path: path, RawPath: raw, RawQuery: query, ForceQuery: hasQuery && query == ""}
	switch {
	case u.RequestURI() == target:
		return u, nil
	case strings.HasPrefix(target, "//"):
		return nil, fmt.Errorf("%s %.100q cannot be sent as it is", headerTarget, target)
	default:
		return &url.URL{Opaque: target, Path: path}, nil
	}
}

// isNotPrintable reports whether a character must not stand in the first line of a request.
func isNotPrintable(r rune) bool { return r <= ' ' || r == 0x7f }

// removeInternal removes the headers that VMs send each other.
func removeInternal(h http.Header) {
	for n := range h {
		if strings.HasPrefix(n, headerPrefix) {
			delete(h, n)
		}
	}
}

// resultOf returns how a call ended. A reply without a result does not come from the handler of
// calls, so nothing was sent to a server.
func resultOf(h http.Header) Result {
	switch r := Result(h.Get(headerResult)); r {
	case Answered, Reached, Unreachable, Refused, CutOff, Busy, Stopping, Unlisted, Withheld, Malformed, NoResponse, InvalidResponse:
		return r
	default:
		return Malformed
	}
}

// serverHeader returns the status and the headers of the server's response in a reply.
func serverHeader(reply http.Header) (int, http.Header, error) {
	status, err := head.ParseStatus(reply.Get(headerStatus)) // A VM of an earlier build passes on any status.
	if err != nil || status < http.StatusOK {
		return 0, nil, fmt.Errorf("the reply has no valid status: %.10q", reply.Get(headerStatus))
	}
	h := make(http.Header)
	backend.CopyEndToEnd(h, reply)
	if length := reply.Get(headerLength); length != "" {
		h.Set("Content-Length", length)
	}
	removeInternal(h)
	return status, h, nil
}

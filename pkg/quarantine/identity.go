package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"laburnumpick.org/pkg/buffer"
	"laburnumpick.org/pkg/site"
)

// Fingerprint identifies requests that count as one.
type Fingerprint string

// Identity tells which requests count as the same one.
type Identity struct {
	// Own is that of all sends of one caller's request: method, host, target, body, and the
	// headers that do not change from one send to the next.
	Own Fingerprint
	// Class is that of all requests with the same method, host and path, whatever their caller,
	// query and body. It is empty in messages of builds that do not know it.
	Class Fingerprint
}

// Request holds what identifies a request.
type Request struct {
	Method  string
	Host    string
	Target  string // Path and query.
	Account site.AccountName
	Header  http.Header
	Body    buffer.Body
	// KeyHeader is the header with the idempotency key, which is new for each use of a request;
	// empty if there is none.
	KeyHeader string
}

// perSendHeaders are headers that callers, or what lies between them and this VM, set anew for each
// send of a request, in canonical form.
var perSendHeaders = []string{
	"Age", "Baggage", "Cache-Control", "Connection", "Content-Length", "Date", "Idempotency-Key", "If-Modified-Since", "If-None-Match",
	"Keep-Alive", "Laburnumpick-Deadline-Ms", "Laburnumpick-First-Attempt", "Laburnumpick-Request-Id", "Pragma", "Traceparent",
	"Tracestate", "Transfer-Encoding", "Via", "X-Amzn-Trace-Id", "X-Cloud-Trace-Context", "X-Correlation-Id", "X-Forwarded-For", "X-Request-Id",
}

// perSendPrefixes begin the names of further headers of that kind.
var perSendPrefixes = []string{"B3", "X-B3-"}

// changesWithEachSend reports whether a header says nothing of who sends the request.
func (r *Request) changesWithEachSend(name string) bool {
	if _, found := slices.BinarySearch(perSendHeaders, name); found {
		return true
	}
	isKey := r.KeyHeader != "" && strings.EqualFold(name, r.KeyHeader)
	return isKey || slices.ContainsFunc(perSendPrefixes, func(p string) bool { return strings.HasPrefix(name, p) })
}

// digestBytes is the length of a fingerprint's digest.
const digestBytes = 12

// sizeOfMost is the size of what identifies most requests, without their bodies, in bytes.
const sizeOfMost = 512

// Identify returns the identity of a request.
func Identify(r *Request) Identity {
	path, _, _ := strings.Cut(r.Target, "?")
	host := strings.ToLower(r.Host)
	buf := appendParts(make([]byte, 0, sizeOfMost), "class", r.Method, host, path)
	class := sha256.Sum256(buf)
	buf = appendParts(buf[:0], "own", r.Method, host, r.Target, string(r.Account))
	buf = r.appendHeader(buf)
	own := sha256.New()
	own.Write(buf)
	_, _ = r.Body.WriteTo(own) // A hash does not fail.
	return Identity{Own: newFingerprint(own.Sum(nil)), Class: newFingerprint(class[:])}
}

// appendHeader appends the headers that do not change with each send, in order.
func (r *Request) appendHeader(buf []byte) []byte {
	names := make([]string, 0, len(r.Header))
	for name := range r.Header {
		if !r.changesWithEachSend(http.CanonicalHeaderKey(name)) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		buf = appendParts(buf, name)
		buf = appendParts(buf, r.Header[name]...)
	}
	return append(buf, 0)
}

// appendParts appends texts, each with its end, which no header and no target holds.
func appendParts(buf []byte, parts ...string) []byte {
	for _, p := range parts {
		buf = append(buf, p...)
		buf = append(buf, 0)
	}
	return buf
}

func newFingerprint(digest []byte) Fingerprint {
	return Fingerprint(hex.EncodeToString(digest[:digestBytes]))
}

package head

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// What is wrong with a head.
var (
	errLineEnd     = NewError("a header line does not end with CR LF")
	errControlByte = NewError("a header line contains a control character")
	errFolded      = NewError("a header line is folded")
	errFieldName   = NewError("a header line has no valid field name")
	errStatusLine  = NewError("the status line is malformed")
	errVersion     = NewError("the version of the response is not HTTP/1")
	errStatus      = NewError("the status code is not a number from 100 to 599")

	errLengthAndCoding = NewError("both Content-Length and Transfer-Encoding are present")
	errLengths         = NewError("Content-Length is present more than once")
	errCodings         = NewError("the only transfer coding supported is chunked")
	errOldCoding       = NewError("HTTP/1.0 does not support transfer codings")
	errHosts           = NewError("Host must be present exactly once")
)

// rules are what a kind of head may be.
type rules struct {
	bareLF          bool // Lines may end with LF alone.
	folded          bool // Fields may be folded.
	emptyLinesFirst bool // Empty lines may come first.
	checkStart      func(f *fields, line []byte) error
	checkFraming    func(f *fields) error
}

// requestRules are stricter than RFC 9112 demands: servers, which read the request after this process, may
// understand what is odd in another way.
var requestRules = rules{
	emptyLinesFirst: true, // Some callers send one after a body.
	checkStart: func(f *fields, line []byte) error {
		f.http10 = bytes.HasSuffix(line, []byte("HTTP/1.0"))
		return nil
	},
	checkFraming: (*fields).checkRequest,
}

// responseRules accept all that RFC 9112 allows servers to send, or tells recipients to accept: lines that
// end with LF alone, and folded fields. Blanks before a colon, which it has proxies remove, are refused:
// they hide a length from readers that do not expect them.
var responseRules = rules{
	bareLF: true, folded: true,
	checkStart:   (*fields).checkStatusLine,
	checkFraming: (*fields).checkResponse,
}

// trailerRules are those of trailers, which frame nothing.
var trailerRules = rules{
	folded:       true,
	checkFraming: func(*fields) error { return nil },
}

// trimLineEnd returns a line without the end that it may have before its LF.
func (r *rules) trimLineEnd(line []byte) ([]byte, error) {
	trimmed, hasCR := bytes.CutSuffix(line, []byte("\r"))
	if !hasCR && !r.bareLF {
		return nil, errLineEnd
	}
	return trimmed, nil
}

// fields collects what decides on the framing of a message.
type fields struct {
	count                   int
	lengths, codings, hosts int
	chunked, http10         bool
}

// Names of the fields that frame a message.
var (
	nameLength = []byte("Content-Length")
	nameCoding = []byte("Transfer-Encoding")
	nameHost   = []byte("Host")
)

// add records a field.
func (f *fields) add(name, value []byte) {
	f.count++
	switch {
	case bytes.EqualFold(name, nameLength):
		f.lengths++
	case bytes.EqualFold(name, nameCoding):
		f.codings++
		f.chunked = bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked"))
	case bytes.EqualFold(name, nameHost):
		f.hosts++
	}
}

// checkRequest returns an error if the request's length or host is ambiguous.
func (f *fields) checkRequest() error {
	switch {
	case f.lengths > 0 && f.codings > 0:
		return errLengthAndCoding
	case f.lengths > 1:
		return errLengths
	case f.codings > 1 || (f.codings == 1 && !f.chunked):
		return errCodings
	case f.codings == 1 && f.http10:
		return errOldCoding
	case f.hosts > 1 || (f.hosts == 0 && !f.http10):
		return errHosts
	}
	return nil
}

// checkResponse returns an error if the response's length is ambiguous. net/http compares lengths that are
// given several times, and refuses other codings than chunked.
func (f *fields) checkResponse() error {
	switch {
	case f.lengths > 0 && f.codings > 0:
		return errLengthAndCoding
	case f.codings > 0 && f.http10:
		return errOldCoding
	}
	return nil
}

// checkStatusLine checks the first line of a response. Blanks before the status and a missing reason are
// accepted, as RFC 9112 allows.
func (f *fields) checkStatusLine(line []byte) error {
	version, rest, ok := strings.Cut(string(line), " ")
	if !ok {
		return errStatusLine
	}
	major, minor, ok := http.ParseHTTPVersion(version)
	if !ok || major != 1 {
		return errVersion
	}
	f.http10 = minor == 0
	status, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	_, err := ParseStatus(status)
	return err
}

// ParseStatus parses a status code. RFC 9110 allows three digits, from 100 to 599.
func ParseStatus(text string) (int, error) {
	const lowest, highest = 100, 599
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil || len(text) != len("200") || n < lowest || n > highest {
		return 0, errStatus
	}
	return int(n), nil
}

// delimiters are the visible ASCII characters that no token holds.
const delimiters = `()<>@,;:\"/[]?={}`

// IsToken reports whether a text may be the name of a field, or the method of a request.
func IsToken[T ~string | ~[]byte](text T) bool {
	for i := range len(text) {
		if c := text[i]; c <= ' ' || c >= 0x7f || strings.IndexByte(delimiters, c) >= 0 {
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether a line holds no control character but tabs.
func isText(line []byte) bool {
	for _, c := range line {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

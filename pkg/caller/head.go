package caller

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"laburnumpick.org/pkg/outcome"
)

func malformed(reason string) *outcome.Failure { return outcome.New(outcome.Malformed, "%s", reason) }

// reasonOf returns why net/http cannot parse a request, without the part of the request that
// its errors quote: that may hold a caller's credentials.
func reasonOf(err error) string {
	text := err.Error()
	if i := strings.IndexAny(text, "\":"); i >= 0 {
		text = text[:i]
	}
	return "the request cannot be parsed: " + strings.TrimSpace(text)
}

// readHead buffers the whole header of a request, within the limit, and checks its
// framing.
func (c *conn) readHead(limit int) error {
	for {
		b, _ := c.r.Peek(c.r.Buffered()) // Cannot fail: these bytes are buffered.
		n, complete, err := checkHead(b)
		switch {
		case err != nil:
			return err
		case n > limit || (!complete && len(b) > limit):
			return outcome.New(outcome.HeaderTooLarge, "the request header exceeds %d bytes", limit)
		case complete:
			return nil
		}
		if len(b) == c.r.Size() {
			c.grow(min(2*len(b), limit+readSize))
		}
		if _, err := c.r.Peek(len(b) + 1); err != nil {
			return headerReadError(err)
		}
	}
}

// grow replaces the reader by one with a larger buffer.
func (c *conn) grow(size int) {
	buffered, _ := c.r.Peek(c.r.Buffered()) // Cannot fail: these bytes are buffered.
	c.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.nc), size)
}

// headerReadError classifies a read error in the middle of a header.
func headerReadError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return outcome.New(outcome.RequestTimeout, "timeout while reading the request header")
	}
	return fmt.Errorf("%w: %w", errCallerGone, err)
}

// checkHead checks the raw bytes of a header before net/http parses them. net/http
// accepts some headers that two parsers can interpret in different ways, which
// allows request smuggling. It returns the length of the header, and whether the
// header is complete.
func checkHead(b []byte) (n int, complete bool, err error) {
	var f framing
	start := skipEmptyLines(b)
	for at := start; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return len(b), false, nil
		}
		line := b[at : at+i]
		if len(line) == 0 || line[len(line)-1] != '\r' {
			return 0, false, malformed("a header line does not end with CR LF")
		}
		line = line[:len(line)-1]
		first := at == start
		at += i + 1
		if len(line) == 0 {
			return at, true, f.check()
		}
		if err := f.add(line, first); err != nil {
			return 0, false, err
		}
	}
}

// skipEmptyLines returns the offset of the request line. Some callers send an
// empty line after a body.
func skipEmptyLines(b []byte) int {
	n := 0
	for bytes.HasPrefix(b[n:], []byte("\r\n")) {
		n += 2
	}
	return n
}

// framing collects the header lines that determine the request's length and host.
type framing struct {
	lengths, codings, hosts int
	chunked, http10         bool
}

// add processes a line of the header. The first one is the request line.
func (f *framing) add(line []byte, first bool) error {
	if bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, 0) >= 0 {
		return malformed("a header line contains CR or NUL")
	}
	if first {
		f.http10 = bytes.HasSuffix(line, []byte("HTTP/1.0"))
		return nil
	}
	if line[0] == ' ' || line[0] == '\t' {
		return malformed("a header line is folded")
	}
	name, value, ok := strings.Cut(string(line), ":")
	if !ok || name == "" || strings.TrimSpace(name) != name {
		return malformed("a header line has no valid field name")
	}
	switch strings.ToLower(name) {
	case "content-length":
		f.lengths++
	case "transfer-encoding":
		f.codings++
		f.chunked = strings.EqualFold(strings.TrimSpace(value), "chunked")
	case "host":
		f.hosts++
	}
	return nil
}

// check returns an error if the request's length or host is ambiguous.
func (f *framing) check() error {
	switch {
	case f.lengths > 0 && f.codings > 0:
		return malformed("both Content-Length and Transfer-Encoding are present")
	case f.lengths > 1:
		return malformed("Content-Length is present more than once")
	case f.codings > 1 || (f.codings == 1 && !f.chunked):
		return malformed("the only transfer coding supported is chunked")
	case f.codings == 1 && f.http10:
		return malformed("HTTP/1.0 does not support transfer codings")
	case f.hosts > 1 || (f.hosts == 0 && !f.http10):
		return malformed("Host must be present exactly once")
	}
	return nil
}

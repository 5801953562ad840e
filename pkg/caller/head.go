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

// readHead waits until a request's whole header is buffered and checks it.
func (c *conn) readHead(limit int) error {
	for {
		b, _ := c.r.Peek(c.r.Buffered()) // What is buffered can be had.
		n, whole, err := checkHead(b)
		switch {
		case err != nil:
			return err
		case n > limit || (!whole && len(b) > limit):
			return outcome.New(outcome.HeaderTooLarge, "the header has more than %d bytes", limit)
		case whole:
			return nil
		}
		if len(b) == c.r.Size() {
			c.grow(limit)
		}
		if _, err := c.r.Peek(len(b) + 1); err != nil {
			return cut(err)
		}
	}
}

// grow gives the reader room for the largest header.
func (c *conn) grow(limit int) {
	had, _ := c.r.Peek(c.r.Buffered()) // What is buffered can be had.
	c.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(had)), c.nc), limit+readSize)
}

// cut classifies an error in the middle of a header.
func cut(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return outcome.New(outcome.TooSlow, "the header did not come in time")
	}
	return fmt.Errorf("%w: %w", errGone, err)
}

// checkHead looks at the bytes of a header before net/http reads them, which
// forgives what two readers can take in two ways. It returns the header's
// length, and whether it is whole.
func checkHead(b []byte) (n int, whole bool, err error) {
	var f framing
	start := skipEmptyLines(b)
	for at := start; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return len(b), false, nil
		}
		line := b[at : at+i]
		if len(line) == 0 || line[len(line)-1] != '\r' {
			return 0, false, malformed("a line of the header does not end with CR LF")
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

// skipEmptyLines returns where a request begins. Some callers send an empty
// line behind a body.
func skipEmptyLines(b []byte) int {
	n := 0
	for bytes.HasPrefix(b[n:], []byte("\r\n")) {
		n += 2
	}
	return n
}

// framing gathers what a header says of its request's length.
type framing struct {
	lengths, codings, hosts int
	chunked, old            bool
}

// add takes in a line of the header, the first of which is the request's.
func (f *framing) add(line []byte, first bool) error {
	if bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, 0) >= 0 {
		return malformed("a line of the header holds a control character")
	}
	if first {
		f.old = bytes.HasSuffix(line, []byte("HTTP/1.0"))
		return nil
	}
	if line[0] == ' ' || line[0] == '\t' {
		return malformed("a line of the header is folded")
	}
	name, value, ok := strings.Cut(string(line), ":")
	if !ok || name == "" || strings.TrimSpace(name) != name {
		return malformed("a line of the header has no proper name")
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

// check returns what makes the request's length or host doubtful.
func (f *framing) check() error {
	switch {
	case f.lengths > 0 && f.codings > 0:
		return malformed("Content-Length and Transfer-Encoding exclude each other")
	case f.lengths > 1:
		return malformed("Content-Length stands more than once")
	case f.codings > 1 || (f.codings == 1 && !f.chunked):
		return malformed("the only transfer coding is chunked")
	case f.codings == 1 && f.old:
		return malformed("HTTP/1.0 has no transfer codings")
	case f.hosts > 1 || (f.hosts == 0 && !f.old):
		return malformed("Host must stand just once")
	}
	return nil
}

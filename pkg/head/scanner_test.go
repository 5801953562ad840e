package head_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/head"
)

// headCase is a head, and whether it is accepted.
type headCase struct {
	name, text string
	good       bool
}

// check scans each head whole, and once more as its bytes come one by one.
func check(t *testing.T, cases []headCase, newScanner func() *head.Scanner) {
	t.Helper()
	for _, c := range cases {
		s := newScanner()
		complete, err := s.Scan([]byte(c.text))
		byBytes := bytewise(newScanner(), []byte(c.text))
		if c.good {
			assert.NilError(t, err, c.name)
			assert.NilError(t, byBytes, c.name)
			assert.Assert(t, complete && s.Len() == len(c.text), c.name)
			continue
		}
		for _, err := range []error{err, byBytes} {
			_, ok := errors.AsType[*head.Error](err)
			assert.Assert(t, ok, "%s: %v", c.name, err)
		}
	}
}

// bytewise scans bytes that come one by one, to the end of the head.
func bytewise(s *head.Scanner, b []byte) error {
	for n := range len(b) + 1 {
		if complete, err := s.Scan(b[:n]); complete || err != nil {
			return err
		}
	}
	return errors.New("not complete")
}

// TestCheckHead checks that ambiguous framing of requests is refused. net/http accepts several
// of these headers, but another parser could see a different request in them.
func TestCheckHead(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	check(t, []headCase{
		{"plain", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", true},
		{"empty line before the request line", "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", true},
		{"length", post + "Content-Length: 3\r\n\r\n", true},
		{"chunks", post + "Transfer-Encoding: Chunked\r\n\r\n", true},
		{"tab and a byte above ASCII in a value", post + "X: a\tb\xe9\r\n\r\n", true},
		{"HTTP/1.0 without Host", "GET / HTTP/1.0\r\n\r\n", true},
		{"Content-Length and chunked", post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"chunked and Content-Length", post + "transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n", false},
		{"two Content-Length lines", post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", false},
		{"two Transfer-Encoding lines", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n", false},
		{"transfer coding other than chunked", post + "Transfer-Encoding: gzip, chunked\r\n\r\n", false},
		{"HTTP/1.0 with chunked", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"bare LF", "GET / HTTP/1.1\nHost: h\n\n", false},
		{"bare LF after a header line", post + "X: a\nContent-Length: 3\r\n\r\n", false},
		{"CR inside a line", post + "X: a\rb\r\n\r\n", false},
		{"NUL", post + "X: a\x00\r\n\r\n", false},
		{"folded", post + "X: a\r\n b\r\n\r\n", false},
		{"space before the colon", post + "Content-Length : 3\r\n\r\n", false},
		{"space in a name", post + "X Y: 3\r\n\r\n", false},
		{"line without a colon", post + "Content-Length 3\r\n\r\n", false},
		{"two Host lines", post + "Host: g\r\n\r\n", false},
		{"no Host", "GET / HTTP/1.1\r\n\r\n", false},
	}, head.NewRequest)
}

func FuzzCheckHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := head.NewRequest()
		complete, err := s.Scan(b)
		if err == nil && complete && (s.Len() > len(b) || !strings.HasSuffix(string(b[:s.Len()]), "\r\n\r\n")) {
			t.Fatalf("%q: the header ends at %d", b, s.Len())
		}
	})
}

// TestBufferGrows checks that a head is buffered whole, up to the limit, however small the pieces are in
// which it comes, and that nothing of it or behind it is lost.
func TestBufferGrows(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1000) + "\r\n\r\nbody"
	length := len(text) - len("body")
	for _, limit := range []int{length - 1, length, 2000} {
		source := iotest.OneByteReader(strings.NewReader(text))
		r, err := head.Buffer(bufio.NewReaderSize(source, 16), source, head.NewResponse(), limit)
		if limit < length {
			assert.ErrorIs(t, err, head.ErrTooLarge)
			continue
		}
		assert.NilError(t, err)
		assert.Assert(t, r.Buffered() >= length)
		all, err := io.ReadAll(r)
		assert.NilError(t, err)
		assert.Equal(t, string(all), text)
	}
}

// TestBufferReportsTheEndOfTheSource checks the error of a head that ends too soon.
func TestBufferReportsTheEndOfTheSource(t *testing.T) {
	source := strings.NewReader("HTTP/1.1 200 OK\r\nX: ")
	_, err := head.Buffer(bufio.NewReader(source), source, head.NewResponse(), 1000)
	assert.ErrorIs(t, err, io.EOF)
}

// FuzzResponse checks that net/http finds the end of each accepted head of a response where the scanner
// does, and that no name of a field is invalid.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX: a\r\n\tb\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.0 200 OK\nX:\n\n"))
	f.Add([]byte("HTTP/1.1 103 Early\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := head.NewResponse()
		complete, err := s.Scan(b)
		if errBytes := bytewise(head.NewResponse(), b); complete && (errBytes == nil) != (err == nil) {
			t.Fatalf("%q: whole %v, byte by byte %v", b, err, errBytes)
		}
		if !complete || err != nil {
			return
		}
		left := bytes.NewReader(b)
		r := bufio.NewReaderSize(left, len(b)+16)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		if used := len(b) - left.Len() - r.Buffered(); used != s.Len() {
			t.Fatalf("%q: the head ends at %d for the scanner, at %d for net/http", b, s.Len(), used)
		}
		for n := range resp.Header {
			if !head.IsToken(n) {
				t.Fatalf("%q: the name %q", b, n)
			}
		}
	})
}

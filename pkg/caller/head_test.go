package caller

import (
	"bufio"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/outcome"
)

// TestMalformedHeadsAreToldAsMalformed checks what callers are told of each thing that is refused in the head of
// a request. What is refused is head.TestCheckHead's matter.
func TestMalformedHeadsAreToldAsMalformed(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	for name, text := range map[string]string{
		"Content-Length and chunked":         post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"chunked and Content-Length":         post + "transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n",
		"two Content-Length lines":           post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n",
		"two Transfer-Encoding lines":        post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n",
		"transfer coding other than chunked": post + "Transfer-Encoding: gzip, chunked\r\n\r\n",
		"HTTP/1.0 with chunked":              "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
		"bare LF":                            "GET / HTTP/1.1\nHost: h\n\n",
		"bare LF after a header line":        post + "X: a\nContent-Length: 3\r\n\r\n",
		"CR inside a line":                   post + "X: a\rb\r\n\r\n",
		"NUL":                                post + "X: a\x00\r\n\r\n",
		"folded":                             post + "X: a\r\n b\r\n\r\n",
		"space before the colon":             post + "Content-Length : 3\r\n\r\n",
		"space in a name":                    post + "X Y: 3\r\n\r\n",
		"line without a colon":               post + "Content-Length 3\r\n\r\n",
		"two Host lines":                     post + "Host: g\r\n\r\n",
		"no Host":                            "GET / HTTP/1.1\r\n\r\n",
	} {
		c := &conn{r: bufio.NewReader(strings.NewReader(text))}
		err := c.readHead(limits.HeaderBytes)
		f, ok := errors.AsType[*outcome.Failure](err)
		assert.Check(t, ok && f.Kind == outcome.Malformed, "%s: %v", name, err)
	}
}

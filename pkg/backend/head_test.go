package backend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"laburnumpick.org/pkg/backend"
)

// headText returns the head of a response with further fields.
func headText(first string, fields ...string) string {
	lines := append([]string{first, "Laburnumpick-Request-Id: mine"}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// respondRaw returns a handler that responds to one request with the given bytes and closes the connection.
func respondRaw(response string) func(p *peer, nc net.Conn, r *bufio.Reader) {
	return func(p *peer, nc net.Conn, r *bufio.Reader) {
		defer func() { _ = nc.Close() }()
		if _, ok := p.readRequest(r); ok {
			_, _ = io.WriteString(nc, response)
		}
	}
}

// secret stands for a caller's key that a server repeats.
const secret = "rjvz48wuakn2ftimaj3n"

// malformedHeads are responses of servers in trouble, by what is wrong with them.
func malformedHeads() map[string]string {
	const ok, chunked = "HTTP/1.1 200 OK", "4\r\nbody\r\n0\r\n"
	const plain = "Content-Length: 4"
	heads := map[string]string{
		"blank in a name":                         headText(ok, plain, "X Y: "+secret) + "body",
		"blank before the colon":                  headText(ok, plain, "X : "+secret) + "body",
		"tab before the colon":                    headText(ok, plain, "X\t: "+secret) + "body",
		"blank before the colon of the length":    headText(ok, "Content-Length : 4") + "body and more",
		"blank in the name of the length":         headText(ok, "Content- Length: 4") + "body and more",
		"blank before the colon of the coding":    headText(ok, "Transfer-Encoding : chunked") + chunked + "\r\n",
		"no name":                                 headText(ok, plain, ": "+secret) + "body",
		"no colon":                                headText(ok, plain, "X "+secret) + "body",
		"name folded":                             headText(ok, plain, "X", " Y: "+secret) + "body",
		"first field folded":                      "HTTP/1.1 200 OK\r\n X: " + secret + "\r\n" + headText("A: b", plain) + "body",
		"byte above ASCII in a name":              headText(ok, plain, "X\xe9: "+secret) + "body",
		"delimiter in a name":                     headText(ok, plain, "X(Y): "+secret) + "body",
		"CR inside a line":                        headText(ok, plain, "X: a\r"+secret) + "body",
		"length and coding":                       headText(ok, plain, "Transfer-Encoding: chunked") + chunked + "\r\n",
		"HTTP/1.0 with a coding":                  headText("HTTP/1.0 200 OK", "Transfer-Encoding: chunked") + chunked + "\r\n",
		"coding that was not requested":           headText(ok, "Transfer-Encoding: "+secret+", chunked") + chunked + "\r\n",
		"two codings":                             headText(ok, "Transfer-Encoding: chunked", "Transfer-Encoding: chunked") + chunked + "\r\n",
		"two lengths":                             headText(ok, plain, "Content-Length: 5") + "body",
		"length that is no number":                headText(ok, "Content-Length: +4") + "body",
		"two ids":                                 headText(ok, plain, "Laburnumpick-Request-Id: other") + "body",
		"refusal with a blank in a name":          headText("HTTP/1.1 503 Full", "Content-Length: 0", "Laburnumpick-Refused: shed", "X Y: "+secret),
		"interim response with a blank in a name": "HTTP/1.1 103 Early\r\nX Y: " + secret + "\r\n\r\n" + headText(ok, plain) + "body",
		"trailer with a blank in its name":        headText(ok, "Transfer-Encoding: chunked") + chunked + "X Y: " + secret + "\r\n\r\n",
		"trailer without a colon":                 headText(ok, "Transfer-Encoding: chunked") + chunked + "X " + secret + "\r\n\r\n",
	}
	for _, c := range []byte{0, 1, '\b', '\v', '\f', 0x1b, 0x7f} {
		heads[fmt.Sprintf("byte %#02x in a name", c)] = headText(ok, plain, "X"+string(rune(c))+"Y: "+secret) + "body"
		heads[fmt.Sprintf("byte %#02x in a value", c)] = headText(ok, plain, "X: a"+string(rune(c))+secret) + "body"
		heads[fmt.Sprintf("byte %#02x in a trailer's name", c)] = headText(ok, "Transfer-Encoding: chunked") + chunked + "X" + string(rune(c)) + ": " + secret + "\r\n\r\n"
	}
	return heads
}

// TestMalformedHeadsAreBrokenResponses guards against callers that get a response whose head is malformed:
// with the line that is wrong, with a body that is not the server's, or told as if no response had come. The
// error quotes nothing, since servers may repeat callers' keys.
func TestMalformedHeadsAreBrokenResponses(t *testing.T) {
	for name, text := range malformedHeads() {
		t.Run(name, func(t *testing.T) { checkMalformed(t, text) })
	}
}

// checkMalformed plays a response that must be refused as a broken one.
func checkMalformed(t *testing.T, text string) {
	withPeer(t, respondRaw(text), func(t *testing.T, _ *peer, pool *backend.ConnPool) {
		resp, err := send(pool, newRequest("mine", "GET", ""), backend.Options{Contract: socketContract})
		if err == nil {
			t.Errorf("the response was accepted: %d %v, body %q", resp.Status, resp.Header, resp.Body)
			return
		}
		assert.Check(t, err.Stage == backend.InvalidResponse, "%v", err)
		assert.Check(t, err.Received)
		assert.Check(t, !strings.Contains(err.Error(), secret), "%v", err)
	})
}

// TestInvalidStatusesAreBrokenResponses guards against callers that get a response whose status no server may
// send, and against such a head that is skipped as an interim one, so that what follows it on the connection
// is taken for the response.
func TestInvalidStatusesAreBrokenResponses(t *testing.T) {
	const plain = "Content-Length: 4"
	for _, first := range []string{
		"HTTP/1.1 000 Zero", "HTTP/1.1 000", "HTTP/1.1 001 One", "HTTP/1.1 099 Low", "HTTP/1.1 +20 Sign", "HTTP/1.1 600 High", "HTTP/1.1 999 High",
		"HTTP/1.1 20 Short", "HTTP/1.1 2000 Long", "HTTP/1.1 2x0 Letter", "HTTP/1.1 -20 Sign", "HTTP/1.1", "HTTP/1.1 ", "200 OK",
		"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/11 200 OK", "http/1.1 200 OK", "ICY 200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\x00OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK",
	} {
		whole := headText("HTTP/1.1 200 OK", plain) + "body"
		for name, text := range map[string]string{
			"with a body":                  headText(first, plain) + "body",
			"with a body and a second one": headText(first, plain) + "body" + whole,
			"before a whole response":      headText(first) + whole,
			"behind an interim response":   "HTTP/1.1 103 Early\r\n\r\n" + headText(first, plain) + "body",
			"with a refusal":               headText(first, "Content-Length: 0", "Laburnumpick-Refused: shed"),
			"ends with its connection":     headText(first) + "body",
			"head that is cut behind it":   first + "\r\nX: a\r\n",
		} {
			t.Run(first+" "+name, func(t *testing.T) { checkMalformed(t, text) })
		}
	}
}

// TestOddHeadsAreAccepted guards against whole responses that are refused although RFC 9112 allows them, or
// tells recipients to accept them.
func TestOddHeadsAreAccepted(t *testing.T) {
	const ok, plain = "HTTP/1.1 200 OK", "Content-Length: 4"
	cases := []struct {
		name, text string
		header     string // Value of X-Odd.
	}{
		{"folded value", headText(ok, plain, "X-Odd: a", "\t b") + "body", "a b"},
		{"folded length", headText(ok, "Content-Length:", " 4") + "body", ""},
		{"empty value", headText(ok, plain, "X-Odd:") + "body", ""},
		{"blanks around a value", headText(ok, plain, "X-Odd: \t a \t ") + "body", "a"},
		{"all characters of a name", headText(ok, plain, "!#$%&'*+-.^_`|~09az: v", "X-Odd: a") + "body", "a"},
		{"bytes above ASCII in a value", headText(ok, plain, "X-Odd: \xe9") + "body", "\xe9"},
		{"tab in a value", headText(ok, plain, "X-Odd: a\tb") + "body", "a\tb"},
		{"lines that end with LF", strings.ReplaceAll(headText(ok, plain, "X-Odd: a"), "\r\n", "\n") + "body", "a"},
		{"no reason", headText("HTTP/1.1 200", plain) + "body", ""},
		{"empty reason", headText("HTTP/1.1 200 ", plain) + "body", ""},
		{"bytes above ASCII in the reason", headText("HTTP/1.1 200 \xe9", plain) + "body", ""},
		{"HTTP/1.0", headText("HTTP/1.0 200 OK", plain) + "body", ""},
		{"blanks before the status", headText("HTTP/1.1  200 OK", plain) + "body", ""},
		{"later version of HTTP/1", headText("HTTP/1.2 200 OK", plain) + "body", ""},
		{"same length twice", headText(ok, plain, plain) + "body", ""},
		{"same id twice", headText(ok, plain, "Laburnumpick-Request-Id: mine") + "body", ""},
		{"coding in capitals", headText(ok, "TRANSFER-ENCODING: CHUNKED") + "4\r\nbody\r\n0\r\n\r\n", ""},
		{"chunk extensions", headText(ok, "Transfer-Encoding: chunked") + "4;a=b\r\nbody\r\n0;c\r\n\r\n", ""},
		{"trailers", headText(ok, "Transfer-Encoding: chunked", "Trailer: T") + "4\r\nbody\r\n0\r\nT: v\r\nU: a\r\n b\r\n\r\n", ""},
		{"interim responses", "HTTP/1.1 103 Early\r\nX-Odd: early\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + headText(ok, plain) + "body", ""},
		{"ends with the connection", headText(ok) + "body", ""},
		{"head larger than the read buffer", headText(ok, plain, "X: "+strings.Repeat("x", 20_000), "X-Odd: a") + "body", "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withPeer(t, respondRaw(c.text), func(t *testing.T, _ *peer, pool *backend.ConnPool) {
				resp, err := send(pool, newRequest("mine", "GET", ""), backend.Options{Contract: socketContract})
				if !assert.Check(t, err == nil, "%v", err) {
					return
				}
				assert.Check(t, cmp.Equal(resp.Status, 200))
				assert.Check(t, cmp.Equal(string(resp.Body), "body"))
				assert.Check(t, cmp.Equal(resp.Header.Get("X-Odd"), c.header))
			})
		})
	}
}

// TestBodilessResponsesNeedNoFraming checks the responses that have no body whatever their head says.
func TestBodilessResponsesNeedNoFraming(t *testing.T) {
	for name, c := range map[string]struct{ method, text string }{
		"204 with a length":   {"GET", headText("HTTP/1.1 204 None", "Content-Length: 0")},
		"204 in chunks":       {"GET", headText("HTTP/1.1 204 None", "Transfer-Encoding: chunked")},
		"304 with a length":   {"GET", headText("HTTP/1.1 304 Same", "Content-Length: 4")},
		"HEAD with a length":  {"HEAD", headText("HTTP/1.1 200 OK", "Content-Length: 4")},
		"HEAD in chunks":      {"HEAD", headText("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")},
		"HEAD without either": {"HEAD", headText("HTTP/1.1 200 OK")},
	} {
		t.Run(name, func(t *testing.T) {
			withPeer(t, respondRaw(c.text), func(t *testing.T, _ *peer, pool *backend.ConnPool) {
				resp, err := send(pool, newRequest("mine", c.method, ""), backend.Options{Contract: socketContract})
				if assert.Check(t, err == nil, "%v", err) {
					assert.Check(t, cmp.Equal(len(resp.Body), 0))
				}
			})
		})
	}
}

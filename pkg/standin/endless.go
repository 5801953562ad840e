package standin

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// EndlessPlace is where in a response a server sends bytes that never end, until its peer
// closes the connection.
type EndlessPlace string

// Places of endless bytes.
const (
	EndlessStatusLine EndlessPlace = "statusLine"     // Instead of a response, without a line end.
	EndlessHead       EndlessPlace = "head"           // Header lines.
	EndlessInterim    EndlessPlace = "interim"        // Interim responses.
	EndlessBody       EndlessPlace = "body"           // A body without a length.
	EndlessChunk      EndlessPlace = "chunk"          // The line that begins a chunk.
	EndlessTrailer    EndlessPlace = "trailer"        // Header lines after a chunked body.
	EndlessBehind     EndlessPlace = "behindResponse" // Behind a complete response.
)

// EndlessPlaces lists all places.
var EndlessPlaces = []EndlessPlace{
	EndlessStatusLine, EndlessHead, EndlessInterim, EndlessBody, EndlessChunk, EndlessTrailer, EndlessBehind,
}

// Rate of endless bytes.
const (
	endlessBlock    = 4 << 10 // Bytes that a server writes at a time.
	endlessInterval = time.Millisecond
)

// endlessText returns what the server sends once, and what it repeats after that.
func endlessText(p EndlessPlace, head string) (first, repeated string) {
	block := strings.Repeat("x", endlessBlock)
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	switch p {
	case EndlessHead:
		return head, "X-Filler: " + block + "\r\n"
	case EndlessInterim:
		return "", "HTTP/1.1 102 Processing\r\nX-Filler: " + block + "\r\n\r\n"
	case EndlessBody:
		return head + "\r\n", block
	case EndlessChunk:
		return chunked + "5;", block
	case EndlessTrailer:
		return chunked + "5\r\nhello\r\n0\r\n", "X-Filler: " + block + "\r\n"
	case EndlessBehind:
		return head + "Content-Length: 5\r\n\r\nhello", block
	case EndlessStatusLine:
	}
	return "", block
}

// respondEndlessly writes bytes until the peer closes the connection.
func (s *Server) respondEndlessly(w http.ResponseWriter, p EndlessPlace) {
	var head strings.Builder
	_, _ = io.WriteString(&head, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&head)
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	first, repeated := endlessText(p, head.String())
	s.addEndlessBytes(writeEndlessly(c, first, repeated))
}

// addEndlessBytes counts bytes that were written to a peer until it closed the connection.
func (s *Server) addEndlessBytes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endlessBytes = max(s.endlessBytes, n)
}

// MostEndlessBytes returns the largest number of endless bytes that a peer took before it
// closed the connection.
func (s *Server) MostEndlessBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endlessBytes
}

// writeEndlessly writes a text once and another one again and again, until a write fails.
// It returns the number of bytes written.
func writeEndlessly(c net.Conn, first, repeated string) int {
	written := 0
	for text := first + repeated; ; text = repeated {
		n, err := io.WriteString(c, text)
		written += n
		if err != nil {
			return written
		}
		time.Sleep(endlessInterval)
	}
}

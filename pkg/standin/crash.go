package standin

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"laburnumpick.org/pkg/backend"
)

// HeaderCrash is the request header that names where in its response a server crashes that runs the
// request.
const HeaderCrash = "Standin-Crash"

// CrashPlace is where in its response a server crashes.
type CrashPlace string

// Places of crashes.
const (
	CrashBeforeResponse CrashPlace = "beforeResponse"
	CrashAfterInterim   CrashPlace = "afterInterim" // After an interim response.
	CrashInHead         CrashPlace = "inHead"       // In the middle of a header.
	CrashInBody         CrashPlace = "inBody"       // Of a body with a length that VMs buffer.
	CrashInLargeBody    CrashPlace = "inLargeBody"  // Of a body with a length that VMs stream.
	CrashInChunk        CrashPlace = "inChunk"      // Of a chunked body.
	CrashLate           CrashPlace = "late"         // Before the response, after lateCrashTime.
)

// CrashPlaces lists all places but CrashLate.
var CrashPlaces = []CrashPlace{
	CrashBeforeResponse, CrashAfterInterim, CrashInHead, CrashInBody, CrashInLargeBody, CrashInChunk,
}

// Sizes of the parts that a server sends before it crashes, in bytes.
const (
	partOfBody      = 4 << 10
	partOfLargeBody = 3 << 20
	lengthOfBody    = 20_000
	lengthOfLarge   = 8 << 20
)

// Times between the last bytes that a server sends and its crash.
const (
	crashTime     = 20 * time.Millisecond
	lateCrashTime = 800 * time.Millisecond
)

// partialResponse returns what a server sends before it crashes.
func partialResponse(p CrashPlace, id string) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n", backend.HeaderRequestID, id)
	switch p {
	case CrashAfterInterim:
		return "HTTP/1.1 102 Processing\r\n\r\n"
	case CrashInHead:
		return head + "Content-Le"
	case CrashInBody:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", lengthOfBody) + strings.Repeat("x", partOfBody)
	case CrashInLargeBody:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", lengthOfLarge) + strings.Repeat("x", partOfLargeBody)
	case CrashInChunk:
		return head + "Transfer-Encoding: chunked\r\n\r\nff\r\n" + strings.Repeat("x", 100)
	case CrashBeforeResponse, CrashLate:
	}
	return ""
}

// crashAt sends a part of a response and crashes.
func (s *Server) crashAt(w http.ResponseWriter, r *http.Request, p CrashPlace) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, partialResponse(p, r.Header.Get(backend.HeaderRequestID))) // Fails only if the VM has gone.
	if p == CrashLate {
		time.Sleep(lateCrashTime)
	}
	time.Sleep(crashTime)
	s.Crash()
}

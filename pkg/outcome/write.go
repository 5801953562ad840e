package outcome

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Headers of responses to callers. They describe the outcome of the request.
const (
	HeaderOutcome    = "Laburnumpick-Outcome"
	HeaderKind       = "Laburnumpick-Kind" // Only in error responses.
	HeaderRequestID  = "Laburnumpick-Request-Id"
	HeaderRetryMs    = "Laburnumpick-Retry-After-Ms" // Retry-After in milliseconds.
	HeaderAskAt      = "Laburnumpick-Ask-At"         // Path at which the outcome of a keyed request can be queried.
	HeaderReplayed   = "Laburnumpick-Replayed"       // "true" if an earlier request with the same key got this response, or one that was not stored.
	headerRetryAfter = "Retry-After"
)

// ErrorBody is the JSON body of a response that the fleet itself writes.
type ErrorBody struct {
	Outcome      Outcome `json:"outcome"`
	Kind         Kind    `json:"kind"`
	RequestID    string  `json:"requestId"`
	Detail       string  `json:"detail"`
	Advice       string  `json:"advice"`
	RetryAfterMs int64   `json:"retryAfterMs,omitempty"`
	AskAt        string  `json:"askAt,omitempty"`
}

// Write writes the error response for a failure. askAt is the path at which the
// outcome of a keyed request can be queried later, or empty. If fractions is set,
// Retry-After is written with fractions of a second.
func Write(w http.ResponseWriter, f *Failure, requestID, askAt string, fractions bool) {
	resp := f.Kind.Response()
	wait := f.RetryDelay()
	errorBody := ErrorBody{
		Outcome: resp.Outcome, Kind: f.Kind, RequestID: requestID, Detail: f.Detail(),
		Advice: resp.Advice, RetryAfterMs: wait.Milliseconds(), AskAt: askAt,
	}
	body, err := json.Marshal(errorBody)
	if err != nil {
		body = []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(resp.Outcome))
	h.Set(HeaderKind, string(f.Kind))
	h.Set(HeaderRequestID, requestID)
	if askAt != "" {
		h.Set(HeaderAskAt, askAt)
	}
	if wait > 0 {
		h.Set(headerRetryAfter, retryAfter(wait, fractions))
		h.Set(HeaderRetryMs, strconv.FormatInt(wait.Milliseconds(), 10))
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(body) // A write error means that the caller has disconnected.
}

func retryAfter(wait time.Duration, fractions bool) string {
	if fractions {
		return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(wholeSeconds(wait), 10)
}

// wholeSeconds rounds up to whole seconds, as standard HTTP requires for
// Retry-After.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// RawResponse returns the error response for a failure as the bytes of an HTTP
// response that closes the connection. It is used if the caller's request could
// not be parsed.
func RawResponse(f *Failure) []byte {
	resp := f.Kind.Response()
	body, err := json.Marshal(ErrorBody{
		Outcome: resp.Outcome, Kind: f.Kind, Detail: f.Detail(), Advice: resp.Advice, RetryAfterMs: f.RetryDelay().Milliseconds(),
	})
	if err != nil {
		body = []byte("{}")
	}
	retryLine := ""
	if f.RetryDelay() > 0 {
		retryLine = fmt.Sprintf("%s: %d\r\n", headerRetryAfter, wholeSeconds(f.RetryDelay()))
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n%s%s: %s\r\n%s: %s\r\n\r\n%s", resp.Status, http.StatusText(resp.Status),
		len(body), retryLine, HeaderOutcome, resp.Outcome, HeaderKind, f.Kind, body)
}

package head

import (
	"errors"
	"net/http"
)

// EndsWithConnection reports whether nothing but the end of its connection ends the body of a response.
// Such a body cannot be told from a part of it if the connection fails, and net/http's Transport takes the
// part for the whole. What net/http has uncompressed ends with a checksum.
func EndsWithConnection(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed
}

// ErrEndsWithConnection means that a response has no end of its own where one is needed.
var ErrEndsWithConnection = errors.New("the response has neither a length nor chunked encoding")

// Transport refuses responses whose body ends with its connection.
type Transport struct{ Next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if EndsWithConnection(resp) {
		_ = resp.Body.Close() // Nothing of it is used.
		return nil, ErrEndsWithConnection
	}
	return resp, nil
}

package daemon

import "net/http"

// Bounds of the messages between VMs and from operators. A peer may send bytes without end.
const (
	maxVMMessageBytes       = 32 << 20
	maxOperatorMessageBytes = 4 << 20
)

// boundedTransport makes the bodies of responses fail once they are longer than a bound.
type boundedTransport struct {
	next     http.RoundTripper
	maxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, t.maxBytes)
	return resp, nil
}

package fleetapi

import "net/http"

// HeaderToken proves that the caller is a VM of the fleet.
const HeaderToken = "Laburnumpick-Token"

// NewOperatorClient returns a client of the operators' port at an address of
// the form host:port, which shows the operator's token in each call.
func NewOperatorClient(address, token string, hc *http.Client) Operator {
	withToken := *hc
	withToken.Transport = &bearer{token, hc.Transport}
	return NewOperatorProtobufClient("http://"+address, &withToken)
}

// bearer shows an operator's token in each call.
type bearer struct {
	token string
	next  http.RoundTripper // Nil for net/http's default.
}

// RoundTrip implements http.RoundTripper.
func (b *bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	if b.next == nil {
		return http.DefaultTransport.RoundTrip(r)
	}
	return b.next.RoundTrip(r)
}

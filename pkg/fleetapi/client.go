package fleetapi

import (
	"net/http"

	"laburnumpick.org/pkg/head"
)

// HeaderToken is the header with the fleet's token, which proves that the caller is
// a VM of the fleet.
const HeaderToken = "Laburnumpick-Token"

// NewOperatorClient returns a client of the operators' API at an address of the
// form host:port. It authenticates each call with the operator's token.
func NewOperatorClient(address, token string, hc *http.Client) Operator {
	withToken := *hc
	withToken.Transport = head.Transport{Next: &bearerTransport{token, hc.Transport}}
	return NewOperatorProtobufClient("http://"+address, &withToken)
}

// bearerTransport adds a bearer token to each request.
type bearerTransport struct {
	token string
	next  http.RoundTripper // If nil, http.DefaultTransport.
}

// RoundTrip implements http.RoundTripper.
func (b *bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	if b.next == nil {
		return http.DefaultTransport.RoundTrip(r)
	}
	return b.next.RoundTrip(r)
}

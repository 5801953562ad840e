package backend

import (
	"cmp"
	"net/http"

	"laburnumpick.org/pkg/site"
)

// Contract describes what peers and the fleet agree on beyond HTTP. The zero
// Contract is the default, in which a server refuses with HeaderRefused.
type Contract struct {
	// HeaderExpect is the header that names the server for which a request is
	// meant. A server with another name must refuse the request. It is empty if
	// servers do not check.
	HeaderExpect string
	// HeaderAccount is the header that names the client account that a request's key
	// identifies. If it is empty, it is backend.HeaderAccount.
	HeaderAccount string
	// HeaderLimit is the response header in which a server names its
	// site.RequestLimit. If it is empty, it is HeaderRequestLimit.
	HeaderLimit string
	// HeaderLeaving is the response header in which a server says that it leaves. If it is
	// empty, it is HeaderServerLeaving.
	HeaderLeaving string
	// RequiresEcho means that servers echo the ID of each request. Only on a new connection may a
	// refusal leave it out.
	RequiresEcho bool
	// Refused reports whether a response means that the server has not run the
	// request and never will. The reason is one of the Refused constants. If
	// Refused is nil, the HeaderRefused header is used.
	Refused func(status int, h http.Header) (reason string, refused bool)
	// CheckOrigin returns an error if a response cannot come from the server
	// itself, for example if an intermediary wrote it.
	CheckOrigin func(status int, h http.Header) error
	// AllowCloseDelimited accepts a response without a length and without chunked
	// encoding as complete once its connection has been closed cleanly.
	AllowCloseDelimited bool
}

// Refusal reports whether the server refused the request without running its
// handler, and why.
func (c Contract) Refusal(resp *Response) (reason string, refused bool) {
	return c.refusal(resp.Status, resp.Header)
}

func (c Contract) refusal(status int, h http.Header) (reason string, refused bool) {
	if c.Refused != nil {
		return c.Refused(status, h)
	}
	v := h.Get(HeaderRefused)
	if status != http.StatusServiceUnavailable || v == "" {
		return "", false
	}
	switch v {
	case RefusedDrain, RefusedCold:
		return v, true
	default:
		return RefusedShed, true
	}
}

// Limit returns the limit on requests that the server of a response names. See
// site.ParseRequestLimit for the error.
func (c Contract) Limit(h http.Header) (site.RequestLimit, error) {
	return site.ParseRequestLimit(h.Values(cmp.Or(c.HeaderLimit, HeaderRequestLimit)))
}

// check returns an error if a response cannot come from the server itself.
func (c Contract) check(r *http.Response) error {
	if c.CheckOrigin == nil {
		return nil
	}
	return c.CheckOrigin(r.StatusCode, r.Header)
}

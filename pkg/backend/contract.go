package backend

import "net/http"

// Contract is what servers and the fleet agree on beyond HTTP. The zero
// contract is the fleet's own.
type Contract struct {
	// HeaderExpect names the server that a request is meant for; a server of
	// another name must refuse it. It is empty where servers do not look.
	HeaderExpect string
	// Refused reports whether an answer says that the server has not run the
	// request and never will, and why: one of the Refused constants.
	Refused func(status int, h http.Header) (why string, refused bool)
	// CheckOrigin returns an error where an answer cannot be the server's own.
	CheckOrigin func(status int, h http.Header) error
	// AllowCloseDelimited says that an answer without length and chunks is whole once its
	// connection has been closed cleanly.
	AllowCloseDelimited bool
}

// Refusal reports whether an answer was given before the server's handler ran.
func (c Contract) Refusal(a *Response) (why string, refused bool) {
	if c.Refused != nil {
		return c.Refused(a.Status, a.Header)
	}
	v := a.Header.Get(HeaderRefused)
	if a.Status != http.StatusServiceUnavailable || v == "" {
		return "", false
	}
	switch v {
	case RefusedDrain, RefusedCold:
		return v, true
	default:
		return RefusedShed, true
	}
}

// check returns an error where an answer cannot be the server's own.
func (c Contract) check(r *http.Response) error {
	if c.CheckOrigin == nil {
		return nil
	}
	return c.CheckOrigin(r.StatusCode, r.Header)
}

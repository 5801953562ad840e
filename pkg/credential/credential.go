// Package credential identifies the client account of a request by the key that its caller
// sends in the Authorization header. It keeps keys out of everything that leaves the VM: a
// Presented has no text form, and removes its keys from headers and texts.
package credential

import (
	"cmp"
	"crypto/subtle"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"laburnumpick.org/pkg/site"
)

// headerAuthorization is the header in which callers send keys.
const headerAuthorization = "Authorization"

// HeaderChallenge is the header of a response with status 401 that names the scheme.
const HeaderChallenge = "WWW-Authenticate"

// Scheme is the authentication scheme with which callers send keys. Its case does not matter.
type Scheme string

// DefaultScheme is the scheme of platforms that name no other one.
const DefaultScheme Scheme = "Bearer"

// Result is what a request's credentials show: Identified, Anonymous or Unauthorized.
type Result interface{ isResult() }

// Identified means that the key belongs to an account.
type Identified struct{ Account *site.Account }

// Anonymous means that the request has no key and needs none.
type Anonymous struct{}

// Unauthorized means that the request must not run.
type Unauthorized struct{ Reason Reason }

func (Identified) isResult()   {}
func (Anonymous) isResult()    {}
func (Unauthorized) isResult() {}

// Reason is why a request is unauthorized.
type Reason string

// Reasons.
const (
	NoKey         Reason = "noKey"         // There is no Authorization header.
	SeveralKeys   Reason = "severalKeys"   // There is more than one Authorization header.
	UnknownScheme Reason = "unknownScheme" // The header has another scheme.
	EmptyKey      Reason = "emptyKey"      // The header has the scheme, but no key.
	UnknownKey    Reason = "unknownKey"    // No account holds the key.
)

// Detail describes the reason to the caller and the operators.
func (r Reason) Detail() string {
	switch r {
	case NoKey:
		return "the request has no Authorization header"
	case SeveralKeys:
		return "the request has more than one Authorization header"
	case UnknownScheme:
		return "the Authorization header has an unknown scheme"
	case EmptyKey:
		return "the Authorization header has no key"
	case UnknownKey:
		return "no client account holds the key"
	default:
		return "the request is not authorized"
	}
}

// Presented holds the credentials that a request presents.
type Presented struct {
	headers int      // Number of Authorization headers.
	scheme  bool     // The only header has the expected scheme.
	key     string   // The key in the only header.
	secrets []string // The texts that must not reach a server or a log.
}

// Read returns the credentials in a request's headers. Keys are expected with the scheme, or
// with DefaultScheme if it is empty.
func Read(h http.Header, s Scheme) *Presented {
	values := h.Values(headerAuthorization)
	p := &Presented{headers: len(values)}
	for _, v := range values {
		scheme, key := split(v)
		expected := strings.EqualFold(scheme, string(s.orDefault()))
		if len(values) == 1 {
			p.scheme, p.key = expected, key
		}
		if key == "" && !expected {
			key = scheme // A key may have been sent without a scheme.
		}
		if key != "" {
			p.secrets = append(p.secrets, key)
		}
	}
	return p
}

func (s Scheme) orDefault() Scheme { return cmp.Or(s, DefaultScheme) }

// Challenge returns the value of HeaderChallenge.
func (s Scheme) Challenge() string { return string(s.orDefault()) }

// split returns the scheme of an Authorization header and what follows it.
func split(value string) (scheme, key string) {
	value = strings.Trim(value, " \t")
	i := strings.IndexAny(value, " \t")
	if i < 0 {
		return value, ""
	}
	return value[:i], strings.Trim(value[i:], " \t")
}

// Identify finds the account of a request in a configuration that requires keys. A request
// that needs no key is anonymous if it presents none of the expected scheme, but one with a
// wrong key is unauthorized as elsewhere.
func (p *Presented) Identify(d *site.Directory, needsKey bool) Result {
	switch {
	case p.headers == 0 && needsKey:
		return Unauthorized{NoKey}
	case p.headers > 1:
		return Unauthorized{SeveralKeys}
	case p.headers == 1 && !p.scheme && needsKey:
		return Unauthorized{UnknownScheme}
	case p.headers == 0 || !p.scheme:
		return Anonymous{}
	case p.key == "":
		return Unauthorized{EmptyKey}
	}
	digest := site.DigestKey(p.key)
	if a := d.AccountByKey(digest); a != nil && holds(a, digest) {
		return Identified{a}
	}
	return Unauthorized{UnknownKey}
}

// holds reports whether the account holds a key with the digest, in a time that does not
// depend on the digests.
func holds(a *site.Account, digest site.KeyDigest) bool {
	found := 0
	for _, k := range a.Keys {
		found |= subtle.ConstantTimeCompare([]byte(k), []byte(digest))
	}
	return found == 1
}

// IsIn reports whether a text contains what the request presents as a key.
func (p *Presented) IsIn(text string) bool {
	return slices.ContainsFunc(p.secrets, func(s string) bool { return strings.Contains(text, s) })
}

// Redact returns a text without what the request presents as keys.
func (p *Presented) Redact(text string) string {
	for _, s := range p.secrets {
		text = strings.ReplaceAll(text, s, "[key]")
	}
	return text
}

// RemoveFrom removes the Authorization headers and all headers that contain what the request
// presents as keys.
func (p *Presented) RemoveFrom(h http.Header) {
	for n, values := range h {
		if strings.EqualFold(n, headerAuthorization) || p.isInName(n) {
			delete(h, n)
			continue
		}
		if kept := p.without(values); len(kept) > 0 {
			h[n] = kept
		} else {
			delete(h, n)
		}
	}
}

// isInName reports whether a header's name, whose case net/http may have changed, contains
// what the request presents as a key.
func (p *Presented) isInName(name string) bool {
	return slices.ContainsFunc(p.secrets, func(s string) bool {
		return len(s) <= len(name) && strings.Contains(strings.ToLower(name), strings.ToLower(s))
	})
}

// without returns the values of a header that do not contain a key.
func (p *Presented) without(values []string) []string {
	if !slices.ContainsFunc(values, p.IsIn) {
		return values
	}
	return slices.DeleteFunc(slices.Clone(values), p.IsIn)
}

// Format implements fmt.Formatter, so that no verb prints a key.
func (p Presented) Format(s fmt.State, _ rune) { _, _ = fmt.Fprint(s, "credentials") }

package soak

import (
	"fmt"
	"net/http"
	"strings"

	"laburnumpick.org/platform/standin"
)

// wrongKeyInterval is the number of requests of a caller of which one has a key that no account
// holds.
const wrongKeyInterval = 20

// credentials is what a request shows of its caller, and what its server must see of that.
type credentials struct {
	authorization string // Empty for none.
	account       string // The account that the server is told; empty if it is told none.
	unknown       bool   // No account holds the key.
}

// credentialsOf returns the credentials of a caller's k-th request.
func credentialsOf(caller, k int, anonymous bool) credentials {
	a := standin.Accounts[caller%len(standin.Accounts)]
	switch {
	case anonymous:
		return credentials{}
	case k%wrongKeyInterval == wrongKeyInterval-1:
		return credentials{authorization: "Token wrong-" + a.Key, unknown: true}
	default:
		return credentials{authorization: "Token " + a.Key, account: a.Name}
	}
}

// headerLines returns the header lines of the request: the key, a copy of it, and an account
// that the caller forges.
func (c credentials) headerLines() string {
	lines := "laburnumpick_tenant: forged\r\n"
	if c.authorization != "" {
		lines += fmt.Sprintf("Authorization: %s\r\nX-Copy: %s\r\n", c.authorization, c.authorization)
	}
	return lines
}

// allowed returns the statuses that the request may get.
func (c credentials) allowed() []int {
	if c.unknown {
		return append([]int{http.StatusUnauthorized}, notRunStatuses...)
	}
	return allowedStatuses
}

// violation describes what a server must not have seen, or not have run. It returns "" if all is
// as promised.
func (c credentials) violation(h http.Header) string {
	seen := fmt.Sprint(h)
	switch {
	case c.unknown:
		return "a request with an unknown key ran"
	case c.authorization != "" && strings.Contains(seen, strings.TrimPrefix(c.authorization, "Token ")):
		return "a server saw the key"
	case strings.Contains(seen, "forged") || strings.Join(h.Values(standin.HeaderTenant), "|") != c.account:
		return fmt.Sprintf("a server was told account %q instead of %q", h.Values(standin.HeaderTenant), c.account)
	}
	return ""
}

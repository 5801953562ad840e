package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"

	"github.com/twitchtv/twirp"

	"laburnumpick.org/pkg/catalog"
)

// Role is an operator's permission level. Each level includes the ones below it.
type Role int

// Roles, in ascending order.
const (
	None       Role = iota
	Read            // May read the state.
	Operate         // May also change the configuration, servers and quarantined requests.
	Administer      // May also stop VMs.
)

// ParseRole returns the role with the given name in the settings, or None.
func ParseRole(name string) Role {
	switch name {
	case "read":
		return Read
	case "operate":
		return Operate
	case "administer":
		return Administer
	default:
		return None
	}
}

// Operator is a user of the operators' API.
type Operator struct {
	Name  string
	Role  Role
	Token string
}

// operatorKey is the key of the authenticated Operator in a request's context.
type operatorKey struct{}

// RequireOperator passes on only requests with a known operator's bearer token, and
// adds the operator to their context.
func RequireOperator(operators func() []Operator, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		op, known := findOperator(operators(), token)
		if !ok || !known {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "no known operator's token in the request"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, op)))
	})
}

// findOperator returns the operator with the given token. It compares digests in
// constant time, so that the response time reveals neither a token nor its length.
func findOperator(all []Operator, token string) (Operator, bool) {
	got := sha256.Sum256([]byte(token))
	var found Operator
	ok := false
	for _, o := range all {
		want := sha256.Sum256([]byte(o.Token))
		if o.Token != "" && subtle.ConstantTimeCompare(got[:], want[:]) == 1 {
			found, ok = o, true
		}
	}
	return found, ok
}

// authorize returns the operator who made a call if its role is at least the
// required one.
func authorize(ctx context.Context, required Role) (Operator, error) {
	op, ok := ctx.Value(operatorKey{}).(Operator)
	if !ok {
		return Operator{}, twirp.NewError(twirp.Unauthenticated, "no known operator's token in the request")
	}
	if op.Role < required {
		return Operator{}, twirp.NewError(twirp.PermissionDenied, op.Name+" lacks the role that this call requires")
	}
	return op, nil
}

// RequireFleetToken passes on only requests that have the fleet's token in the
// given header, and removes that header.
func RequireFleetToken(header, token string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get(header)))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "no valid fleet token in the request"))
			return
		}
		r.Header.Del(header)
		next.ServeHTTP(w, r)
	})
}

func formatVersion(v catalog.Version) string { return strconv.FormatInt(int64(v), 10) }

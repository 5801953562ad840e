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

// Role is what an operator may do. Each role may do what those before it may.
type Role int

// Roles.
const (
	None Role = iota
	Read
	Operate
	Administer
)

// ParseRole reads a role's name in the settings.
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

// Operator is somebody who may ask or command.
type Operator struct {
	Name  string
	Role  Role
	Token string
}

type operatorKey struct{}

// RequireOperator lets only operators with a known token through.
func RequireOperator(operators func() []Operator, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		who, known := find(operators(), token)
		if !ok || !known {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "give a known operator's token"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, who)))
	})
}

// find compares digests in constant time, so that neither the token nor its
// length can be guessed from the time that a refusal takes.
func find(all []Operator, token string) (Operator, bool) {
	given := sha256.Sum256([]byte(token))
	var found Operator
	ok := false
	for _, o := range all {
		want := sha256.Sum256([]byte(o.Token))
		if o.Token != "" && subtle.ConstantTimeCompare(given[:], want[:]) == 1 {
			found, ok = o, true
		}
	}
	return found, ok
}

// allow returns the operator of a call if its role suffices.
func allow(ctx context.Context, need Role) (Operator, error) {
	who, ok := ctx.Value(operatorKey{}).(Operator)
	if !ok {
		return Operator{}, twirp.NewError(twirp.Unauthenticated, "give a known operator's token")
	}
	if who.Role < need {
		return Operator{}, twirp.NewError(twirp.PermissionDenied, who.Name+" may not do this")
	}
	return who, nil
}

// RequireFleetToken lets only calls through that show the fleet's token.
func RequireFleetToken(header, token string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := sha256.Sum256([]byte(r.Header.Get(header)))
		if subtle.ConstantTimeCompare(given[:], want[:]) != 1 {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "only VMs of the fleet are served here"))
			return
		}
		r.Header.Del(header)
		next.ServeHTTP(w, r)
	})
}

func versionText(v catalog.Version) string { return strconv.FormatInt(int64(v), 10) }

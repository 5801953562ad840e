package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func operators() []Operator {
	return []Operator{
		{"reader", Read, "reader-token-0000"},
		{"operator", Operate, "operator-token-00"},
		{"admin", Administer, "admin-token-00000"},
		{"nobody", None, "nobody-token-0000"},
		{"empty", Administer, ""},
	}
}

func TestBadTokens(t *testing.T) {
	h := RequireOperator(operators, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Fatal("a request with a bad token was passed on") }))
	for _, line := range []string{"", "Bearer ", "Bearer wrong", "Basic admin-token-00000", "admin-token-00000", "bearer admin-token-00000"} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, "/metrics", nil)
		r.Header.Set("Authorization", line)
		h.ServeHTTP(w, r)
		assert.Equal(t, w.Code, http.StatusUnauthorized, "%q", line)
		assert.Assert(t, !strings.Contains(w.Body.String(), "admin-token"))
	}
}

func TestFleetTokenRequired(t *testing.T) {
	passed := 0
	h := RequireFleetToken("Token", "right", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		passed++
		assert.Equal(t, r.Header.Get("Token"), "", "the token was passed on")
	}))
	for _, token := range []string{"right", "", "wrong", "right "} {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set("Token", token)
		h.ServeHTTP(httptest.NewRecorder(), r)
	}
	assert.Equal(t, passed, 1)
}

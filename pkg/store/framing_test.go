package store_test

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/store"
)

// TestResponsesOfTheStoreHaveAnEnd guards against a part of a row or an object that is taken for the whole: a
// response without a length or chunks ends wherever its connection does.
func TestResponsesOfTheStoreHaveAnEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		response    string
		read, write string // Classes of the errors.
	}{
		"length":                    {ok + "Content-Length: 2\r\n\r\n{}", "ok", "ok"},
		"chunked":                   {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", "ok", "ok"},
		"no body":                   {"HTTP/1.1 204 No Content\r\n\r\n", "ok", "ok"},
		"ends with its connection":  {ok + "\r\n{}", "unavailable", "unknown"},
		"HTTP/1.0":                  {"HTTP/1.0 200 OK\r\n\r\n{}", "unavailable", "unknown"},
		"length that is not seen":   {ok + "Content-Length : 5\r\n\r\n{}", "unavailable", "unknown"},
		"coding that is not seen":   {ok + "Transfer-Encoding : chunked\r\n\r\n2\r\n{}", "unavailable", "unknown"},
		"refusal without a length":  {"HTTP/1.1 503 Away\r\n\r\naway", "ok", "ok"}, // Its status says all.
		"cut before the whole body": {ok + "Content-Length: 5\r\n\r\n{}", "unavailable", "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			srv, err := standin.NewRawServer(standin.RespondRaw(c.response))
			assert.NilError(t, err)
			defer func() { assert.NilError(t, srv.Close()) }()
			url := "http://" + srv.Address()
			hc := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			_, err = store.Call{Method: http.MethodGet, URL: url}.Do(context.Background(), hc)
			assertClass(t, err, c.read)
			_, err = store.Call{Method: http.MethodPut, URL: url, Body: []byte("value"), Write: true}.Do(context.Background(), hc)
			assertClass(t, err, c.write)
		})
	}
}

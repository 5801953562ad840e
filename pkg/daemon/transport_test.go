package daemon

import (
	"context"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/standin"
)

// TestMessagesBetweenVMsHaveAnEnd guards against a part of a message of another VM that is taken for the
// whole: an encoded message may be valid wherever it is cut, and a response without a length or chunks ends
// wherever its connection does. Operators' calls are part of it.
func TestMessagesBetweenVMsHaveAnEnd(t *testing.T) {
	const headText = "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n"
	for name, c := range map[string]struct {
		response string
		whole    bool
	}{
		"length":                   {headText + "Content-Length: 0\r\n\r\n", true},
		"chunked":                  {headText + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		"ends with its connection": {headText + "\r\n", false},
		"length that is not seen":  {headText + "Content-Length : 40\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			srv, err := standin.NewRawServer(standin.RespondRaw(c.response))
			assert.NilError(t, err)
			defer func() { assert.NilError(t, srv.Close()) }()
			nw := Network{Dial: func(context.Context, string) (net.Conn, error) { return net.Dial("tcp", srv.Address()) }}
			hc := new(Daemon).vmClient(nw)
			_, err = fleetapi.NewFleetProtobufClient("http://vm", hc).Changes(context.Background(), &fleetapi.ChangesRequest{})
			assert.Equal(t, err == nil, c.whole, "%v", err)
			operator := &http.Client{Transport: NewTransport(nw)}
			_, err = fleetapi.NewOperatorClient("vm", "token", operator).Believe(context.Background(), &fleetapi.BelieveRequest{})
			assert.Equal(t, err == nil, c.whole, "%v", err)
		})
	}
}

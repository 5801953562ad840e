package backend

import (
	"context"
	"net"

	"laburnumpick.org/pkg/socket"
)

// connKey is the context key of the connection on which a request has come.
type connKey struct{}

// WithConn returns the context of the requests of a connection, for http.Server.ConnContext.
func WithConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// IsCallerGone reports whether the sender of a request that has been read whole has closed its
// connection. net/http notices that a moment later than it has arrived: after a pause of the
// process, a request and the end of its connection are read at the same time.
func IsCallerGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	nc, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && !socket.IsQuiet(nc)
}

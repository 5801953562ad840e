package backend

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"
)

// ErrNoKeptConn means that no connection was idle, where a new one must not be opened.
var ErrNoKeptConn = errors.New("no open connection to the server")

// connectTimeoutError means that a connection could not be opened in time, although the request
// still had time left.
type connectTimeoutError struct {
	address string
	timeout time.Duration
}

// Error returns the address and the timeout.
func (e *connectTimeoutError) Error() string {
	return fmt.Sprintf("no connection to %s within %v", e.address, e.timeout)
}

// Is reports that the error is a timeout of a system call.
func (*connectTimeoutError) Is(target error) bool { return target == syscall.ETIMEDOUT }

// ConnectResult is how the attempt to open a connection ended.
type ConnectResult string

// Results of opening a connection.
const (
	Connected         ConnectResult = "connected"
	ConnectionRefused ConnectResult = "refused"
	ConnectionReset   ConnectResult = "reset"
	ConnectTimedOut   ConnectResult = "timedOut"
	ConnectCanceled   ConnectResult = "canceled" // Nobody waited for the connection any more.
	ConnectFailed     ConnectResult = "failed"   // For another reason, such as a missing route.
)

// ConnectResultOf returns the result that an error of a Dialer stands for.
func ConnectResultOf(err error) ConnectResult {
	switch {
	case err == nil:
		return Connected
	case errors.Is(err, syscall.ECONNREFUSED):
		return ConnectionRefused
	case errors.Is(err, syscall.ECONNRESET):
		return ConnectionReset
	case errors.Is(err, context.Canceled):
		return ConnectCanceled
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return ConnectTimedOut
	default:
		return ConnectFailed
	}
}

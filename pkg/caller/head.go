package caller

import (
	"errors"
	"fmt"
	"os"

	"laburnumpick.org/pkg/head"
	"laburnumpick.org/pkg/outcome"
)

// malformed returns the failure of a request that cannot be parsed.
func malformed(err *head.Error) *outcome.Failure {
	return outcome.New(outcome.Malformed, "%v", err)
}

// readHead buffers the whole header of a request, within the limit, and checks it before net/http parses it.
func (c *conn) readHead(limit int) error {
	r, err := head.Buffer(c.r, c.nc, head.NewRequest(), limit)
	c.r = r
	if err == nil {
		return nil
	}
	if e, ok := errors.AsType[*head.Error](err); ok {
		return malformed(e)
	}
	if errors.Is(err, head.ErrTooLarge) {
		return outcome.New(outcome.HeaderTooLarge, "the request header exceeds %d bytes", limit)
	}
	return headerReadError(err)
}

// headerReadError classifies a read error in the middle of a header.
func headerReadError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return outcome.New(outcome.RequestTimeout, "timeout while reading the request header")
	}
	return fmt.Errorf("%w: %w", errCallerGone, err)
}

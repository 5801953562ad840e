package caller

import (
	"errors"
	"net/http"
	"os"

	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/outcome"
)

// unansweredReason is why a request that was read, at least in part, got no complete response.
type unansweredReason string

// Reasons for requests without a complete response. They are values of a metric's tag.
const (
	behindLast   unansweredReason = "behindLast"   // It came behind a response that announced the end of the connection.
	behindBroken unansweredReason = "behindBroken" // It came behind a response that broke off.
	brokenOff    unansweredReason = "brokenOff"    // Its own response broke off.
	callerLeft   unansweredReason = "callerLeft"   // The caller closed the connection, or it broke.
	notTaken     unansweredReason = "notTaken"     // The caller did not take the response within the write timeout.
	stopped      unansweredReason = "stopped"      // The stop of the VM ran out of time.
)

// errAborted means that a handler ended without a complete response.
var errAborted = errors.New("the handler aborted the response")

// reportUnanswered counts a request that gets no complete response and logs the reason. A caller that
// leaves is an ordinary event. The request is nil if it was not read to its end.
func (c *conn) reportUnanswered(reason unansweredReason, r *http.Request, cause error) {
	c.srv.cfg.Scope.Tagged(map[string]string{"reason": string(reason)}).Counter("unanswered").Inc(1)
	level := klog.Level(0)
	if reason == callerLeft {
		level = 1
	}
	id := ""
	if r != nil {
		id = r.Header.Get(outcome.HeaderRequestID)
	}
	klog.V(level).InfoS("caller: a request got no complete response", "id", id, "from", c.nc.RemoteAddr(), "reason", reason, "cause", cause)
}

// reasonFor returns why the response to an exchange is incomplete, after an error.
func (x *exchange) reasonFor(err error) unansweredReason {
	c := x.conn
	switch {
	case c.srv.ctx.Err() != nil:
		return stopped
	case c.ctx.Err() != nil:
		return callerLeft
	case errors.Is(x.writeError, os.ErrDeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded):
		return notTaken
	case x.writeError == nil && (errors.Is(err, errAborted) || errors.Is(err, errBodyTooShort) || errors.Is(err, errBodyTooLong)):
		return brokenOff
	default:
		return callerLeft
	}
}

// reasonNotAccepted returns why a request that was read whole is not accepted. The caller must hold c.mu.
func (c *conn) reasonNotAccepted() unansweredReason {
	switch {
	case c.srv.ctx.Err() != nil:
		return stopped
	case c.ctx.Err() != nil:
		return callerLeft
	case c.broken:
		return behindBroken
	default:
		return behindLast
	}
}

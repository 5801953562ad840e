package caller

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/socket"
)

// expiredDeadline is a deadline that makes a blocked read return.
var expiredDeadline = time.Unix(1, 0)

// keepAliveShare is the share of the idle timeout that callers are told. The rest is for requests
// that are under way when the time that they were told ends.
const keepAliveShare = 0.8

// announceKeepAlive tells the caller how long it may keep the connection idle, in whole seconds. A time
// below a second cannot be told.
func announceKeepAlive(h http.Header, idleTimeout time.Duration) {
	seconds := int(keepAliveShare * idleTimeout.Seconds())
	if seconds < 1 {
		return
	}
	h.Set("Connection", "keep-alive")
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
}

// errIdle means that a connection without unanswered requests reached its idle
// timeout or was closed by closeIfIdle, or that its last response was written.
var errIdle = errors.New("idle")

// awaitRequest waits for the first byte of the next request.
func (c *conn) awaitRequest() error {
	c.mu.Lock()
	c.setIdleDeadline()
	c.mu.Unlock()
	for {
		_, err := c.r.Peek(1)
		if err == nil {
			c.beginReading()
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return fmt.Errorf("%w: %w", errCallerGone, err)
		}
		if !c.keepsWaiting(time.Now()) {
			return errIdle
		}
	}
}

// keepsWaiting decides, after a read deadline has passed, whether to wait further for a request. Such a
// deadline hides what the network has already delivered, however late this process reads it, so the
// network is asked before an idle connection ends.
func (c *conn) keepsWaiting(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := len(c.queue) == 0
	switch {
	case c.closing && !c.closedIdle:
		return false
	case idle && !socket.IsQuiet(c.nc):
		c.setLastLook(now)
		return true
	case idle && (c.closedIdle || !now.Before(c.idleEnd())):
		c.closing, c.closedIdle = true, true
		return false
	default:
		c.setIdleDeadline()
		return true
	}
}

// idleEnd returns when the connection has been idle for long enough by the present limits, which may
// have changed since it became idle. The caller must hold c.mu.
func (c *conn) idleEnd() time.Time { return c.idleSince.Add(c.srv.cfg.Limits().IdleTimeout) }

// beginReading records that a request has begun to arrive. A connection that was closed as idle
// meanwhile accepts it.
func (c *conn) beginReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	if c.closedIdle {
		c.closing, c.closedIdle = false, false
	}
}

// setIdleDeadline sets the deadline for the first byte of the next request: the
// idle timeout, none while requests are unanswered, or an expired one if the
// connection is closing. The caller must hold c.mu.
func (c *conn) setIdleDeadline() {
	switch {
	case c.reading:
	case c.closing && len(c.queue) == 0:
		_ = c.nc.SetReadDeadline(expiredDeadline)
	case len(c.queue) > 0:
		_ = c.nc.SetReadDeadline(time.Time{})
	default:
		_ = c.nc.SetReadDeadline(c.idleEnd())
	}
}

// lastLook is how long an idle connection is read before it ends, for a request that has arrived, or
// that is under way when the VM stops.
const lastLook = 5 * time.Millisecond

// setLastLook sets the read deadline for a last look.
func (c *conn) setLastLook(now time.Time) {
	_ = c.nc.SetReadDeadline(now.Add(lastLook)) // A broken connection is noticed by the read.
}

// closeIfIdle closes the connection if it has no unanswered or partly read request.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 && !c.reading {
		c.closing, c.closedIdle = true, true
		c.setLastLook(time.Now())
	}
}

// endsIdle reports whether the connection ends only since it was idle.
func (c *conn) endsIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedIdle
}

// leaveTimeToRead ends the write side of an idle connection and gives the caller time to read a response
// that was written a moment ago. It reads nothing: the caller of a request that crosses the end of
// the connection learns from the reset that the request was not read, and can send it again.
func (c *conn) leaveTimeToRead(now time.Time) {
	c.mu.Lock()
	left := c.idleSince.Add(lingerTimeout).Sub(now)
	c.mu.Unlock()
	wc, ok := c.nc.(writeCloser)
	if left <= 0 || !ok || wc.CloseWrite() != nil {
		return
	}
	_ = control.Sleep(c.srv.ctx, left) // A stop that runs out of time ends the wait.
}

package caller

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnansweredRequestsAreCounted guards against requests that were read and got no response without a
// word in any metric.
func TestUnansweredRequestsAreCounted(t *testing.T) {
	cases := []struct {
		reason unansweredReason
		play   func(f *fixture)
	}{
		{brokenOff, func(f *fixture) {
			c, r := f.dial()
			f.send(c, get("/0ms/abort"))
			_, _ = io.ReadAll(r)
		}},
		{behindBroken, func(f *fixture) {
			c, r := f.dial()
			f.send(c, get("/50ms/abort")+post("/0ms/b", "x"))
			_, _ = io.ReadAll(r)
		}},
		{behindLast, func(f *fixture) {
			c, r := f.dial()
			f.send(c, get("/50ms/a")+post("/0ms/b", "x"))
			time.Sleep(20 * time.Millisecond)
			f.s.DisableKeepAlives()
			_, _ = io.ReadAll(r)
		}},
		{callerLeft, func(f *fixture) {
			c, _ := f.dial()
			f.send(c, get("/9s/a"))
			time.Sleep(20 * time.Millisecond)
			assert.NilError(f.t, c.Close())
		}},
	}
	for _, c := range cases {
		t.Run(string(c.reason), func(t *testing.T) {
			withServer(t, func(f *fixture) {
				c.play(f)
				time.Sleep(time.Second)
				assert.Equal(t, f.unanswered(c.reason), int64(1))
			})
		})
	}
}

// TestCallerThatTakesNoResponse guards against a write timeout that is counted as a caller that left.
func TestCallerThatTakesNoResponse(t *testing.T) {
	withServer(t, func(f *fixture) {
		near, far := net.Pipe() // A write waits for the reader.
		go newConn(f.s, near).serve()
		f.send(far, get("/0ms/long"))
		time.Sleep(2 * limits.WriteTimeout)
		assert.Equal(t, f.unanswered(notTaken), int64(1))
		assert.NilError(t, far.Close())
	})
}

// unanswered returns how many requests were counted with a reason.
func (f *fixture) unanswered(reason unansweredReason) int64 {
	for _, c := range f.metrics.Snapshot().Counters() {
		if c.Name() == "unanswered" && c.Tags()["reason"] == string(reason) {
			return c.Value()
		}
	}
	return 0
}

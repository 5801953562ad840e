package backend

import (
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/head"
)

// TestLargeHeadHoldsNoMemory guards against idle connections that keep the buffer of the largest head that
// their server has ever sent.
func TestLargeHeadHoldsNoMemory(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() {
		_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 3*bufferSize)+"\r\n\r\n")
		_ = far.Close()
	}()
	c := newConn(near)
	s := head.NewResponse()
	assert.NilError(t, c.bufferHead(s))
	assert.Assert(t, c.r.Size() > bufferSize)
	_, err := c.r.Discard(s.Len())
	assert.NilError(t, err)
	c.shrink()
	assert.Equal(t, c.r.Size(), bufferSize)
}

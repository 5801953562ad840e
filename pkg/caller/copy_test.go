package caller

import (
	"io"
	"net"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// discardConn takes all that is written to it.
type discardConn struct{ net.Conn }

func (discardConn) Write(p []byte) (int, error)        { return len(p), nil }
func (discardConn) SetWriteDeadline(_ time.Time) error { return nil }

// TestLargePieceOfAResponseIsNotCopied guards against copies of the first piece of a streamed response, up to
// a megabyte each, that no bound on a VM's memory counted: 700 slow readers took 337 MB.
func TestLargePieceOfAResponseIsNotCopied(t *testing.T) {
	const size = 1 << 20
	c := newConn(New(Config{Limits: func() Limits { return limits }}), discardConn{})
	x := newExchange(c, received{req: httptest.NewRequest("GET", "/", nil), at: time.Now()})
	c.queue = append(c.queue, x)
	close(x.atHead)
	piece := make([]byte, size)
	_, err := io.WriteString(x, "head")
	assert.NilError(t, err)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = x.Write(piece)
	assert.NilError(t, err)
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxBufferedBytes, "%d bytes were allocated", after.TotalAlloc-before.TotalAlloc)
}

package socket_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/socket"
)

// pair returns both ends of a connection over loopback.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	far, err = net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	near, err = ln.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// TestQuietConnectionThatIsBeingRead guards against a check of a connection that waits for the
// goroutine that reads from it.
func TestQuietConnectionThatIsBeingRead(t *testing.T) {
	near, far := pair(t)
	read := make(chan error)
	go func() {
		_, err := near.Read(make([]byte, 1))
		read <- err
	}()
	assert.Assert(t, socket.IsQuiet(near))
	assert.NilError(t, far.Close())
	assert.ErrorIs(t, <-read, io.EOF)
	assert.Assert(t, !socket.IsQuiet(near))
}

// TestExpiredDeadlineHidesNothing guards against a check that a read deadline answers in place of the
// network, as it does for a read.
func TestExpiredDeadlineHidesNothing(t *testing.T) {
	near, far := pair(t)
	assert.NilError(t, near.SetReadDeadline(time.Unix(1, 0)))
	wrapped := wrapped{near}
	assert.Assert(t, socket.IsQuiet(wrapped))
	_, err := far.Write([]byte("x"))
	assert.NilError(t, err)
	for socket.IsQuiet(wrapped) {
		time.Sleep(time.Millisecond)
	}
}

// wrapped is a connection around another one.
type wrapped struct{ net.Conn }

func (w wrapped) NetConn() net.Conn { return w.Conn }

package standin_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/standin"
)

// TestResetIsReportedOnce guards against a network that hides faults of those who use it: a kernel
// reports the reset of a connection once, to whoever reads or writes first, what has arrived by then can
// still be read, and after that comes a plain end.
func TestResetIsReportedOnce(t *testing.T) {
	const arrived, underWay = "arrived", "under way"
	for name, takes := range map[string]func(t *testing.T, near net.Conn){
		"the writer takes it": func(t *testing.T, near net.Conn) {
			_, err := near.Write([]byte("x"))
			assert.ErrorIs(t, err, syscall.ECONNRESET)
			text, err := io.ReadAll(near)
			assert.NilError(t, err)
			assert.Equal(t, string(text), arrived)
		},
		"the reader takes it": func(t *testing.T, near net.Conn) {
			text, err := io.ReadAll(near)
			assert.ErrorIs(t, err, syscall.ECONNRESET)
			assert.Equal(t, string(text), arrived)
			_, err = near.Read(make([]byte, 1))
			assert.ErrorIs(t, err, io.EOF)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := standin.NewNetwork(func(standin.Link) time.Duration { return time.Millisecond })
				ln, err := n.Listen("server:80")
				assert.NilError(t, err)
				near, err := n.DialFrom(context.Background(), "client", "server:80")
				assert.NilError(t, err)
				far, err := ln.Accept()
				assert.NilError(t, err)
				_, err = far.Write([]byte(arrived))
				assert.NilError(t, err)
				time.Sleep(time.Second)
				_, err = far.Write([]byte(underWay))
				assert.NilError(t, err)
				n.Kill("server")
				n.Kill("server")
				takes(t, near)
				_, err = near.Write([]byte("x"))
				assert.ErrorIs(t, err, syscall.EPIPE)
			})
		})
	}
}

package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/buffer"
)

// TestEndlessBodiesStayInTheBudget has 200 responses at once whose bodies never end. What is held
// for them must stay within the budget, and a response of a usual size must still be buffered
// whole.
func TestEndlessBodiesStayInTheBudget(t *testing.T) {
	const limit = 32 << 20
	heads := map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nLaburnumpick-Request-Id: %s\r\nContent-Length: 1000000000\r\n\r\n",
		"chunked":       "HTTP/1.1 200 OK\r\nLaburnumpick-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
	}
	block := strings.Repeat("x", 16<<10)
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			flood := func(p *peer, nc net.Conn, r *bufio.Reader) {
				id, ok := p.readRequest(r)
				if !ok {
					return
				}
				if id == "usual" {
					respond(nc, id, "whole")
					return
				}
				_, err := fmt.Fprintf(nc, head, id)
				for err == nil {
					piece := block
					if name == "chunked" {
						piece = fmt.Sprintf("%x;ext=%s\r\n%s\r\n", len(block), strings.Repeat("e", 100), block)
					}
					_, err = io.WriteString(nc, piece)
				}
			}
			withPeer(t, flood, func(t *testing.T, _ *peer, pool *backend.ConnPool) {
				budget := buffer.NewBudget(limit)
				ctx, cancel := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				for i := range 200 {
					held := budget.Open()
					wg.Go(func() {
						defer held.Close()
						resp, err := pool.Send(buffer.WithAccount(ctx, held), newRequest(fmt.Sprint(i), "GET", ""), backend.Options{MaxBufferedBody: 1 << 20})
						if err == nil {
							_ = resp.BodyRemainder.Close()
						}
						<-ctx.Done()
					})
				}
				time.Sleep(time.Second)
				assert.Assert(t, budget.Used() > limit/2 && budget.Used() <= limit, "%d", budget.Used())
				resp, err := pool.Send(buffer.WithAccount(context.Background(), budget.Open()), newRequest("usual", "GET", ""), backend.Options{MaxBufferedBody: 1 << 20})
				assert.NilError(t, err)
				assert.Equal(t, string(resp.Body), "whole")
				assert.Assert(t, resp.BodyRemainder == nil)
				cancel()
				wg.Wait()
			})
		})
	}
}

// TestFirstPieceOfAStreamedBodyIsGivenBack guards against slow readers that keep the room of the first piece of
// their response, up to a megabyte each, for as long as they take for the rest.
func TestFirstPieceOfAStreamedBodyIsGivenBack(t *testing.T) {
	const size, first = 300_000, 100_000
	serve := func(p *peer, nc net.Conn, r *bufio.Reader) {
		if id, ok := p.readRequest(r); ok {
			respond(nc, id, strings.Repeat("x", size))
		}
	}
	withPeer(t, serve, func(t *testing.T, _ *peer, pool *backend.ConnPool) {
		budget := buffer.NewBudget(1 << 20)
		held := budget.Open()
		defer held.Close()
		resp, err := pool.Send(buffer.WithAccount(context.Background(), held), newRequest("1", "GET", ""), backend.Options{MaxBufferedBody: first})
		assert.NilError(t, err)
		assert.Assert(t, budget.Used() >= first)
		w := &heldAtWrites{budget: budget}
		assert.NilError(t, backend.WriteBody(w, resp))
		assert.Equal(t, w.bytes, size)
		assert.Equal(t, w.heldLast, int64(0))
	})
}

// heldAtWrites records what the budget holds at the last write.
type heldAtWrites struct {
	budget   *buffer.Budget
	bytes    int
	heldLast int64
}

func (w *heldAtWrites) Write(p []byte) (int, error) {
	w.bytes += len(p)
	w.heldLast = w.budget.Used()
	return len(p), nil
}

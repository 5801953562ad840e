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

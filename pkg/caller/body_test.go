package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/buffer"
)

// useBuffers replaces the server's budget, before it has connections.
func (f *fixture) useBuffers(limit int64) *buffer.Budget {
	b := buffer.NewBudget(limit)
	f.s.cfg.Buffers = b
	return b
}

// upload is a request with a body.
type upload struct {
	f *fixture
	c net.Conn
	r *bufio.Reader
}

// upload sends a request with the first part of its body.
func (f *fixture) upload(path string, length int, sent string) *upload {
	c, r := f.dial()
	f.send(c, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, sent))
	return &upload{f, c, r}
}

// response reads the response.
func (u *upload) response() (status int, h http.Header) {
	resp, err := http.ReadResponse(u.r, nil)
	assert.NilError(u.f.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(u.f.t, err)
	assert.NilError(u.f.t, resp.Body.Close())
	return resp.StatusCode, resp.Header
}

// status reads the response and returns its status.
func (u *upload) status() int {
	status, _ := u.response()
	return status
}

// TestSlowSendersHarmNobodyElse has 500 callers that send their bodies so slowly that they hold all
// memory for bodies. Other callers must be served meanwhile, and those that are cut off are told
// that their requests have not run.
func TestSlowSendersHarmNobodyElse(t *testing.T) {
	withServer(t, func(f *fixture) {
		const size = 200 << 10
		budget := f.useBuffers(40 << 20)
		var slow []*upload
		for i := range 500 {
			slow = append(slow, f.upload(fmt.Sprintf("/x0s/slow%d", i), size, strings.Repeat("s", 20<<10)))
		}
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, budget.Used() > budget.Limit()*3/4, "%d", budget.Used())
		for i := range 20 {
			assert.Equal(t, f.upload(fmt.Sprintf("/x0s/usual%d", i), size, strings.Repeat("u", size)).status(), http.StatusOK)
			assert.Equal(t, f.upload(fmt.Sprintf("/x0s/small%d", i), 300, strings.Repeat("u", 300)).status(), http.StatusOK)
			assert.Assert(t, budget.Used() <= budget.Limit())
		}
		for _, u := range slow {
			status := u.status()
			assert.Assert(t, status == http.StatusRequestTimeout || status == http.StatusServiceUnavailable, "%d", status)
		}
		for _, path := range f.h.list(&f.h.began) {
			assert.Assert(t, !strings.Contains(path, "slow"), "%s has run", path)
		}
		time.Sleep(time.Second)
		assert.Equal(t, budget.Used(), int64(0), "all room is given back")
	})
}

// TestBodyWithoutRoomIsRefusedBeforeItIsRead checks a body for which there is no room now: its
// caller is told at once when to come back.
func TestBodyWithoutRoomIsRefusedBeforeItIsRead(t *testing.T) {
	withServer(t, func(f *fixture) {
		budget := f.useBuffers(1 << 20)
		held := budget.Open()
		assert.Assert(t, held.Reserve(800<<10))
		began := time.Now()
		status, h := f.upload("/x0s/large", 500<<10, "begins").response()
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, h.Get("Retry-After") != "")
		assert.Assert(t, time.Since(began) < 100*time.Millisecond)
		held.Close()
		u := f.upload("/x0s/large", 500<<10, "begins")
		f.send(u.c, strings.Repeat("x", 500<<10-len("begins")))
		assert.Equal(t, u.status(), http.StatusOK)
	})
}

// TestHeadBufferGrowsWithTheHead guards against connections that each hold memory for the largest
// head that the configuration allows, although theirs is small.
func TestHeadBufferGrowsWithTheHead(t *testing.T) {
	const largest = 64 << 20
	for _, size := range []int{100, readSize, 3 * readSize, 40 * readSize} {
		head := "GET /x0s HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", size) + "\r\n\r\n"
		client, server := net.Pipe()
		go func() { _, _ = io.WriteString(client, head) }() // Ends with the pipe.
		c := newConn(New(Config{}), server)
		_, err := c.r.Peek(1)
		assert.NilError(t, err)
		assert.NilError(t, c.readHead(largest))
		assert.Assert(t, c.r.Size() <= max(readSize, 2*len(head)), "%d bytes for a head of %d", c.r.Size(), len(head))
		req, err := http.ReadRequest(c.r)
		assert.NilError(t, err)
		assert.Equal(t, len(req.Header.Get("X")), size)
		assert.NilError(t, client.Close())
		assert.NilError(t, server.Close())
	}
}

package caller

import (
	"fmt"
	"io"
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

// upload sends a request with a body whose end is left out, and returns a function that reads the
// response.
func (f *fixture) upload(path string, length int, sent string) (respond func() *http.Response, finish func(rest string)) {
	c, r := f.dial()
	f.send(c, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, sent))
	respond = func() *http.Response {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(f.t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(f.t, err)
		return resp
	}
	return respond, func(rest string) { f.send(c, rest) }
}

// TestSlowSendersHarmNobodyElse has 500 callers that send their bodies so slowly that they hold all
// memory for bodies. Other callers must be served meanwhile, and those that are cut off are told
// that their requests have not run.
func TestSlowSendersHarmNobodyElse(t *testing.T) {
	withServer(t, func(f *fixture) {
		const size = 200 << 10
		budget := f.useBuffers(40 << 20)
		var responses []func() *http.Response
		for i := range 500 {
			respond, _ := f.upload(fmt.Sprintf("/x0s/slow%d", i), size, strings.Repeat("s", 20<<10))
			responses = append(responses, respond)
		}
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, budget.Used() > budget.Limit()*3/4, "%d", budget.Used())
		for i := range 20 {
			respond, _ := f.upload(fmt.Sprintf("/x0s/usual%d", i), size, strings.Repeat("u", size))
			assert.Equal(t, respond().StatusCode, http.StatusOK)
			respond, _ = f.upload(fmt.Sprintf("/x0s/small%d", i), 300, strings.Repeat("u", 300))
			assert.Equal(t, respond().StatusCode, http.StatusOK)
			assert.Assert(t, budget.Used() <= budget.Limit())
		}
		for _, respond := range responses {
			status := respond().StatusCode
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
		respond, _ := f.upload("/x0s/large", 500<<10, "begins")
		resp := respond()
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
		assert.Assert(t, time.Since(began) < 100*time.Millisecond)
		held.Close()
		respond, finish := f.upload("/x0s/large", 500<<10, "begins")
		finish(strings.Repeat("x", 500<<10-len("begins")))
		assert.Equal(t, respond().StatusCode, http.StatusOK)
	})
}

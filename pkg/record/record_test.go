package record

import (
	"bytes"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func TestOrdinaryLinesAreRateLimitedAndCounted(t *testing.T) {
	s := newSampler(10, 5)
	admitted := 0
	for i := range 2000 { // 1000 lines per second.
		if s.admit(start.Add(time.Duration(i)*time.Millisecond), Answered) {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 20 && admitted <= 25, "%d lines were admitted", admitted)
	assert.Equal(t, s.takeSuppressed()[Answered], 2000-admitted)
	assert.Equal(t, len(s.takeSuppressed()), 0)
}

// blockedOutput is an event log output whose writes block until release is closed.
type blockedOutput struct{ release chan struct{} }

func (s blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestBlockedOutputDoesNotBlockWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := blockedOutput{make(chan struct{})}
		w := NewWriter(s, 1000)
		for range 5000 {
			n, err := w.Write([]byte("a line of ten\n"))
			assert.NilError(t, err)
			assert.Equal(t, n, 14)
		}
		assert.Assert(t, w.TakeDropped() >= 5000-2*1000/14, "lines that did not fit were not counted as dropped")
		began := time.Now()
		w.Close(time.Second)
		assert.Equal(t, time.Since(began), time.Second, "Close did not wait for its timeout")
		close(s.release)
	})
}

// closedPipe is an event log output whose reader has closed the pipe.
type closedPipe struct{}

func (closedPipe) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

func TestClosedOutputLosesOnlyLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWriter(closedPipe{}, 1000)
		for range 100 {
			_, err := w.Write([]byte("line\n"))
			assert.NilError(t, err)
			synctest.Wait()
		}
		assert.Equal(t, w.TakeDropped(), 100)
		w.Close(time.Second)
	})
}

// slowOutput is an event log output whose writes take 10 ms. It keeps what was written.
type slowOutput struct {
	mu  sync.Mutex
	got bytes.Buffer
}

func (s *slowOutput) Write(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func TestLinesArriveInOrderAndComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s slowOutput
		w := NewWriter(&s, 10_000)
		var want bytes.Buffer
		for i := range 200 {
			line := []byte{byte('a' + i%26), '\n'}
			want.Write(line)
			_, err := w.Write(line)
			assert.NilError(t, err)
		}
		w.Close(time.Minute)
		assert.Equal(t, s.got.String(), want.String())
		assert.Equal(t, w.TakeDropped(), 0)
	})
}

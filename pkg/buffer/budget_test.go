package buffer_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/buffer"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

const (
	kib = 1 << 10
	mib = 1 << 20
)

// TestLargeBodiesLeaveRoomForSmallOnes has large bodies fill the budget. Requests with small bodies
// must still be served.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	b := buffer.NewBudget(8 * mib)
	large := b.Open()
	assert.Assert(t, large.Reserve(6*mib))
	assert.Assert(t, !b.Open().Reserve(2*mib))
	assert.Assert(t, large.Reserve(mib))
	for range 64 {
		assert.Assert(t, !b.Open().Reserve(17*kib), "an eighth is kept for small bodies")
		assert.Assert(t, b.Open().Reserve(16*kib))
	}
	assert.Assert(t, !b.Open().Reserve(1))
	assert.Equal(t, b.Used(), b.Limit())
	large.Close()
	large.Close()
	assert.Equal(t, b.Used(), int64(mib))
}

// TestSlowestSenderLosesItsRoom has 500 senders that send next to nothing hold all room. A sender at
// a usual rate must get room at once, from the slowest ones, and one that is only young keeps its own.
func TestSlowestSenderLosesItsRoom(t *testing.T) {
	b := buffer.NewBudget(32 * mib)
	cutOff := make(map[int]bool)
	for i := range 500 {
		a := b.Open()
		assert.Assert(t, a.Reserve(56*kib))
		a.BeginReceive(start, func() { cutOff[i] = true })
		a.Receive(i)
	}
	fast := b.Open()
	assert.Assert(t, fast.Reserve(mib/2))
	fast.BeginReceive(start, func() { t.Error("a sender at a usual rate was cut off") })
	fast.Receive(mib / 4)
	assert.Assert(t, !b.MakeRoom(start.Add(time.Second), mib), "nobody has been slow for long enough")
	assert.Assert(t, b.MakeRoom(start.Add(3*time.Second), mib))
	assert.Assert(t, len(cutOff) > 0 && len(cutOff) <= 20, "%d were cut off", len(cutOff))
	for i := range len(cutOff) {
		assert.Assert(t, cutOff[i], "the slowest go first")
	}
	assert.Assert(t, b.Open().Reserve(mib))
	assert.Assert(t, b.Used() <= b.Limit())
}

// TestArrivedBodyKeepsItsRoom checks that a request whose body has arrived is not cut off.
func TestArrivedBodyKeepsItsRoom(t *testing.T) {
	b := buffer.NewBudget(8 * mib)
	a := b.Open()
	a.BeginReceive(start, func() { t.Error("cut off") })
	assert.Assert(t, a.Reserve(7*mib))
	a.EndReceive()
	assert.Assert(t, !b.MakeRoom(start.Add(time.Hour), mib))
}

// TestRead checks what is read of a body, and that no more is held than is reserved.
func TestRead(t *testing.T) {
	cases := []struct {
		name         string
		size, length int64
		maxBytes     int64
		limit        int64
		ended        bool
	}{
		{"empty", 0, 0, 10, mib, true},
		{"empty, of unknown length", 0, -1, 10, mib, true},
		{"of known length", 300 * kib, 300 * kib, mib, mib, true},
		{"of unknown length", 300 * kib, -1, mib, mib, true},
		{"of the largest size", mib, mib, mib, 3 * mib, true},
		{"of the largest size and unknown length", mib, -1, mib, 3 * mib, true},
		{"too long", mib + 1, -1, mib, 3 * mib, false},
		{"too long by its length", mib + 1, mib + 1, mib, 3 * mib, false},
		{"no room", 300 * kib, 300 * kib, mib, 128 * kib, false},
		{"no room, of unknown length", 300 * kib, -1, mib, 128 * kib, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			want := bytes.Repeat([]byte("0123456789abcdef"), int(c.size/16)+1)[:c.size]
			b := buffer.NewBudget(c.limit)
			a := b.Open()
			source := bytes.NewReader(want)
			data, ended, err := buffer.Read(a, iotest.HalfReader(source), c.length, c.maxBytes)
			assert.NilError(t, err)
			assert.Equal(t, ended, c.ended)
			assert.Assert(t, bytes.HasPrefix(want, data))
			assert.Assert(t, int64(cap(data)) <= b.Used(), "%d bytes are held and %d reserved", cap(data), b.Used())
			assert.Assert(t, b.Used() <= c.limit)
			rest, err := io.ReadAll(source)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(append(data, rest...), want), "what was not read follows")
			a.Close()
			assert.Equal(t, b.Used(), int64(0))
		})
	}
}

// TestBodyOfKnownLengthIsHeldOnce guards against a large body that takes several times its size.
func TestBodyOfKnownLengthIsHeldOnce(t *testing.T) {
	const size = 60 * mib
	b := buffer.NewBudget(size + size/4)
	data, ended, err := buffer.Read(b.Open(), io.LimitReader(zeros{}, size), size, size)
	assert.NilError(t, err)
	assert.Assert(t, ended)
	assert.Equal(t, len(data), size)
	assert.Assert(t, cap(data) <= size+1)
}

// zeros reads as zeros without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func TestReadError(t *testing.T) {
	cause := errors.New("reset")
	_, ended, err := buffer.Read(nil, iotest.ErrReader(cause), -1, 10)
	assert.ErrorIs(t, err, cause)
	assert.Assert(t, !ended)
}

// TestRequestThatGoesOnGetsSmallBuffers checks a request that outlasts its caller, as one with an
// idempotency key does: its response can still be kept.
func TestRequestThatGoesOnGetsSmallBuffers(t *testing.T) {
	b := buffer.NewBudget(mib)
	a := b.Open()
	a.Close()
	assert.Assert(t, a.Reserve(17*kib))
	assert.Assert(t, !a.Reserve(mib))
	assert.Equal(t, b.Used(), int64(0))
}

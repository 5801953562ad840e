package buffer_test

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"slices"
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

// readFunc reads a body. It returns it whole, and the capacity of its buffers.
type readFunc func(a *buffer.Account, body io.Reader, length, maxBytes int64) (data []byte, capacity int64, ended bool, err error)

// readFuncs holds the functions of the package that read a body.
var readFuncs = map[string]readFunc{
	"Read": func(a *buffer.Account, body io.Reader, length, maxBytes int64) ([]byte, int64, bool, error) {
		data, ended, err := buffer.Read(a, body, length, maxBytes)
		return data, int64(cap(data)), ended, err
	},
	"ReadBody": func(a *buffer.Account, body io.Reader, length, maxBytes int64) ([]byte, int64, bool, error) {
		data, ended, err := buffer.ReadBody(a, body, length, maxBytes)
		capacity := 0
		for _, piece := range data {
			capacity += cap(piece)
		}
		whole := slices.Concat(data...)
		if int64(len(whole)) != data.Len() {
			panic("Len is not the length")
		}
		return whole, int64(capacity), ended, err
	},
}

// TestRead checks what is read of a body, and that no more is held than is reserved.
func TestRead(t *testing.T) {
	for name, read := range readFuncs {
		t.Run(name, func(t *testing.T) { testRead(t, read) })
	}
}

func testRead(t *testing.T, read readFunc) {
	t.Helper()
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
			data, capacity, ended, err := read(a, iotest.HalfReader(source), c.length, c.maxBytes)
			assert.NilError(t, err)
			assert.Equal(t, ended, c.ended)
			assert.Assert(t, bytes.HasPrefix(want, data))
			assert.Assert(t, capacity <= b.Used(), "%d bytes are held and %d reserved", capacity, b.Used())
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

// TestBodyOfUnknownLengthIsHeldOnce guards against a body in chunks that takes several times its size: each
// buffer that grew was copied, and the ones before were garbage that no bound counted.
func TestBodyOfUnknownLengthIsHeldOnce(t *testing.T) {
	const size, beyond = 30 * mib, 2 * mib
	b := buffer.NewBudget(size + size/4)
	a := b.Open()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	data, ended, err := buffer.ReadBody(a, io.LimitReader(zeros{}, size), -1, 2*size)
	runtime.ReadMemStats(&after)
	assert.NilError(t, err)
	assert.Assert(t, ended)
	assert.Equal(t, data.Len(), int64(size))
	assert.Assert(t, b.Used() < size+beyond, "%d bytes are reserved", b.Used())
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < size+beyond, "%d bytes were allocated", after.TotalAlloc-before.TotalAlloc)
}

// TestBodyIsReadAgain guards against an attempt that sends what another one has left of the body.
func TestBodyIsReadAgain(t *testing.T) {
	body := buffer.Body{[]byte("ab"), nil, []byte("c")}
	for range 2 {
		data, err := io.ReadAll(iotest.OneByteReader(body.Reader()))
		assert.NilError(t, err)
		assert.Equal(t, string(data), "abc")
		var b bytes.Buffer
		_, err = body.WriteTo(&b)
		assert.NilError(t, err)
		assert.Equal(t, b.String(), "abc")
	}
	assert.Equal(t, buffer.NewBody(nil).Len(), int64(0))
}

// FuzzRead reads bodies of any size, in pieces of any size and with a break anywhere: what was read is a prefix
// of the body, no more is held than is reserved, and all of it is given back.
func FuzzRead(f *testing.F) {
	f.Add(uint32(300_000), uint32(300_000), int64(-1), int64(mib), uint16(3))
	f.Add(uint32(16<<10), uint32(16<<10), int64(16<<10), int64(16<<10), uint16(4096))
	f.Add(uint32(70_000), uint32(50_000), int64(70_000), int64(mib), uint16(1))
	f.Fuzz(func(t *testing.T, size, breakAt uint32, length, maxBytes int64, piece uint16) {
		size %= 4 * mib
		maxBytes = max(0, maxBytes%(8*mib))
		length = max(-1, length%(8*mib))
		want := bytes.Repeat([]byte("0123456789abcdef"), int(size/16)+1)[:size]
		for name, read := range readFuncs {
			b := buffer.NewBudget(3 * mib)
			a := b.Open()
			broken := errors.New("broken")
			source := io.MultiReader(bytes.NewReader(want[:min(breakAt, size)]), iotest.ErrReader(broken))
			if breakAt > size {
				source = bytes.NewReader(want)
			}
			data, capacity, ended, err := read(a, &inPieces{source, int(piece) + 1}, length, maxBytes)
			assert.Assert(t, bytes.HasPrefix(want, data), name)
			assert.Assert(t, capacity <= b.Used() && b.Used() <= b.Limit(), "%s: %d held, %d reserved", name, capacity, b.Used())
			assert.Assert(t, !ended || (err == nil && len(data) == int(size)), name)
			assert.Assert(t, err == nil || errors.Is(err, broken), "%s: %v", name, err)
			a.Close()
			assert.Equal(t, b.Used(), int64(0), name)
		}
	})
}

// inPieces reads at most a number of bytes at a time.
type inPieces struct {
	from io.Reader
	most int
}

func (r *inPieces) Read(p []byte) (int, error) { return r.from.Read(p[:min(len(p), r.most)]) }

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

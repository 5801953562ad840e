// Package record writes a VM's account of what it decided: one structured line a
// decision, in klog's format, to standard output.
//
// The account never holds up the work. Lines go through a buffer of a fixed
// size to a writer of its own; decisions that went as usual are written up to a
// rate, and a line a second tells how many of each kind were left out; failures
// and changes of what the VM believes go last, only when the buffer is full.
package record

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"
)

// Bounds of ordinary lines.
const (
	ordinaryPerSecond = 50
	ordinaryBurst     = 200
)

// Kind names what an ordinary line tells of.
type Kind string

// Kinds of ordinary lines.
const (
	Answered Kind = "answered" // A request got its answer.
	Granted  Kind = "granted"  // A home granted a slot.
)

// ordinary bounds the ordinary lines of this process.
var ordinary = newSampler(ordinaryPerSecond, ordinaryBurst)

// LogSampled writes a decision that went as usual, if the rate allows.
func LogSampled(now time.Time, k Kind, msg string, keysAndValues ...any) {
	if ordinary.admit(now, k) {
		klog.InfoSDepth(1, msg, keysAndValues...)
	}
}

// Log writes a failure or a change of what the VM believes.
func Log(msg string, keysAndValues ...any) { klog.InfoSDepth(1, msg, keysAndValues...) }

// sampler admits lines up to a rate and counts the others.
type sampler struct {
	perSecond float64
	burst     float64

	mu      sync.Mutex
	tokens  float64
	at      time.Time
	leftOut map[Kind]int
}

func newSampler(perSecond, burst float64) *sampler {
	return &sampler{perSecond: perSecond, burst: burst, tokens: burst, leftOut: make(map[Kind]int)}
}

// admit reports whether a line may be written now.
func (s *sampler) admit(now time.Time, k Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap := now.Sub(s.at); gap > 0 {
		s.tokens = min(s.burst, s.tokens+gap.Seconds()*s.perSecond)
		s.at = now
	}
	if s.tokens < 1 {
		s.leftOut[k]++
		return false
	}
	s.tokens--
	return true
}

// take returns how many lines of each kind were left out since the last call.
func (s *sampler) take() map[Kind]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.leftOut
	s.leftOut = make(map[Kind]int)
	return out
}

// summaryGap is the rest between two lines on what was left out.
const summaryGap = time.Second

// DropReporter is the service that tells what was left out.
type DropReporter struct {
	Writer *Writer
	Scope  tally.Scope
}

// String names the service in logs.
func (DropReporter) String() string { return "summaries of the account" }

// Serve implements suture.Service.
func (s DropReporter) Serve(ctx context.Context) error {
	t := time.NewTicker(summaryGap)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		for k, n := range ordinary.take() {
			klog.InfoS("record: lines left out", "kind", k, "lines", n)
			s.Scope.Tagged(map[string]string{"kind": string(k)}).Counter("linesLeftOut").Inc(int64(n))
		}
		if s.Writer == nil {
			continue
		}
		if n := s.Writer.TakeDropped(); n > 0 {
			klog.InfoS("record: lines lost for lack of room", "lines", n)
			s.Scope.Counter("linesLost").Inc(int64(n))
		}
	}
}

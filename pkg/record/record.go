// Package record writes and reads a VM's event log: one structured line per
// decision, in klog's format, on standard output.
//
// Logging never blocks the handling of requests. Lines pass through a buffer of
// fixed size to a goroutine that writes them. Lines of ordinary decisions are
// rate-limited, and one line per second and kind reports how many were suppressed.
// Failures and changes of the VM's state are not rate-limited; they are lost only
// if the buffer is full.
package record

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"
)

// Rate limit of ordinary lines, for all kinds together.
const (
	ordinaryPerSecond = 50
	ordinaryBurst     = 200
)

// Kind is the kind of event that an ordinary line reports.
type Kind string

// Kinds of ordinary lines.
const (
	Answered Kind = "answered" // A request got its response.
	Granted  Kind = "granted"  // A pool's home VM granted a slot on a server.
	Carried  Kind = "carried"  // A VM ran, or was asked to run, a request for another VM.
	// OverQuota means that a request was refused since its account has used up its quota.
	OverQuota Kind = "overQuota"
	// HintRefused means that a VM refused a request by the hint of a pool's home.
	HintRefused Kind = "hintRefused"
)

// ordinarySampler rate-limits the ordinary lines of this process.
var ordinarySampler = newSampler(ordinaryPerSecond, ordinaryBurst)

// LogSampled logs an ordinary decision, if the rate limit allows. msg and
// keysAndValues are those of klog.InfoS.
func LogSampled(now time.Time, k Kind, msg string, keysAndValues ...any) {
	if ordinarySampler.admit(now, k) {
		klog.InfoSDepth(1, msg, keysAndValues...)
	}
}

// Log logs a failure or a change of the VM's state, without a rate limit.
func Log(msg string, keysAndValues ...any) { klog.InfoSDepth(1, msg, keysAndValues...) }

// sampler is a token bucket that admits lines up to a rate and counts the lines it
// suppressed.
type sampler struct {
	perSecond float64
	burst     float64

	mu         sync.Mutex
	tokens     float64
	updatedAt  time.Time
	suppressed map[Kind]int
}

func newSampler(perSecond, burst float64) *sampler {
	return &sampler{perSecond: perSecond, burst: burst, tokens: burst, suppressed: make(map[Kind]int)}
}

// admit reports whether a line may be written now, and counts it as suppressed if
// not.
func (s *sampler) admit(now time.Time, k Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap := now.Sub(s.updatedAt); gap > 0 {
		s.tokens = min(s.burst, s.tokens+gap.Seconds()*s.perSecond)
		s.updatedAt = now
	}
	if s.tokens < 1 {
		s.suppressed[k]++
		return false
	}
	s.tokens--
	return true
}

// takeSuppressed returns the number of lines of each kind that were suppressed
// since the last call.
func (s *sampler) takeSuppressed() map[Kind]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.suppressed
	s.suppressed = make(map[Kind]int)
	return out
}

// reportInterval is the time between two reports of missing lines.
const reportInterval = time.Second

// DropReporter is the service that logs and counts the lines that are missing from
// the event log: those that the rate limit suppressed and those that Writer
// dropped. Writer may be nil.
type DropReporter struct {
	Writer *Writer
	Scope  tally.Scope
}

// String names the service in logs.
func (DropReporter) String() string { return "reporter of missing log lines" }

// Serve implements suture.Service.
func (s DropReporter) Serve(ctx context.Context) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		for k, n := range ordinarySampler.takeSuppressed() {
			klog.InfoS("record: lines suppressed by the rate limit", "kind", k, "lines", n)
			s.Scope.Tagged(map[string]string{"kind": string(k)}).Counter("linesLeftOut").Inc(int64(n))
		}
		if s.Writer == nil {
			continue
		}
		if n := s.Writer.TakeDropped(); n > 0 {
			klog.InfoS("record: lines dropped", "lines", n)
			s.Scope.Counter("linesLost").Inc(int64(n))
		}
	}
}

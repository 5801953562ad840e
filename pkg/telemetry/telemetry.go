// Package telemetry sets up a VM's metrics, traces and logs.
package telemetry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// reportInterval is how often the metrics are updated.
const reportInterval = time.Second

// DurationBuckets are the upper bounds of the buckets in histograms of durations: 1 ms
// to about 16 s, each twice the one before.
var DurationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// Telemetry holds a VM's metrics and its latest spans.
type Telemetry struct {
	Scope  tally.Scope
	Tracer trace.Tracer

	metrics  http.Handler
	spans    *spanRing
	provider *sdktrace.TracerProvider
	closer   io.Closer
}

// New returns the telemetry of a VM. It traces the given share of the requests that
// continue no trace of the caller; the others follow the caller's sampling decision.
// It keeps the maxSpans spans that ended last.
func New(vm string, sampleRatio float64, maxSpans int) *Telemetry {
	registry := prom.NewRegistry() // One for each VM, since tests run several VMs in a process.
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "laburnumpick", Tags: map[string]string{"vm": vm},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	ring := &spanRing{spans: make([]Span, 0, maxSpans), vm: vm}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSyncer(ring),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(sampleRatio))),
	)
	return &Telemetry{
		Scope: scope, Tracer: provider.Tracer("laburnumpick"),
		metrics: reporter.HTTPHandler(), spans: ring, provider: provider, closer: closer,
	}
}

// Metrics returns a handler that serves the metrics in Prometheus' text format.
func (t *Telemetry) Metrics() http.Handler { return t.metrics }

// Spans returns a handler that serves the latest spans, one JSON object per line.
// The query parameter "trace" selects one trace.
func (t *Telemetry) Spans() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/x-ndjson")
		enc := json.NewEncoder(w)
		for _, s := range t.spans.list(r.FormValue("trace")) {
			if enc.Encode(s) != nil {
				return
			}
		}
	})
}

// Close stops the reporting of metrics and the tracing.
func (t *Telemetry) Close() error {
	_ = t.provider.Shutdown(context.Background()) // The ring has nothing to flush.
	return t.closer.Close()
}

// Span is one step in the handling of a request.
type Span struct {
	VM      string            `json:"vm"`
	Trace   string            `json:"trace"`
	Span    string            `json:"span"`
	Parent  string            `json:"parent,omitempty"`
	Name    string            `json:"name"`
	Start   time.Time         `json:"start"`
	Micros  int64             `json:"micros"`
	Failure string            `json:"failure,omitempty"`
	Labels  map[string]string `json:"labels,omitempty"`
}

// spanRing is a span exporter that keeps the spans that ended last in a ring buffer.
type spanRing struct {
	vm    string
	mu    sync.Mutex
	spans []Span
	next  int // Index of the oldest span once the ring is full.
}

// ExportSpans implements sdktrace.SpanExporter.
func (r *spanRing) ExportSpans(_ context.Context, spans []sdktrace.ReadOnlySpan) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range spans {
		r.add(toSpan(r.vm, s))
	}
	return nil
}

// Shutdown implements sdktrace.SpanExporter.
func (r *spanRing) Shutdown(context.Context) error { return nil }

// add adds a span; it replaces the oldest one if the ring is full. The caller holds
// the lock.
func (r *spanRing) add(s Span) {
	if len(r.spans) < cap(r.spans) {
		r.spans = append(r.spans, s)
		return
	}
	r.spans[r.next] = s
	r.next = (r.next + 1) % len(r.spans)
}

// list returns the spans of a trace, or all for an empty id, oldest first.
func (r *spanRing) list(id string) []Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Span
	for i := range r.spans {
		s := r.spans[(r.next+i)%len(r.spans)]
		if id == "" || s.Trace == id {
			out = append(out, s)
		}
	}
	return out
}

// toSpan converts a span of the OpenTelemetry SDK.
func toSpan(vm string, s sdktrace.ReadOnlySpan) Span {
	out := Span{
		VM: vm, Trace: s.SpanContext().TraceID().String(), Span: s.SpanContext().SpanID().String(),
		Name: s.Name(), Start: s.StartTime(), Micros: s.EndTime().Sub(s.StartTime()).Microseconds(),
		Failure: s.Status().Description, Labels: make(map[string]string, len(s.Attributes())),
	}
	if s.Parent().HasSpanID() {
		out.Parent = s.Parent().SpanID().String()
	}
	for _, a := range s.Attributes() {
		out.Labels[string(a.Key)] = a.Value.String()
	}
	return out
}

package egress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/buffer"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// carriedBuffer is the size up to which a carried response is buffered until it is complete, in
// bytes. Larger ones are streamed, and the VM that asked sees where one is cut short.
const carriedBuffer = 64 << 10

// HandlerConfig holds the settings and dependencies of a Handler.
type HandlerConfig struct {
	Sender    *Sender
	Contract  backend.Contract
	Tracer    trace.Tracer
	MaxAtOnce func() int   // Requests of other VMs that run at the same time.
	MaxBody   func() int64 // Size of a request's body, in bytes.
	Buffers   *buffer.Budget
	// Server returns the server of a service that this VM knows by a name.
	Server func(site.ServiceName, site.ServerName) (site.Server, bool)
	// CheckNotice returns an error if the server wants no requests from this VM now.
	CheckNotice func(now time.Time, t Target) error
	// OnHead is called with the head of a server's response.
	OnHead   func(now time.Time, t Target, status int, h http.Header)
	Stopping func() bool // Whether this VM is stopping.
}

// Handler runs requests for other VMs of the fleet on backend servers. It connects only to
// servers that this VM knows, and passes nothing on to a third VM. Its caller must make sure
// that only VMs of the fleet reach it.
type Handler struct {
	cfg     HandlerConfig
	running chan struct{} // Holds a value for each call that runs.
}

// maxRunning bounds the capacity of Handler.running.
const maxRunning = 1 << 16

// NewHandler returns a handler.
func NewHandler(cfg HandlerConfig) *Handler {
	return &Handler{cfg: cfg, running: make(chan struct{}, maxRunning)}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	held := h.cfg.Buffers.Open()
	defer held.Close()
	r = r.WithContext(buffer.WithAccount(r.Context(), held))
	c, result, detail := h.admit(r)
	if result != "" {
		h.refuse(w, r, c, result, detail)
		return
	}
	h.countRunning()
	defer h.countRunning()
	defer func() { <-h.running }()
	ctx, cancel := context.WithTimeout(r.Context(), c.left)
	defer cancel()
	if c.request == nil {
		result = Unreachable
		if h.cfg.Sender.links.Use(start, c.target.Server.Name) == AnyConn {
			result = resultOfConnect(h.cfg.Sender.checkDirect(ctx, c.target))
		}
		h.refuse(w, r, c, h.testify(ctx, c, result), "")
		return
	}
	h.run(ctx, w, c, start)
}

// countRunning publishes the number of calls that run.
func (h *Handler) countRunning() {
	h.cfg.Sender.cfg.Scope.Gauge("carrying").Update(float64(len(h.running)))
}

// admit reads a call and decides whether it may run. If not, it returns the result to reply
// with. Otherwise the caller must take a value from h.running in the end.
func (h *Handler) admit(r *http.Request) (*call, Result, string) {
	maxBody := h.cfg.MaxBody()
	body, ended, err := buffer.ReadBody(buffer.AccountFrom(r.Context()), r.Body, r.ContentLength, maxBody)
	switch {
	case err != nil:
		return nil, Malformed, err.Error()
	case body.Len() > maxBody:
		return nil, Malformed, fmt.Sprintf("the body has more than %d bytes", maxBody)
	case !ended:
		return nil, Busy, "this VM has no room in memory for the body"
	}
	c, err := parseCall(r, body)
	if err != nil {
		return nil, Malformed, err.Error()
	}
	known, ok := h.cfg.Server(c.target.Service, c.target.Server.Name)
	switch {
	case h.cfg.Stopping():
		return c, Stopping, ""
	case !ok || known.Address != c.target.Server.Address || known.StartedMs != c.target.Server.StartedMs:
		return c, Unlisted, "this VM knows no such server"
	case h.cfg.Sender.links.Isolated():
		return c, CutOff, "this VM is cut off from the backend servers"
	case len(h.running) >= min(h.cfg.MaxAtOnce(), maxRunning-1):
		return c, Busy, ""
	}
	c.target.Server = known
	select {
	case h.running <- struct{}{}:
		return c, "", ""
	default:
		return c, Busy, ""
	}
}

// testify returns the result for a server that this VM may not reach. A VM that reaches no other
// server says nothing about this one.
func (h *Handler) testify(ctx context.Context, c *call, r Result) Result {
	s := h.cfg.Sender
	if r == Reached {
		return r
	}
	if s.links.Isolated() {
		return CutOff
	}
	others := s.otherTargets(c.target)
	for _, o := range others {
		if s.checkDirect(ctx, o) == backend.Connected {
			return r
		}
	}
	if len(others) == 0 {
		return r
	}
	return CutOff
}

// run runs a request and writes the reply.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, c *call, start time.Time) {
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(c.request.Header))
	ctx, span := h.cfg.Tracer.Start(ctx, "carry", trace.WithAttributes(
		attribute.String("server", string(c.target.Server.Name)), attribute.String("from", string(c.from))))
	defer span.End()
	h.shortenDeadline(ctx, c.request)
	resp, err := h.cfg.Sender.sendDirect(ctx, &Attempt{c.target, c.request, backend.Options{
		NewConn: c.newConn, MaxBufferedBody: carriedBuffer, Contract: h.cfg.Contract,
		BeforeWrite: func(now time.Time) error { return h.checkBeforeWrite(ctx, now, c) },
		OnHead:      func(status int, hd http.Header) { h.cfg.OnHead(time.Now(), c.target, status, hd) },
	}})
	result := h.resultOf(ctx, c, err)
	h.report(c.request.ID, c, result, time.Since(start))
	if err != nil {
		e, _ := errors.AsType[*backend.Error](err)
		w.Header().Set(headerReused, strconv.FormatBool(e.Reused))
		w.Header().Set(headerReceived, strconv.FormatBool(e.Received))
		w.Header().Set(headerLinkFailed, strconv.FormatBool(h.linkFailed(ctx, c, e, start)))
		writeResult(w, result, err.Error())
		return
	}
	writeServerResponse(w, resp)
}

// linkFailed finds out whether this VM's link is why a request got no response.
func (h *Handler) linkFailed(ctx context.Context, c *call, e *backend.Error, start time.Time) bool {
	if e.Stage != backend.NoResponse || e.Received {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
	defer cancel()
	return h.cfg.Sender.LinkDown(ctx, c.target, start)
}

// errCallerGone means that the VM that asked has closed the connection.
var errCallerGone = errors.New("the VM that asked has gone")

// checkBeforeWrite returns an error if a request must not be written any more. While this process
// was paused, the VM that asked may have given up; the time that the call leaves does not show
// how long the call has waited to be read.
func (h *Handler) checkBeforeWrite(ctx context.Context, now time.Time, c *call) error {
	if backend.IsCallerGone(ctx) {
		return errCallerGone
	}
	if deadline, ok := ctx.Deadline(); ok && !now.Before(deadline) {
		return context.DeadlineExceeded
	}
	return h.cfg.CheckNotice(now, c.target)
}

// shortenDeadline takes the time since the VM that asked sent the request from the deadline that
// the server gets.
func (h *Handler) shortenDeadline(ctx context.Context, r *backend.Request) {
	deadline, ok := ctx.Deadline()
	given, err := strconv.ParseInt(r.Header.Get(backend.HeaderDeadlineMs), 10, 64)
	if !ok || err != nil {
		return
	}
	left := max(1, time.Until(deadline).Milliseconds())
	r.Header.Set(backend.HeaderDeadlineMs, strconv.FormatInt(min(given, left), 10))
}

// resultOf returns the result to reply with.
func (h *Handler) resultOf(ctx context.Context, c *call, err error) Result {
	if err == nil {
		return Answered
	}
	e, _ := errors.AsType[*backend.Error](err)
	switch {
	case e.Connect && ctx.Err() == nil:
		return h.testify(ctx, c, resultOfConnect(backend.ConnectResultOf(err)))
	case e.Stage == backend.NotSent:
		return Withheld
	case e.Stage == backend.NoResponse:
		return NoResponse
	default:
		return InvalidResponse
	}
}

// refuse replies to a call with which nothing was sent to a server.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, c *call, result Result, detail string) {
	h.report(r.Header.Get(backend.HeaderRequestID), c, result, 0)
	writeResult(w, result, detail)
}

// report counts and logs a call that was carried or refused.
func (h *Handler) report(id string, c *call, result Result, took time.Duration) {
	h.cfg.Sender.cfg.Scope.Tagged(map[string]string{"result": string(result)}).Counter("carried").Inc(1)
	var from roster.VMName
	var server site.ServerName
	if c != nil {
		from, server = c.from, c.target.Server.Name
	}
	record.LogSampled(time.Now(), record.Carried, "egress: call of another VM", "id", id, "server", server, "from", from, "result", result,
		"took", took.Round(time.Millisecond))
}

// writeResult writes a reply without a server's response.
func writeResult(w http.ResponseWriter, result Result, detail string) {
	w.Header().Set(headerResult, string(result))
	w.Header().Set(headerDetail, fmt.Sprintf("%.200q", detail))
	w.WriteHeader(http.StatusOK)
}

// writeServerResponse writes a reply with a server's response. If the body is cut short, the
// connection ends before the end of the reply.
func writeServerResponse(w http.ResponseWriter, resp *backend.Response) {
	out := w.Header()
	backend.CopyEndToEnd(out, resp.Header)
	removeInternal(out)
	for _, n := range []string{"Content-Type", "Date"} {
		if _, ok := out[n]; !ok {
			out[n] = nil // Stops net/http from adding its own.
		}
	}
	out.Set(headerResult, string(Answered))
	out.Set(headerStatus, strconv.Itoa(resp.Status))
	out.Set(headerCloseDelimited, strconv.FormatBool(resp.CloseDelimited))
	if length := resp.Header.Get("Content-Length"); length != "" {
		out.Set(headerLength, length)
	}
	if resp.BodyRemainder == nil {
		out.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	w.WriteHeader(http.StatusOK)
	if err := backend.WriteBody(w, resp); err != nil {
		panic(http.ErrAbortHandler)
	}
}

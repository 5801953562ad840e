package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/control"
)

// HeaderDurationMicros is the response header that holds the processing time in
// microseconds.
const HeaderDurationMicros = "Standin-Took-Us"

// HeaderMark is the request header that holds the request's mark, which
// identifies it among the recorded runs.
const HeaderMark = "Standin-Mark"

// CrashTrigger crashes a server that runs a request with this text in its body.
const CrashTrigger = "crash-the-server"

// ServerConfig configures a backend server. The processing time of a request is
// Base plus an exponentially distributed part.
type ServerConfig struct {
	Name       string
	Address    string
	Slots      int           // Requests that the server runs at once; it sheds any more.
	Mean       time.Duration // Mean of the exponential part.
	Base       time.Duration // Constant part.
	Downtime   time.Duration // How long the server stays down after a crash.
	Seed       uint64        // Of the processing times and the shares in Faults.
	Listen     func(address string) (net.Listener, error)
	ResetConns func() // Resets the host's connections when it crashes; may be nil.
}

// Run records a request that a server ran.
type Run struct {
	Mark   string    `json:"mark"`
	Server string    `json:"server"`
	At     time.Time `json:"at"`
}

// Server is a backend server that injects faults and records the requests that it
// runs.
type Server struct {
	cfg     ServerConfig
	limits  LimitLog
	notices NoticeLog
	tries   AttemptLog

	mu           sync.Mutex
	rng          *rand.Rand
	faults       Faults
	inFlight     int
	runs         []Run
	headers      map[string]ReceivedHeader // Of the last requests that ran, by mark.
	shedCount    int
	refusalTimes []time.Time   // When requests arrived while the server was draining.
	lastDeadline time.Duration // Time left according to the last request's header.
	endlessBytes int           // See MostEndlessBytes.
	http         *http.Server
	address      string
	closed       bool
}

// NewServer starts a server.
func NewServer(cfg ServerConfig) (*Server, error) {
	s := &Server{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), address: cfg.Address}
	return s, s.listen()
}

func (s *Server) listen() error {
	l, err := s.cfg.Listen(s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = l.Addr().String()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http)
	return nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Name returns the server's name.
func (s *Server) Name() string { return s.cfg.Name }

// SetFaults replaces the injected faults. They apply to requests that arrive from
// now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the requests that the server ran.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// maxHeaders is the number of requests whose headers a server keeps.
const maxHeaders = 256

// ReceivedHeader is the header of a request as a server received it.
type ReceivedHeader struct {
	VM      string // Host that sent the request.
	Header  http.Header
	Trailer http.Header
}

// HeaderOf returns the headers of the request with a mark, if it is among the last that the
// server ran.
func (s *Server) HeaderOf(mark string) (ReceivedHeader, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.headers[mark]
	return h, ok
}

// keepHeader records the headers of a request that runs.
func (s *Server) keepHeader(mark string, h ReceivedHeader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.headers == nil || len(s.headers) >= maxHeaders {
		s.headers = make(map[string]ReceivedHeader)
	}
	s.headers[mark] = h
}

// Limits returns the record of the requests that arrived, and of the limits that the
// server's responses have named.
func (s *Server) Limits() *LimitLog { return &s.limits }

// Notices returns the record of the requests that arrived from each VM, and of what the
// server's responses have told them.
func (s *Server) Notices() *NoticeLog { return &s.notices }

// Attempts returns the record of the attempts that arrived.
func (s *Server) Attempts() *AttemptLog { return &s.tries }

// describe writes what the server says about itself to the head of a response to a VM: its
// limit on requests, and that it leaves.
func (s *Server) describe(h http.Header, vm string) {
	s.mu.Lock()
	text, leaving := s.faults.Limit, s.faults.Leaving
	s.mu.Unlock()
	if leaving {
		h.Set(backend.HeaderServerLeaving, backend.ServerLeaves)
		s.notices.Leave(time.Now(), vm)
	}
	if text != "" {
		h.Set(backend.HeaderRequestLimit, text)
	}
	l, err := backend.Contract{}.Limit(h)
	if err == nil { // Nothing can be concluded from an invalid limit.
		s.limits.Name(time.Now(), l)
	}
}

// isOverLimit reports whether more requests have arrived in the last second than the
// server's limit allows.
func (s *Server) isOverLimit(now time.Time) bool {
	rate, err := strconv.ParseFloat(s.faults.Limit, 64)
	return err == nil && float64(s.limits.ArrivedSince(now.Add(-time.Second))) > max(1, rate)
}

// ShedCount returns the number of requests refused because all slots were in use.
func (s *Server) ShedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedCount
}

// RefusalTimes returns the times at which requests were refused because the
// server was draining.
func (s *Server) RefusalTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.refusalTimes)
}

// InFlight returns the number of requests that are running.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// LastDeadline returns the time left until the deadline according to the last
// request's header.
func (s *Server) LastDeadline() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastDeadline
}

// Close stops the server for good.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	h := s.http
	s.mu.Unlock()
	_ = h.Close()
}

// Crash closes the listener and all connections, and restarts the server after its
// downtime.
func (s *Server) Crash() {
	s.mu.Lock()
	h := s.http
	s.mu.Unlock()
	_ = h.Close()
	if s.cfg.ResetConns != nil {
		s.cfg.ResetConns()
	}
	time.AfterFunc(s.cfg.Downtime, func() {
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if !closed {
			_ = s.listen()
		}
	})
}

// responsePlan is the decision on how to handle one request. A non-empty refusal is
// the value of backend.HeaderRefused.
type responsePlan struct {
	faults   Faults
	vm       string // Host that sent the request.
	refusal  string
	paused   bool // The refusal has a Retry-After.
	repeats  bool // The refusal is written again for the next request.
	duration time.Duration
	fail     bool
	truncate bool
	mismatch bool
	close    bool
}

// admit decides how to handle a request. It occupies a slot unless the request is
// refused.
func (s *Server) admit(vm, mark, deadlineMs string) responsePlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ms, err := strconv.Atoi(deadlineMs); err == nil {
		s.lastDeadline = time.Duration(ms) * time.Millisecond
	}
	now := time.Now()
	s.limits.Arrive(now)
	s.tries.Arrive(now, mark)
	s.notices.Arrive(now, vm)
	p := responsePlan{faults: s.faults, vm: vm}
	switch {
	case s.faults.RetryAfter != "" && s.rng.Float64() < s.faults.RetryAfterShare:
		p.refusal, p.paused = backend.RefusedShed, true
	case s.faults.RefuseShare > 0 && s.rng.Float64() < s.faults.RefuseShare:
		p.refusal = backend.RefusedShed
	case s.faults.RepeatRefusalShare > 0 && s.rng.Float64() < s.faults.RepeatRefusalShare:
		p.refusal, p.repeats = backend.RefusedShed, true
	case s.faults.RefuseOverLimit && s.isOverLimit(now):
		s.shedCount++
		p.refusal = backend.RefusedShed
	case s.faults.Draining:
		s.refusalTimes = append(s.refusalTimes, time.Now())
		p.refusal = backend.RefusedDrain
	case s.faults.Cold:
		p.refusal = backend.RefusedCold
	case s.inFlight >= s.cfg.Slots:
		s.shedCount++
		p.refusal = backend.RefusedShed
	}
	if p.refusal != "" {
		return p
	}
	s.inFlight++
	s.runs = append(s.runs, Run{mark, s.cfg.Name, time.Now()})
	factor := max(1, s.faults.SlowFactor)
	p.duration = time.Duration(factor * (float64(s.cfg.Base) + s.rng.ExpFloat64()*float64(s.cfg.Mean)))
	p.fail = s.rng.Float64() < s.faults.ErrorShare
	p.truncate = s.rng.Float64() < s.faults.TruncateShare
	p.mismatch = s.rng.Float64() < s.faults.MismatchShare
	p.close = s.rng.Float64() < s.faults.CloseShare
	return p
}

// finish frees the slot of a request.
func (s *Server) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// ServeHTTP implements http.Handler. The health check always succeeds, as it does
// on servers with gray failures.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		_, _ = io.WriteString(w, "ok\n")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	mark := r.Header.Get(HeaderMark)
	p := s.admit(hostOf(r.RemoteAddr), mark, r.Header.Get(backend.HeaderDeadlineMs))
	switch {
	case p.repeats:
		s.repeatRefusal(w, p.vm)
		return
	case p.refusal != "":
		s.refuse(w, p)
		return
	}
	defer s.finish()
	s.keepHeader(mark, ReceivedHeader{p.vm, r.Header, r.Trailer})
	if bytes.Contains(body, []byte(CrashTrigger)) {
		s.Crash()
		return
	}
	if place := CrashPlace(r.Header.Get(HeaderCrash)); place != "" && !p.faults.CrashProof {
		s.crashAt(w, r, place)
		return
	}
	if p.faults.Unresponsive {
		<-r.Context().Done()
		return
	}
	if control.Sleep(r.Context(), p.duration) != nil {
		return
	}
	s.respond(w, r, p, mark)
}

// refuse writes a refusal.
func (s *Server) refuse(w http.ResponseWriter, p responsePlan) {
	s.describe(w.Header(), p.vm)
	w.Header().Set(backend.HeaderRefused, p.refusal)
	if p.paused {
		w.Header().Set("Retry-After", p.faults.RetryAfter)
		if d, err := strconv.ParseFloat(p.faults.RetryAfter, 64); err == nil && d > 0 {
			s.notices.Pause(time.Now(), p.vm, time.Duration(d*float64(time.Second)))
		}
	}
	http.Error(w, p.refusal, http.StatusServiceUnavailable)
}

// ResponseBody returns the body of the correct response to a request with the
// given mark: the size, the mark, and padding up to size bytes.
func ResponseBody(mark string, size int) []byte {
	head := fmt.Sprintf("%d %s ", size, mark)
	return append([]byte(head), bytes.Repeat([]byte{'x'}, max(0, size-len(head)))...)
}

// respond writes the response. The query parameter "size" sets the body's size in
// bytes.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, p responsePlan, mark string) {
	id := r.Header.Get(backend.HeaderRequestID)
	if p.mismatch {
		id, mark = "another-"+id, "another-"+mark
	}
	w.Header().Set(backend.HeaderRequestID, id)
	w.Header().Set("Content-Type", "text/plain")
	if !p.close && !p.mismatch { // Otherwise no VM can learn it.
		s.describe(w.Header(), p.vm)
	}
	w.Header().Set(HeaderDurationMicros, strconv.FormatInt(p.duration.Microseconds(), 10))
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	body := ResponseBody(mark, size)
	switch {
	case p.close:
		panic(http.ErrAbortHandler)
	case p.faults.EndlessBytes != "":
		s.respondEndlessly(w, p.faults.EndlessBytes)
	case p.fail:
		http.Error(w, "out of order", http.StatusInternalServerError)
	case p.truncate || p.faults.TrailingBytes || p.faults.CutAfter > 0:
		s.respondRaw(w, body, p)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}
}

// respondRaw writes a response whose Content-Length does not match the data that
// is sent: the body or the head is truncated, or a second response follows.
func (s *Server) respondRaw(w http.ResponseWriter, body []byte, p responsePlan) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	h := w.Header().Clone()
	c, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	var out bytes.Buffer
	_, _ = io.WriteString(&out, "HTTP/1.1 200 OK\r\n")
	_ = h.Write(&out)
	_, _ = io.WriteString(&out, "\r\n")
	switch {
	case p.faults.CutAfter > 0:
		out.Write(body)
		out.Truncate(min(p.faults.CutAfter, out.Len()))
	case p.truncate:
		out.Write(body[:len(body)/2])
	default:
		out.Write(body)
		_, _ = io.WriteString(&out, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
	}
	_, _ = buf.Write(out.Bytes())
	_ = buf.Flush()
}

// ServerReport holds the records of one server, as served by ControlHandler.
type ServerReport struct {
	Name     string      `json:"name"`
	Address  string      `json:"address"`
	Runs     []Run       `json:"runs"`
	Shed     int         `json:"shed"`     // Requests refused because all slots were in use.
	Refusals []time.Time `json:"refusals"` // When requests were refused because the server was draining.
}

// ControlHandler returns the control API of several servers. PUT /faults/NAME with
// Faults in JSON replaces a server's faults, GET /report returns a ServerReport of
// each server.
func ControlHandler(servers []*Server) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults/", func(w http.ResponseWriter, r *http.Request) {
		name := strings.TrimPrefix(r.URL.Path, "/faults/")
		i := slices.IndexFunc(servers, func(s *Server) bool { return s.Name() == name })
		var f Faults
		if i < 0 || json.NewDecoder(r.Body).Decode(&f) != nil {
			http.Error(w, "unknown server, or body is not valid JSON faults", http.StatusBadRequest)
			return
		}
		servers[i].SetFaults(f)
	})
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		var out []ServerReport
		for _, s := range servers {
			out = append(out, ServerReport{s.Name(), s.Address(), s.Runs(), s.ShedCount(), s.RefusalTimes()})
		}
		_ = json.NewEncoder(w).Encode(out)
	})
	return mux
}

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

// Faults are the ways in which a backend server misbehaves at present.
type Faults struct {
	SlowFactor    float64 `json:"slowFactor,omitempty" yaml:"slowFactor"` // Times the usual; 0 and 1 are healthy.
	ErrorShare    float64 `json:"errorShare,omitempty" yaml:"errorShare"` // Share of answers with status 500.
	TruncateShare float64 `json:"cutShare,omitempty" yaml:"cutShare"`     // Share of answers that are cut short.
	MismatchShare float64 `json:"crossShare,omitempty" yaml:"crossShare"` // Share of answers to another request.
	CloseShare    float64 `json:"closeShare,omitempty" yaml:"closeShare"` // Share of connections closed in place of an answer.
	TrailingBytes bool    `json:"surplus,omitempty" yaml:"surplus"`       // Bytes follow each answer.
	Unresponsive  bool    `json:"mute,omitempty" yaml:"mute"`             // No answer ever comes.
	Draining      bool    `json:"draining,omitempty" yaml:"draining"`
	Cold          bool    `json:"cold,omitempty" yaml:"cold"`
}

// HeaderDurationMicros tells how long the handler took, in microseconds.
const HeaderDurationMicros = "Standin-Took-Us"

// HeaderMark names a request for the record of runs.
const HeaderMark = "Standin-Mark"

// CrashTrigger in a body takes the server down that runs it.
const CrashTrigger = "crash-the-server"

// ServerConfig describes a backend server.
type ServerConfig struct {
	Name       string
	Address    string
	Slots      int
	Mean       time.Duration // Of the exponential part of the time that a request takes.
	Base       time.Duration // The part that each request takes.
	Downtime   time.Duration // After a crash.
	Seed       uint64
	Listen     func(address string) (net.Listener, error)
	ResetConns func() // Resets the host's connections in a crash; may be nil.
}

// Run is one request that the handler ran.
type Run struct {
	Mark   string    `json:"mark"`
	Server string    `json:"server"`
	At     time.Time `json:"at"`
}

// Server is a stand-in for a backend server.
type Server struct {
	cfg ServerConfig

	mu      sync.Mutex
	rng     *rand.Rand
	faults  Faults
	inUse   int
	runs    []Run
	shed    int
	refused []time.Time   // Requests that came while it drained.
	left    time.Duration // What the last request said that it had left.
	http    *http.Server
	address string
	closed  bool
}

// NewServer listens and serves.
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

// Address returns where the server listens.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Name returns the server's name.
func (s *Server) Name() string { return s.cfg.Name }

// SetFaults makes the server misbehave from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the requests that the handler ran.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// ShedCount returns how many requests were shed for lack of a slot.
func (s *Server) ShedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shed
}

// RefusalTimes returns when requests came while the server drained.
func (s *Server) RefusalTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.refused)
}

// InFlight returns how many requests the server runs.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse
}

// LastDeadline returns how long the last request said that it had left.
func (s *Server) LastDeadline() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// Close ends the server.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	h := s.http
	s.mu.Unlock()
	_ = h.Close()
}

// crash takes the server down for its downtime.
func (s *Server) crash() {
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

// plan is what happens to one request.
type plan struct {
	faults  Faults
	refusal string
	take    time.Duration
	fail    bool
	cut     bool
	cross   bool
	close   bool
}

// begin takes a slot and decides what happens to a request.
func (s *Server) begin(mark, leftMs string) plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ms, err := strconv.Atoi(leftMs); err == nil {
		s.left = time.Duration(ms) * time.Millisecond
	}
	p := plan{faults: s.faults}
	switch {
	case s.faults.Draining:
		s.refused = append(s.refused, time.Now())
		p.refusal = backend.RefusedDrain
	case s.faults.Cold:
		p.refusal = backend.RefusedCold
	case s.inUse >= s.cfg.Slots:
		s.shed++
		p.refusal = backend.RefusedShed
	}
	if p.refusal != "" {
		return p
	}
	s.inUse++
	s.runs = append(s.runs, Run{mark, s.cfg.Name, time.Now()})
	factor := max(1, s.faults.SlowFactor)
	p.take = time.Duration(factor * (float64(s.cfg.Base) + s.rng.ExpFloat64()*float64(s.cfg.Mean)))
	p.fail = s.rng.Float64() < s.faults.ErrorShare
	p.cut = s.rng.Float64() < s.faults.TruncateShare
	p.cross = s.rng.Float64() < s.faults.MismatchShare
	p.close = s.rng.Float64() < s.faults.CloseShare
	return p
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse--
}

// ServeHTTP implements http.Handler. The health page always says ok, as gray
// servers' do.
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
	p := s.begin(mark, r.Header.Get(backend.HeaderDeadlineMs))
	if p.refusal != "" {
		w.Header().Set(backend.HeaderRefused, p.refusal)
		http.Error(w, p.refusal, http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	if bytes.Contains(body, []byte(CrashTrigger)) {
		s.crash()
		return
	}
	if p.faults.Unresponsive {
		<-r.Context().Done()
		return
	}
	if control.Sleep(r.Context(), p.take) != nil {
		return
	}
	s.answer(w, r, p, mark)
}

// ResponseBody is the body of a good answer to a marked request.
func ResponseBody(mark string, size int) []byte {
	head := fmt.Sprintf("%d %s ", size, mark)
	return append([]byte(head), bytes.Repeat([]byte{'x'}, max(0, size-len(head)))...)
}

// answer writes the planned answer. The query "size" asks for a body's size.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, p plan, mark string) {
	id := r.Header.Get(backend.HeaderRequestID)
	if p.cross {
		id, mark = "another-"+id, "another-"+mark
	}
	w.Header().Set(backend.HeaderRequestID, id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set(HeaderDurationMicros, strconv.FormatInt(p.take.Microseconds(), 10))
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	body := ResponseBody(mark, size)
	switch {
	case p.close:
		panic(http.ErrAbortHandler)
	case p.fail:
		http.Error(w, "out of order", http.StatusInternalServerError)
	case p.cut || p.faults.TrailingBytes:
		s.rawAnswer(w, id, body, p)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}
}

// rawAnswer writes an answer whose length is a lie.
func (s *Server) rawAnswer(w http.ResponseWriter, id string, body []byte, p plan) {
	c, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", backend.HeaderRequestID, id, len(body))
	if p.cut {
		body = body[:len(body)/2]
	} else {
		body = append(body, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"...)
	}
	_, _ = buf.Write(body)
	_ = buf.Flush()
}

// ServerReport is what a stand-in process tells of one server.
type ServerReport struct {
	Name     string      `json:"name"`
	Address  string      `json:"address"`
	Runs     []Run       `json:"runs"`
	Shed     int         `json:"shed"`
	Refusals []time.Time `json:"refusals"`
}

// ControlHandler serves the faults and records of several servers: PUT /faults/NAME
// with a JSON body, GET /report.
func ControlHandler(servers []*Server) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults/", func(w http.ResponseWriter, r *http.Request) {
		name := strings.TrimPrefix(r.URL.Path, "/faults/")
		i := slices.IndexFunc(servers, func(s *Server) bool { return s.Name() == name })
		var f Faults
		if i < 0 || json.NewDecoder(r.Body).Decode(&f) != nil {
			http.Error(w, "no such server, or no faults", http.StatusBadRequest)
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

package standin

import (
	"io"
	"net/http"
	"time"

	"laburnumpick.org/pkg/backend"
)

// refusedTwice is the refusal that a server with Faults.RepeatRefusal writes. It names no request,
// like one that is written before the request's head has been read.
const refusedTwice = "HTTP/1.1 503 Service Unavailable\r\n" + backend.HeaderRefused + ": " + backend.RefusedShed + "\r\nContent-Length: 0\r\n\r\n"

// repeatRefusal refuses a request. When the next request comes on the same connection, the server
// begins to run it and writes the refusal once more.
func (s *Server) repeatRefusal(w http.ResponseWriter, vm string) {
	c, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, refusedTwice); err != nil {
		return
	}
	next, err := http.ReadRequest(buf.Reader)
	if err != nil {
		return
	}
	s.run(vm, next.Header.Get(HeaderMark))
	_, _ = io.WriteString(c, refusedTwice)
}

// run records that the server begins to run a request.
func (s *Server) run(vm, mark string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Arrive(time.Now())
	s.tries.Arrive(time.Now(), mark)
	s.notices.Arrive(time.Now(), vm)
	s.runs = append(s.runs, Run{mark, s.cfg.Name, time.Now()})
}

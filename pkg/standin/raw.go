package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// RawServer is a server on loopback whose handler writes every byte of a response itself, and chooses how the
// connection ends.
type RawServer struct {
	ln      net.Listener
	serving sync.WaitGroup
}

// NewRawServer starts a server. handle is called once the head of a request has been read; the connection is
// closed when it returns. Each connection carries one request.
func NewRawServer(handle func(nc *net.TCPConn, r *http.Request)) (*RawServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{ln: ln}
	s.serving.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			s.serving.Go(func() { serveRaw(nc.(*net.TCPConn), handle) })
		}
	})
	return s, nil
}

// serveRaw serves one request.
func serveRaw(nc *net.TCPConn, handle func(nc *net.TCPConn, r *http.Request)) {
	defer func() { _ = nc.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(nc))
	if err == nil {
		handle(nc, r)
	}
}

// RespondRaw returns a handler of a RawServer that reads a request to its end and responds with the given bytes.
func RespondRaw(response string) func(nc *net.TCPConn, r *http.Request) {
	return func(nc *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(nc, response) // Fails only if the peer has gone.
	}
}

// Address returns the address on which the server listens.
func (s *RawServer) Address() string { return s.ln.Addr().String() }

// Close stops the server and waits until all connections have ended.
func (s *RawServer) Close() error {
	err := s.ln.Close()
	s.serving.Wait()
	return err
}

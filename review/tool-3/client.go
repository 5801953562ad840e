package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// newID returns a new request id.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// result is how a client's attempt ended.
type result struct {
	id     string
	status int // Zero without an answer.
	seal   string
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// head returns the text of a request without a body.
func head(method, target, id string, deadline time.Duration, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nLaburnumpick-Request-Id: %s\r\nLaburnumpick-Deadline-Ms: %d\r\n%s\r\n",
		method, target, host, id, deadline.Milliseconds(), more)
}

// send sends a request on a new connection and reads its answer.
func (e *env) send(v *vm, method, target string, deadline time.Duration, more, body string) result {
	return e.exchange(v, method, target, deadline, deadline, more, body)
}

// sendAndLeave is send for a client that leaves after a time, with or without an answer.
func (e *env) sendAndLeave(v *vm, target string, deadline, leave time.Duration, body string) result {
	return e.exchange(v, "POST", target, deadline, leave, "", body)
}

func (e *env) exchange(v *vm, method, target string, deadline, wait time.Duration, more, body string) result {
	r := result{id: newID()}
	began := time.Now()
	defer func() {
		r.took = time.Since(began)
	}()
	c, err := net.DialTimeout("tcp", v.front, time.Second)
	if err != nil {
		r.err = err
		e.note("client: %s %s id %s to %s: no connection: %v", method, target, r.id, v.name, err)
		return r
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(wait))
	if body != "" {
		more += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, r.err = io.WriteString(c, head(method, target, r.id, deadline, more)+body)
	if r.err == nil {
		r.read(bufio.NewReader(c), method)
	}
	e.note("client: %s %s id %s to %s: status %d seal %q error %v after %v", method, target, r.id, v.name, r.status, r.seal, r.err, time.Since(began).Round(time.Millisecond))
	return r
}

// readFrom reads an answer from a connection.
func (r *result) readFrom(c net.Conn, method string) { r.read(bufio.NewReader(c), method) }

// read reads an answer.
func (r *result) read(in *bufio.Reader, method string) {
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		r.err = err
		return
	}
	r.status, r.seal, r.header = resp.StatusCode, resp.Header.Get("Laburnumpick-Server-Seal"), resp.Header
	r.body, r.err = io.ReadAll(resp.Body)
}

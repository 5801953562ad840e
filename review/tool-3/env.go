package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// arrival is a request that an upstream got.
type arrival struct {
	env      *env
	id       string
	upstream string
	service  string
	target   string
	body     string
	outcome  string // "ran", "shed" or "421".
	at       time.Time
	ended    time.Time // Zero while it runs.
	header   http.Header
}

func (a *arrival) end() {
	a.env.mu.Lock()
	defer a.env.mu.Unlock()
	a.ended = time.Now()
}

// env holds what a case has started, and its record.
type env struct {
	root    string // Of the repository.
	dir     string // Temporary.
	trouble bool
	store   *store
	vms     []*vm
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	arrivals []*arrival
}

func newEnv(root, record string, trouble bool) (*env, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	e := &env{root: root, dir: dir, trouble: trouble, store: newStore(), began: time.Now(), record: f}
	return e, nil
}

// note writes a line to the record.
func (e *env) note(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteLocked(format, args...)
}

func (e *env) noteLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(e.record, "%8.3f  %s\n", time.Since(e.began).Seconds(), fmt.Sprintf(format, args...))
}

func (e *env) add(u *upstream, r *http.Request, id, body string, outcome string, at time.Time) *arrival {
	a := &arrival{env: e, id: id, upstream: u.id, service: u.service, target: r.RequestURI, body: strings.Clone(body[:min(len(body), keptBody)]), outcome: outcome, at: at, header: r.Header.Clone()}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, a)
	e.noteLocked("upstream %s of %s: %s %s id %s body %.30q: %s", u.id, u.service, r.Method, r.RequestURI, id, body, outcome)
	return a
}

// keptBody is how much of a body is kept, in bytes.
const keptBody = 64

// seen records a request that an upstream did not run.
func (e *env) seen(u *upstream, r *http.Request, id, body string, outcome string) {
	e.add(u, r, id, body, outcome, time.Now())
}

// ran records a request that an upstream begins to run.
func (e *env) ran(u *upstream, r *http.Request, id, body string, at time.Time) *arrival {
	return e.add(u, r, id, body, "ran", time.Now())
}

// all returns copies of the arrivals so far.
func (e *env) all() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]arrival, len(e.arrivals))
	for i, a := range e.arrivals {
		out[i] = *a
	}
	return out
}

// route is a route of a manifest.
type route struct {
	name, prefix, kind, service string
	timeout                     string
	attempts                    int
}

const host = "hulo84.example"

// manifest writes a version of the manifest; the store's answer is the ack.
func (e *env) manifest(version int, services []string, routes ...route) {
	var rs, ss []string
	for _, r := range routes {
		rs = append(rs, fmt.Sprintf(`"%s":{"host":"%s","prefix":"%s","route_type":"%s","timeout":"%s","target_latency":"1000ms","priority":1,"service":"%s","max_attempts":%d}`,
			r.name, host, r.prefix, r.kind, r.timeout, r.service, r.attempts))
	}
	for _, s := range services {
		ss = append(ss, fmt.Sprintf(`"%s":{"health_path":"/health","max_conns":390,"protocol":"h1","tls":false}`, s))
	}
	e.store.put("op", "config", fmt.Sprintf(`{"version":"r%d","routes":{%s},"services":{%s},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`,
		version, strings.Join(rs, ","), strings.Join(ss, ",")))
	e.note("manifest r%d is acknowledged: %s", version, strings.Join(rs, " "))
}

// vm is an entry VM: the program of the deploy file as a process.
type vm struct {
	env                *env
	name, zone         string
	front, ready, vms  string
	operators, metrics string
	settings           string
	storeURL           string
	log                string
	cmd                *exec.Cmd
	exited             chan struct{}
	intended           bool // Its end was asked for.
	mu                 sync.Mutex
	unexpectedExits    int
}

// freePort returns an address on loopback that is free now.
func freePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// settingsFormat is deploy/laburnumpickd.yaml.tmpl, filled in for a small deployment.
const settingsFormat = `vm:
  name: "%s"
  site: "tt-north"
  dataCentre: "%s"
  cores: 0.32
listen:
  callers: "%s"
  health: "%s"
  vms: "%s"
  operators: "%s"
  metrics: "%s"
platform:
  kind: tables
  url: "%s"
  dataCentres: ["tt-north-a","tt-north-b"]
  floorShare: 0.7
limits:
  bodyBytes: 33554432
  wholeAnswerBytes: 1048576
  requests: 2000
  connections: 3000
  connectionsFromOne: 3000
  account: {rate: 100000, burst: 100000, inFlight: 100000}
  memoryMegabytes: 284
retry:
  ratio: 0.2
  slack: 62
  window: 10s
callers:
  fractionalRetryAfter: true
stop:
  grace: 6s
access:
  fleetToken: "laburnumpick-fleet"
trace:
  share: 0
`

// addVM adds a VM, which is not started yet.
func (e *env) addVM(name, zone string) *vm {
	v := &vm{env: e, name: name, zone: zone, storeURL: e.store.http.URL}
	v.choosePorts()
	v.settings = filepath.Join(e.dir, name+".yaml")
	v.log = filepath.Join(e.dir, name+".log")
	e.vms = append(e.vms, v)
	return v
}

// choosePorts chooses free ports. Another process may take one before the VM listens.
func (v *vm) choosePorts() {
	for _, a := range []*string{&v.front, &v.ready, &v.vms, &v.operators, &v.metrics} {
		*a = freePort()
	}
}

// start starts the VM's process.
func (v *vm) start() error {
	text := fmt.Sprintf(settingsFormat, v.name, v.zone, v.front, v.ready, v.vms, v.operators, v.metrics, v.storeURL)
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.cmd = exec.Command(filepath.Join(v.env.root, "target/laburnumpickd"), v.settings)
	v.cmd.Dir, v.cmd.Stdout, v.cmd.Stderr = v.env.root, out, out
	v.intended = false
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.env.note("vm %s starts: front %s, pid %d", v.name, v.front, v.cmd.Process.Pid)
	exited, cmd := make(chan struct{}), v.cmd
	v.exited = exited
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		v.mu.Lock()
		if !v.intended {
			v.unexpectedExits++
		}
		v.mu.Unlock()
		v.env.note("vm %s has ended: %v", v.name, err)
		close(exited)
	}()
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		v.intended = true
	}
	v.mu.Unlock()
	v.env.note("vm %s gets %v", v.name, s)
	_ = v.cmd.Process.Signal(s)
}

// isReady asks the VM's readiness.
func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + v.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// startVMs starts all VMs and waits until they are ready.
func (e *env) startVMs() error {
	for _, v := range e.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range e.vms {
		if err := v.await(); err != nil {
			return err
		}
	}
	return nil
}

func (v *vm) await() error {
	const tries = 3
	for i := range tries {
		if v.awaitOnce() == nil {
			return nil
		}
		select {
		case <-v.exited: // A port was taken.
		default:
			return fmt.Errorf("vm %s is not ready", v.name)
		}
		if i+1 < tries {
			v.choosePorts()
			if err := v.start(); err != nil {
				return err
			}
		}
	}
	return fmt.Errorf("vm %s ends at its start", v.name)
}

func (v *vm) awaitOnce() error {
	for end := time.Now().Add(15 * time.Second); !v.isReady(); time.Sleep(50 * time.Millisecond) {
		select {
		case <-v.exited:
			return errors.New("it has ended")
		default:
		}
		if time.Now().After(end) {
			return errors.New("it is not ready")
		}
	}
	return nil
}

// close ends all processes that the case has started.
func (e *env) close() {
	for _, v := range e.vms {
		if v.cmd == nil || v.cmd.Process == nil {
			continue
		}
		v.mu.Lock()
		v.intended = true
		v.mu.Unlock()
		_ = v.cmd.Process.Signal(syscall.SIGCONT)
		_ = v.cmd.Process.Kill()
		<-v.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.dir)
	} else {
		fmt.Println("kept", e.dir)
	}
	_ = e.record.Close()
}

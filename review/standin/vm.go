package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// settingsText is deploy/laburnumpickd.yaml.tmpl, filled in for a small deployment, with an
// address file so that free ports can be used.
const settingsText = `vm:
  name: "%[1]s"
  site: "tt-north"
  dataCentre: "%[2]s"
  cores: 0.32
listen:
  callers: "127.0.0.1:0"
  health: "127.0.0.1:0"
  vms: "127.0.0.1:0"
  operators: "127.0.0.1:0"
  metrics: "127.0.0.1:0"
  addressFile: "%[3]s"
platform:
  kind: tables
  url: "http://%[4]s"
  dataCentres: ["tt-north-a"]
  floorShare: 0.7
limits:
  bodyBytes: 33554432
  wholeAnswerBytes: 1048576
  requests: 2000
  connections: 3000
  connectionsFromOne: 3000
  account: {rate: 100000, burst: 100000, inFlight: 100000}
retry:
  ratio: 0.2
  slack: 62
  window: 10s
%[5]scallers:
  fractionalRetryAfter: true
stop:
  grace: 6s
access:
  fleetToken: "laburnumpick-fleet"
trace:
  share: 0
`

// quotaText is the part of the template for deployments with quotas, with the bounds of the
// sheet.
const quotaText = `quota:
  window: 5s
  overage: 0.1
  slack: 20
admission: {policy: costAware}
`

// vm is a laburnumpickd process.
type vm struct {
	name, dir string
	bin       string
	cmd       *exec.Cmd
	log       *os.File
	exited    chan struct{}
	client    *http.Client

	mu      sync.Mutex // Guards the addresses, which change with each start.
	callers string
	health  string
}

func newVM(bin, dir, name, zone, storeAddress, extra string) (*vm, error) {
	v := &vm{name: name, dir: dir, bin: bin, client: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	text := fmt.Sprintf(settingsText, name, zone, v.addressFile(), storeAddress, extra)
	return v, os.WriteFile(v.settingsFile(), []byte(text), 0o600)
}

func (v *vm) settingsFile() string { return filepath.Join(v.dir, v.name+".yaml") }
func (v *vm) addressFile() string  { return filepath.Join(v.dir, v.name+".json") }

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	_ = os.Remove(v.addressFile())
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.log = log
	v.cmd = exec.Command(v.bin, v.settingsFile())
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(v.cmd, v.exited)
	return nil
}

func (v *vm) signal(s syscall.Signal) { _ = v.cmd.Process.Signal(s) }

// awaitReady waits until the process says that it is ready, as the platform's checks do.
func (v *vm) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if v.isReady() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New(v.name + " did not become ready")
}

// findAddresses reads the addresses that the process has written since its start. It reports false
// if there are none yet.
func (v *vm) findAddresses() bool {
	raw, err := os.ReadFile(v.addressFile())
	if err != nil {
		return false
	}
	var a struct{ Callers, Health string }
	if json.Unmarshal(raw, &a) != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.callers, v.health = a.Callers, a.Health
	return true
}

// addresses returns where clients and the platform's checks reach the process.
func (v *vm) addresses() (callers, health string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.callers, v.health
}

// isReady asks the process whether it is ready.
func (v *vm) isReady() bool {
	if !v.findAddresses() {
		return false
	}
	c := http.Client{Timeout: time.Second}
	_, health := v.addresses()
	resp, err := c.Get("http://" + health + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// end kills the process.
func (v *vm) end() {
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	_ = v.cmd.Process.Kill()
	<-v.exited
	_ = v.log.Close()
}

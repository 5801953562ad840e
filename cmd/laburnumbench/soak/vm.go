package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// vm is one entry VM: a process of the real program, started anew after each
// end.
type vm struct {
	name  string
	dir   string
	bin   string
	url   string // Of its way to the store.
	store *link

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	at      addresses
	healthy bool
	harmed  time.Time // Until when a cut connection is excused.
	closing bool
	ending  bool // Its end is under way.
}

// addresses is what the program tells of itself.
type addresses struct {
	Callers string `json:"callers"`
	Health  string `json:"health"`
}

const vmSettings = `vm: {name: %s, site: soak, dataCentre: %s}
listen: {callers: "127.0.0.1:0", vms: "127.0.0.1:0", operators: "127.0.0.1:0", health: "127.0.0.1:0", addressFile: %s}
platform: {kind: tables, url: "%s", dataCentres: [a, b], floorShare: 0.7}
limits: {account: {rate: 100000, burst: 100000, inFlight: 100000}}
retry: {ratio: 0.2, slack: 20, window: 10s}
callers: {fractionalRetryAfter: true}
stop: {grace: %s}
access: {fleetToken: soak-fleet-token-0001}
log: {verbosity: %d}
`

// grace is the time from the signal to the end by force.
const grace = 6 * time.Second

func (v *vm) settingsFile() string { return filepath.Join(v.dir, v.name+".yaml") }
func (v *vm) addressFile() string  { return filepath.Join(v.dir, v.name+".json") }

func (v *vm) writeSettings(verbosity int) error {
	dc := []string{"a", "b"}[len(v.name)%2]
	text := fmt.Sprintf(vmSettings, v.name, dc, v.addressFile(), v.url, grace, verbosity)
	return os.WriteFile(v.settingsFile(), []byte(text), 0o600)
}

// start starts the program.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closing {
		return nil
	}
	if err := os.Remove(v.addressFile()); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.cmd = exec.Command(v.bin, v.settingsFile())
	v.cmd.Stdout, v.cmd.Stderr = log, log
	if err := v.cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	v.ending = false
	exited, cmd := make(chan struct{}), v.cmd
	v.exited = exited
	go func() {
		_ = cmd.Wait() // How it ended shows in what callers got.
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// terminate tells the program to end, and ends it by force after the grace time.
// It returns what starts it again, unless it was told to end already.
func (v *vm) terminate() func() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.cmd.Process.Signal(syscall.SIGTERM) // It may have ended.
	if v.ending {
		return func() error { return nil }
	}
	v.ending = true
	process := v.cmd.Process
	late := time.AfterFunc(grace, func() { _ = process.Kill() })
	return func() error {
		defer late.Stop()
		return v.restart()
	}
}

// kill ends the program by force. It returns what starts it again, unless its
// end was under way.
func (v *vm) kill() func() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.cmd.Process.Kill() // It may have ended.
	if v.ending {
		return func() error { return nil }
	}
	v.ending = true
	return v.restart
}

// restart starts the program again once it has ended.
func (v *vm) restart() error {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	<-exited
	return v.start()
}

// signal sends a signal to the program, by its id.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Signal(s) // It may have ended.
	}
}

// harm excuses what callers lose for a while.
func (v *vm) harm(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := time.Now().Add(d); t.After(v.harmed) {
		v.harmed = t
	}
}

// excused reports whether something lost since a time counts as harm.
func (v *vm) excused(since time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.harmed.After(since)
}

// look reads the addresses that the program tells.
func (v *vm) look() {
	raw, err := os.ReadFile(v.addressFile())
	if err != nil {
		return // It is starting.
	}
	var a addresses
	if json.Unmarshal(raw, &a) != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.at = a
}

func (v *vm) addresses() addresses {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.at
}

// endGrace is how long a program that is told to end may take beyond its grace.
const endGrace = 2 * time.Second

// end stops the program for good.
func (v *vm) end() {
	v.mu.Lock()
	v.closing = true
	exited := v.exited
	v.mu.Unlock()
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGTERM)
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(grace + endGrace):
		v.signal(syscall.SIGKILL)
		<-exited
	}
}

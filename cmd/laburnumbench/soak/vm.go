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

// vm is an entry VM that runs as a laburnumpickd process and is started again after
// each exit.
type vm struct {
	name      string
	dir       string
	bin       string
	storeURL  string // URL of storeLink.
	storeLink *link

	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{}
	addrs          addresses
	healthy        bool
	disruptedUntil time.Time // End of the latest kill or pause, plus disruptionMargin.
	shuttingDown   bool      // The soak is over; start does nothing.
	stopping       bool      // The process was sent SIGTERM or SIGKILL, and a restart is pending.
}

// addresses is the content of the program's address file.
type addresses struct {
	Callers string `json:"callers"`
	Health  string `json:"health"`
}

// vmSettings is the format of a VM's settings file.
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

// stopGrace is the time between SIGTERM and SIGKILL, and the program's own stop.grace
// setting.
const stopGrace = 6 * time.Second

func (v *vm) settingsFile() string { return filepath.Join(v.dir, v.name+".yaml") }
func (v *vm) addressFile() string  { return filepath.Join(v.dir, v.name+".json") }

// writeSettings writes the settings file. VMs alternate between the data centres.
func (v *vm) writeSettings(verbosity int) error {
	dc := []string{"a", "b"}[len(v.name)%2]
	text := fmt.Sprintf(vmSettings, v.name, dc, v.addressFile(), v.storeURL, stopGrace, verbosity)
	return os.WriteFile(v.settingsFile(), []byte(text), 0o600)
}

// start starts the program, unless the soak is shutting down. Its output is
// appended to the VM's log file.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.shuttingDown {
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
	v.stopping = false
	exited, cmd := make(chan struct{}), v.cmd
	v.exited = exited
	go func() {
		_ = cmd.Wait() // An unexpected exit shows in the callers' results.
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// terminate sends SIGTERM, and SIGKILL after stopGrace. The returned function starts
// the program again; it does nothing if an earlier event is stopping the process.
func (v *vm) terminate() func() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.cmd.Process.Signal(syscall.SIGTERM) // Fails if the process has exited.
	if v.stopping {
		return func() error { return nil }
	}
	v.stopping = true
	process := v.cmd.Process
	killTimer := time.AfterFunc(stopGrace, func() { _ = process.Kill() })
	return func() error {
		defer killTimer.Stop()
		return v.restart()
	}
}

// kill sends SIGKILL. The returned function starts the program again; it does
// nothing if an earlier event is stopping the process.
func (v *vm) kill() func() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.cmd.Process.Kill() // Fails if the process has exited.
	if v.stopping {
		return func() error { return nil }
	}
	v.stopping = true
	return v.restart
}

// restart waits for the process to exit and starts the program again.
func (v *vm) restart() error {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	<-exited
	return v.start()
}

// signal sends a signal to the VM's process, if one was started.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Signal(s) // Fails if the process has exited.
	}
}

// ownsConn reports whether the VM's process has the client end of a connection from a port.
func (v *vm) ownsConn(port int) bool {
	v.mu.Lock()
	cmd := v.cmd
	v.mu.Unlock()
	return cmd != nil && cmd.Process != nil && ownsConn(cmd.Process.Pid, port)
}

// markDisrupted records that a kill or pause may cost requests their responses for
// the given duration from now.
func (v *vm) markDisrupted(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := time.Now().Add(d); t.After(v.disruptedUntil) {
		v.disruptedUntil = t
	}
}

// isDisruptedAfter reports whether the VM's latest disruption ends after a time.
func (v *vm) isDisruptedAfter(at time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.disruptedUntil.After(at)
}

// readAddresses reads the addresses that the program wrote after its start.
func (v *vm) readAddresses() {
	raw, err := os.ReadFile(v.addressFile())
	if err != nil {
		return // The program has not written the file yet.
	}
	var a addresses
	if json.Unmarshal(raw, &a) != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.addrs = a
}

func (v *vm) addresses() addresses {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.addrs
}

// killDelay is how long a process may outlive stopGrace before shutdown kills it.
const killDelay = 2 * time.Second

// shutdown stops the program and prevents further starts. A paused process is
// resumed first, since it could not handle SIGTERM.
func (v *vm) shutdown() {
	v.mu.Lock()
	v.shuttingDown = true
	exited := v.exited
	v.mu.Unlock()
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGTERM)
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(stopGrace + killDelay):
		v.signal(syscall.SIGKILL)
		<-exited
	}
}

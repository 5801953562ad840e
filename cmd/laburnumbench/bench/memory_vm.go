package bench

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// Times of the processes whose memory is watched.
const (
	memoryPoll   = 10 * time.Millisecond  // Between two readings.
	restartDelay = 500 * time.Millisecond // From a kill to the next start.
	readyTimeout = 20 * time.Second
)

// memoryVM is an entry VM that runs as a process and is killed, and started again, if it exceeds its memory.
type memoryVM struct {
	bin, settings, addressFile string

	limit    int64 // In bytes.
	platform net.Listener
	over     int   // How often it exceeded the limit.
	peak     int64 // In bytes.

	mu       sync.Mutex
	cmd      *exec.Cmd
	address  string // For callers.
	stopping bool
}

// callers returns the address for callers.
func (v *memoryVM) callers() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.address
}

// start starts the process and waits until it is ready.
func (v *memoryVM) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopping {
		return nil
	}
	_ = os.Remove(v.addressFile) // Of the process before, if there was one.
	v.cmd = exec.Command(v.bin, v.settings)
	v.cmd.Stderr = os.Stderr // Of settings that are not valid.
	if err := v.cmd.Start(); err != nil {
		return err
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(memoryPoll) {
		if v.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", v.bin, readyTimeout)
}

// isReady reads the addresses that the process has written, and asks whether it can serve callers.
func (v *memoryVM) isReady() bool {
	raw, err := os.ReadFile(v.addressFile)
	if err != nil {
		return false
	}
	var a struct {
		Callers string `json:"callers"`
		Health  string `json:"health"`
	}
	if json.Unmarshal(raw, &a) != nil {
		return false
	}
	v.address = a.Callers
	resp, err := http.Get("http://" + a.Health + "/")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// watch reads the memory of the process until it is stopped, and kills it where it exceeds the limit.
func (v *memoryVM) watch() {
	for ; !v.isStopping(); time.Sleep(memoryPoll) {
		used := v.resident()
		v.peak = max(v.peak, used)
		if used <= v.limit {
			continue
		}
		v.over++
		v.kill()
		time.Sleep(restartDelay)
		if err := v.start(); err != nil {
			fmt.Fprintln(os.Stderr, "laburnumbench:", err)
			return
		}
	}
}

func (v *memoryVM) isStopping() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stopping
}

// resident returns the resident memory of the process in bytes, or 0 if it has ended.
func (v *memoryVM) resident() int64 {
	v.mu.Lock()
	pid := v.cmd.Process.Pid
	v.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		var kib int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d", &kib); n == 1 {
			return kib << 10
		}
	}
	return 0
}

// kill ends the process at once.
func (v *memoryVM) kill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.cmd.Process.Kill() // Fails if the process has ended.
	_ = v.cmd.Wait()         // Its status tells nothing new.
}

// stop ends the process for good.
func (v *memoryVM) stop() {
	v.mu.Lock()
	ended := v.stopping
	v.stopping = true
	v.mu.Unlock()
	if ended {
		return
	}
	v.kill()
	_ = v.platform.Close()
}

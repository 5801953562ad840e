package bench

import (
	"context"
	"encoding/json"
	"os"
	"runtime"
	"syscall"
	"time"

	"laburnumpick.org/pkg/telemetry"
	"laburnumpick.org/pkg/trial"
)

type idleCmd struct {
	Site     string        `default:"tt-north" enum:"tt-north,lagos" help:"Plan of the site."`
	VMs      int           `name:"vms" default:"48" help:"Number of entry VMs."`
	Duration time.Duration `default:"10s" help:"Length of the measurement, in real time."`
}

// idleFigures holds the cost of an idle fleet's control traffic.
type idleFigures struct {
	VMs         int     `json:"vms"`
	CorePercent float64 `json:"corePercentPerVm"`
	HeapMB      float64 `json:"heapMbPerVm"`
	BytesPerSec float64 `json:"controlBytesPerVmSecond"`
	TableReads  float64 `json:"tableReadsPerSecond"`
}

// Run starts a site in this process, without load, and measures its CPU time,
// heap, control traffic and table reads.
func (c *idleCmd) Run() error {
	telemetry.DiscardLogs()
	p, err := trial.LoadPlan(c.Site)
	if err != nil {
		return err
	}
	before := heapBytes()
	f, err := trial.Start(context.Background(), p, trial.Options{VMs: c.VMs, Seed: 1, NoDelay: true})
	if err != nil {
		return err
	}
	time.Sleep(8 * time.Second) // Wait until the VMs have discovered each other.
	cpu, bytes, reads := cpuTime(), f.ControlBytes.Load(), f.Store.Counts().Reads
	time.Sleep(c.Duration)
	n, secs := float64(c.VMs), c.Duration.Seconds()
	out := idleFigures{
		VMs: c.VMs, CorePercent: 100 * (cpuTime() - cpu).Seconds() / secs / n,
		BytesPerSec: float64(f.ControlBytes.Load()-bytes) / secs / n,
		TableReads:  float64(f.Store.Counts().Reads-reads) / secs,
	}
	out.HeapMB = float64(heapBytes()-before) / 1e6 / n
	return json.NewEncoder(os.Stdout).Encode(out)
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

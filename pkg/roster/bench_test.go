package roster_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"laburnumpick.org/pkg/roster"
)

// BenchmarkPeriod measures the work of a VM in one heartbeat period: it sends a
// heartbeat, receives one, and checks for expired suspicions.
func BenchmarkPeriod(b *testing.B) {
	for _, n := range []int{48, 580, 2175, 8700} {
		b.Run(fmt.Sprintf("%d VMs", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := roster.New(start, testVM(0), rand.New(rand.NewPCG(1, 1)))
			all := make([]roster.Update, n)
			for i := range all {
				all[i] = roster.Update{VM: testVM(i), Incarnation: 1, Status: roster.Alive}
			}
			r.HandleHeartbeat(start, all[1], all)
			for range 200 * (n/24 + 1) {
				r.Updates() // Sends until no update has sends left.
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			defer b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
			now := start
			for b.Loop() {
				now = now.Add(roster.HeartbeatPeriod)
				r.Tick(now)
				vm, _ := r.Next()
				r.Updates()
				r.HandleHeartbeat(now, roster.Update{VM: vm, Incarnation: 1, Status: roster.Alive}, all[:6])
				r.HandleHeartbeat(now, all[2], all[:6])
				r.Updates()
			}
		})
	}
}

// BenchmarkJoin measures a join: it merges the update about a new VM and ranks
// the homes of 40 pools in the new view.
func BenchmarkJoin(b *testing.B) {
	for _, n := range []int{48, 2175, 8700} {
		b.Run(fmt.Sprintf("%d VMs", n), func(b *testing.B) {
			r := roster.New(start, testVM(0), rand.New(rand.NewPCG(1, 1)))
			all := make([]roster.Update, n)
			for i := range all {
				all[i] = roster.Update{VM: testVM(i), Incarnation: 1, Status: roster.Alive}
			}
			r.HandleHeartbeat(start, all[1], all)
			i := n
			for b.Loop() {
				i++
				u := roster.Update{VM: testVM(i), Incarnation: 1, Status: roster.Alive}
				r.HandleHeartbeat(start.Add(time.Second), u, nil)
				for p := range 40 {
					r.View().Homes(fmt.Sprintf("service-%d", p), 0)
				}
			}
		})
	}
}

package home

import (
	"time"

	"github.com/uber-go/tally/v4"

	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/record"
)

// idleLogWindow is how long after its last request a pool's idle servers are still
// logged. Without requests all servers are idle.
const idleLogWindow = time.Second

// logIdleServers logs each server of the pool that has become idle, with the reason.
func (h *Home) logIdleServers(now time.Time, p *ownedPool) {
	if now.Sub(p.lastRequested) > idleLogWindow {
		return
	}
	for _, s := range p.NewlyIdleServers(now) {
		record.Log("home: server gets no requests", "pool", p.ID(), "server", s.Server.Name, "dataCentre", s.Server.DataCentre,
			"state", s.State, "reason", s.Reason, "idle", s.Idle.Round(time.Millisecond), "failedAgo", s.FailedAgo.Round(time.Millisecond))
	}
}

// updateIdleGauges publishes the number of idle servers by reason.
func updateIdleGauges(scope tally.Scope, idle []pool.IdleServer) {
	for _, r := range pool.IdleReasons {
		n := 0
		for _, s := range idle {
			if s.Reason == r {
				n++
			}
		}
		scope.Tagged(map[string]string{"reason": string(r)}).Gauge("idleServers").Update(float64(n))
	}
}

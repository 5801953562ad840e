package settings

import (
	"time"
)

// Stop configures the duration of a planned stop.
type Stop struct {
	// BalancerDelay is the time that the load balancer takes to stop sending
	// requests to the VM.
	BalancerDelay time.Duration `yaml:"balancerLag"`
	// DrainTimeout is the time in which requests in flight must complete.
	DrainTimeout time.Duration `yaml:"patience"`
	// Grace, if set, is the time from the stop signal until the process is killed.
	// It replaces BalancerDelay and DrainTimeout.
	Grace time.Duration `yaml:"grace"`
}

// StopTimes holds the durations of the phases of a planned stop, in their order.
type StopTimes struct {
	KeepAlive time.Duration // Connections stay open. At its end, keep-alive is disabled.
	Idle      time.Duration // Connections close after their next response. At its end, idle ones are closed.
	Drain     time.Duration // Requests in flight complete.
	Respond   time.Duration // Responses that are due at the end of Drain are written.
}

// Shares of the grace time. The load balancer needs some seconds to remove the VM,
// and the longest request that arrived before that must still complete.
const (
	graceKeepAlive = 0.50
	graceIdle      = 0.08
	graceDrain     = 0.37
	graceRespond   = 0.03
)

// defaultRespond is StopTimes.Respond where no grace time is set.
const defaultRespond = 200 * time.Millisecond

// Times returns the durations of the phases.
func (s Stop) Times() StopTimes {
	if s.Grace == 0 {
		return StopTimes{KeepAlive: 0, Idle: s.BalancerDelay, Drain: s.DrainTimeout, Respond: defaultRespond}
	}
	phase := func(share float64) time.Duration { return time.Duration(share * float64(s.Grace)) }
	return StopTimes{KeepAlive: phase(graceKeepAlive), Idle: phase(graceIdle), Drain: phase(graceDrain), Respond: phase(graceRespond)}
}

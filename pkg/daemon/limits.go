package daemon

import (
	"time"

	"laburnumpick.org/pkg/account"
	"laburnumpick.org/pkg/caller"
	"laburnumpick.org/pkg/entry"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/quota"
)

// callerLimits returns the limits of callers' connections: those of the site's
// configuration, and those of the settings where it has none.
func (d *Daemon) callerLimits() caller.Limits {
	lim := &d.current.Load().Limits
	out := caller.Limits{
		HeaderBytes: lim.HeaderBytes, BodyBytes: lim.BodyBytes, HeaderTimeout: lim.CallerTimeout,
		BodyTimeout: lim.CallerTimeout, IdleTimeout: idleTimeout, WriteTimeout: lim.CallerTimeout,
	}
	s := d.replica.State().Directory.Site()
	if s == nil {
		return out
	}
	c := s.Callers
	if c.HeaderBytes > 0 {
		out.HeaderBytes = c.HeaderBytes
	}
	if c.BodyBytes > 0 {
		out.BodyBytes = c.BodyBytes
	}
	if c.HeaderTimeoutMs > 0 {
		out.HeaderTimeout = time.Duration(c.HeaderTimeoutMs) * time.Millisecond
	}
	if c.IdleTimeoutMs > 0 {
		out.IdleTimeout = time.Duration(c.IdleTimeoutMs) * time.Millisecond
	}
	return out
}

// entryLimits returns the current limits of the requests that this VM accepts.
func (d *Daemon) entryLimits() entry.Limits {
	lim := &d.current.Load().Limits
	return entry.Limits{
		MaxRequests: lim.Requests, ConfirmationsPerSecond: lim.ConfirmationsPerSecond,
		DefaultAccount: account.Limits{
			Rate: lim.Account.Rate, Burst: lim.Account.Burst, InFlight: lim.Account.InFlight,
		},
	}
}

// retryLimits returns the current limits of retries.
func (d *Daemon) retryLimits() pool.RetryLimits {
	r := d.current.Load().Retry
	return pool.RetryLimits{Ratio: r.Ratio, MinRetries: r.MinRetries, Window: r.Window}
}

// quotaTolerance returns what all VMs may spend beyond a quota.
func (d *Daemon) quotaTolerance() quota.Tolerance {
	q := d.current.Load().Quota
	return quota.Tolerance{Window: q.Window, Overage: q.Overage, Slack: q.Slack}
}

package pool

import (
	"math"
	"slices"
	"sort"
	"time"

	"laburnumpick.org/pkg/site"
)

// Parameters of the pace at which a server with a limit gets requests.
const (
	// limitBurst is the time whose requests a server may get at once after a pause. It
	// makes up for the interval at which the queue is served.
	limitBurst = 250 * time.Millisecond
	// minLimitRate is the pace of a server whose limit is lower, even zero. Only a
	// response can show that the limit has ended.
	minLimitRate site.RequestRate = 0.2
	// tokenRounding is what a token may lack by rounding.
	tokenRounding = 1e-9
)

// NamedLimit is a limit that a server has named in a response, as a VM knows it.
type NamedLimit struct {
	Server    site.ServerName
	StartedMs int64 // Start time of the server, in Unix milliseconds; 0 if it is configured.
	Limit     site.RequestLimit
	Age       time.Duration // Time since the response came, since the clocks of VMs differ.
	VM        string        // That got the response.
}

// LimitVersion identifies the limits in force at a home.
type LimitVersion struct {
	Since   int64 // When the home created its pool, in Unix microseconds.
	Changes int64 // Changes of limits since then.
}

// LimitList holds all limits in force at a home.
type LimitList struct {
	Version LimitVersion
	Limits  []NamedLimit
}

// LimitChange is a change of the limit to which a server is held.
type LimitChange struct {
	Server  site.ServerName
	Before  site.RequestLimit
	After   site.RequestLimit
	NamedTo string // The VM that got the response.
	Age     time.Duration
}

// pace holds a server to the limit that it has named. It is a token bucket: the requests
// of all VMs take their tokens from it, since the limit is one for the whole fleet.
type pace struct {
	limit   site.RequestLimit
	namedAt time.Time // When the response that named the limit, or its end, came.
	namedTo string    // The VM that got that response.
	// limitGrant is the server's latest grant when the limit was set. Responses to that
	// and earlier grants may have been given before, so they cannot raise the limit.
	limitGrant    GrantID
	limitedGrants int     // Grants since the limit was set.
	share         float64 // The part of the limit that this home may use.
	tokens        float64
	refilledAt    time.Time
}

// setLimit replaces the limit. A server that had none gets its first request after a
// whole interval, because others may have been sent to it just now.
func (c *pace) setLimit(now time.Time, n NamedLimit, last GrantID, share float64) {
	c.refill(now)
	if !c.limit.Named {
		c.tokens = 0
	}
	c.limit, c.namedTo, c.share = n.Limit, n.VM, share
	c.limitGrant, c.limitedGrants = last, 0
	c.tokens = min(c.tokens, c.burst())
}

// requestRate returns the rate of requests that this home may send.
func (c *pace) requestRate() float64 { return float64(max(c.limit.Rate, minLimitRate)) * c.share }

// burst returns how many requests the server may get at once.
func (c *pace) burst() float64 { return 1 + c.requestRate()*limitBurst.Seconds() }

// refill adds the tokens for the time since the last call.
func (c *pace) refill(now time.Time) {
	c.tokens = c.tokensAt(now)
	c.refilledAt = now
}

func (c *pace) tokensAt(now time.Time) float64 {
	return min(c.burst(), c.tokens+now.Sub(c.refilledAt).Seconds()*c.requestRate())
}

// withinLimit reports whether the server's limit allows a request now.
func (c *pace) withinLimit(now time.Time) bool {
	return !c.limit.Named || c.tokensAt(now) >= 1-tokenRounding
}

// takeToken counts a request against the limit.
func (c *pace) takeToken(now time.Time) {
	if !c.limit.Named {
		return
	}
	c.refill(now)
	c.tokens--
	c.limitedGrants++
}

// dropTokens makes the next request wait for a whole interval.
func (c *pace) dropTokens(now time.Time) {
	c.refill(now)
	c.tokens = min(c.tokens, 0)
}

// RecordLimit applies what the response to a grant of this home says about the server's
// limit. It reports false if nothing changes.
func (p *Pool) RecordLimit(now time.Time, g GrantID, n NamedLimit) (LimitChange, bool) {
	v, ok := p.serverSince(n.Server, n.StartedMs)
	if !ok {
		return LimitChange{}, false
	}
	if n.Limit == v.limit {
		v.namedAt = now.Add(-n.Age)
		return LimitChange{}, false
	}
	if !n.Limit.IsLowerThan(v.limit) && g <= v.limitGrant {
		return LimitChange{}, false
	}
	return p.changeLimit(now, v, n), true
}

func (p *Pool) changeLimit(now time.Time, v *server, n NamedLimit) LimitChange {
	p.limitVersion.Changes++
	c := LimitChange{Server: v.cfg.Name, Before: v.limit, After: n.Limit, NamedTo: n.VM, Age: n.Age}
	v.setLimit(now, n, v.lastGrant, p.limitShare)
	v.namedAt = now.Add(-n.Age)
	return c
}

// LimitVersion returns the version of the limits in force.
func (p *Pool) LimitVersion() LimitVersion { return p.limitVersion }

// LimitList returns the limits in force.
func (p *Pool) LimitList(now time.Time) LimitList {
	return LimitList{Version: p.limitVersion, Limits: p.namedLimits(now)}
}

// namedLimits returns the limits in force.
func (p *Pool) namedLimits(now time.Time) []NamedLimit {
	var out []NamedLimit
	for _, v := range p.order {
		if v.limit.Named {
			out = append(out, NamedLimit{
				Server: v.cfg.Name, StartedMs: v.cfg.StartedMs, Limit: v.limit, Age: now.Sub(v.namedAt), VM: v.namedTo,
			})
		}
	}
	return out
}

// MergeLimits applies limits that other VMs know, and returns those that change. They
// may be out of date, so they only lower a limit, and only if they are newer than what
// this home knows. The responses to its own grants raise it again.
func (p *Pool) MergeLimits(now time.Time, limits []NamedLimit) []LimitChange {
	var out []LimitChange
	for _, n := range limits {
		v, ok := p.serverSince(n.Server, n.StartedMs)
		if !ok || !n.Limit.IsLowerThan(v.limit) {
			continue
		}
		if now.Add(-n.Age).After(v.namedAt) {
			out = append(out, p.changeLimit(now, v, n))
		}
	}
	return out
}

// HasLimits reports whether any server names a limit.
func (p *Pool) HasLimits() bool {
	return slices.ContainsFunc(p.order, func(v *server) bool { return v.limit.Named })
}

// SetLimitShare sets the part of the servers' limits that this home may use, between 0
// and 1. Others may decide for the pool at the same time.
func (p *Pool) SetLimitShare(now time.Time, share float64) {
	if share == p.limitShare {
		return
	}
	p.limitShare = share
	for _, v := range p.order {
		v.refill(now)
		v.share = share
	}
}

// withinLimitOf returns how many of a server's slots are in use on average if it gets as
// many requests as its limit allows, and no more than there are.
func (p *Pool) withinLimitOf(v *server, slots int) float64 {
	if !v.limit.Named {
		return float64(slots)
	}
	return min(float64(slots), v.requestRate()*p.meanMs/float64(time.Second/time.Millisecond))
}

// untilTurn returns the time until the limits of the usable servers allow a request that
// has others ahead of it. It reports false if a usable server has no limit, or none is
// usable.
func (p *Pool) untilTurn(now time.Time, r Request, ahead int) (time.Duration, bool) {
	var usable []*server
	for _, v := range p.order {
		if !v.usable(now) || p.isBarred(now, r, v) {
			continue
		}
		if !v.limit.Named {
			return 0, false
		}
		usable = append(usable, v)
	}
	if len(usable) == 0 {
		return 0, false
	}
	turns := func(d time.Duration) int { return turnsWithin(usable, now, d) }
	if turns(maxRetryAfter) <= ahead {
		return maxRetryAfter, true
	}
	steps := sort.Search(int(maxRetryAfter/turnStep), func(i int) bool { return turns(time.Duration(i)*turnStep) > ahead })
	return time.Duration(steps) * turnStep, true
}

// turnStep is the resolution of the time until a request's turn.
const turnStep = time.Millisecond

// turnsWithin returns how many requests the limits of the servers allow in a time from
// now on.
func turnsWithin(servers []*server, now time.Time, d time.Duration) int {
	n := 0.0
	for _, v := range servers {
		n += math.Floor(v.tokensAt(now) + v.requestRate()*d.Seconds() + tokenRounding)
	}
	return int(min(n, maxQueueLen+1))
}

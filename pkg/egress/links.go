// Package egress sends requests to backend servers, directly or through another VM of the
// fleet while this VM's own links to servers are down, and runs the requests of other VMs in
// the same way.
//
// A VM that cannot connect to a server does not know whether the server or its own link has
// failed. Another VM that reaches the server proves that it is the link. So the request goes
// on through that VM, and nothing is reported against the server.
package egress

import (
	"slices"
	"sync"
	"time"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/site"
)

// Limits of what is concluded from failed connections.
const (
	// isolationLinks is the number of servers to which connections must fail, with none
	// opened in between, before this VM considers itself cut off from all servers.
	isolationLinks = 3
	// firstCheck is the time until a link that is down is checked first. It doubles up to
	// maxCheck with each failed check.
	firstCheck = 500 * time.Millisecond
	maxCheck   = 4 * time.Second
	// isolatedCheck is the time between two checks while this VM is cut off from all servers.
	isolatedCheck = 300 * time.Millisecond
	// checksAtOnce bounds the links that are checked at the same time.
	checksAtOnce = 3
	// forgetLink is how long a link that is down is remembered without a request for it.
	forgetLink = time.Minute
)

// Target is a server of a service.
type Target struct {
	Service site.ServiceName
	Server  site.Server
}

// Use is what a VM's link to a server can be used for.
type Use int

// Uses of a link.
const (
	// AnyConn means that the link is believed to be up.
	AnyConn Use = iota
	// KeptConns means that new connections fail at once, but that open ones may live.
	KeptConns
	// NoConn means that nothing arrives.
	NoConn
)

// link is a link that is down.
type link struct {
	target    Target
	since     time.Time
	hangs     bool // Nothing arrives; otherwise new connections fail at once.
	checkedAt time.Time
	checks    int // Failed checks in a row.
	wantedAt  time.Time
}

// checkDue reports whether the link must be checked.
func (l *link) checkDue(now time.Time) bool {
	return now.Sub(l.checkedAt) >= min(firstCheck<<min(l.checks, 8), maxCheck)
}

// Links holds what this VM knows of its links to servers. It is safe for concurrent use.
type Links struct {
	mu        sync.Mutex
	down      map[site.ServerName]*link
	doubts    map[site.ServerName]Target // Links to check at once.
	reachedAt time.Time                  // When a connection to a server was opened last.
	// provenAt is when another VM last reached a server that this VM did not.
	provenAt      time.Time
	reconnectedAt time.Time // When this VM was last cut off from all servers.
	isolated      isolation
}

// isolation is the state of a VM that is cut off from all servers.
type isolation struct {
	since     time.Time // Zero if the VM is not cut off.
	hangs     bool
	checkedAt time.Time
}

// NewLinks returns links that are all up.
func NewLinks() *Links {
	return &Links{down: make(map[site.ServerName]*link), doubts: make(map[site.ServerName]Target)}
}

// Change is what changed when a link was found up or down.
type Change struct {
	Down, Up               bool // The link is down, or up again.
	Isolated, Reconnected  bool // This VM is cut off from all servers, or reaches servers again.
	DownFor, IsolatedFor   time.Duration
	LinksDown, NeedsOthers int // Links that are down, and other servers that should be checked now.
}

// Use returns what the link to a server can be used for.
func (k *Links) Use(now time.Time, n site.ServerName) Use {
	k.mu.Lock()
	defer k.mu.Unlock()
	l, down := k.down[n]
	if down {
		l.wantedAt = now
	}
	switch {
	case !k.isolated.since.IsZero() && k.isolated.hangs, down && l.hangs:
		return NoConn
	case !k.isolated.since.IsZero(), down:
		return KeptConns
	default:
		return AnyConn
	}
}

// Isolated reports whether this VM is cut off from all servers.
func (k *Links) Isolated() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.isolated.since.IsZero()
}

// FailedSince reports whether an attempt that has got nothing from a server since a time may have
// failed because of this VM's links: the one to the server has gone down since, this VM has been
// cut off from all servers, or another VM has reached a server that this VM did not.
func (k *Links) FailedSince(n site.ServerName, since time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	l, down := k.down[n]
	cutOff := !k.isolated.since.IsZero() || !k.reconnectedAt.Before(since)
	return cutOff || (down && !l.since.Before(since)) || !k.provenAt.Before(since)
}

// Prove records that another VM has reached a server that this VM did not.
func (k *Links) Prove(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.provenAt = now
}

// Record records the result of opening a connection to a server. It returns false if nothing
// changed by it.
func (k *Links) Record(now time.Time, t Target, r backend.ConnectResult) (Change, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.doubts, t.Server.Name)
	var c Change
	switch r {
	case backend.Connected:
		c = k.recordUp(now, t)
	case backend.ConnectCanceled:
	default:
		c = k.recordDown(now, t, r == backend.ConnectTimedOut)
	}
	c.LinksDown = len(k.down)
	return c, c.Down || c.Up || c.Isolated || c.Reconnected
}

func (k *Links) recordUp(now time.Time, t Target) Change {
	var c Change
	k.reachedAt = now
	if l, down := k.down[t.Server.Name]; down {
		c.Up, c.DownFor = true, now.Sub(l.since)
		delete(k.down, t.Server.Name)
	}
	if !k.isolated.since.IsZero() {
		c.Reconnected, c.IsolatedFor = true, now.Sub(k.isolated.since)
		k.isolated, k.reconnectedAt = isolation{}, now
		for _, l := range k.down {
			l.checks, l.checkedAt = 0, time.Time{} // The others are most likely up again too.
		}
	}
	return c
}

func (k *Links) recordDown(now time.Time, t Target, hangs bool) Change {
	var c Change
	l, known := k.down[t.Server.Name]
	if !known {
		l = &link{target: t, since: now, wantedAt: now}
		k.down[t.Server.Name] = l
		c.Down = true
	}
	l.hangs, l.checkedAt = hangs, now
	l.checks++
	if !k.isolated.since.IsZero() {
		k.isolated.hangs, k.isolated.checkedAt = hangs, now
		return c
	}
	failed := k.failedSinceReached()
	if failed >= isolationLinks {
		k.isolated = isolation{since: now, hangs: hangs, checkedAt: now}
		c.Isolated = true
		return c
	}
	if c.Down {
		c.NeedsOthers = isolationLinks - failed
	}
	return c
}

// failedSinceReached returns the number of links that went down after a connection to any
// server was opened last.
func (k *Links) failedSinceReached() int {
	n := 0
	for _, l := range k.down {
		if l.since.After(k.reachedAt) {
			n++
		}
	}
	return n
}

// Forget forgets that the link to a server is down. It is called if other VMs do not reach the
// server either, so that the link says nothing.
func (k *Links) Forget(n site.ServerName) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.down, n)
}

// Doubt has the link to a server checked at once.
func (k *Links) Doubt(t Target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.doubts[t.Server.Name] = t
}

// TakeDue returns the links to check now. While this VM is cut off from all servers, that is
// one at a time, which draw takes from all servers.
func (k *Links) TakeDue(now time.Time, draw func() (Target, bool)) []Target {
	k.mu.Lock()
	defer k.mu.Unlock()
	var due []Target
	for n, t := range k.doubts {
		due = append(due, t)
		delete(k.doubts, n)
	}
	if !k.isolated.since.IsZero() {
		if now.Sub(k.isolated.checkedAt) < isolatedCheck {
			return due
		}
		if t, ok := draw(); ok {
			k.isolated.checkedAt = now
			due = append(due, t)
		}
		return due
	}
	var down []*link
	for n, l := range k.down {
		if now.Sub(l.wantedAt) > forgetLink {
			delete(k.down, n)
		} else if l.checkDue(now) {
			down = append(down, l)
		}
	}
	slices.SortFunc(down, func(a, b *link) int { return a.checkedAt.Compare(b.checkedAt) })
	for _, l := range down[:min(len(down), checksAtOnce)] {
		l.checkedAt = now
		due = append(due, l.target)
	}
	return due
}

// Idle reports whether there is nothing to check.
func (k *Links) Idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.down) == 0 && len(k.doubts) == 0 && k.isolated.since.IsZero()
}

// Package account limits the request rate and the concurrent requests of each
// client account in one VM.
package account

import (
	"sync"
	"time"

	"laburnumpick.org/pkg/site"
)

// Limits are the limits of one client account in one VM.
type Limits struct {
	Rate     float64 // Requests per second; must be positive.
	Burst    int     // Capacity of the token bucket: requests accepted at once when it is full.
	InFlight int     // Concurrent requests.
}

// shardCount is the number of shards, each with a lock of its own, to reduce
// contention between accounts.
const shardCount = 64

// idleTimeout is the time without requests after which an account's state is
// deleted. By then the bucket is full again if Rate refills at least Burst tokens in
// this time, which is not checked. With a larger Burst, deleting the state fills the
// bucket early.
const idleTimeout = time.Minute

// state is the token bucket of an account and its count of running requests.
type state struct {
	tokens    float64
	updatedAt time.Time // When tokens was last computed.
	inFlight  int
}

type shard struct {
	mu        sync.Mutex
	accounts  map[site.AccountName]*state
	lastSweep time.Time
}

// Limiter limits client accounts. It holds state only for accounts that were
// active recently.
type Limiter struct{ shards [shardCount]shard }

// NewLimiter returns a limiter without any account state.
func NewLimiter() *Limiter {
	l := &Limiter{}
	for i := range l.shards {
		l.shards[i].accounts = make(map[site.AccountName]*state)
	}
	return l
}

// Acquire asks to run one request of an account. It returns zero if the request
// may run; Release must be called when it completes. Otherwise it returns the time
// after which to retry.
func (l *Limiter) Acquire(now time.Time, a site.AccountName, lim Limits) time.Duration {
	s := l.shard(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	st, ok := s.accounts[a]
	if !ok {
		st = &state{tokens: float64(lim.Burst), updatedAt: now}
		s.accounts[a] = st
	}
	st.tokens = min(float64(lim.Burst), st.tokens+lim.Rate*max(0, now.Sub(st.updatedAt).Seconds()))
	st.updatedAt = now
	if st.tokens < 1 {
		return time.Duration((1 - st.tokens) / lim.Rate * float64(time.Second))
	}
	if st.inFlight >= lim.InFlight {
		return time.Duration(float64(time.Second) / lim.Rate)
	}
	st.tokens--
	st.inFlight++
	return 0
}

// Release records the completion of a request that Acquire allowed.
func (l *Limiter) Release(a site.AccountName) {
	s := l.shard(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	if st, ok := s.accounts[a]; ok {
		st.inFlight--
	}
}

// sweep deletes the state of idle accounts, at most once per idleTimeout.
func (s *shard) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < idleTimeout {
		return
	}
	s.lastSweep = now
	for a, st := range s.accounts {
		if st.inFlight == 0 && now.Sub(st.updatedAt) > idleTimeout {
			delete(s.accounts, a)
		}
	}
}

// shard returns the shard of an account.
func (l *Limiter) shard(a site.AccountName) *shard {
	h := uint32(2166136261) // FNV-1a.
	for i := range len(a) {
		h = (h ^ uint32(a[i])) * 16777619
	}
	return &l.shards[h%shardCount]
}

// Package account limits what one client account may send through one VM.
package account

import (
	"sync"
	"time"

	"laburnumpick.org/pkg/site"
)

// Limits are the limits of one account in one VM.
type Limits struct {
	Rate     float64 // Requests a second.
	Burst    int     // Requests at once after a rest.
	InFlight int     // Requests that run at once.
}

// shardCount spreads the lock over many accounts.
const shardCount = 64

// idle is the rest after which an account's state is forgotten. By then every
// bucket is full again, since Rate is at least Burst in this time.
const idle = time.Minute

type state struct {
	tokens   float64
	at       time.Time // When tokens was right.
	inFlight int
}

type shard struct {
	mu       sync.Mutex
	accounts map[site.AccountName]*state
	swept    time.Time
}

// Limiter holds the state of the accounts that sent lately.
type Limiter struct{ shards [shardCount]shard }

// NewLimiter returns a limiter that knows no account.
func NewLimiter() *Limiter {
	l := &Limiter{}
	for i := range l.shards {
		l.shards[i].accounts = make(map[site.AccountName]*state)
	}
	return l
}

// Acquire asks for one request. It returns zero where it may run, which Leave
// must end, or else when to come back.
func (l *Limiter) Acquire(now time.Time, a site.AccountName, lim Limits) time.Duration {
	s := l.shard(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	st, ok := s.accounts[a]
	if !ok {
		st = &state{tokens: float64(lim.Burst), at: now}
		s.accounts[a] = st
	}
	st.tokens = min(float64(lim.Burst), st.tokens+lim.Rate*max(0, now.Sub(st.at).Seconds()))
	st.at = now
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

// Release ends a request that Enter let in.
func (l *Limiter) Release(a site.AccountName) {
	s := l.shard(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	if st, ok := s.accounts[a]; ok {
		st.inFlight--
	}
}

// sweep forgets accounts that have rested, once in a while.
func (s *shard) sweep(now time.Time) {
	if now.Sub(s.swept) < idle {
		return
	}
	s.swept = now
	for a, st := range s.accounts {
		if st.inFlight == 0 && now.Sub(st.at) > idle {
			delete(s.accounts, a)
		}
	}
}

func (l *Limiter) shard(a site.AccountName) *shard {
	h := uint32(2166136261) // FNV-1a.
	for i := range len(a) {
		h = (h ^ uint32(a[i])) * 16777619
	}
	return &l.shards[h%shardCount]
}

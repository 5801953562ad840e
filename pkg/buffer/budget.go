// Package buffer bounds the memory that a VM holds for the bodies of requests and responses.
//
// A Budget is shared by all requests of a VM. Each request reserves bytes in its own Account
// before it holds them, and gives them back when it ends. If there is no room, the peers that
// send slowest lose theirs first.
package buffer

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Limits of a budget.
const (
	// firstBytes is the size of the first buffer of a body, which may use the whole budget. Larger
	// ones leave reservedShare of it, so that large bodies do not stop small ones.
	firstBytes    = 16 << 10
	reservedShare = 8 // One part in so many.
	// lateBytes is the size of the largest buffer of a request that has ended.
	lateBytes = 64 << 10
	// minRate is the rate, in bytes per second, below which a sender may lose its room to others.
	minRate = 16 << 10
	// minAge is the time that a sender has before its rate counts.
	minAge = 2 * time.Second
)

// Budget is the number of bytes that a VM may hold for bodies. It is safe for concurrent use. A nil
// budget has no limit.
type Budget struct {
	limit int64

	mu      sync.Mutex
	used    int64
	senders map[*Account]struct{} // Accounts of requests whose bodies are being received.
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, senders: make(map[*Account]struct{})}
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Publish updates the budget's metric.
func (b *Budget) Publish(scope tally.Scope) { scope.Gauge("bytes").Update(float64(b.Used())) }

// Open returns the account of a new request. It must be closed when the request has ended.
func (b *Budget) Open() *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b}
}

// available returns how much of an empty budget a reservation of n bytes may use.
func (b *Budget) available(n int64) int64 {
	if n <= firstBytes {
		return b.limit
	}
	return b.limit - b.limit/reservedShare
}

// slowestSender returns the account of the slowest sender that is below minRate, or nil. The
// caller holds the lock.
func (b *Budget) slowestSender(now time.Time) *Account {
	var slowest *Account
	least := float64(minRate)
	for a := range b.senders {
		age := now.Sub(a.since)
		if age < minAge || a.held == 0 {
			continue
		}
		if rate := float64(a.received) / age.Seconds(); rate < least {
			slowest, least = a, rate
		}
	}
	return slowest
}

// Account holds the reservations of one request. A nil account has no limit.
type Account struct {
	budget *Budget

	// The fields below are guarded by the budget's lock.
	held     int64
	closed   bool
	since    time.Time // When the body began to arrive.
	received int64     // Bytes of the body that have arrived.
	cutOff   func()    // Ends the receiving of the body.
}

// Reserve reserves n bytes. It returns false if there is no room. A request that goes on after its
// account was closed, as one with an idempotency key may, gets small buffers only.
func (a *Account) Reserve(n int64) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return n <= lateBytes
	}
	if b.used+n > b.available(n) {
		return false
	}
	a.held += n
	b.used += n
	return true
}

// Release gives back n bytes.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.release(min(n, a.held))
}

// release gives back n bytes. The caller holds the lock.
func (a *Account) release(n int64) {
	a.held -= n
	a.budget.used -= n
}

// Close gives back all bytes. No more can be reserved.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.closed = true
	a.release(a.held)
	delete(a.budget.senders, a)
}

// BeginReceive records that a body begins to arrive. cutOff is called, at most once, if others
// need its room and it arrives too slowly.
func (a *Account) BeginReceive(now time.Time, cutOff func()) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.since, a.received, a.cutOff = now, 0, cutOff
	a.budget.senders[a] = struct{}{}
}

// Receive records that n bytes of the body have arrived.
func (a *Account) Receive(n int) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.received += int64(n)
}

// EndReceive records that the body has arrived, so that its room is safe.
func (a *Account) EndReceive() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	delete(a.budget.senders, a)
}

// MakeRoom cuts off the slowest senders until n more bytes fit, or none is slow any more. It
// reports whether they fit.
func (b *Budget) MakeRoom(now time.Time, n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.used+n > b.available(n) {
		a := b.slowestSender(now)
		if a == nil {
			return false
		}
		delete(b.senders, a)
		a.closed = true
		a.release(a.held)
		a.cutOff() // Its buffer is dropped as soon as its read returns.
	}
	return true
}

// accountKey is the context key of a request's account.
type accountKey struct{}

// WithAccount returns a context that carries a request's account.
func WithAccount(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// AccountFrom returns the account that a context carries, or nil.
func AccountFrom(ctx context.Context) *Account {
	a, _ := ctx.Value(accountKey{}).(*Account)
	return a
}

package egress

import (
	"sync"
	"time"

	"laburnumpick.org/pkg/site"
)

// failureMemory is how long a search that found no VM which reaches a server is not repeated.
// Requests for a server that has gone would otherwise each ask many VMs.
const failureMemory = 300 * time.Millisecond

// failure is a search that found no VM.
type failure struct {
	err error
	at  time.Time
}

// failures holds the searches that have lately found no VM which reaches a server. It is safe
// for concurrent use.
type failures struct {
	mu sync.Mutex
	of map[site.ServerName]failure
}

func newFailures() *failures { return &failures{of: make(map[site.ServerName]failure)} }

// recent returns why a recent search for a server failed, or nil.
func (f *failures) recent(now time.Time, n site.ServerName) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, ok := f.of[n]
	if !ok || now.Sub(last.at) >= failureMemory {
		return nil
	}
	return last.err
}

// add records a failed search, and forgets those that are no longer recent.
func (f *failures) add(now time.Time, n site.ServerName, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for o, last := range f.of {
		if now.Sub(last.at) >= failureMemory {
			delete(f.of, o)
		}
	}
	f.of[n] = failure{err, now}
}

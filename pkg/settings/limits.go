package settings

import (
	"time"
)

// Limits limits the requests and connections that the VM accepts.
type Limits struct {
	BodyBytes int64 `yaml:"bodyBytes"` // Size of a request's body.
	// BufferedResponseBytes is the size up to which a response is buffered until it is
	// complete.
	BufferedResponseBytes int   `yaml:"wholeAnswerBytes"`
	HeaderBytes           int   `yaml:"headerBytes"` // Size of a request's header.
	Requests              int64 `yaml:"requests"`    // Concurrent requests.
	// CallerTimeout limits the time in which a caller sends the header or the body of
	// a request, and reads the response.
	CallerTimeout time.Duration `yaml:"slowCaller"`
	Connections   int           `yaml:"connections"` // Open connections of all callers.
	// ConnectionsPerHost limits the open connections from one remote host.
	ConnectionsPerHost int `yaml:"connectionsFromOne"`
	// ConfirmationsPerSecond limits the reads and writes of the table which confirm
	// that a refused keyed request has not run.
	ConfirmationsPerSecond float64 `yaml:"vouchesPerSecond"`
	// CarriedRequests limits the concurrent requests that the VM runs for other VMs whose links
	// to backend servers are down.
	CarriedRequests int     `yaml:"carriedRequests"`
	Account         Account `yaml:"account"`
	// MemoryMegabytes is the memory of the process, in 10^6 bytes; zero if it is not known. What
	// is held for bodies follows it.
	MemoryMegabytes float64 `yaml:"memoryMegabytes"`
}

// Shares of the process's memory.
const (
	// bodyShare is the part that the bodies of requests and responses may take.
	bodyShare = 0.3
	// heapShare is the part above which the garbage collector runs more often. What it has not
	// collected counts as used.
	heapShare = 0.7
	// defaultBodyMemory is what bodies may take, in bytes, where the memory is not known.
	defaultBodyMemory = 256 << 20
)

// BodyMemory returns how many bytes may be held for bodies.
func (l *Limits) BodyMemory() int64 {
	if l.MemoryMegabytes == 0 {
		return defaultBodyMemory
	}
	return int64(bodyShare * l.MemoryMegabytes * 1e6)
}

// HeapLimit returns the size of the heap, in bytes, above which the garbage collector runs more
// often, or false if the memory is not known.
func (l *Limits) HeapLimit() (int64, bool) {
	return int64(heapShare * l.MemoryMegabytes * 1e6), l.MemoryMegabytes > 0
}

// Account holds the limits, in each VM, of client accounts that have none of their own and are
// not identified by a key.
type Account struct {
	Rate     float64 `yaml:"rate"`     // Requests per second.
	Burst    int     `yaml:"burst"`    // Capacity of the token bucket: requests accepted at once when it is full.
	InFlight int     `yaml:"inFlight"` // Concurrent requests.
}

// Package journal keeps a VM's latest decisions in memory, for operators to query.
package journal

import (
	"sync"
	"time"
)

// Entry is one decision.
type Entry struct {
	At      time.Time `json:"at"`
	VM      string    `json:"vm"`
	Subject string    `json:"subject"` // What the decision is about, for example "server seal-3".
	Text    string    `json:"text"`
}

// Journal is a ring buffer of decisions. It is safe for concurrent use.
type Journal struct {
	mu      sync.Mutex
	vm      string
	entries []Entry
	next    int   // Index of the oldest entry once the buffer is full.
	dropped int64 // Number of entries that were overwritten.
}

// New returns an empty journal that keeps at most size entries.
func New(vm string, size int) *Journal {
	return &Journal{vm: vm, entries: make([]Entry, 0, size)}
}

// Add appends a decision. If the journal is full, it replaces the oldest one.
func (j *Journal) Add(now time.Time, subject, text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := Entry{now, j.vm, subject, text}
	if len(j.entries) < cap(j.entries) {
		j.entries = append(j.entries, e)
		return
	}
	j.entries[j.next] = e
	j.next = (j.next + 1) % len(j.entries)
	j.dropped++
}

// Entries returns the decisions after the given time, oldest first, and how many
// decisions the journal has dropped since its start because it was full.
func (j *Journal) Entries(after time.Time) ([]Entry, int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []Entry
	for i := range j.entries {
		e := j.entries[(j.next+i)%len(j.entries)]
		if e.At.After(after) {
			out = append(out, e)
		}
	}
	return out, j.dropped
}

package registry

import "time"

// Revision numbers the states of the list in ascending order. It consists of the era of the
// platform's store and of the store's own revision, which starts again at an earlier one in
// each era.
type Revision int64

// eraShift is the position of the era in a Revision.
const eraShift = 48

// MaxEra is the highest era that a Revision can hold.
const MaxEra = 1<<(63-eraShift) - 1

// NewRevision returns the revision with an era and a number of the store.
func NewRevision(era, number int64) Revision {
	return Revision(min(era, MaxEra)<<eraShift | number&(1<<eraShift-1))
}

// Era returns how often the store has come back from an older copy; zero if it does not say.
func (r Revision) Era() int64 { return int64(r) >> eraShift }

// Number returns the store's own revision.
func (r Revision) Number() int64 { return int64(r) & (1<<eraShift - 1) }

// Limits of what a server can have written.
const (
	// maxClockSkew is how far ahead of this VM's clock a server's start may lie.
	maxClockSkew = 5 * time.Minute
	// maxDelayedWrites is how many writes of a server a delayed one may be behind. Entries
	// that are further apart are not of one sequence: the later one of the store counts.
	maxDelayedWrites = 64
)

// order is what orders the entries of a server by the time at which it made them.
type order struct {
	started int64 // The server's start in Unix milliseconds.
	seq     int64
}

func (e Entry) order() order { return order{e.Server.StartedMs, e.Seq} }

// wasMadeBefore reports whether the server made the entry before another one of it, so that
// it has arrived late.
func (e Entry) wasMadeBefore(o order) bool {
	if e.Server.StartedMs != o.started {
		return e.Server.StartedMs < o.started
	}
	return e.Seq < o.seq && o.seq-e.Seq <= maxDelayedWrites
}

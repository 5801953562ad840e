package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

// Limits of reads and writes of the log.
const (
	pollLimit        = 256 // Rows per read.
	maxWriteAttempts = 8   // Attempts to insert a change if others take its version.
	snapshotInterval = 128 // Changes between snapshots in the object store.
)

// WriteResult is the result of writing an operator's change: Accepted, Rejected
// or Indeterminate.
type WriteResult interface{ writeResult() }

// Accepted means that the table holds the change.
type Accepted struct {
	Version Version
	// Changes holds this change alone or, if an earlier call has written it, the
	// changes that this call read from the table.
	Changes []Change
}

// Rejected means that the change was not written and will not take effect.
type Rejected struct {
	Reason   string
	Conflict *Change // The conflicting change that was accepted first, if any.
}

// Indeterminate means that the change may or may not be in the table. Repeating
// the command with the same id determines the outcome.
type Indeterminate struct{ Reason string }

func (Accepted) writeResult()      {}
func (Rejected) writeResult()      {}
func (Indeterminate) writeResult() {}

// Log reads and writes the changes of a site in the platform's table.
type Log struct {
	store store.Store
	site  site.Name
}

// NewLog returns the log of a site.
func NewLog(s store.Store, n site.Name) *Log { return &Log{store: s, site: n} }

// Poll reads the next changes after version v, up to the limit of one read.
func (l *Log) Poll(ctx context.Context, v Version) ([]Change, error) {
	rows, err := l.store.List(ctx, rowPrefix(l.site), rowKey(l.site, v), pollLimit)
	if err != nil {
		return nil, err
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		var c Change
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return changes, fmt.Errorf("row %s: %w", row.Key, err)
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// Write updates the replica, validates a change against it and writes the change
// as the next version. base is the version that the operator's change is based on.
// The change is rejected if another one changed the same object since base.
// Changes to other objects do not conflict: the change follows them with a higher
// version.
func (l *Log) Write(ctx context.Context, now time.Time, r *Replica, base Version, c Change) WriteResult {
	subject, err := c.Subject()
	if err != nil {
		return Rejected{Reason: err.Error()}
	}
	var seen []Change
	for range maxWriteAttempts {
		changes, err := l.catchUp(ctx, now, r)
		if err != nil {
			return Rejected{Reason: "nothing was written: " + err.Error()}
		}
		seen = append(seen, changes...)
		if prior := priorResult(r, base, subject, c.Command, seen); prior != nil {
			return prior
		}
		cur := r.State()
		if _, err := c.apply(cur.Directory); err != nil {
			return Rejected{Reason: err.Error()}
		}
		c.Version, c.At = cur.Version+1, now
		result := l.insert(ctx, now, r, c)
		if result != nil {
			return result
		}
	}
	return Rejected{Reason: fmt.Sprintf("other changes took the next version %d times; try again", maxWriteAttempts)}
}

// catchUp applies all changes in the table that the replica lacks, and returns
// them.
func (l *Log) catchUp(ctx context.Context, now time.Time, r *Replica) ([]Change, error) {
	var all []Change
	for {
		changes, err := l.Poll(ctx, r.State().Version)
		if err != nil || len(changes) == 0 {
			return all, err
		}
		if _, err := r.Apply(now, changes); err != nil {
			return all, err
		}
		all = append(all, changes...)
	}
}

// priorResult looks for the outcome of a command in the recent changes. It returns
// Accepted if the command is among them, Rejected if one of them changed the same
// object after base, and nil otherwise.
func priorResult(r *Replica, base Version, subject site.ObjectID, id CommandID, seen []Change) WriteResult {
	recent := r.RecentChanges()
	if len(recent) == 0 {
		recent = seen
	}
	for i := range recent {
		if recent[i].Command == id {
			return Accepted{recent[i].Version, seen}
		}
	}
	for i := range recent {
		c := &recent[i]
		if c.Version <= base {
			continue
		}
		if other, err := c.Subject(); err == nil && other == subject {
			return Rejected{fmt.Sprintf("%s was changed by %s in version %d", subject, c.Operator, c.Version), c}
		}
	}
	return nil
}

// insert writes the row of a change. It returns nil if another change has taken
// the version.
func (l *Log) insert(ctx context.Context, now time.Time, r *Replica, c Change) WriteResult {
	raw, err := json.Marshal(c)
	if err != nil {
		return Rejected{Reason: err.Error()}
	}
	_, err = l.store.Put(ctx, rowKey(l.site, c.Version), raw, 0)
	if store.Indeterminate.Has(err) {
		err = l.readBack(ctx, c)
	}
	switch {
	case err == nil:
		if _, err := r.Apply(now, []Change{c}); err != nil {
			return Indeterminate{err.Error()}
		}
		l.snapshot(ctx, r, c.Version)
		return Accepted{c.Version, []Change{c}}
	case store.Conflict.Has(err):
		return nil
	case store.Unavailable.Has(err):
		return Rejected{Reason: "nothing was written: " + err.Error()}
	default:
		return Indeterminate{err.Error()}
	}
}

// readBack determines the outcome of a write whose response was lost. It returns nil
// if the row holds the change, a Conflict if the row holds another one, and
// otherwise an Indeterminate error.
func (l *Log) readBack(ctx context.Context, c Change) error {
	row, err := l.store.Get(ctx, rowKey(l.site, c.Version))
	switch {
	case store.NotFound.Has(err):
		// The write may still be in flight and take effect later.
		return store.Indeterminate.New("version %d is not in the table, but its write may still take effect", c.Version)
	case err != nil:
		return store.Indeterminate.New("%v", err)
	}
	var got Change
	if err := json.Unmarshal(row.Value, &got); err != nil {
		return store.Indeterminate.New("%v", err)
	}
	if got.Command != c.Command {
		return store.Conflict.New("version %d was written by command %s", c.Version, got.Command)
	}
	return nil
}

// snapshot stores the configuration every snapshotInterval versions, so that a new
// VM does not have to read the whole log. Errors are ignored, since without the
// snapshot a new VM only reads more rows.
func (l *Log) snapshot(ctx context.Context, r *Replica, v Version) {
	if v%snapshotInterval != 0 {
		return
	}
	s, err := r.Snapshot()
	if err != nil {
		return
	}
	raw, err := json.Marshal(s)
	if err != nil {
		return
	}
	_ = l.store.PutObject(ctx, snapshotName(l.site), raw)
}

// Follow implements Source. It returns without waiting for a new version.
func (l *Log) Follow(ctx context.Context, now time.Time, r *Replica, _ time.Duration) error {
	if r.State().Version == 0 {
		return l.Bootstrap(ctx, now, r)
	}
	_, err := l.catchUp(ctx, now, r)
	return err
}

// Bootstrap fills an empty replica from the snapshot in the object store, if there
// is one, and the later changes in the table.
func (l *Log) Bootstrap(ctx context.Context, now time.Time, r *Replica) error {
	raw, err := l.store.GetObject(ctx, snapshotName(l.site))
	if err != nil && !store.NotFound.Has(err) {
		return err
	}
	if err == nil {
		var s Snapshot
		if err := json.Unmarshal(raw, &s); err != nil {
			return fmt.Errorf("snapshot of %s: %w", l.site, err)
		}
		if _, err := r.Load(now, &s); err != nil {
			return errors.Join(errors.New("failed to load snapshot"), err)
		}
	}
	_, err = l.catchUp(ctx, now, r)
	return err
}

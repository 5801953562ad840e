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

// Limits of reading and writing the log.
const (
	pollLimit     = 256 // Rows of one read.
	writeTries    = 8   // Versions tried before a change gives up to races.
	snapshotEvery = 128 // Changes between two snapshots in the object store.
)

// Verdict is what became of an operator's change: Accepted, Rejected or Unsure.
type Verdict interface{ verdict() }

// Accepted means that the table holds the change.
type Accepted struct {
	Version Version
	Changes []Change // What the writer's replica lacked, the change itself last.
}

// Rejected means that the change will never be in force.
type Rejected struct {
	Reason string
	Beaten *Change // The change that came first, where one did.
}

// Unsure means that the change may or may not be in the table. Repeating it
// with the same command id settles it.
type Unsure struct{ Reason string }

func (Accepted) verdict() {}
func (Rejected) verdict() {}
func (Unsure) verdict()   {}

// Log reads and writes a site's changes in the platform's table.
type Log struct {
	store store.Store
	site  site.Name
}

// NewLog returns the log of a site.
func NewLog(s store.Store, n site.Name) *Log { return &Log{store: s, site: n} }

// Poll reads the changes after version v.
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

// Write decides and writes a change on top of the replica's state. base is the
// version that the operator decided on: a change that lost a race for the same
// object since then is rejected with what beat it, others are moved up.
func (l *Log) Write(ctx context.Context, now time.Time, r *Replica, base Version, c Change) Verdict {
	subject, err := c.Subject()
	if err != nil {
		return Rejected{Reason: err.Error()}
	}
	var seen []Change
	for range writeTries {
		changes, err := l.catchUp(ctx, now, r)
		if err != nil {
			return Rejected{Reason: "nothing was written: " + err.Error()}
		}
		seen = append(seen, changes...)
		if v := settle(r, base, subject, c.Command, seen); v != nil {
			return v
		}
		cur := r.State()
		if _, err := c.apply(cur.Directory); err != nil {
			return Rejected{Reason: err.Error()}
		}
		c.Version, c.At = cur.Version+1, now
		verdict := l.insert(ctx, now, r, c)
		if verdict != nil {
			return verdict
		}
	}
	return Rejected{Reason: fmt.Sprintf("other changes came first %d times; try again", writeTries)}
}

// catchUp brings the replica to the table's last change.
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

// settle answers a command that already stands in the log, and one that lost a
// race for its object.
func settle(r *Replica, base Version, subject site.ObjectID, id CommandID, seen []Change) Verdict {
	recent := r.Recent()
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

// insert writes one row. It returns nil where another change has the version.
func (l *Log) insert(ctx context.Context, now time.Time, r *Replica, c Change) Verdict {
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
			return Unsure{err.Error()}
		}
		l.snapshot(ctx, r, c.Version)
		return Accepted{c.Version, []Change{c}}
	case store.Conflict.Has(err):
		return nil
	case store.Unavailable.Has(err):
		return Rejected{Reason: "nothing was written: " + err.Error()}
	default:
		return Unsure{err.Error()}
	}
}

// readBack settles a write whose answer was lost.
func (l *Log) readBack(ctx context.Context, c Change) error {
	row, err := l.store.Get(ctx, rowKey(l.site, c.Version))
	switch {
	case store.NotFound.Has(err):
		// The lost write may still be on its way, so absence proves nothing.
		return store.Indeterminate.New("version %d is not in the table yet", c.Version)
	case err != nil:
		return store.Indeterminate.New("%v", err)
	}
	var got Change
	if err := json.Unmarshal(row.Value, &got); err != nil {
		return store.Indeterminate.New("%v", err)
	}
	if got.Command != c.Command {
		return store.Conflict.New("version %d belongs to command %s", c.Version, got.Command)
	}
	return nil
}

// snapshot stores the configuration now and then, so that a new VM need not
// read the whole log. A failure only makes that VM read more rows.
func (l *Log) snapshot(ctx context.Context, r *Replica, v Version) {
	if v%snapshotEvery != 0 {
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

// Follow implements Source. It does not wait.
func (l *Log) Follow(ctx context.Context, now time.Time, r *Replica, _ time.Duration) error {
	if r.State().Version == 0 {
		return l.Boot(ctx, now, r)
	}
	_, err := l.catchUp(ctx, now, r)
	return err
}

// Boot brings an empty replica up from the object store and the table.
func (l *Log) Boot(ctx context.Context, now time.Time, r *Replica) error {
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
			return errors.Join(errors.New("snapshot cannot be loaded"), err)
		}
	}
	_, err = l.catchUp(ctx, now, r)
	return err
}

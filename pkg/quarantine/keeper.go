package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/store"
)

// Rows of the fleet's table that hold the records, so that they outlive the processes of all VMs.
// Records are spread over them by fingerprint.
const (
	rowPrefix = "quarantine/"
	rows      = 8
)

// Limits of the rows.
const (
	maxRowBytes   = 48 << 10 // Below what a row of the platform's store holds, encoded.
	saveInterval  = 250 * time.Millisecond
	retryInterval = 10 * time.Second
	saveTimeout   = 2 * time.Second
	loadTimeout   = 2 * time.Second
	maxConflicts  = 4 // Writes of other VMs between a read and a write of a row.
)

// Keeper stores the records of a Tracker, and decides which VM lets a refused request through.
type Keeper struct {
	tracker *Tracker
	table   store.Table
	scope   tally.Scope
}

// NewKeeper returns a keeper. Its Serve must be run by the caller.
func NewKeeper(t *Tracker, table store.Table, scope tally.Scope) *Keeper {
	return &Keeper{t, table, scope}
}

// String names the service in logs.
func (k *Keeper) String() string { return "keeper of the quarantine's records" }

// Serve stores the records that have changed. It sleeps while there are none. It implements
// suture.Service.
func (k *Keeper) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.tracker.wake:
		}
		if err := control.Sleep(ctx, saveInterval); err != nil { // Losses of one crash come together.
			return err
		}
		for k.save(ctx, time.Now()) != nil {
			if err := control.Sleep(ctx, retryInterval); err != nil {
				return err
			}
		}
	}
}

// save stores the records that have changed. Those that it could not store stay changed, and it
// returns the reason.
func (k *Keeper) save(ctx context.Context, now time.Time) error {
	byRow := make(map[store.Key][]Record)
	for _, r := range k.tracker.TakeUnsaved() {
		byRow[rowOf(r.Fingerprint())] = append(byRow[rowOf(r.Fingerprint())], r)
	}
	var failed error
	for key, records := range byRow {
		_, err := k.update(ctx, key, func(all []Record) ([]Record, bool) { return mergeAll(now, all, records), true })
		if err == nil {
			continue
		}
		failed = err
		for _, r := range records {
			k.tracker.MarkUnsaved(r.Fingerprint())
		}
	}
	if failed != nil {
		klog.ErrorS(failed, "quarantine: records not stored yet")
		k.scope.Counter("savesFailed").Inc(1)
	}
	return failed
}

// update changes a row. It reports false if the change was not wanted.
func (k *Keeper) update(ctx context.Context, key store.Key, change func([]Record) ([]Record, bool)) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	var err error
	for range maxConflicts {
		var row store.Row
		row, err = k.table.Get(ctx, key)
		if err != nil && !store.NotFound.Has(err) {
			return false, err
		}
		next, wanted := change(decode(key, row.Value))
		if !wanted {
			return false, nil
		}
		if _, err = k.table.Put(ctx, key, encode(next), row.Revision); err == nil {
			return true, nil
		}
		if !store.Conflict.Has(err) {
			return false, err
		}
	}
	return false, err
}

// Load returns the stored records and adds them to the tracker.
func (k *Keeper) Load(ctx context.Context, now time.Time) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	list, err := k.table.List(ctx, rowPrefix, "", rows)
	if err != nil {
		return nil, err
	}
	var out []Record
	for _, row := range list {
		for _, r := range decode(row.Key, row.Value) {
			if !r.isExpired(now) {
				k.tracker.Restore(now, r)
				out = append(out, r)
			}
		}
	}
	return out, nil
}

// ClaimTrial lets a refused request through if a trial is due and no other VM has made it. The
// store decides, so that the number of trials holds for the whole fleet; while it is away, there
// are none.
func (k *Keeper) ClaimTrial(ctx context.Context, now time.Time, f Fingerprint) (Trial, bool) {
	trial, due := k.tracker.Trial(now, f)
	if !due {
		return Trial{}, false
	}
	claimed, err := k.update(ctx, rowOf(f), func(all []Record) ([]Record, bool) {
		i := slices.IndexFunc(all, func(r Record) bool { return r.Fingerprint() == f })
		if i >= 0 && !all[i].allows(trial) {
			trial.Number, trial.At = all[i].Trials, all[i].TriedAt
			return nil, false
		}
		return mergeAll(now, all, []Record{k.claimRecord(now, trial)}), true
	})
	if err != nil {
		klog.ErrorS(err, "quarantine: trial not recorded, so the request is not let through", "suspect", f)
		return Trial{}, false
	}
	k.tracker.RecordTrial(now, trial)
	if claimed {
		k.scope.Counter("trials").Inc(1)
	}
	return trial, claimed
}

// claimRecord returns what a trial adds to the record of its request.
func (k *Keeper) claimRecord(now time.Time, trial Trial) Record {
	r, ok := k.tracker.Record(trial.Fingerprint)
	if !ok {
		r = Record{Identity: Identity{Own: trial.Fingerprint}, Epoch: trial.Epoch}
	}
	r.Trials, r.TriedAt, r.SeenAt = trial.Number, trial.At, now
	return r
}

// allows reports whether a stored record leaves room for a trial.
func (r *Record) allows(t Trial) bool {
	return r.Epoch < t.Epoch || r.Epoch == t.Epoch && r.Trials < t.Number
}

// rowOf returns the row that holds the record of a fingerprint.
func rowOf(f Fingerprint) store.Key {
	h := fnv.New32a()
	_, _ = h.Write([]byte(f)) // Never fails.
	return store.Key(fmt.Sprintf("%s%d", rowPrefix, h.Sum32()%rows))
}

// mergeAll adds records to those of a row and drops what has expired, and then what has not been
// seen for longest, as far as the row is too small.
func mergeAll(now time.Time, all, added []Record) []Record {
	out := slices.DeleteFunc(slices.Clone(all), func(r Record) bool { return r.isExpired(now) })
	for _, r := range added {
		i := slices.IndexFunc(out, func(o Record) bool { return o.Fingerprint() == r.Fingerprint() })
		if i < 0 {
			out = append(out, r)
			continue
		}
		out[i] = out[i].merge(r)
	}
	slices.SortFunc(out, func(x, y Record) int {
		if xs, ys := len(x.Evidence) >= maxLosses, len(y.Evidence) >= maxLosses; xs != ys {
			if xs {
				return -1
			}
			return 1
		}
		return y.SeenAt.Compare(x.SeenAt)
	})
	for len(out) > 0 && len(encode(out)) > maxRowBytes {
		out = out[:len(out)-max(1, len(out)/8)]
	}
	return out
}

// encode returns the value of a row.
func encode(records []Record) []byte {
	raw, err := json.Marshal(records)
	if err != nil {
		panic(err) // Records hold only types that can be encoded.
	}
	return raw
}

// decode returns the records of a row. Bytes that are no records count as none.
func decode(key store.Key, raw []byte) []Record {
	if len(raw) == 0 {
		return nil
	}
	var out []Record
	if err := json.Unmarshal(raw, &out); err != nil {
		klog.ErrorS(err, "quarantine: ignoring a row that holds no records", "row", key)
		return nil
	}
	return slices.DeleteFunc(out, func(r Record) bool {
		return r.Identity.Own == "" || len(r.Evidence) > maxEvidence || r.Trials < 0 || r.Epoch < 0
	})
}

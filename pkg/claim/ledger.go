package claim

import (
	"context"
	"encoding/json"
	"time"

	"laburnumpick.org/pkg/store"
)

// Ledger reads and writes keys' rows.
type Ledger struct {
	table  store.Table
	holder Holder
}

// NewLedger returns a ledger that claims in the name of holder.
func NewLedger(t store.Table, h Holder) *Ledger { return &Ledger{t, h} }

// Read reads a key's row. Errors: store.Unavailable.
func (l *Ledger) Read(ctx context.Context, id ID) (State, error) {
	row, err := l.table.Get(ctx, id.Row())
	if store.NotFound.Has(err) {
		return Free{}, nil
	}
	if err != nil {
		return nil, err
	}
	return sightOf(row)
}

// Request is an attempt's wish to claim or to forbid a key.
type Request struct {
	ID           ID
	Attempt      AttemptID
	Digest       Digest
	BaseRevision store.Revision // What the attempt saw when it began.
	SendDeadline time.Time      // The last moment at which it may send.
}

// WriteResult is Won, Beaten or Unsure.
type WriteResult interface{ answer() }

// Written means that the row is the bidder's.
type Written struct{ Revision store.Revision }

// Conflict means that the row moved first; the bid will never take effect.
type Conflict struct{}

// Indeterminate means that the write may or may not take effect, now or later.
type Indeterminate struct{ Cause error }

// NotWritten means that the write did not take effect.
type NotWritten struct{ Cause error }

func (Written) answer()       {}
func (Conflict) answer()      {}
func (Indeterminate) answer() {}
func (NotWritten) answer()    {}

// Claim claims the key for the attempt, right before it sends.
func (l *Ledger) Claim(ctx context.Context, now time.Time, b Request) WriteResult {
	return l.write(ctx, b, b.BaseRevision, &record{
		Phase: running, Attempt: b.Attempt, Digest: b.Digest, Holder: l.holder, At: now, Until: b.SendDeadline,
	})
}

// Fence raises the revision above the bid's base, so that no attempt that
// began before can claim the key any more.
func (l *Ledger) Fence(ctx context.Context, now time.Time, b Request) WriteResult {
	return l.write(ctx, b, b.BaseRevision, &record{
		Phase: notRun, Attempt: b.Attempt, Digest: b.Digest, Holder: l.holder, At: now,
	})
}

// Release gives up a claim that was won at rev and of which nothing was sent.
func (l *Ledger) Release(ctx context.Context, now time.Time, b Request, rev store.Revision) WriteResult {
	return l.write(ctx, b, rev, &record{
		Phase: notRun, Attempt: b.Attempt, Digest: b.Digest, Holder: l.holder, At: now,
	})
}

// RecordOutcome records how a claimed request ended.
func (l *Ledger) RecordOutcome(ctx context.Context, now time.Time, b Request, rev store.Revision, k StoredOutcome) WriteResult {
	if len(k.Body) > MaxStoredBody {
		k.Body, k.BodyOmitted = nil, true
	}
	return l.write(ctx, b, rev, &record{
		Phase: ended, Attempt: b.Attempt, Digest: b.Digest, Holder: l.holder, At: now, Kept: &k,
	})
}

// write puts a record and settles a lost answer by reading the row back.
func (l *Ledger) write(ctx context.Context, b Request, expect store.Revision, r *record) WriteResult {
	raw, err := r.encode()
	if err != nil {
		return NotWritten{err}
	}
	rev, err := l.table.Put(ctx, b.ID.Row(), raw, expect)
	switch {
	case err == nil:
		return Written{rev}
	case store.Conflict.Has(err):
		return Conflict{}
	case store.Unavailable.Has(err):
		return NotWritten{err}
	}
	return l.readBack(ctx, b, expect, r, err)
}

// readBack finds out whose row stands after a write without an answer. A row
// still at the old revision proves nothing: the write may be on its way.
func (l *Ledger) readBack(ctx context.Context, b Request, expect store.Revision, r *record, cause error) WriteResult {
	row, err := l.table.Get(ctx, b.ID.Row())
	if err != nil || row.Revision <= expect {
		return Indeterminate{cause}
	}
	var got record
	if err := json.Unmarshal(row.Value, &got); err != nil {
		return Indeterminate{err}
	}
	if row.Revision == expect+1 && got.Attempt == r.Attempt && got.Phase == r.Phase {
		return Written{row.Revision}
	}
	return Conflict{}
}

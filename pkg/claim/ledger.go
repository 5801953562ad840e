package claim

import (
	"context"
	"encoding/json"
	"time"

	"laburnumpick.org/pkg/store"
)

// Ledger reads and writes the rows of idempotency keys in the platform's table.
type Ledger struct {
	table  store.Table
	holder Holder
}

// NewLedger returns a ledger that records h as the holder of its claims.
func NewLedger(t store.Table, h Holder) *Ledger { return &Ledger{t, h} }

// Read returns the state of a key. A key without a row is Free, at revision zero.
// Errors: store.Unavailable, or a JSON error if the row's value is invalid.
func (l *Ledger) Read(ctx context.Context, id ID) (State, error) {
	row, err := l.table.Get(ctx, id.Row())
	if store.NotFound.Has(err) {
		return Free{}, nil
	}
	if err != nil {
		return nil, err
	}
	return stateOf(row)
}

// Request is an attempt's request to claim or to fence a key.
type Request struct {
	ID           ID
	Attempt      AttemptID
	Digest       Digest
	BaseRevision store.Revision // Revision of the row when the attempt began.
	SendDeadline time.Time      // The attempt must not send the request after this time.
}

// WriteResult is the result of a conditional write: Written, Conflict,
// Indeterminate or NotWritten.
type WriteResult interface{ writeResult() }

// Written means that the write took effect, at Revision.
type Written struct{ Revision store.Revision }

// Conflict means that the row was changed by another write first; this write will
// never take effect.
type Conflict struct{}

// Indeterminate means that the write may or may not take effect, now or later.
type Indeterminate struct{ Cause error }

// NotWritten means that the write did not take effect and never will.
type NotWritten struct{ Cause error }

func (Written) writeResult()       {}
func (Conflict) writeResult()      {}
func (Indeterminate) writeResult() {}
func (NotWritten) writeResult()    {}

// Claim claims the key for an attempt. It is called right before the request is
// sent.
func (l *Ledger) Claim(ctx context.Context, now time.Time, req Request) WriteResult {
	return l.write(ctx, req, req.BaseRevision, &record{
		Phase: running, Attempt: req.Attempt, Digest: req.Digest, Holder: l.holder, At: now, Until: req.SendDeadline,
	})
}

// Fence raises the row's revision above the base revision of req, so that no attempt
// that began earlier can still claim the key.
func (l *Ledger) Fence(ctx context.Context, now time.Time, req Request) WriteResult {
	return l.write(ctx, req, req.BaseRevision, &record{
		Phase: notRun, Attempt: req.Attempt, Digest: req.Digest, Holder: l.holder, At: now,
	})
}

// Release releases a claim that was written at rev and whose request was not run.
func (l *Ledger) Release(ctx context.Context, now time.Time, req Request, rev store.Revision) WriteResult {
	return l.write(ctx, req, rev, &record{
		Phase: notRun, Attempt: req.Attempt, Digest: req.Digest, Holder: l.holder, At: now,
	})
}

// RecordOutcome writes the outcome of a request that was claimed at rev. A body
// larger than MaxStoredBody is omitted.
func (l *Ledger) RecordOutcome(ctx context.Context, now time.Time, req Request, rev store.Revision, out StoredOutcome) WriteResult {
	if len(out.Body) > MaxStoredBody {
		out.Body, out.BodyOmitted = nil, true
	}
	return l.write(ctx, req, rev, &record{
		Phase: ended, Attempt: req.Attempt, Digest: req.Digest, Holder: l.holder, At: now, Stored: &out,
	})
}

// write puts a record if the row is at the expected revision. If the store's
// response is lost, it reads the row back to find the result.
func (l *Ledger) write(ctx context.Context, req Request, expect store.Revision, r *record) WriteResult {
	raw, err := r.encode()
	if err != nil {
		return NotWritten{err}
	}
	rev, err := l.table.Put(ctx, req.ID.Row(), raw, expect)
	switch {
	case err == nil:
		return Written{rev}
	case store.Conflict.Has(err):
		return Conflict{}
	case store.Unavailable.Has(err):
		return NotWritten{err}
	}
	return l.readBack(ctx, req, expect, r, err)
}

// readBack finds out whether a write took effect whose response was lost. A row that
// is still at the old revision proves nothing: the write may be in flight. How far a row's
// revision rises with a write is the store's affair, so the record itself decides.
func (l *Ledger) readBack(ctx context.Context, req Request, expect store.Revision, r *record, cause error) WriteResult {
	row, err := l.table.Get(ctx, req.ID.Row())
	if err != nil || row.Revision <= expect {
		return Indeterminate{cause}
	}
	var got record
	if err := json.Unmarshal(row.Value, &got); err != nil {
		return Indeterminate{err}
	}
	if got.Attempt == r.Attempt && got.Phase == r.Phase {
		return Written{row.Revision}
	}
	return Conflict{}
}

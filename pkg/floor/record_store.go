package floor

import (
	"context"
	"encoding/json"
	"fmt"

	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

// maxAttempts is how often an update is tried, including the first time, as long as
// its writes are not accepted.
const maxAttempts = 5

// Result is the result of an update: Done, Refused or Indeterminate.
type Result interface{ result() }

// Done means that the table holds the record, which includes the update.
type Done struct{ Record Record }

// Refused means that the update would violate the floor.
type Refused struct {
	Reason string
	Record Record
}

// Indeterminate means that a call to the table failed, or that no write was
// accepted. The update may or may not have been written.
type Indeterminate struct{ Cause error }

func (Done) result()          {}
func (Refused) result()       {}
func (Indeterminate) result() {}

// RecordStore reads and writes the records in the platform's table, one row for
// each service.
type RecordStore struct{ table store.Table }

// NewRecordStore returns a RecordStore that uses the given table.
func NewRecordStore(t store.Table) *RecordStore { return &RecordStore{t} }

func key(s *site.Service) store.Key {
	return store.Key(fmt.Sprintf("site/%s/out/%s", s.Site, s.Name))
}

// Read returns the service's record and its revision. Both are zero if the
// service has no record yet.
func (rs *RecordStore) Read(ctx context.Context, s *site.Service) (Record, store.Revision, error) {
	row, err := rs.table.Get(ctx, key(s))
	if store.NotFound.Has(err) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Record{}, 0, fmt.Errorf("decoding the floor record of service %s: %w", s.Name, err)
	}
	return r, row.Revision, nil
}

// Exclude records that a server is out of service, if the floor allows it. With
// forced set, the floor does not apply.
func (rs *RecordStore) Exclude(ctx context.Context, s *site.Service, n site.ServerName, e Entry, forced bool) Result {
	return rs.update(ctx, s, func(r Record) Decision { return r.Exclude(s, n, e, forced) })
}

// Readmit removes the entry of a server that is back in service, if the entry
// has the given cause.
func (rs *RecordStore) Readmit(ctx context.Context, s *site.Service, n site.ServerName, c Cause) Result {
	return rs.update(ctx, s, func(r Record) Decision { return r.Readmit(s, n, c) })
}

// update reads the record, evaluates the decision and writes the result, until
// a write is accepted. If the reply to a write is lost, the next read shows
// whether the write was applied.
func (rs *RecordStore) update(ctx context.Context, s *site.Service, decide func(Record) Decision) Result {
	var lastErr error
	for range maxAttempts {
		r, rev, err := rs.Read(ctx, s)
		if err != nil {
			return Indeterminate{err}
		}
		next, result := evaluate(r, decide)
		if result != nil {
			return result
		}
		raw, err := json.Marshal(next)
		if err != nil {
			return Indeterminate{err}
		}
		_, err = rs.table.Put(ctx, key(s), raw, rev)
		if err == nil {
			return Done{next}
		}
		if store.Unavailable.Has(err) {
			return Indeterminate{err}
		}
		lastErr = err
	}
	return Indeterminate{fmt.Errorf("no write was accepted in %d attempts: %w", maxAttempts, lastErr)}
}

// evaluate runs a decision function on a record. The result is nil if the
// returned record must be written.
func evaluate(r Record, decide func(Record) Decision) (Record, Result) {
	switch d := decide(r).(type) {
	case Allowed:
		return d.Next, nil
	case Unneeded:
		return r, Done{r}
	case Forbidden:
		return r, Refused{d.Reason, r}
	}
	return r, Indeterminate{fmt.Errorf("the decision function returned no decision")}
}

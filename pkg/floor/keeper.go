package floor

import (
	"context"
	"encoding/json"
	"fmt"

	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

// tries is how often a decision is made anew after losing a race.
const tries = 5

// Result is Done, Refused or Away.
type Result interface{ verdict() }

// Done means that the table holds the record.
type Done struct{ Record Record }

// Refused means that the floor forbids it.
type Refused struct {
	Reason string
	Record Record
}

// Indeterminate means that the table gave no certain answer. Nothing may be concluded.
type Indeterminate struct{ Cause error }

func (Done) verdict()          {}
func (Refused) verdict()       {}
func (Indeterminate) verdict() {}

// RecordStore reads and writes the records in the platform's table.
type RecordStore struct{ table store.Table }

// NewRecordStore returns a keeper on a table.
func NewRecordStore(t store.Table) *RecordStore { return &RecordStore{t} }

func key(s *site.Service) store.Key {
	return store.Key(fmt.Sprintf("site/%s/out/%s", s.Site, s.Name))
}

// Read returns the service's record, empty where there is none yet.
func (k *RecordStore) Read(ctx context.Context, s *site.Service) (Record, store.Revision, error) {
	row, err := k.table.Get(ctx, key(s))
	if store.NotFound.Has(err) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Record{}, 0, fmt.Errorf("record of %s: %w", s.Name, err)
	}
	return r, row.Revision, nil
}

// Exclude records that a server is out, if the floor allows it.
func (k *RecordStore) Exclude(ctx context.Context, s *site.Service, n site.ServerName, e Entry, forced bool) Result {
	return k.update(ctx, s, func(r Record) Decision { return r.Exclude(s, n, e, forced) })
}

// Readmit records that a server is back.
func (k *RecordStore) Readmit(ctx context.Context, s *site.Service, n site.ServerName, c Cause) Result {
	return k.update(ctx, s, func(r Record) Decision { return r.Readmit(s, n, c) })
}

// update reads, rules and writes until a write is accepted. A write whose
// answer was lost is settled by the next read.
func (k *RecordStore) update(ctx context.Context, s *site.Service, rule func(Record) Decision) Result {
	var last error
	for range tries {
		r, rev, err := k.Read(ctx, s)
		if err != nil {
			return Indeterminate{err}
		}
		next, verdict := decide(r, rule)
		if verdict != nil {
			return verdict
		}
		raw, err := json.Marshal(next)
		if err != nil {
			return Indeterminate{err}
		}
		_, err = k.table.Put(ctx, key(s), raw, rev)
		if err == nil {
			return Done{next}
		}
		if store.Unavailable.Has(err) {
			return Indeterminate{err}
		}
		last = err
	}
	return Indeterminate{fmt.Errorf("gave up after %d tries: %w", tries, last)}
}

// decide applies a rule. The verdict is nil where a record must be written.
func decide(r Record, rule func(Record) Decision) (Record, Result) {
	switch ruling := rule(r).(type) {
	case Allowed:
		return ruling.Next, nil
	case Unneeded:
		return r, Done{r}
	case Forbidden:
		return r, Refused{ruling.Reason, r}
	}
	return r, Indeterminate{fmt.Errorf("no ruling")}
}

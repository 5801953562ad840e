package quarantine

import (
	"cmp"
	"slices"
	"time"

	"laburnumpick.org/pkg/site"
)

// Record is what is known of one caller's request, in the form in which VMs tell it to one that
// starts, and in which it is stored.
type Record struct {
	Identity Identity         `json:"identity"`
	Service  site.ServiceName `json:"service"`
	Request  string           `json:"request"`
	Epoch    Epoch            `json:"epoch,omitempty"`
	Evidence []Evidence       `json:"evidence,omitempty"`
	Trials   int              `json:"trials,omitempty"`
	TriedAt  time.Time        `json:"triedAt"`
	SeenAt   time.Time        `json:"seenAt"`
}

// Fingerprint returns the fingerprint that the record is about.
func (r *Record) Fingerprint() Fingerprint { return r.Identity.Own }

// isExpired reports whether the record counts for nothing any more.
func (r *Record) isExpired(now time.Time) bool {
	if len(r.Evidence) >= maxLosses || r.Trials > 0 {
		return now.Sub(r.SeenAt) > blockTTL
	}
	return now.Sub(r.SeenAt) > lossTTL
}

// Losses returns the losses that the record holds.
func (r *Record) Losses() []Loss {
	out := make([]Loss, len(r.Evidence))
	for i, ev := range r.Evidence {
		out[i] = Loss{r.Identity, &ev.Basis, r.Service, ev.Server, ev.StartedMs, ev.VM, ev.Ran, r.Request, ev.At}
	}
	return out
}

// merge returns what two records of one request say together.
func (r Record) merge(o Record) Record {
	if o.Epoch > r.Epoch {
		return o
	}
	if o.Epoch < r.Epoch {
		return r
	}
	e := entry{epoch: r.Epoch, evidence: slices.Clone(r.Evidence)}
	for _, ev := range o.Evidence {
		e.add(o.SeenAt, ev)
	}
	r.Evidence = e.evidence
	if o.Trials > r.Trials {
		r.Trials, r.TriedAt = o.Trials, o.TriedAt
	}
	if o.SeenAt.After(r.SeenAt) {
		r.SeenAt = o.SeenAt
	}
	return r
}

// record returns the entry of one caller's request as a record.
func (e *entry) record(f Fingerprint) Record {
	return Record{
		Identity: Identity{Own: f, Class: e.first.Identity.Class}, Service: e.first.Service, Request: e.first.Request, Epoch: e.epoch,
		Evidence: slices.Clone(e.evidence), Trials: e.trials, TriedAt: e.triedAt, SeenAt: e.seenAt,
	}
}

// Records returns the records of all requests, those that are refused first.
func (t *Tracker) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for f, e := range t.entries {
		if !e.isClass && !e.isExpired(now) {
			out = append(out, e.record(f))
		}
	}
	slices.SortFunc(out, func(x, y Record) int {
		return cmp.Or(-cmp.Compare(len(x.Evidence), len(y.Evidence)), cmp.Compare(x.Identity.Own, y.Identity.Own))
	})
	return out
}

// Record returns the record of a request, if there is one.
func (t *Tracker) Record(f Fingerprint) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[f]
	if !ok || e.isClass {
		return Record{}, false
	}
	return e.record(f), true
}

// MarkUnsaved has the record of a request stored by this VM.
func (t *Tracker) MarkUnsaved(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[f]; ok && !e.isClass {
		t.unsaved[f] = true
		t.wakeKeeper()
	}
}

// wakeKeeper has the keeper store what has changed. The caller must hold the lock.
func (t *Tracker) wakeKeeper() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// MarkAllUnsaved has all records stored by this VM again.
func (t *Tracker) MarkAllUnsaved() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, e := range t.entries {
		if !e.isClass {
			t.unsaved[f] = true
			t.wakeKeeper()
		}
	}
}

// TakeUnsaved returns the records that are to be stored, and no longer has them stored.
func (t *Tracker) TakeUnsaved() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for f := range t.unsaved {
		if e, ok := t.entries[f]; ok {
			out = append(out, e.record(f))
		}
	}
	clear(t.unsaved)
	return out
}

// Restore adds what a record says, from the store or from another VM.
func (t *Tracker) Restore(now time.Time, r Record) {
	if r.isExpired(now) || r.SeenAt.After(now.Add(maxSkew)) {
		return
	}
	if r.Epoch > 0 {
		t.RecordRelease(now, Release{r.Identity.Own, r.Epoch, Fleet, r.SeenAt})
	}
	for _, l := range r.Losses() {
		t.RecordLoss(now, l)
	}
	if r.Trials > 0 {
		t.RecordTrial(now, Trial{r.Identity.Own, r.Epoch, r.Trials, r.TriedAt})
	}
}

// maxSkew is how far the clocks of two VMs may be apart.
const maxSkew = time.Minute

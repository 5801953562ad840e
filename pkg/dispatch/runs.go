package dispatch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/claim"
	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/journal"
	"laburnumpick.org/pkg/store"
)

// Bounds of the ends that wait for the table.
const (
	maxUnsettled  = 4096
	settleFirst   = 20 * time.Millisecond
	settleMaxGap  = 10 * time.Second
	settleTimeout = 2 * time.Second
	flushGap      = 50 * time.Millisecond // Between two looks whether all is settled.
)

// run is a claimed request from its claim until the table holds its end.
type run struct {
	bid  claim.Request
	rev  store.Revision // Zero where the claim's write is unsure.
	done chan struct{}
	kept *claim.StoredOutcome // Nil where nothing was sent. Set before done closes.
}

// runs holds the claimed requests of this VM.
type runs struct {
	ledger  *claim.Ledger
	journal *journal.Journal
	wake    chan struct{}

	mu   sync.Mutex
	byID map[claim.ID]*run
	ends []*run // Ends that the table lacks, the oldest first.
}

func newRuns(l *claim.Ledger, j *journal.Journal) *runs {
	return &runs{
		ledger: l, journal: j, wake: make(chan struct{}, 1),
		byID: make(map[claim.ID]*run),
	}
}

// begin notes a claimed request.
func (r *runs) begin(b claim.Request, rev store.Revision) *run {
	x := &run{bid: b, rev: rev, done: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[b.ID] = x
	return x
}

// end notes how a claimed request ended, nil for not run, and has the table
// told of it.
func (r *runs) end(x *run, k *claim.StoredOutcome) {
	x.kept = k
	close(x.done)
	r.mu.Lock()
	if len(r.ends) >= maxUnsettled {
		lost := r.ends[0]
		r.ends = r.ends[1:]
		r.forget(lost)
		r.journal.Add(time.Now(), "key of "+string(lost.bid.ID.Service), "its end was dropped: too many wait for the store")
	}
	r.ends = append(r.ends, x)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// forget drops a run. The caller holds the lock.
func (r *runs) forget(x *run) {
	if r.byID[x.bid.ID] == x {
		delete(r.byID, x.bid.ID)
	}
}

// drop forgets a run that the table already tells of.
func (r *runs) drop(x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(x)
}

func (r *runs) find(id claim.ID) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

func (r *runs) pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ends)
}

// settle brings one end to the table. It reports whether the table tells the
// truth about it now.
func (r *runs) settle(ctx context.Context, now time.Time, x *run) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	switch a := r.write(ctx, now, x).(type) {
	case claim.Written, claim.Conflict:
		return true
	case claim.Indeterminate:
		klog.V(1).InfoS("claim: end is unsure", "service", x.bid.ID.Service, "err", a.Cause)
	case claim.NotWritten:
		klog.V(1).InfoS("claim: end waits for the store", "service", x.bid.ID.Service, "err", a.Cause)
	}
	return false
}

func (r *runs) write(ctx context.Context, now time.Time, x *run) claim.WriteResult {
	switch {
	case x.kept != nil:
		return r.ledger.RecordOutcome(ctx, now, x.bid, x.rev, *x.kept)
	case x.rev > 0:
		return r.ledger.Release(ctx, now, x.bid, x.rev)
	default:
		return r.resolve(ctx, now, x)
	}
}

// resolve ends a claim whose write was unsure and of which nothing was sent:
// either the claim never lands, because the row has moved on, or it has landed
// and is released.
func (r *runs) resolve(ctx context.Context, now time.Time, x *run) claim.WriteResult {
	a := r.ledger.Fence(ctx, now, x.bid)
	if _, beaten := a.(claim.Conflict); !beaten {
		return a
	}
	sight, err := r.ledger.Read(ctx, x.bid.ID)
	if err != nil {
		return claim.NotWritten{Cause: err}
	}
	if s, ok := sight.(claim.Running); ok && s.Attempt == x.bid.Attempt {
		return r.ledger.Release(ctx, now, x.bid, s.Revision)
	}
	return claim.Conflict{}
}

// OutcomeWriter is the service that brings ends of claims to the table, for as long
// as that takes. After an outage it goes one by one, so that VMs do not
// stampede.
type OutcomeWriter struct{ runs *runs }

// Serve implements suture.Service.
func (s *OutcomeWriter) Serve(ctx context.Context) error {
	gap := settleFirst
	for {
		x := s.runs.first()
		if x == nil {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-s.runs.wake:
			}
			continue
		}
		if s.runs.settle(ctx, time.Now(), x) {
			s.runs.settled(x)
			gap = settleFirst
			continue
		}
		if err := control.Sleep(ctx, gap); err != nil {
			return err
		}
		gap = min(2*gap, settleMaxGap)
	}
}

func (r *runs) first() *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ends) == 0 {
		return nil
	}
	return r.ends[0]
}

func (r *runs) settled(x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ends) > 0 && r.ends[0] == x {
		r.ends = r.ends[1:]
	}
	r.forget(x)
}

// Status is how far this VM knows a keyed request to be.
type Status struct {
	Known  bool
	Ended  bool
	Stored *claim.StoredOutcome // Nil where it ended without being sent.
}

// Await waits up to wait for the end of a keyed request that this VM runs.
func (d *Dispatcher) Await(ctx context.Context, id claim.ID, a claim.AttemptID, wait time.Duration) Status {
	x := d.runs.find(id)
	if x == nil || x.bid.Attempt != a {
		return Status{}
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case <-x.done:
		return Status{Known: true, Ended: true, Stored: x.kept}
	case <-ctx.Done():
	}
	return Status{Known: true}
}

// Flush waits until the table holds the end of every claim, or the context
// ends. It reports how many it still lacks.
func (d *Dispatcher) Flush(ctx context.Context) error {
	t := control.NewTicker(flushGap)
	defer t.Stop()
	for {
		n := d.runs.pending()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the table lacks the ends of %d claims", n)
		case <-t.C:
		}
	}
}

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

// Limits and intervals for the outcomes that are waiting to be written to the store.
const (
	maxUnwritten      = 4096                  // Largest number of waiting outcomes; the oldest are dropped.
	minRetryInterval  = 20 * time.Millisecond // Pause after a first failed write; doubles with each further one.
	maxRetryInterval  = 10 * time.Second
	writeTimeout      = 2 * time.Second
	flushPollInterval = 50 * time.Millisecond // Interval at which Flush checks for unwritten outcomes.
)

// claimedRequest is a request from its claim until its outcome is stored.
type claimedRequest struct {
	request claim.Request
	rev     store.Revision // Revision of the claim; zero if its write is indeterminate.
	done    chan struct{}
	stored  *claim.StoredOutcome // Nil if the request was not run. Set before done is closed.
}

// claimedRequests holds the claimed requests of this VM that are still running or
// whose outcome is not stored yet.
type claimedRequests struct {
	ledger  *claim.Ledger
	journal *journal.Journal
	notify  chan struct{}

	mu        sync.Mutex
	byID      map[claim.ID]*claimedRequest
	unwritten []*claimedRequest // Finished requests whose outcome is not stored yet, oldest first.
}

func newClaimedRequests(l *claim.Ledger, j *journal.Journal) *claimedRequests {
	return &claimedRequests{
		ledger: l, journal: j, notify: make(chan struct{}, 1),
		byID: make(map[claim.ID]*claimedRequest),
	}
}

// add adds a claimed request.
func (r *claimedRequests) add(req claim.Request, rev store.Revision) *claimedRequest {
	x := &claimedRequest{request: req, rev: rev, done: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[req.ID] = x
	return x
}

// finish sets the outcome of a claimed request and queues the outcome for writing to
// the store. out is nil if the request was not run. A full queue drops its oldest outcome.
func (r *claimedRequests) finish(x *claimedRequest, out *claim.StoredOutcome) {
	x.stored = out
	close(x.done)
	r.mu.Lock()
	if len(r.unwritten) >= maxUnwritten {
		lost := r.unwritten[0]
		r.unwritten = r.unwritten[1:]
		r.removeLocked(lost)
		r.journal.Add(time.Now(), "key of "+string(lost.request.ID.Service), "outcome dropped: too many outcomes are waiting to be stored")
	}
	r.unwritten = append(r.unwritten, x)
	r.mu.Unlock()
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// removeLocked removes a request. The caller must hold the lock.
func (r *claimedRequests) removeLocked(x *claimedRequest) {
	if r.byID[x.request.ID] == x {
		delete(r.byID, x.request.ID)
	}
}

// remove removes a request whose release is already stored.
func (r *claimedRequests) remove(x *claimedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(x)
}

func (r *claimedRequests) get(id claim.ID) *claimedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

func (r *claimedRequests) unwrittenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unwritten)
}

// writeOutcome writes one outcome to the store. It reports whether no further
// write is needed: either this write took effect, or the row has been changed by
// another one.
func (r *claimedRequests) writeOutcome(ctx context.Context, now time.Time, x *claimedRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	switch result := r.write(ctx, now, x).(type) {
	case claim.Written, claim.Conflict:
		return true
	case claim.Indeterminate:
		klog.V(1).InfoS("claim: write of the outcome is indeterminate, will retry", "service", x.request.ID.Service, "err", result.Cause)
	case claim.NotWritten:
		klog.V(1).InfoS("claim: outcome not written, will retry", "service", x.request.ID.Service, "err", result.Cause)
	}
	return false
}

func (r *claimedRequests) write(ctx context.Context, now time.Time, x *claimedRequest) claim.WriteResult {
	switch {
	case x.stored != nil:
		return r.ledger.RecordOutcome(ctx, now, x.request, x.rev, *x.stored)
	case x.rev > 0:
		return r.ledger.Release(ctx, now, x.request, x.rev)
	default:
		return r.resolveIndeterminate(ctx, now, x)
	}
}

// resolveIndeterminate cancels a claim whose write was indeterminate and whose
// request was not sent. It first fences the key, so that the claim can no longer
// take effect. If the row has already changed and holds this claim, it releases
// the claim.
func (r *claimedRequests) resolveIndeterminate(ctx context.Context, now time.Time, x *claimedRequest) claim.WriteResult {
	result := r.ledger.Fence(ctx, now, x.request)
	if _, conflict := result.(claim.Conflict); !conflict {
		return result
	}
	state, err := r.ledger.Read(ctx, x.request.ID)
	if err != nil {
		return claim.NotWritten{Cause: err}
	}
	if s, ok := state.(claim.Running); ok && s.Attempt == x.request.Attempt {
		return r.ledger.Release(ctx, now, x.request, s.Revision)
	}
	return claim.Conflict{}
}

// OutcomeWriter writes the outcomes of claimed requests to the store, retrying
// until each is stored. It writes one at a time, so that the VMs do not overload
// the store after an outage.
type OutcomeWriter struct{ claimed *claimedRequests }

// Serve implements suture.Service.
func (s *OutcomeWriter) Serve(ctx context.Context) error {
	interval := minRetryInterval
	for {
		x := s.claimed.oldestUnwritten()
		if x == nil {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-s.claimed.notify:
			}
			continue
		}
		if s.claimed.writeOutcome(ctx, time.Now(), x) {
			s.claimed.markWritten(x)
			interval = minRetryInterval
			continue
		}
		if err := control.Sleep(ctx, interval); err != nil {
			return err
		}
		interval = min(2*interval, maxRetryInterval)
	}
}

func (r *claimedRequests) oldestUnwritten() *claimedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unwritten) == 0 {
		return nil
	}
	return r.unwritten[0]
}

func (r *claimedRequests) markWritten(x *claimedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unwritten) > 0 && r.unwritten[0] == x {
		r.unwritten = r.unwritten[1:]
	}
	r.removeLocked(x)
}

// Status is the progress of a keyed request as this VM knows it.
type Status struct {
	Known  bool // This VM runs the attempt, or ran it and its outcome is not stored yet.
	Ended  bool
	Stored *claim.StoredOutcome // Nil if the request ended without being run.
}

// Await waits at most wait for an attempt of a keyed request to end. The status is
// not Known if this VM does not run that attempt.
func (d *Dispatcher) Await(ctx context.Context, id claim.ID, attempt claim.AttemptID, wait time.Duration) Status {
	x := d.claimed.get(id)
	if x == nil || x.request.Attempt != attempt {
		return Status{}
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case <-x.done:
		return Status{Known: true, Ended: true, Stored: x.stored}
	case <-ctx.Done():
	}
	return Status{Known: true}
}

// Flush waits until the outcomes of all finished claimed requests are stored. It does
// not wait for requests that are still running. If the context ends first, the error
// gives the number of outcomes that are not stored.
func (d *Dispatcher) Flush(ctx context.Context) error {
	t := control.NewTicker(flushPollInterval)
	defer t.Stop()
	for {
		n := d.claimed.unwrittenCount()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("outcomes of %d claims are not stored yet", n)
		case <-t.C:
		}
	}
}

package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"laburnumpick.org/pkg/account"
	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/claim"
	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/dispatch"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

// Constants of keyed requests.
const (
	maxKeyLookups  = 4                // Largest number of row lookups after the first claim failed; each may lead to another claim.
	confirmTimeout = time.Second      // Timeout of a row lookup, and of a write that fences the key.
	maxHolderWait  = 20 * time.Second // Longest wait for the VM that holds the claim to report its outcome.
	pollInterval   = 100 * time.Millisecond
	holderGrace    = time.Second // Time after a claim's send deadline until its holder counts as lost.
	// maxSkew is the largest difference assumed between the clocks of two VMs.
	maxSkew = 500 * time.Millisecond
)

// runKeyed runs a request with an idempotency key at most once across all VMs
// and all of the caller's attempts. It returns nil once a response has been
// written.
//
// The key of a new request has no row, so the first claim expects revision zero
// and needs no lookup. If that claim fails, the row is looked up. A freed key may
// be claimed only by an attempt received after it was freed, because the caller
// of the attempt that freed it may have been told "not run".
func (x *exchange) runKeyed(ctx context.Context) *outcome.Failure {
	f, end := x.claimAndRun(ctx, 0)
	for range maxKeyLookups {
		switch end.(type) {
		case completed:
			return f
		case rowChanged:
		}
		free, g := x.resolveFromRow(ctx)
		if g != nil || free.Revision == 0 {
			return g
		}
		if !free.At.Add(maxSkew).Before(x.receivedAt) {
			return x.supersede(ctx, free.Revision)
		}
		f, end = x.claimAndRun(ctx, free.Revision)
	}
	return outcome.New(outcome.InProgress, "other attempts with the same key claimed it first each time")
}

// attemptEnd is the result of an attempt to run a keyed request: completed or
// rowChanged.
type attemptEnd interface{ isAttemptEnd() }

// completed means that the attempt has a final result: a response was written, or the
// returned failure is to be reported.
type completed struct{}

// rowChanged means that another attempt changed the key's row first.
type rowChanged struct{}

func (completed) isAttemptEnd()  {}
func (rowChanged) isAttemptEnd() {}

// lookUpKey reads the state of the key's row.
func (x *exchange) lookUpKey(ctx context.Context) (claim.State, error) {
	ctx, span := x.entry.cfg.Tracer.Start(ctx, "look")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return x.entry.cfg.Dispatcher.Ledger().Read(ctx, x.claimID())
}

func (x *exchange) claimID() claim.ID {
	return claim.ID{Site: x.site, Service: x.match.Service, Account: x.keyAccount(), Key: x.key}
}

// keyAccount returns the client account that scopes the key. Callers without an
// account share one key space, since a repeated request may come from another
// address.
func (x *exchange) keyAccount() site.AccountName {
	if x.accountByKey != nil {
		return x.accountByKey.Name
	}
	if len(x.account) > len(addressPrefix) && strings.HasPrefix(string(x.account), addressPrefix) {
		return ""
	}
	return x.account
}

// digest identifies the content of the request, so that reuse of its key for a
// different request is detected.
func (x *exchange) digest() claim.Digest {
	return claim.NewDigest(x.match.Service, x.request.Method, x.request.URL.RequestURI(), x.request.Body)
}

// lookupFailed returns the failure for a request whose key cannot be looked up.
// Nothing was sent, but an earlier attempt with the key may have run.
func (x *exchange) lookupFailed(err error) *outcome.Failure {
	if x.firstAttempt {
		return outcome.New(outcome.StoreUnavailable, "nothing was sent, because the key could not be looked up: %v", err)
	}
	return outcome.New(outcome.EarlierAttemptUnknown,
		"this attempt was not sent, because the key could not be looked up: %v", err)
}

// claimAndRun claims the key, whose row is expected at revision base, and runs
// the request.
func (x *exchange) claimAndRun(ctx context.Context, base store.Revision) (*outcome.Failure, attemptEnd) {
	idem := &dispatch.Idempotency{
		Account: x.keyAccount(), Key: x.key, Attempt: claim.AttemptID(uuid.NewString()),
		Digest: x.digest(), BaseRevision: base,
	}
	resp, res := x.run(ctx, idem)
	if resp != nil {
		x.writeResponse(resp)
		return nil, completed{}
	}
	f := res.Failure
	switch {
	case res.ClaimConflict:
		return nil, rowChanged{}
	case res.ClaimReleased:
		return f, completed{}
	case f.Kind == outcome.Canceled && !x.firstAttempt:
		// The caller has left, so nobody needs the confirmation, and getting it
		// would keep the caller's other attempts from claiming the key.
		return x.unconfirmed(f, context.Cause(ctx)), completed{}
	case f.Outcome() == outcome.NotRun:
		return x.confirmNotRun(ctx, idem, f)
	default:
		return f, completed{}
	}
}

// confirmNotRun fences the key against claims by attempts that began earlier, so that
// "not run" is true of the key. If that fails, it returns another failure, or
// rowChanged.
func (x *exchange) confirmNotRun(ctx context.Context, idem *dispatch.Idempotency, f *outcome.Failure) (*outcome.Failure, attemptEnd) {
	if x.firstAttempt {
		return f, completed{} // No earlier attempt exists, and this one has ended.
	}
	switch result := x.fenceKey(ctx, idem).(type) {
	case claim.Written:
		return f, completed{}
	case claim.Conflict:
		if ctx.Err() != nil {
			return x.unconfirmed(f, ctx.Err()), completed{}
		}
		return nil, rowChanged{}
	case claim.NotWritten:
		return x.unconfirmed(f, result.Cause), completed{}
	case claim.Indeterminate:
		return x.unconfirmed(f, result.Cause), completed{}
	}
	return f, completed{}
}

// unconfirmed returns the failure for an attempt that was not sent, where it could
// not be confirmed that earlier attempts with the key have not run.
func (x *exchange) unconfirmed(f *outcome.Failure, cause error) *outcome.Failure {
	g := outcome.New(outcome.EarlierAttemptUnknown, "this attempt was not sent (%v); the outcome of earlier attempts is unknown: %v", f, cause)
	return g.WithRetryAfter(f.RetryDelay())
}

// fenceKey raises the revision of the key's row, so that attempts that read the
// row before can no longer claim the key. It runs even if ctx is canceled.
func (x *exchange) fenceKey(ctx context.Context, idem *dispatch.Idempotency) claim.WriteResult {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	req := claim.Request{ID: x.claimID(), Attempt: idem.Attempt, Digest: idem.Digest, BaseRevision: idem.BaseRevision}
	x.entry.cfg.Scope.Counter("vouches").Inc(1)
	return x.entry.cfg.Dispatcher.Ledger().Fence(ctx, time.Now(), req)
}

// refuseBeforeLookup returns the failure for a request that is refused before its
// key was looked up. Such refusals may come in large numbers, so the lookups and
// writes that would confirm "not run" are rate-limited.
func (x *exchange) refuseBeforeLookup(ctx context.Context, f *outcome.Failure) *outcome.Failure {
	if x.key == "" || x.firstAttempt {
		return f
	}
	if !x.entry.allowConfirmation(time.Now()) {
		return x.unconfirmed(f, outcome.New(outcome.Overload, "too many refused requests to look up their keys"))
	}
	state, err := x.lookUpKey(ctx)
	if err != nil {
		return x.unconfirmed(f, err)
	}
	free, ok := state.(claim.Free)
	if !ok {
		return outcome.New(outcome.InProgress, "an earlier request with this key has run or is running").WithRetryAfter(f.RetryDelay())
	}
	g, end := x.confirmNotRun(ctx, &dispatch.Idempotency{Attempt: claim.AttemptID(uuid.NewString()), BaseRevision: free.Revision}, f)
	if _, changed := end.(rowChanged); changed {
		return x.unconfirmed(f, outcome.New(outcome.InProgress, "another attempt with the same key changed the row first"))
	}
	return g
}

// allowConfirmation rate-limits the store's reads and writes for requests that do
// not run. It reports whether one more is allowed.
func (e *Entry) allowConfirmation(now time.Time) bool {
	rate := e.cfg.Limits().ConfirmationsPerSecond
	lim := account.Limits{Rate: rate, Burst: max(1, int(rate)), InFlight: 1}
	if e.confirmLimiter.Acquire(now, "", lim) > 0 {
		return false
	}
	e.confirmLimiter.Release("")
	return true
}

// resolveFromRow responds to an attempt that could not claim its key, from the state
// of the key's row. The failure is nil if a response was written, or if the key turns
// out to be free; the returned Free then holds the row's revision, which is above
// zero.
func (x *exchange) resolveFromRow(ctx context.Context) (claim.Free, *outcome.Failure) {
	for {
		state, err := x.lookUpKey(ctx)
		if err != nil {
			return claim.Free{}, x.lookupFailed(err)
		}
		switch s := state.(type) {
		case claim.Ended:
			return claim.Free{}, x.replay(s.Digest, &s.Stored)
		case claim.Free:
			return s, nil
		case claim.Running:
			if f, known := x.awaitHolder(ctx, s); known {
				return claim.Free{}, f
			}
		}
		if control.Sleep(ctx, pollInterval) != nil {
			return claim.Free{}, outcome.New(outcome.InProgress, "the first request with this key has not completed yet")
		}
	}
}

// supersede returns the failure for an attempt whose key was freed after the attempt
// began. The caller of another attempt may have been told "not run", so this one must
// not run.
func (x *exchange) supersede(ctx context.Context, base store.Revision) *outcome.Failure {
	f := outcome.New(outcome.Superseded, "another attempt freed the key after this one began")
	idem := &dispatch.Idempotency{Attempt: claim.AttemptID(uuid.NewString()), BaseRevision: base}
	g, end := x.confirmNotRun(ctx, idem, f)
	if _, changed := end.(rowChanged); changed {
		return outcome.New(outcome.InProgress, "another attempt with the same key claimed it first")
	}
	return g
}

// awaitHolder waits for the attempt that holds the key to end, and responds with its
// result. It reports false if the holder gave no usable response and the row must be
// looked up again.
func (x *exchange) awaitHolder(ctx context.Context, s claim.Running) (*outcome.Failure, bool) {
	if s.Digest != x.digest() {
		return outcome.New(outcome.KeyReused, "the key is in use by a different request that is running"), true
	}
	st, err := x.queryHolder(ctx, s)
	switch {
	case err == nil && st.Ended && st.Stored != nil:
		return x.replay(s.Digest, st.Stored), true
	case err == nil && st.Known && !st.Ended:
		return outcome.New(outcome.InProgress, "the first request with this key is still running"), true
	case time.Now().After(s.SendDeadline.Add(holderGrace)):
		return outcome.New(outcome.ServerLost, "VM %s was lost while it ran the request", s.Holder.VM), true
	}
	return nil, false
}

// queryHolder asks the VM that holds a claim for the outcome of its attempt.
func (x *exchange) queryHolder(ctx context.Context, s claim.Running) (dispatch.Status, error) {
	e := x.entry
	wait := maxHolderWait
	if d, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(d)*9/10)
	}
	if s.Holder.VM == string(e.cfg.Self.Name) {
		return e.cfg.Dispatcher.Await(ctx, x.claimID(), s.Attempt, wait), nil
	}
	return e.cfg.Holder.Outcome(ctx, s.Holder, x.claimID(), s.Attempt, wait)
}

// replay responds to a repeated request with the stored outcome of the first one.
func (x *exchange) replay(d claim.Digest, out *claim.StoredOutcome) *outcome.Failure {
	if d != x.digest() {
		return outcome.New(outcome.KeyReused, "the key was already used for a different request")
	}
	if out.Outcome != outcome.Answered {
		return outcome.New(out.Kind, "replayed from the first request with this key: %s", out.Detail)
	}
	x.w.Header().Set(outcome.HeaderReplayed, "true")
	if out.BodyOmitted {
		return outcome.New(outcome.ResponseNotStored, "the response to the first request with this key, with status %d, was not stored", out.Status)
	}
	x.writeResponse(&backend.Response{Status: out.Status, Header: out.Header.Clone(), Body: out.Body})
	return nil
}

// KeyReport is the body of the response to a query for a key's outcome.
type KeyReport struct {
	Outcome outcome.Outcome `json:"outcome"`
	Running bool            `json:"running"`
	Status  int             `json:"status,omitempty"` // Of the stored response; zero if there is none.
	Body    []byte          `json:"body,omitempty"`   // Of the stored response.
	Detail  string          `json:"detail"`
}

// serveOutcome answers queries for the outcome of a key.
func (e *Entry) serveOutcome(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	x := e.newExchange(w, r)
	x.id, x.key = uuid.NewString(), q.Get("key")
	if f := x.identifyQuery(r); f != nil {
		x.key = ""
		x.writeFailure(f)
		return
	}
	svc := x.config.Directory.Service(site.ServiceName(q.Get("service")))
	if svc == nil || x.key == "" {
		x.key = ""
		outcome.Write(w, outcome.New(outcome.Malformed, "the query needs the name of a known service and a key"), x.id, "", e.cfg.FractionalRetry)
		return
	}
	x.match.Service = svc.Name
	report, err := x.reportKey(r.Context())
	if err != nil {
		f := outcome.New(outcome.EarlierAttemptUnknown, "the key could not be looked up: %v", err)
		outcome.Write(w, f, x.id, x.outcomeURL(), e.cfg.FractionalRetry)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(outcome.HeaderOutcome, string(report.Outcome))
	_ = json.NewEncoder(w).Encode(report) // On failure the caller sees a truncated body.
}

// reportKey looks up a key and reports its outcome. "Not run" covers only the
// attempts sent so far, since a later attempt may still claim the key; the
// report's detail says so.
func (x *exchange) reportKey(ctx context.Context) (*KeyReport, error) {
	state, err := x.lookUpKey(ctx)
	if err != nil {
		return nil, err
	}
	switch s := state.(type) {
	case claim.Ended:
		return &KeyReport{Outcome: s.Stored.Outcome, Status: s.Stored.Status, Body: s.Stored.Body, Detail: s.Stored.Detail}, nil
	case claim.Running:
		if time.Now().After(s.SendDeadline.Add(holderGrace)) {
			return &KeyReport{Outcome: outcome.Unknown, Detail: "VM " + s.Holder.VM + " was lost while it ran the request"}, nil
		}
		return &KeyReport{Outcome: outcome.Unknown, Running: true, Detail: "VM " + s.Holder.VM + " is running the request"}, nil
	default:
		return x.reportUnclaimed(ctx, state)
	}
}

// reportUnclaimed reports that a key has not been claimed. Before it reports "not
// run", it fences the key, so that no attempt sent so far can run later.
func (x *exchange) reportUnclaimed(ctx context.Context, state claim.State) (*KeyReport, error) {
	free, ok := state.(claim.Free)
	if !ok {
		return &KeyReport{Outcome: outcome.Unknown, Detail: "the key's row is in an unknown state"}, nil
	}
	if !x.entry.allowConfirmation(time.Now()) {
		return &KeyReport{Outcome: outcome.Unknown, Detail: "too many outcome queries at once; retry"}, nil
	}
	idem := &dispatch.Idempotency{Attempt: claim.AttemptID(uuid.NewString()), BaseRevision: free.Revision}
	if _, fenced := x.fenceKey(ctx, idem).(claim.Written); !fenced {
		return &KeyReport{Outcome: outcome.Unknown, Running: true, Detail: "an attempt may be in progress"}, nil
	}
	return &KeyReport{Outcome: outcome.NotRun, Detail: "no attempt sent so far has run or will run"}, nil
}

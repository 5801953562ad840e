package entry

import (
	"context"
	"encoding/json"
	"net/http"
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
	maxRounds   = 4 // Looks at the key's row in one request.
	vouchTime   = time.Second
	maxHold     = 20 * time.Second // Longest wait for another VM's end.
	pollGap     = 100 * time.Millisecond
	holderGrace = time.Second // Beyond a claim's end before it counts as lost.
	// maxSkew bounds how far the clocks of two VMs may be apart.
	maxSkew = 500 * time.Millisecond
)

// runKeyed runs a request with a key at most once over all VMs and all of the
// caller's attempts. It returns nil once an answer has been written.
//
// The key of a request that is new has no row, so its claim builds on revision
// zero without a look. Where that fails the row is looked at. A key that was
// freed may be claimed only by an attempt that began after: to free it, another
// attempt's caller was told "not run".
func (x *exchange) runKeyed(ctx context.Context) *outcome.Failure {
	f, end := x.runFree(ctx, 0)
	for range maxRounds {
		switch end.(type) {
		case settled:
			return f
		case moved:
		}
		free, g := x.follow(ctx)
		if g != nil || free.Revision == 0 {
			return g
		}
		if !free.At.Add(maxSkew).Before(x.began) {
			return x.supersede(ctx, free.Revision)
		}
		f, end = x.runFree(ctx, free.Revision)
	}
	return outcome.New(outcome.InProgress, "other attempts with the same key keep coming first")
}

// ending is how a try to run a key's request ended: settled or moved.
type ending interface{ ending() }

// settled means that the caller can be answered.
type settled struct{}

// moved means that another attempt moved the key's row.
type moved struct{}

func (settled) ending() {}
func (moved) ending()   {}

func (x *exchange) look(ctx context.Context) (claim.State, error) {
	ctx, span := x.entry.cfg.Tracer.Start(ctx, "look")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, vouchTime)
	defer cancel()
	return x.entry.cfg.Dispatcher.Ledger().Read(ctx, x.claimID())
}

func (x *exchange) claimID() claim.ID {
	return claim.ID{Site: x.site, Service: x.match.Service, Account: x.keyAccount(), Key: x.key}
}

// keyAccount is the account that a key belongs to. Undeclared callers share
// one space of keys, since a resend may come from another address.
func (x *exchange) keyAccount() site.AccountName {
	if len(x.account) > 3 && x.account[:3] == "ip:" {
		return ""
	}
	return x.account
}

// digest identifies what the request asks for, so that a key is not taken for
// another request's.
func (x *exchange) digest() claim.Digest { return claim.Digest(x.print) }

// unread answers a request whose key cannot be looked up. Nothing was sent,
// but an earlier attempt with the key may have run.
func (x *exchange) unread(err error) *outcome.Failure {
	if x.first {
		return outcome.New(outcome.StoreAway, "the key could not be looked up, and nothing was sent: %v", err)
	}
	return outcome.New(outcome.EarlierUnsure,
		"this attempt was not sent, since the key could not be looked up: %v", err)
}

// runFree runs the request of a key that may be claimed at the revision.
func (x *exchange) runFree(ctx context.Context, base store.Revision) (*outcome.Failure, ending) {
	once := &dispatch.Idempotency{
		Account: x.keyAccount(), Key: x.key, Attempt: claim.AttemptID(uuid.NewString()),
		Digest: x.digest(), BaseRevision: base,
	}
	a, res := x.run(ctx, once)
	if a != nil {
		x.write(a)
		return nil, settled{}
	}
	f := res.Failure
	switch {
	case res.ClaimConflict:
		return nil, moved{}
	case res.ClaimReleased:
		return f, settled{}
	case f.Kind == outcome.Canceled && !x.first:
		// Nobody waits for the word that would take the key from other attempts.
		return x.unvouched(f, context.Cause(ctx)), settled{}
	case f.Outcome() == outcome.NotRun:
		return x.vouch(ctx, once, f)
	default:
		return f, settled{}
	}
}

// vouch makes "not run" true of the key before the caller is told so: no
// attempt that began before may claim it any more.
func (x *exchange) vouch(ctx context.Context, once *dispatch.Idempotency, f *outcome.Failure) (*outcome.Failure, ending) {
	if x.first {
		return f, settled{} // No earlier attempt exists, and this one has ended.
	}
	switch a := x.forbid(ctx, once).(type) {
	case claim.Written:
		return f, settled{}
	case claim.Conflict:
		if ctx.Err() != nil {
			return x.unvouched(f, ctx.Err()), settled{}
		}
		return nil, moved{}
	case claim.NotWritten:
		return x.unvouched(f, a.Cause), settled{}
	case claim.Indeterminate:
		return x.unvouched(f, a.Cause), settled{}
	}
	return f, settled{}
}

func (x *exchange) unvouched(f *outcome.Failure, cause error) *outcome.Failure {
	g := outcome.New(outcome.EarlierUnsure, "this attempt was not sent (%v); earlier ones are unsure: %v", f, cause)
	return g.WithRetryAfter(f.RetryDelay())
}

func (x *exchange) forbid(ctx context.Context, once *dispatch.Idempotency) claim.WriteResult {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), vouchTime)
	defer cancel()
	b := claim.Request{ID: x.claimID(), Attempt: once.Attempt, Digest: once.Digest, BaseRevision: once.BaseRevision}
	x.entry.cfg.Scope.Counter("vouches").Inc(1)
	return x.entry.cfg.Dispatcher.Ledger().Fence(ctx, time.Now(), b)
}

// vouched answers a keyed request that is refused before its key was looked
// up. Such refusals may come in floods, so the writes that would make "not
// run" sure are bounded.
func (x *exchange) vouched(ctx context.Context, f *outcome.Failure) *outcome.Failure {
	if x.key == "" || x.first {
		return f
	}
	if !x.entry.mayVouch(time.Now()) {
		return x.unvouched(f, outcome.New(outcome.Overload, "too many refusals to look up"))
	}
	sight, err := x.look(ctx)
	if err != nil {
		return x.unvouched(f, err)
	}
	free, ok := sight.(claim.Free)
	if !ok {
		return outcome.New(outcome.InProgress, "an earlier request with this key has run or runs").WithRetryAfter(f.RetryDelay())
	}
	g, end := x.vouch(ctx, &dispatch.Idempotency{Attempt: claim.AttemptID(uuid.NewString()), BaseRevision: free.Revision}, f)
	if _, again := end.(moved); again {
		return x.unvouched(f, outcome.New(outcome.InProgress, "another attempt came first"))
	}
	return g
}

// mayVouch bounds the reads and writes for requests that are refused anyway.
func (e *Entry) mayVouch(now time.Time) bool {
	rate := e.cfg.Limits().VouchesPerSec
	lim := account.Limits{Rate: rate, Burst: max(1, int(rate)), InFlight: 1}
	if e.vouches.Enter(now, "", lim) > 0 {
		return false
	}
	e.vouches.Leave("")
	return true
}

// follow answers an attempt whose key another attempt has, by the key's row.
// The failure is nil where the answer was written, or where the key turns out
// to be free at a revision above zero.
func (x *exchange) follow(ctx context.Context) (claim.Free, *outcome.Failure) {
	for {
		sight, err := x.look(ctx)
		if err != nil {
			return claim.Free{}, x.unread(err)
		}
		switch s := sight.(type) {
		case claim.Ended:
			return claim.Free{}, x.replay(s.Digest, &s.Stored)
		case claim.Free:
			return s, nil
		case claim.Running:
			if f, known := x.await(ctx, s); known {
				return claim.Free{}, f
			}
		}
		if control.Sleep(ctx, pollGap) != nil {
			return claim.Free{}, outcome.New(outcome.InProgress, "the first request with this key has not ended yet")
		}
	}
}

// supersede answers an attempt whose key was freed since it began: another
// caller may have been told "not run", so this attempt must not run.
func (x *exchange) supersede(ctx context.Context, base store.Revision) *outcome.Failure {
	f := outcome.New(outcome.Superseded, "another attempt with the same key was given up meanwhile")
	once := &dispatch.Idempotency{Attempt: claim.AttemptID(uuid.NewString()), BaseRevision: base}
	g, end := x.vouch(ctx, once, f)
	if _, again := end.(moved); again {
		return outcome.New(outcome.InProgress, "another attempt with the same key came first")
	}
	return g
}

// await waits for the end of the attempt that holds the key. It reports false
// where its holder does not know it and the row must be looked at again.
func (x *exchange) await(ctx context.Context, s claim.Running) (*outcome.Failure, bool) {
	if s.Digest != x.digest() {
		return outcome.New(outcome.KeyReused, "the key belongs to a different request that is running"), true
	}
	st, err := x.ask(ctx, s)
	switch {
	case err == nil && st.Ended && st.Stored != nil:
		return x.replay(s.Digest, st.Stored), true
	case err == nil && st.Known && !st.Ended:
		return outcome.New(outcome.InProgress, "the first request with this key is still running"), true
	case time.Now().After(s.SendDeadline.Add(holderGrace)):
		return outcome.New(outcome.ServerLost, "VM %s vanished while it ran the request", s.Holder.VM), true
	}
	return nil, false
}

// ask asks the holder of a claim for its end.
func (x *exchange) ask(ctx context.Context, s claim.Running) (dispatch.Status, error) {
	e := x.entry
	wait := maxHold
	if d, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(d)*9/10)
	}
	if s.Holder.VM == string(e.cfg.Self.Name) {
		return e.cfg.Dispatcher.Await(ctx, x.claimID(), s.Attempt, wait), nil
	}
	return e.cfg.Holder.Outcome(ctx, s.Holder, x.claimID(), s.Attempt, wait)
}

// replay answers a resend with the end of the first request.
func (x *exchange) replay(d claim.Digest, k *claim.StoredOutcome) *outcome.Failure {
	if d != x.digest() {
		return outcome.New(outcome.KeyReused, "the key belongs to a different request")
	}
	if k.Outcome != outcome.Answered {
		return outcome.New(k.Kind, "as the first request with this key: %s", k.Detail)
	}
	x.w.Header().Set(outcome.HeaderReplayed, "true")
	if k.BodyOmitted {
		return outcome.New(outcome.AnswerNotKept, "the first request with this key got status %d", k.Status)
	}
	x.write(&backend.Response{Status: k.Status, Header: k.Header.Clone(), Body: k.Body})
	return nil
}

// KeyReport is the answer to the question what became of a key.
type KeyReport struct {
	Outcome outcome.Outcome `json:"outcome"`
	Running bool            `json:"running"`
	Status  int             `json:"status,omitempty"`
	Body    []byte          `json:"body,omitempty"`
	Detail  string          `json:"detail"`
}

// serveOutcome tells what became of a key.
func (e *Entry) serveOutcome(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	svc := e.cfg.Replica.State().Directory.Service(site.ServiceName(q.Get("service")))
	x := &exchange{entry: e, w: w, id: uuid.NewString(), site: e.cfg.Site, account: accountOf(r), key: q.Get("key")}
	if svc == nil || x.key == "" {
		x.key = ""
		outcome.Write(w, outcome.New(outcome.Malformed, "give the query a known service and a key"), x.id, "", e.cfg.FractionalRetry)
		return
	}
	x.match.Service = svc.Name
	rep, err := x.report(r.Context())
	if err != nil {
		f := outcome.New(outcome.EarlierUnsure, "the key could not be looked up: %v", err)
		outcome.Write(w, f, x.id, x.askAt(), e.cfg.FractionalRetry)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(outcome.HeaderOutcome, string(rep.Outcome))
	_ = json.NewEncoder(w).Encode(rep) // The caller sees a short answer.
}

// report looks a key up. An absent key is not run as of now, since a request
// that is on its way may still claim it; the words say so.
func (x *exchange) report(ctx context.Context) (*KeyReport, error) {
	sight, err := x.look(ctx)
	if err != nil {
		return nil, err
	}
	switch s := sight.(type) {
	case claim.Ended:
		return &KeyReport{Outcome: s.Stored.Outcome, Status: s.Stored.Status, Body: s.Stored.Body, Detail: s.Stored.Detail}, nil
	case claim.Running:
		if time.Now().After(s.SendDeadline.Add(holderGrace)) {
			return &KeyReport{Outcome: outcome.Unknown, Detail: "VM " + s.Holder.VM + " vanished while it ran the request"}, nil
		}
		return &KeyReport{Outcome: outcome.Unknown, Running: true, Detail: "VM " + s.Holder.VM + " runs it"}, nil
	default:
		return x.reportFree(ctx, sight)
	}
}

// reportFree forbids the key's earlier attempts, so that "not run" stays true
// of them.
func (x *exchange) reportFree(ctx context.Context, sight claim.State) (*KeyReport, error) {
	free, ok := sight.(claim.Free)
	if !ok {
		return &KeyReport{Outcome: outcome.Unknown, Detail: "the key's row cannot be read"}, nil
	}
	if !x.entry.mayVouch(time.Now()) {
		return &KeyReport{Outcome: outcome.Unknown, Detail: "too many questions at once; ask again"}, nil
	}
	once := &dispatch.Idempotency{Attempt: claim.AttemptID(uuid.NewString()), BaseRevision: free.Revision}
	if _, won := x.forbid(ctx, once).(claim.Written); !won {
		return &KeyReport{Outcome: outcome.Unknown, Running: true, Detail: "an attempt may be on its way"}, nil
	}
	return &KeyReport{Outcome: outcome.NotRun, Detail: "no attempt that was sent so far has run or will run"}, nil
}

// Package dispatch runs callers' requests on backend servers. It acquires a slot,
// the right to run one request on one server, from the home of the service's pool,
// the VM that grants the slots of all servers in the pool. It then sends the
// request, classifies the response and decides whether the request may be sent to
// another server.
package dispatch

import (
	"time"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/claim"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

// Idempotency holds what is needed to run a keyed request, one with an idempotency
// key, at most once.
type Idempotency struct {
	Account      site.AccountName // Client account that scopes the key; empty if the caller names none.
	Key          string
	Attempt      claim.AttemptID // Distinguishes this run of the request from others with its key, on any VM.
	Digest       claim.Digest
	BaseRevision store.Revision // Revision of the key's row that the claim expects; zero if there is no row.
}

// Job is a caller's request together with the rule that applies to it.
type Job struct {
	Match       site.Match
	Account     site.AccountName
	Target      time.Time // A response by this time meets the latency target; zero if there is no target.
	Identity    quarantine.Identity
	Idempotency *Idempotency // Nil for requests without an idempotency key.
	Request     *backend.Request
	// KeysRequired is set if the site requires keys of client accounts. Servers are then
	// told AccountOfKey, and no other name of an account.
	KeysRequired bool
	AccountOfKey site.AccountName // The account that the request's key identifies; empty for anonymous requests.
}

// claimID returns the ID under which the job's idempotency key is claimed.
func (j *Job) claimID(s site.Name) claim.ID {
	return claim.ID{Site: s, Service: j.Match.Service, Account: j.Idempotency.Account, Key: j.Idempotency.Key}
}

// unclaimedKey returns the idempotency key that the job has yet to claim, or "".
func (j *Job) unclaimedKey(s site.Name, res *Result) pool.IdempotencyKey {
	if j.Idempotency == nil || res.ClaimAttempted {
		return ""
	}
	return pool.IdempotencyKey(j.claimID(s).Row())
}

// description returns the text that identifies the job in events for operators.
func (j *Job) description() string {
	return quarantine.Describe(j.Request.Method, j.Request.URL.Path)
}

// Result describes how a job ended, apart from the response itself.
type Result struct {
	Failure      *outcome.Failure // Nil if there is a response.
	Server       site.ServerName  // The server that responded, or else the server of the last attempt.
	Via          roster.VMName    // The VM that carried the last attempt; empty if this VM sent it itself.
	Attempts     int              // Attempts in which part of the request was sent.
	SlotRequests int              // Requests for a slot, including refused ones.
	// ExcludedServers holds the servers that later attempts must not use: those whose
	// attempt failed, and those that had left or were leaving when they were granted.
	ExcludedServers []site.ServerName
	// ClaimReleased means that the claim was written and then released without
	// the request being run, so that "not run" is true of the key. BaseRevision is
	// then the revision for the next claim.
	ClaimReleased bool
	BaseRevision  store.Revision
	// ClaimAttempted means that a write of the claim was attempted.
	ClaimAttempted bool
	// ClaimConflict means that the key's row was changed before the claim.
	ClaimConflict bool
}

// setFailure records the failure that the caller gets. Once an attempt may have run, no later
// one makes it true that the request has not.
func (r *Result) setFailure(f *outcome.Failure) {
	if r.Failure != nil && r.Failure.Outcome() != outcome.NotRun && f.Outcome() == outcome.NotRun {
		return
	}
	r.Failure = f
}

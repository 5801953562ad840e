// Package dispatch runs a caller's request on backend servers: it gets a slot
// from the pool's home, sends the request itself, judges the answer and decides
// whether another server may be tried.
package dispatch

import (
	"time"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/claim"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

// Once is what must be known to run a keyed request at most once.
type Once struct {
	Account site.AccountName
	Key     string
	Attempt claim.AttemptID
	Digest  claim.Digest
	Base    store.Revision
}

// Job is a caller's request with how it is to be served.
type Job struct {
	Match       site.Match
	Account     site.AccountName
	Target      time.Time // Until when an answer is in time; zero for no such time.
	Fingerprint quarantine.Fingerprint
	Once        *Once // For keyed requests.
	Request     *backend.Request
}

// claimID names the job's key.
func (j *Job) claimID(s site.Name) claim.ID {
	return claim.ID{Site: s, Service: j.Match.Service, Account: j.Once.Account, Key: j.Once.Key}
}

// unclaimed returns the key that the job has yet to claim, or "".
func (j *Job) unclaimed(s site.Name, res *Result) pool.IdempotencyKey {
	if j.Once == nil || res.Claimed {
		return ""
	}
	return pool.IdempotencyKey(j.claimID(s).Row())
}

// target tells people what the job asks for.
func (j *Job) target() string { return j.Request.Method + " " + j.Request.URL.Path }

// Result is what became of a job, beside the answer itself.
type Result struct {
	Failure *outcome.Failure // Nil where answered.
	Server  site.ServerName  // The one that answered, or else the last one tried.
	Tries   int
	Asks    int               // How often a slot was asked for.
	Failed  []site.ServerName // Servers that the job was sent to in vain.
	// Fenced means that the key's claim was won and given up, so that "not run"
	// is true of the key. Base is the revision to go on from.
	Fenced bool
	Base   store.Revision
	// Claimed means that the claim of the key was tried.
	Claimed bool
	// Beaten means that the key's row moved before the claim.
	Beaten bool
}

// fail fills the result from a failure.
func (r *Result) fail(f *outcome.Failure) { r.Failure = f }

// Package quota decides on fleet-wide quotas of client accounts. A quota is split into a
// few fixed parts, and one VM, the part's home, holds the token bucket of each part. The
// VM that received a request takes a token from one part before it does anything else.
//
// The package does no I/O and takes the current time as an argument. Package fleet finds
// the homes and makes the calls.
package quota

import (
	"fmt"
	"math"
	"time"

	"laburnumpick.org/pkg/site"
)

// MaxParts is the number of parts of a large quota. An account that uses up to three
// quarters of its quota has enough while the home of one part is dead.
const MaxParts = 4

// Index is the number of a part, from 0.
type Index int

// PartID identifies a part of an account's quota.
type PartID struct {
	Account site.AccountName
	Index   Index
}

// Parts returns the number of parts of a quota. All VMs with the same configuration use
// the same number.
func Parts(q site.Quota) int {
	return min(MaxParts, max(1, int(math.Floor(min(float64(q.Rate), float64(q.Burst))/2))))
}

// Terms are a quota with the version of the configuration that contains it.
type Terms struct {
	Quota   site.Quota
	Version int64
}

// Tolerance is what all VMs together may spend beyond a quota in a window while several
// VMs decide for a part at the same time: Overage of what the quota allows, plus Slack.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64 // Requests.
}

// allows returns the number of requests beyond a quota in a window.
func (t Tolerance) allows(q site.Quota) float64 {
	return t.Overage*(float64(q.Rate)*t.Window.Seconds()+float64(q.Burst)) + t.Slack
}

// Role is what a VM is to a part of a quota: Home, Standby, Isolated or NoRole.
type Role interface{ isRole() }

// Home is the role of the first candidate.
type Home struct {
	Share float64   // The part of the fleet that this VM sees, between 0 and 1.
	Since time.Time // When this VM became the first candidate.
}

// Standby is the role of the second candidate while the first one is a member.
type Standby struct {
	Share float64
	Since time.Time // When the process started.
}

// Isolated is the role of a VM that gets no replies from others. It decides for its own
// callers with its share of the whole quota.
type Isolated struct{ Share float64 }

// NoRole is the role of all other VMs.
type NoRole struct{}

func (Home) isRole()     {}
func (Standby) isRole()  {}
func (Isolated) isRole() {}
func (NoRole) isRole()   {}

// Ask is a VM's request for a token of a part.
type Ask struct {
	Part  PartID
	Terms Terms // As the VM that asks knows them.
	// Skipped is the number of requests since the last call for which the VM did not ask
	// this part, because of a hint. They came within SkippedFor.
	Skipped    int
	SkippedFor time.Duration
	// MaxWait is how long the request can wait for a token.
	MaxWait time.Duration
	// Again is set where this part has been asked for the request before.
	Again bool
}

// Answer is the reply to an Ask: Granted, Exhausted or NotHome.
type Answer interface{ isAnswer() }

// Granted allows the request once Wait has passed.
type Granted struct {
	Wait time.Duration
	Hint Hint
}

// Exhausted means that the part has no token.
type Exhausted struct {
	RetryAfter time.Duration // Until the part has a token, if no other request takes it.
	Hint       Hint
}

// NotHome means that the VM does not decide for the part.
type NotHome struct{}

func (Granted) isAnswer()   {}
func (Exhausted) isAnswer() {}
func (NotHome) isAnswer()   {}

// Hint lets VMs refuse the excess of an account without a call.
type Hint struct {
	// Admit is the probability that a request which asks the part gets a token.
	Admit float64
	// Overall is the highest probability that a request of the account is admitted by any
	// part, as far as the demand at this part shows.
	Overall float64
}

// NoHint returns the hint of a part that has enough tokens.
func NoHint() Hint { return Hint{Admit: 1, Overall: 1} }

// Request is a caller's request for which a VM needs a token.
type Request struct {
	Account site.AccountName
	Terms   Terms
	MaxWait time.Duration // How long the request can wait for a token.
}

// Verdict says whether a request may run: Allowed, Refused or Undecided.
type Verdict interface{ isVerdict() }

// Allowed means that the request may run once Wait has passed.
type Allowed struct {
	Wait time.Duration
	Part Index
	Home string // The VM that granted the token.
}

// Refused means that the account has used up its quota.
type Refused struct {
	RetryAfter time.Duration // Until a token is free.
	Local      bool          // This VM refused by its hints, without a call.
	Detail     fmt.Stringer  // What this VM knew of the parts, for the log.
}

// Undecided means that no VM that decides could be reached.
type Undecided struct{ RetryAfter time.Duration }

func (Allowed) isVerdict()   {}
func (Refused) isVerdict()   {}
func (Undecided) isVerdict() {}

package quarantine

import (
	"strconv"
	"strings"
	"time"

	"laburnumpick.org/pkg/site"
)

// Epoch counts how often the losses of a fingerprint have been cleared.
type Epoch int64

// Count is what a VM knows of a fingerprint's losses.
type Count struct {
	Epoch  Epoch `json:"epoch"`
	Losses int   `json:"losses"`
}

// max returns the newer of two counts.
func (c Count) max(o Count) Count {
	if o.Epoch > c.Epoch || o.Epoch == c.Epoch && o.Losses > c.Losses {
		return o
	}
	return c
}

// Basis is what was known of a request's losses when it was given a slot. A loss of a run that was
// granted although an earlier one was known shows more than two that come at the same moment.
type Basis struct {
	Own   Count `json:"own"`
	Class Count `json:"class"`
}

// Max returns what two VMs know together.
func (b Basis) Max(o Basis) Basis {
	return Basis{b.Own.max(o.Own), b.Class.max(o.Class)}
}

// Loss records that a server went down while it ran a request.
type Loss struct {
	Identity  Identity         `json:"identity"`
	Basis     *Basis           `json:"basis,omitempty"` // Nil in messages of builds that do not know it.
	Service   site.ServiceName `json:"service"`
	Server    site.ServerName  `json:"server"`
	StartedMs int64            `json:"startedMs,omitempty"` // When the server started; zero if it is not known.
	VM        string           `json:"vm,omitempty"`        // The VM that saw it.
	Ran       RunTime          `json:"ran"`
	Request   string           `json:"request"` // See Describe.
	At        time.Time        `json:"at"`
}

// RunTime is when a request ran on a server, by the clock of the VM that sent it. It is zero if it is
// not known.
type RunTime struct {
	Began time.Time `json:"began"`
	Ended time.Time `json:"ended"`
}

// Release clears the losses of a fingerprint, so that the request may run again.
type Release struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Epoch       Epoch       `json:"epoch"`    // That begins with the release; zero for the one after the present one.
	Operator    string      `json:"operator"` // Name of the operator, or "the fleet".
	At          time.Time   `json:"at"`
}

// Trial records that a request which is refused was let through once.
type Trial struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Epoch       Epoch       `json:"epoch"`
	Number      int         `json:"number"` // From 1.
	At          time.Time   `json:"at"`
}

// maxDescription is the maximum length of a request's description in bytes.
const maxDescription = 200

// Describe returns a text that names a request to operators. It is valid UTF-8 without control
// characters, whatever the caller sent.
func Describe(method, path string) string {
	quoted := strconv.QuoteToGraphic(method + " " + path)
	text := quoted[1 : len(quoted)-1]
	if len(text) > maxDescription {
		text = strings.ToValidUTF8(text[:maxDescription], "") + "..."
	}
	return text
}

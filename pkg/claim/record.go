// Package claim ensures that a request with an idempotency key (a keyed request)
// runs at most once across all VMs.
//
// A key has one row in the platform's table. The base revision of an attempt is the
// row's revision before the attempt: zero if the key is assumed to be new and to have
// no row, or else the revision that the VM read. Right before sending, the VM claims
// the key by a conditional write at the base revision.
// Before a caller is told "not run", the key is fenced: a conditional write raises
// the row's revision, so that an attempt in flight on another VM can no longer
// claim the key. Of the writes that expect the same revision only the first one
// succeeds, so that a claim and a report of "not run" exclude each other.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"laburnumpick.org/pkg/buffer"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

// AttemptID identifies one attempt of a VM to run a request.
type AttemptID string

// Digest is a digest of a request's content. It detects that a key is reused for a
// different request.
type Digest string

// digestBytes is the length of a digest.
const digestBytes = 12

// NewDigest returns the truncated SHA-256 digest of a request's service, method, target and body.
// Stored claims hold it, so it must not change.
func NewDigest(s site.ServiceName, method, target string, body buffer.Body) Digest {
	h := sha256.New()
	for _, part := range []string{string(s), method, target} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	_, _ = body.WriteTo(h) // A hash does not fail.
	return Digest(hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}

// ID identifies a keyed request. The same key may be used by several services and
// client accounts independently.
type ID struct {
	Site    site.Name
	Service site.ServiceName
	Account site.AccountName
	Key     string
}

// Row returns the key of the ID's row in the table. Callers' keys are hashed,
// because they may be long and contain any character.
func (id ID) Row() store.Key {
	h := sha256.New()
	h.Write([]byte(id.Account))
	h.Write([]byte{0})
	h.Write([]byte(id.Key))
	sum := hex.EncodeToString(h.Sum(nil)[:16])
	return store.Key("site/" + string(id.Site) + "/once/" + string(id.Service) + "/" + sum)
}

// phase is the state of a key as it is stored.
type phase string

const (
	running phase = "running"
	ended   phase = "ended"
	notRun  phase = "notRun"
)

// MaxStoredBody is the largest response body, in bytes, that is stored for replay.
const MaxStoredBody = 16 << 10

// Holder is the VM that runs a claimed request.
type Holder struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// StoredOutcome is the outcome of a request as it is stored for replay to callers
// that repeat the request.
type StoredOutcome struct {
	Outcome     outcome.Outcome `json:"outcome"`
	Kind        outcome.Kind    `json:"kind,omitempty"` // Set if there is no response.
	Detail      string          `json:"detail,omitempty"`
	Status      int             `json:"status,omitempty"`
	Header      http.Header     `json:"header,omitempty"`
	Body        []byte          `json:"body,omitempty"`
	BodyOmitted bool            `json:"tooLong,omitempty"` // The body was too large or streamed, and is not stored.
}

// record is the JSON value of a key's row.
type record struct {
	Phase   phase          `json:"phase"`
	Attempt AttemptID      `json:"attempt"`
	Digest  Digest         `json:"digest"`
	Holder  Holder         `json:"holder"`
	At      time.Time      `json:"at"`    // When the row was written, by the writer's clock.
	Until   time.Time      `json:"until"` // The holder must not send after this time.
	Stored  *StoredOutcome `json:"kept,omitempty"`
}

func (r *record) encode() ([]byte, error) { return json.Marshal(r) }

// State is the state of a key: Free, Running or Ended.
type State interface{ state() }

// Free means that the key may be claimed at Revision, by attempts that began after
// it was freed.
type Free struct {
	Revision store.Revision
	At       time.Time // When it was freed, by the clock of the VM that freed it; zero if there is no row.
}

// Running means that an attempt has claimed the key and its outcome is not stored.
type Running struct {
	Revision     store.Revision
	Attempt      AttemptID
	Digest       Digest
	Holder       Holder
	At           time.Time // When the key was claimed, by the holder's clock.
	SendDeadline time.Time // The holder must not send the request after this time.
}

// Ended means that the outcome of the key's request is stored.
type Ended struct {
	Attempt AttemptID
	Digest  Digest
	Stored  StoredOutcome
}

func (Free) state()    {}
func (Running) state() {}
func (Ended) state()   {}

// stateOf decodes a row. An ended key without a stored outcome counts as unknown.
func stateOf(row store.Row) (State, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return nil, err
	}
	switch r.Phase {
	case running:
		return Running{row.Revision, r.Attempt, r.Digest, r.Holder, r.At, r.Until}, nil
	case ended:
		if r.Stored == nil {
			return Ended{r.Attempt, r.Digest, StoredOutcome{Outcome: outcome.Unknown, Kind: outcome.ServerLost}}, nil
		}
		return Ended{r.Attempt, r.Digest, *r.Stored}, nil
	default:
		return Free{row.Revision, r.At}, nil
	}
}

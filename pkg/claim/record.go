// Package claim makes keyed requests run at most once over all VMs.
//
// A key has one row in the platform's table. A VM that takes a keyed request
// reads the row first, which fixes the revision that the request may build on.
// Right before sending, the pool's home claims the key by a conditional write
// at that revision. To tell a caller "not run" the fleet raises the revision
// by a conditional write as well, so that an attempt that is still on its way
// somewhere can no longer claim. Whoever writes first decides what is true.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

// AttemptID names one try of one VM to run a request.
type AttemptID string

// Digest identifies what a request asks for.
type Digest string

// ID names a keyed request.
type ID struct {
	Site    site.Name
	Service site.ServiceName
	Account site.AccountName
	Key     string
}

// Row returns the table's key. Callers' keys are hashed, since they may be
// long and hold any character.
func (id ID) Row() store.Key {
	h := sha256.New()
	h.Write([]byte(id.Account))
	h.Write([]byte{0})
	h.Write([]byte(id.Key))
	sum := hex.EncodeToString(h.Sum(nil)[:16])
	return store.Key("site/" + string(id.Site) + "/once/" + string(id.Service) + "/" + sum)
}

// phase is how far a claimed request is.
type phase string

const (
	running phase = "running"
	ended   phase = "ended"
	notRun  phase = "notRun"
)

// MaxStoredBody is the largest answer body, in bytes, that is kept for resends.
const MaxStoredBody = 16 << 10

// Holder is the VM that runs a claimed request.
type Holder struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// StoredOutcome is the end of a request as resends get it.
type StoredOutcome struct {
	Outcome     outcome.Outcome `json:"outcome"`
	Kind        outcome.Kind    `json:"kind,omitempty"` // Where there is no answer.
	Detail      string          `json:"detail,omitempty"`
	Status      int             `json:"status,omitempty"`
	Header      http.Header     `json:"header,omitempty"`
	Body        []byte          `json:"body,omitempty"`
	BodyOmitted bool            `json:"tooLong,omitempty"` // The body was not kept.
}

// record is the value of a key's row.
type record struct {
	Phase   phase          `json:"phase"`
	Attempt AttemptID      `json:"attempt"`
	Digest  Digest         `json:"digest"`
	Holder  Holder         `json:"holder"`
	At      time.Time      `json:"at"`
	Until   time.Time      `json:"until"` // The holder does not send after this time.
	Kept    *StoredOutcome `json:"kept,omitempty"`
}

func (r *record) encode() ([]byte, error) { return json.Marshal(r) }

// State is what a key's row shows: Free, Running or Ended.
type State interface{ sight() }

// Free means that the key may be claimed at the revision, by attempts that
// began after it was freed.
type Free struct {
	Revision store.Revision
	At       time.Time // When it was freed, by the clock of the VM that did; zero for no row.
}

// Running means that an attempt claimed the key and has not ended it.
type Running struct {
	Revision     store.Revision
	Attempt      AttemptID
	Digest       Digest
	Holder       Holder
	At           time.Time
	SendDeadline time.Time
}

// Ended means that the key's request has come to its end.
type Ended struct {
	Attempt AttemptID
	Digest  Digest
	Stored  StoredOutcome
}

func (Free) sight()    {}
func (Running) sight() {}
func (Ended) sight()   {}

func sightOf(row store.Row) (State, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return nil, err
	}
	switch r.Phase {
	case running:
		return Running{row.Revision, r.Attempt, r.Digest, r.Holder, r.At, r.Until}, nil
	case ended:
		if r.Kept == nil {
			return Ended{r.Attempt, r.Digest, StoredOutcome{Outcome: outcome.Unknown, Kind: outcome.ServerLost}}, nil
		}
		return Ended{r.Attempt, r.Digest, *r.Kept}, nil
	default:
		return Free{row.Revision, r.At}, nil
	}
}

// Package store holds the narrow interfaces to what the platform gives the
// fleet: a table with conditional writes, an object store and a list of VMs.
//
// Every answer that the real services can give has a class here, including the
// awkward one: a write whose answer was lost may have taken effect.
package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error classes of the table and the object store. An error has just one of
// them: one that is judged anew is made anew, not wrapped.
var (
	// Conflict means that another write came first; nothing was written.
	Conflict = errs.Class("conflict")
	// Unavailable means that the request did not take effect.
	Unavailable = errs.Class("store unavailable")
	// Indeterminate means that a write may or may not have taken effect.
	Indeterminate = errs.Class("store answer unknown")
	// NotFound means that the row or object does not exist.
	NotFound = errs.Class("not found")
)

// Key names a row of the table.
type Key string

// Revision counts the writes to one row, from 1. Zero stands for no row.
type Revision int64

// Row is one row of the table.
type Row struct {
	Key      Key      `json:"key"`
	Revision Revision `json:"revision"`
	Value    []byte   `json:"value"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get reads a row. Errors: NotFound, Unavailable.
	Get(ctx context.Context, k Key) (Row, error)
	// Put writes a row if its revision still is expect, zero for an insert,
	// and returns the new revision. Errors: Conflict, Unavailable, Unknown.
	Put(ctx context.Context, k Key, value []byte, expect Revision) (Revision, error)
	// List reads at most limit rows whose keys start with prefix and come
	// after the key after, in order of keys. Errors: Unavailable.
	List(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	// GetObject reads a whole object. Errors: NotFound, Unavailable.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// PutObject replaces an object. Errors: Unavailable, Unknown.
	PutObject(ctx context.Context, name string, value []byte) error
}

// VMState is what the platform's list says of a VM.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one line of the platform's list.
type VM struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	DataCentre string  `json:"dataCentre"`
	Role       string  `json:"role"` // "entry" or "backend".
	State      VMState `json:"state"`
	Cores      float64 `json:"cores,omitempty"` // Of an entry VM.
}

// Roles of the VMs in the platform's list.
const (
	RoleEntry   = "entry"
	RoleBackend = "backend"
)

// VMList is the platform's list of live and leaving VMs. It lags behind.
type VMList interface {
	// VMs reads the list. Errors: Unavailable.
	VMs(ctx context.Context) ([]VM, error)
}

// Registrar is a list of VMs that VMs themselves write.
type Registrar interface {
	// Register puts a VM on the list, or replaces its entry. Errors: Unavailable,
	// Unknown.
	Register(ctx context.Context, vm VM) error
	// Remove takes a VM's entry off the list if it still is the one given. Errors:
	// Conflict, Unavailable, Unknown.
	Remove(ctx context.Context, vm VM) error
}

// Store is all that the platform keeps for the fleet.
type Store interface {
	Table
	Objects
	VMList
}

// CallTimeout bounds one call to the platform.
const CallTimeout = 2 * time.Second

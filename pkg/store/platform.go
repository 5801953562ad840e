// Package store defines the interfaces to the platform's services that the fleet
// uses: a table with conditional writes, an object store and a list of VMs. It has
// an in-memory implementation, and an HTTP client and handler.
//
// Each way in which a call can fail has an error class, including a write whose
// response was lost and which may have taken effect.
package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error classes of the table and the object store. An error has exactly one of
// them: to change the class, make a new error rather than wrap the old one.
var (
	// Conflict means that the row has another revision than expected; nothing was
	// written.
	Conflict = errs.Class("conflict")
	// Unavailable means that the request did not take effect.
	Unavailable = errs.Class("store unavailable")
	// Indeterminate means that a write may or may not have taken effect.
	Indeterminate = errs.Class("store write outcome unknown")
	// NotFound means that the row or object does not exist.
	NotFound = errs.Class("not found")
)

// Key names a row of the table.
type Key string

// Revision is the number of writes to a row, from 1. Zero means that the row does
// not exist.
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
	// Put writes a row if its revision is still expect (zero to insert it) and
	// returns the new revision. Errors: Conflict, Unavailable, Indeterminate.
	Put(ctx context.Context, k Key, value []byte, expect Revision) (Revision, error)
	// List reads at most limit rows whose keys start with prefix and are greater
	// than after, sorted by key. Errors: Unavailable.
	List(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	// GetObject reads a whole object. Errors: NotFound, Unavailable.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// PutObject creates or replaces an object. Errors: Unavailable, Indeterminate.
	PutObject(ctx context.Context, name string, value []byte) error
}

// VMState is a VM's state in the platform's list.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"` // As host:port.
	DataCentre string  `json:"dataCentre"`
	Role       string  `json:"role"` // RoleEntry or RoleBackend.
	State      VMState `json:"state"`
	Cores      float64 `json:"cores,omitempty"` // Only set for entry VMs.
}

// Roles of the VMs in the platform's list.
const (
	RoleEntry   = "entry"
	RoleBackend = "backend"
)

// VMList is the platform's list of live and leaving VMs. It may be out of date.
type VMList interface {
	// VMs reads the list. Errors: Unavailable.
	VMs(ctx context.Context) ([]VM, error)
}

// Registrar lets VMs add their own entries to the platform's list and remove them.
type Registrar interface {
	// Register adds a VM to the list or replaces its entry. Errors: Unavailable,
	// Indeterminate.
	Register(ctx context.Context, vm VM) error
	// Remove removes a VM's entry from the list if the entry still equals vm.
	// Errors: Conflict, Unavailable, Indeterminate.
	Remove(ctx context.Context, vm VM) error
}

// Store combines the platform's services for the fleet.
type Store interface {
	Table
	Objects
	VMList
}

// CallTimeout is the timeout of one call to the platform.
const CallTimeout = 2 * time.Second

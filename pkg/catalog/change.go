// Package catalog stores a site's configuration as a log of changes in the
// platform's table and replicates it to each VM.
//
// A change is accepted once the table holds the row of its version. The row is
// inserted only if it does not exist yet, so concurrent changes get different
// versions or a conflict, and a version never identifies two changes. Replicas
// apply changes in the order of their versions, from the table or from other VMs,
// and never return to an older version.
package catalog

import (
	"encoding/json"
	"fmt"
	"time"

	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

// Version numbers the states of a site's configuration in ascending order. In a Log
// it is the number of accepted changes. Zero is the empty configuration.
type Version int64

// CommandID identifies an operator's command, so that it can be repeated safely
// with the same id.
type CommandID string

// Change is a change to a site's configuration: an object that is put or deleted.
type Change struct {
	Version  Version         `json:"version"`
	Command  CommandID       `json:"command"`
	Operator string          `json:"operator"`
	At       time.Time       `json:"at"`
	Put      json.RawMessage `json:"put,omitempty"`    // A site.Document.
	Delete   *site.ObjectID  `json:"delete,omitempty"` // Set if Put is empty.
}

// Subject returns the id of the object that is put or deleted.
func (c *Change) Subject() (site.ObjectID, error) {
	if c.Delete != nil {
		return *c.Delete, nil
	}
	o, err := site.DecodeJSON(c.Put)
	if err != nil {
		return site.ObjectID{}, err
	}
	return o.ID(), nil
}

// apply returns a copy of the directory with the change applied.
func (c *Change) apply(d *site.Directory) (*site.Directory, error) {
	if c.Delete != nil {
		return d.Delete(*c.Delete)
	}
	o, err := site.DecodeJSON(c.Put)
	if err != nil {
		return nil, err
	}
	return d.Put(o)
}

// Snapshot is the whole configuration at a version. A replica that is far behind
// loads it instead of the changes.
type Snapshot struct {
	Version Version           `json:"version"`
	Objects []json.RawMessage `json:"objects"` // Each a site.Document.
}

// directory builds the directory of the objects.
func (s *Snapshot) directory() (*site.Directory, error) {
	objects := make([]site.Object, len(s.Objects))
	for i, raw := range s.Objects {
		o, err := site.DecodeJSON(raw)
		if err != nil {
			return nil, err
		}
		objects[i] = o
	}
	return site.Build(objects)
}

// rowKey returns the key of the row of a version. The version is zero-padded, so
// that the keys sort by version.
func rowKey(s site.Name, v Version) store.Key {
	return store.Key(fmt.Sprintf("%s%012d", rowPrefix(s), v))
}

func rowPrefix(s site.Name) store.Key {
	return store.Key("site/" + string(s) + "/change/")
}

func snapshotName(s site.Name) string { return "site/" + string(s) + "/snapshot" }

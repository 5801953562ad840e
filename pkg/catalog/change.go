// Package catalog keeps a site's configuration as a log of changes in the
// platform's table, and a replica of it in each VM.
//
// A change is accepted once the table holds the row of its version. The row is
// inserted only if it does not exist, so two operators who race get different
// versions or a conflict, and a version never has two meanings. Replicas apply
// changes in order of versions, from the table or from peers, and cannot go
// back.
package catalog

import (
	"encoding/json"
	"fmt"
	"time"

	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

// Version counts the accepted changes of a site's configuration.
type Version int64

// CommandID names an operator's command, so that repeating it is harmless.
type CommandID string

// Change is one accepted change of a site's configuration.
type Change struct {
	Version  Version         `json:"version"`
	Command  CommandID       `json:"command"`
	Operator string          `json:"operator"`
	At       time.Time       `json:"at"`
	Put      json.RawMessage `json:"put,omitempty"`    // A site.Document.
	Delete   *site.ObjectID  `json:"delete,omitempty"` // Set where Put is empty.
}

// Subject returns the id of the object that the change is about.
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

// apply returns the directory after the change.
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

// Snapshot is the whole configuration at a version. A replica that is far
// behind loads it in place of the changes.
type Snapshot struct {
	Version Version           `json:"version"`
	Objects []json.RawMessage `json:"objects"` // Each a site.Document.
}

// directory rebuilds the configuration.
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

// rowKey orders the rows of a site's changes by version.
func rowKey(s site.Name, v Version) store.Key {
	return store.Key(fmt.Sprintf("%s%012d", rowPrefix(s), v))
}

func rowPrefix(s site.Name) store.Key {
	return store.Key("site/" + string(s) + "/change/")
}

func snapshotName(s site.Name) string { return "site/" + string(s) + "/snapshot" }

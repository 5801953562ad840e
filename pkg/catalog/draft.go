package catalog

import (
	"time"

	"laburnumpick.org/pkg/site"
)

// Draft is a whole configuration of which some objects may not be valid, as an operator
// wrote it past the fleet's own checks.
type Draft struct {
	Version    Version
	Objects    []site.Object // Each after those that it refers to.
	Unreadable []Unreadable
}

// Unreadable is an object of a draft that could not be decoded.
type Unreadable struct {
	Object site.ObjectID
	Err    error
}

// Refusal says why an object of a draft is not in force.
type Refusal struct {
	Object       site.ObjectID
	Err          error
	KeptPrevious bool // The object of the previous version stays in force.
}

// LoadDraft puts the valid objects of a draft into force if it is newer than the current
// configuration. An object that is not valid affects no other: its previous version stays in
// force, if there is one that does not conflict with the draft. It returns the objects that
// were refused.
func (r *Replica) LoadDraft(now time.Time, d *Draft) []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	cur := r.state.Load()
	if d.Version <= cur.Version {
		return nil
	}
	next, rejected := site.BuildValid(d.Objects)
	for _, u := range d.Unreadable {
		rejected = append(rejected, site.Rejection(u))
	}
	var refused []Refusal
	for _, j := range rejected {
		with, kept := keepPrevious(next, cur.Directory, j.Object)
		refused = append(refused, Refusal{j.Object, j.Err, kept})
		next = with
	}
	r.publish(&State{d.Version, next, now})
	r.recent = nil
	return refused
}

// keepPrevious adds the object of an earlier directory to the next one, if there is one that
// does not conflict with it.
func keepPrevious(next, previous *site.Directory, id site.ObjectID) (*site.Directory, bool) {
	o := previous.Object(id)
	if o == nil {
		return next, false
	}
	with, err := next.Put(o)
	if err != nil {
		return next, false
	}
	return with, true
}

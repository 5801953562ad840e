package pool

import "time"

// BudgetShare is the part of a service's retry budget that one VM may use, each between 0
// and 1.
type BudgetShare struct {
	Ratio    float64 // Of the retries allowed for the requests that the VM itself has counted.
	Constant float64 // Of RetryLimits.MinRetries.
}

// min returns the smaller parts of two shares.
func (s BudgetShare) min(o BudgetShare) BudgetShare {
	return BudgetShare{Ratio: min(s.Ratio, o.Ratio), Constant: min(s.Constant, o.Constant)}
}

// exceeds reports whether a part of the share is larger than that of another one.
func (s BudgetShare) exceeds(o BudgetShare) bool { return s.Ratio > o.Ratio || s.Constant > o.Constant }

// BudgetRole is a VM's part in deciding on the retries of a pool, as the VM itself sees it.
type BudgetRole struct {
	Share     BudgetShare
	Decides   bool      // The VM is the first candidate for the pool's home.
	Successor string    // The VM that becomes first if this one goes; empty if there is none.
	Since     time.Time // Until when another VM may have had the role of the home.
}

// wholeBudget is the share of a VM that decides alone.
var wholeBudget = BudgetShare{Ratio: 1, Constant: 1}

// A home that does not know the retries of others in the window uses interimBudget: the
// servers get no more than the whole budget even if a home before has just used up what it
// may have saved. It begins when the VM has been first for interimDelay, so that VMs that do
// not know each other yet do not each use it.
var interimBudget = BudgetShare{Ratio: 0.05}

// maxRoleAge is a time without an update of the role after which the VM counts as paused.
// Others declare a VM dead no sooner.
const maxRoleAge = 1500 * time.Millisecond

const (
	interimDelay   = 4 * time.Second
	interimRetries = 2 // Retries in a window in addition to the ratio's.
	interimHomes   = 2 // Homes in a window for which interimRetries are set aside.
)

// RoleChangeDelay is how much later than others a VM notices that it no longer has its role, or
// is cut off from most VMs.
const RoleChangeDelay = 5 * time.Second

// tenure is the role of a VM in deciding on a pool's retries. A smaller share takes effect
// at once. A larger one takes effect when the retries that other VMs may have allowed before
// have left the window, because the VM does not know their number, or when it has been told it.
type tenure struct {
	role  BudgetRole
	isSet bool
	setAt time.Time   // When the role was last set.
	share BudgetShare // The share in force.
	next  time.Time   // When the role's share takes effect.
	// interimAt is when the interim share takes effect.
	interimAt time.Time
	homeAt    time.Time // When the VM was last home.
	known     bool      // Whether it knew all retries in the window then.
}

// shareAt returns the share in force.
func (t *tenure) shareAt(now time.Time) BudgetShare {
	switch {
	case !now.Before(t.next):
		t.share = t.role.Share
	case t.role.Decides && !now.Before(t.interimAt) && t.role.Share.exceeds(interimBudget):
		t.share = interimBudget
	}
	return t.share
}

// set sets the role, of which a larger share takes effect after a time.
func (t *tenure) set(now time.Time, r BudgetRole, after time.Duration) {
	before := t.shareAt(now)
	switch {
	case !t.isSet:
		before, t.next, t.interimAt = BudgetShare{}, r.Since.Add(after), r.Since.Add(interimDelay)
	case r.Share.exceeds(t.role.Share):
		t.next, t.interimAt = now.Add(after), now.Add(interimDelay)
	}
	t.role, t.share, t.isSet = r, before.min(r.Share), true
	if r.Decides {
		t.homeAt, t.known = now, !now.Before(t.next)
	}
}

// restart withholds the role's share for a time.
func (t *tenure) restart(now time.Time, after time.Duration) {
	t.share, t.known = BudgetShare{}, false
	t.next, t.interimAt = now.Add(after), now.Add(interimDelay)
}

// setRole sets the VM's role. A VM that becomes home starts with what the home before has
// told it. After a pause it does not know whether another VM has decided in the meantime.
func (b *budget) setRole(now time.Time, r BudgetRole) {
	t := &b.tenure
	first := !t.isSet
	becomesHome := t.isSet && r.Decides && !t.role.Decides
	paused := t.isSet && now.Sub(t.setAt) > maxRoleAge
	t.set(now, r, b.unknownTime())
	t.setAt = now
	if paused {
		t.homeAt, b.told = time.Time{}, nil
	}
	if paused && r.Decides {
		t.restart(now, b.unknownTime())
	}
	if becomesHome || paused || first {
		b.lease.ackedAt = now
	}
	if told := b.told; becomesHome && !paused && told != nil && told.isCurrent(now) {
		b.adopt(now, told)
		b.currentPart(now).marked += told.use.Reserve
	}
}

// unknownTime returns how long retries of which the VM does not know may be in the window.
func (b *budget) unknownTime() time.Duration {
	return b.limits.Window + lateParts*b.partLength() + RoleChangeDelay
}

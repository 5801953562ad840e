package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/quota"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
)

const (
	// tokenTimeout bounds a call for a token. The other parts of a quota stand in for one
	// whose home does not answer, so it may be shorter than that of a call for a slot.
	tokenTimeout = 150 * time.Millisecond
	// tokenPatience bounds the time in which a VM looks for a VM that decides.
	tokenPatience = 600 * time.Millisecond
	// tokenRetryPause is the time between two rounds in which no VM decided, as while a
	// fleet starts.
	tokenRetryPause = 50 * time.Millisecond
	// undecidedRetryAfter is the retry delay where no VM that decides was reached: the time
	// after which a dead home has been replaced.
	undecidedRetryAfter = 2 * time.Second
	// quotaGroups is the number of groups of parts that have a home in common. It bounds
	// the work after a change of the fleet's members.
	quotaGroups = 1024
	// viewMemory is how long former views are kept to tell since when this VM has been a
	// home. Any longer time fills the buckets of usual quotas.
	viewMemory = 10 * time.Second
	// maxViews bounds the number of former views.
	maxViews = 16
	// listedGrace is how long, after a start, VMs of the platform's list that have not
	// answered yet count as other possible homes.
	listedGrace = 3 * time.Second
	// listedQuiet is the time without a change of the members after which such VMs no longer
	// count: VMs that start together hear of each other more often.
	listedQuiet = 500 * time.Millisecond
)

// quotaGroup is a group of parts that have a home in common.
type quotaGroup int

// groupOf returns the group of a part. Parts of an account are in different groups.
func groupOf(p quota.PartID) quotaGroup {
	h := xxhash.Sum64String(string(p.Account))
	return quotaGroup((h + uint64(p.Index)*quotaGroups/quota.MaxParts) % quotaGroups)
}

// datedView is a view with the time from which on its VMs were members.
type datedView struct {
	view *roster.View
	at   time.Time
}

// quotas is the part of a node that decides on quotas.
type quotas struct {
	buckets  *quota.Buckets
	hints    *quota.Hints
	listRead atomic.Bool // The platform's list of VMs has been read.

	mu    sync.Mutex
	views []datedView // The present one is last.
}

func newQuotas(t func() quota.Tolerance) *quotas {
	return &quotas{buckets: quota.NewBuckets(t), hints: quota.NewHints()}
}

// addView adds a view that is valid from now on.
func (q *quotas) addView(now time.Time, v *roster.View) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if last := len(q.views) - 1; last >= 0 && q.views[last].view.HasSameVMs(v) {
		q.views = slices.Clone(q.views)
		q.views[last].view = v
		return
	}
	views := append(slices.Clone(q.views), datedView{v, now})
	for len(views) > maxViews || (len(views) > 1 && now.Sub(views[1].at) > viewMemory) {
		views = views[1:]
	}
	q.views = views
}

// present returns the view that is valid now.
func (q *quotas) present() datedView {
	views := q.history()
	return views[len(views)-1]
}

// history returns the views, the present one last.
func (q *quotas) history() []datedView {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.views
}

// tickQuotas finds out whether this VM was paused.
func (n *Node) tickQuotas(now time.Time) {
	if n.quotas.buckets.Tick(now) {
		n.cfg.Scope.Counter("quotaPauses").Inc(1)
		record.Log("fleet: this VM was paused; its quotas start anew")
	}
}

// partCandidates returns the candidates for a part, the first choice first. The homes of the parts
// before it come last, so that a VM that dies is the home of one part of an account where possible.
func partCandidates(v *roster.View, p quota.PartID) []roster.VM {
	var taken, out []roster.VM
	for i := range p.Index + 1 {
		var free, used []roster.VM
		for _, vm := range v.QuotaHomes(fmt.Sprint(int(groupOf(quota.PartID{Account: p.Account, Index: i})))) {
			if slices.Contains(taken, vm) {
				used = append(used, vm)
			} else {
				free = append(free, vm)
			}
		}
		out = slices.Concat(free, used)
		if len(out) > 0 {
			taken = append(taken, out[0])
		}
	}
	return out
}

// quotaRole returns what this VM is to a part of a quota.
func (n *Node) quotaRole(now time.Time, p quota.PartID) quota.Role {
	if n.cfg.Standalone {
		return quota.Home{Share: 1, Since: n.startedAt}
	}
	views := n.quotas.history()
	present := views[len(views)-1]
	share, ok := n.quotaShare(now, present)
	if !ok {
		return quota.NoRole{}
	}
	switch slices.IndexFunc(partCandidates(present.view, p), n.isSelf) {
	case 0:
		return quota.Home{Share: share, Since: n.homeSince(p, views)}
	case 1:
		return quota.Standby{Share: share, Since: n.startedAt}
	default:
		return quota.NoRole{}
	}
}

// homeSince returns since when this VM, which is the home of a part, has been that.
func (n *Node) homeSince(p quota.PartID, views []datedView) time.Time {
	since := views[len(views)-1].at
	for _, v := range slices.Backward(views) {
		if slices.IndexFunc(partCandidates(v.view, p), n.isSelf) != 0 {
			break
		}
		since = v.at
	}
	return since
}

// quotaShare returns the part of the fleet that this VM sees, and false while it cannot
// know. Other VMs may use their parts without hearing of this one.
func (n *Node) quotaShare(now time.Time, d datedView) (float64, bool) {
	if n.isAlone() && (!n.quotas.listRead.Load() || n.maybeUnlisted(now)) {
		return 0, false
	}
	v := d.view
	// VMs on the other side of a cut suspect this side at about the same time, and take over
	// its parts only when the suspicion has lasted.
	seen, all := len(v.VMs())-v.Suspected(), len(v.VMs())+v.Lost()
	if now.Sub(n.startedAt) < listedGrace && now.Sub(d.at) < listedQuiet {
		all += v.Unheard()
	}
	if n.isolated.Load() {
		seen = 1
	}
	return float64(seen) / float64(max(1, all)), true
}

// unlistedGrace is how long the VMs take to register again after the store has come back from
// an older copy.
const unlistedGrace = 3 * time.Second

// maybeUnlisted reports whether there may be other VMs although the list has none: this VM has
// just started, and the store may have lost their entries.
func (n *Node) maybeUnlisted(now time.Time) bool {
	return n.storeEra() > 0 && now.Sub(n.startedAt) < unlistedGrace
}

// TakeToken asks the VMs that decide on a quota whether a request may run.
func (n *Node) TakeToken(ctx context.Context, r quota.Request) quota.Verdict {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, tokenPatience)
	defer cancel()
	for again := false; ; again = true {
		round := n.newTokenRound(r, again)
		v := round.run(ctx)
		if !n.retriesRound(time.Since(begin), round, v) || control.Sleep(ctx, tokenRetryPause) != nil {
			n.countVerdict(v)
			return v
		}
	}
}

// retriesRound reports whether a request that got no token makes another round: where no VM
// considered itself home, and in the first seconds of this VM, while the VMs that start with
// it share each quota with VMs that they do not know yet.
func (n *Node) retriesRound(waited time.Duration, t *tokenRound, v quota.Verdict) bool {
	switch v := v.(type) {
	case quota.Undecided:
		return len(t.silent) == 0
	case quota.Refused:
		return !v.Local && time.Since(n.startedAt) < listedGrace && waited < t.request.MaxWait
	default:
		return false
	}
}

// takeFrom asks a VM, which may be this one, for a token.
func (n *Node) takeFrom(ctx context.Context, vm roster.VM, a quota.Ask) (quota.Answer, error) {
	if n.isSelf(vm) {
		return n.decideToken(time.Now(), a), nil
	}
	ctx, cancel := context.WithTimeout(n.withToken(ctx), tokenTimeout)
	defer cancel()
	m, err := n.client(vm.Address).TakeToken(ctx, fleetapi.FromAsk(a))
	if err != nil {
		return nil, err
	}
	return fleetapi.ToTokenAnswer(m), nil
}

// decideToken decides on a token as the VM that is asked. It uses its own configuration if
// that is newer than the asker's.
func (n *Node) decideToken(now time.Time, a quota.Ask) quota.Answer {
	st := n.cfg.Replica.State()
	if own := st.Directory.Account(a.Part.Account); own != nil && own.Quota.Limited() && int64(st.Version) >= a.Terms.Version {
		a.Terms = quota.Terms{Quota: own.Quota, Version: int64(st.Version)}
	}
	if int(a.Part.Index) >= quota.Parts(a.Terms.Quota) {
		return quota.NotHome{} // The asker has another configuration, or the call is malformed.
	}
	return n.quotas.buckets.Take(now, a, n.quotaRole(now, a.Part))
}

// TakeToken implements fleetapi.Fleet. If this VM was paused while the call waited, the VM
// that asked has given up.
func (s server) TakeToken(ctx context.Context, req *fleetapi.TakeTokenRequest) (*fleetapi.TakeTokenAnswer, error) {
	if backend.IsCallerGone(ctx) {
		return nil, twirp.NewError(twirp.Canceled, "the VM that asked for a token has gone")
	}
	if req.GetPeek() {
		return &fleetapi.TakeTokenAnswer{Usage: s.node.quotaUsage(time.Now(), fleetapi.ToAsk(req).Part)}, nil
	}
	return fleetapi.FromTokenAnswer(s.node.decideToken(time.Now(), fleetapi.ToAsk(req))), nil
}

// countVerdict counts the outcome of a search for a token.
func (n *Node) countVerdict(v quota.Verdict) {
	result := "undecided"
	switch v := v.(type) {
	case quota.Allowed:
		result = "allowed"
		if v.Wait > 0 {
			result = "delayed"
		}
	case quota.Refused:
		result = "refused"
		if v.Local {
			result = "refusedByHint"
		}
	}
	n.cfg.Scope.Tagged(map[string]string{"result": result}).Counter("quotaChecks").Inc(1)
}

package roster

import (
	"cmp"
	"slices"
	"time"
)

// merge applies one update if it is newer than, or overrides, what is known.
func (r *Roster) merge(now time.Time, u Update) {
	if u.Name == r.self.Name {
		r.refute(now, u)
		return
	}
	m, known := r.members[u.Name]
	if !known {
		if u.Status == Dead {
			return
		}
		m = &member{Update: u, changedAt: now, sendsLeft: r.sendCount(), left: u.Status == Leaving}
		r.members[u.Name] = m
		r.insertAtRandom(u.Name)
		r.updateSets(m)
		r.pushDue = true
		return
	}
	newer := u.Incarnation > m.Incarnation
	if newer && u.Incarnation-m.Incarnation <= maxRefutations {
		u.Protocol = max(u.Protocol, m.Protocol) // The same process, told by a VM of an earlier build.
	}
	stronger := u.Incarnation == m.Incarnation && precedence[u.Status] > precedence[m.Status]
	if !newer {
		// VMs of earlier builds pass updates on without the protocol.
		raised := u.Incarnation == m.Incarnation && u.Protocol > m.Protocol
		u.Protocol = max(u.Protocol, m.Protocol)
		if raised && !stronger {
			r.raiseProtocol(m, u.Protocol)
		}
	}
	if !newer && !stronger {
		return
	}
	m.left = u.Status == Leaving || (m.left && u.Status == Dead)
	m.Update, m.changedAt, m.sendsLeft = u, now, r.sendCount()
	r.updateSets(m)
	r.pushDue = true
}

// maxRefutations is how far refutations raise the incarnation of one process. A process that starts
// takes the time in milliseconds, which is further on.
const maxRefutations = 100

// raiseProtocol records that a member understands more than was known of it.
func (r *Roster) raiseProtocol(m *member, p Protocol) {
	m.Protocol, m.sendsLeft = p, r.sendCount()
	r.updateSets(m)
	r.pushDue = true
}

// refute answers a suspicion of this VM with a higher incarnation.
//
// It ignores updates with the status Alive or Leaving. At a higher incarnation
// they mean that another VM with the same name has replaced this one.
func (r *Roster) refute(now time.Time, u Update) {
	if u.Incarnation < r.self.Incarnation || u.Status == r.self.Status {
		return
	}
	if u.Status == Suspect || u.Status == Dead {
		r.self.Incarnation = u.Incarnation + 1
		r.self.changedAt = now
		r.pushDue = true
	}
}

// setStatus changes a member's status and schedules its update for gossip.
func (r *Roster) setStatus(now time.Time, m *member, s Status) {
	m.Status, m.changedAt, m.sendsLeft = s, now, r.sendCount()
	r.updateSets(m)
	r.pushDue = true
}

// TakeChanged reports whether updates have changed since the last call and
// should be pushed at once.
func (r *Roster) TakeChanged() bool {
	pushDue := r.pushDue
	r.pushDue = false
	return pushDue
}

// sendCount returns how many times a new update is sent, so that it reaches all
// members with high probability.
func (r *Roster) sendCount() int {
	n := 1
	for size := len(r.members); size > 1; size /= 2 {
		n++
	}
	return gossipFactor * n
}

// Updates returns the updates to piggyback on a message, the least sent first,
// filled up to minPiggyback with random old ones. It counts the updates as sent.
func (r *Roster) Updates() []Update {
	due := make([]*member, 0, len(r.due))
	for _, m := range r.due {
		due = append(due, m)
	}
	slices.SortFunc(due, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.Name, b.Name))
	})
	if len(due) > maxPiggyback {
		due = due[:maxPiggyback]
	}
	out := make([]Update, 0, maxPiggyback)
	for _, m := range due {
		if m.sendsLeft--; m.sendsLeft <= 0 {
			delete(r.due, m.Name)
		}
		out = append(out, m.Update)
	}
	for range minPiggyback - len(out) {
		if m, ok := r.randomMember(); ok {
			out = append(out, m.Update)
		}
	}
	return out
}

// RefutableUpdate returns this VM's update about another VM if that VM may want
// to refute it: one with a status other than Alive.
func (r *Roster) RefutableUpdate(n VMName) (Update, bool) {
	m, ok := r.members[n]
	if !ok || m.Status == Alive {
		return Update{}, false
	}
	return m.Update, true
}

// All returns the updates about this VM and all other members, except those known
// only from the platform's list.
func (r *Roster) All() []Update {
	out := make([]Update, 0, len(r.members))
	for _, m := range r.members {
		if m.Incarnation > 0 {
			out = append(out, m.Update)
		}
	}
	slices.SortFunc(out, func(a, b Update) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

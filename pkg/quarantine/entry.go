package quarantine

import (
	"slices"
	"time"

	"laburnumpick.org/pkg/site"
)

// Evidence is one loss of a fingerprint.
type Evidence struct {
	Server    site.ServerName `json:"server"`
	StartedMs int64           `json:"startedMs,omitempty"` // When the server started; zero if it is not known.
	VM        string          `json:"vm,omitempty"`        // The VM that saw it.
	Ran       RunTime         `json:"ran"`
	At        time.Time       `json:"at"`
	Basis     Basis           `json:"basis"` // What was known when the run was granted.
}

// String returns a text for operators.
func (ev *Evidence) String() string {
	text := string(ev.Server)
	if ev.StartedMs != 0 {
		text += " started " + time.UnixMilli(ev.StartedMs).UTC().Format(time.TimeOnly)
	}
	return text + ", seen by " + ev.VM + " at " + ev.At.UTC().Format(time.TimeOnly)
}

// follows reports whether a run began when another one had ended, as one VM saw it.
func (ev *Evidence) follows(o *Evidence) bool {
	return ev.VM == o.VM && !o.Ran.Ended.IsZero() && ev.Ran.Began.After(o.Ran.Ended)
}

// newEvidence returns the evidence of a loss. A build that tells no basis counts servers, so each
// one counts as lost after those before.
func newEvidence(l Loss, own *entry) Evidence {
	b := Basis{Own: own.count()}
	if l.Basis != nil {
		b = *l.Basis
	}
	return Evidence{l.Server, l.StartedMs, l.VM, l.Ran, l.At, b}
}

// entry holds what is known of one fingerprint.
type entry struct {
	isClass  bool
	first    Loss // Gives the class, the service and the description.
	epoch    Epoch
	evidence []Evidence // Of this epoch, in order of arrival.
	trials   int
	triedAt  time.Time
	seenAt   time.Time // When a loss, a trial or a refused request last came.
}

func (e *entry) count() Count { return Count{e.epoch, e.losses()} }

// losses returns the number of losses that count. Of a class, servers that are lost at the same
// moment count as one.
func (e *entry) losses() int {
	if e.isClass {
		return e.inSequence()
	}
	return len(e.evidence)
}

// known returns the part of a basis that concerns the fingerprint.
func (e *entry) known(b Basis) Count {
	if e.isClass {
		return b.Class
	}
	return b.Own
}

// add adds a loss and reports whether it was new.
func (e *entry) add(now time.Time, ev Evidence) bool {
	known := e.known(ev.Basis)
	if known.Epoch > e.epoch {
		e.reset(known.Epoch)
	}
	if known.Epoch < e.epoch || len(e.evidence) >= maxEvidence || e.holds(ev) {
		return false
	}
	e.evidence = append(e.evidence, ev)
	e.seenAt = now
	return true
}

// holds reports whether the loss is known already. A server that has started again can be lost again.
func (e *entry) holds(ev Evidence) bool {
	for i, o := range e.evidence {
		if o.Server != ev.Server {
			continue
		}
		if o.StartedMs != 0 && ev.StartedMs != 0 && o.StartedMs != ev.StartedMs {
			continue
		}
		// A run that was granted after the loss ran on a server that had started again, which is not known yet.
		if e.known(ev.Basis).Losses <= i {
			return true
		}
	}
	return false
}

// hasLost reports whether a server has been lost, whenever it started.
func (e *entry) hasLost(s site.ServerName) bool {
	return slices.ContainsFunc(e.evidence, func(ev Evidence) bool { return ev.Server == s })
}

// inSequence returns how many losses came one after the other, each in a run that was granted when
// the one before was known.
func (e *entry) inSequence() int {
	n := 0
	for _, ev := range e.evidence {
		n = max(n, e.known(ev.Basis).Losses+1)
	}
	return n
}

// atOnce reports whether all losses came at the same moment, as far as is known.
func (e *entry) atOnce() bool {
	if e.inSequence() > 1 {
		return false
	}
	for i := range e.evidence {
		for j := range e.evidence {
			if e.evidence[i].follows(&e.evidence[j]) {
				return false
			}
		}
	}
	return true
}

// reset begins an epoch.
func (e *entry) reset(epoch Epoch) {
	e.epoch, e.evidence, e.trials, e.triedAt = epoch, nil, 0, time.Time{}
}

// clear begins an epoch if it is newer than the present one, or the next one for zero.
func (e *entry) clear(now time.Time, epoch Epoch) bool {
	if epoch == 0 {
		epoch = e.epoch + 1
	}
	if epoch <= e.epoch {
		return false
	}
	e.reset(epoch)
	e.seenAt = now
	return true
}

// isClearedBy reports whether a run that was served shows that the request crashes no server: one
// that was granted when all losses were known, or any one if the losses came at the same moment.
func (e *entry) isClearedBy(granted Count) bool {
	if len(e.evidence) == 0 {
		return false
	}
	return e.atOnce() || granted.Epoch == e.epoch && granted.Losses >= e.losses()
}

func (e *entry) isBlocked() bool {
	if e.isClass {
		return e.losses() >= maxClassLosses
	}
	return e.losses() >= maxLosses
}

// hasNoTrialLeft reports whether a blocked request is not let through any more.
func (e *entry) hasNoTrialLeft() bool { return !e.isClass && e.trials >= maxTrials }

// nextTrial returns when a blocked request may be let through again. It says nothing once the
// trials are used up.
func (e *entry) nextTrial() time.Time {
	last := e.evidence[len(e.evidence)-1].At
	if e.triedAt.After(last) {
		last = e.triedAt
	}
	delays := []time.Duration{firstDelay, secondDelay, lastDelay}
	if e.isClass || e.atOnce() && e.trials == 0 {
		delays = []time.Duration{soonDelay, firstDelay, lastDelay}
	}
	return last.Add(delays[min(e.trials, len(delays)-1)])
}

// until returns when a blocked request may run again: with the next trial, or when it is forgotten
// because it has not come.
func (e *entry) until(now time.Time) time.Time {
	if e.hasNoTrialLeft() {
		return now.Add(blockTTL)
	}
	return e.nextTrial()
}

// decide sets the verdict on a request that is refused for the fingerprint.
func (e *entry) decide(now time.Time, f Fingerprint, v *Verdict) {
	if !e.isBlocked() {
		return
	}
	e.seenAt = now
	v.Blocked, v.Fingerprint = true, f
	wait := e.until(now).Sub(now)
	v.TrialDue = wait <= 0
	v.RetryAfter = max(wait, minRetry)
	if v.TrialDue {
		v.RetryAfter = storeRetry
	}
}

// isExpired reports whether the entry counts for nothing any more.
func (e *entry) isExpired(now time.Time) bool {
	if e.isBlocked() {
		return now.Sub(e.seenAt) > blockTTL
	}
	return now.Sub(e.seenAt) > lossTTL
}

func (e *entry) suspect(now time.Time, f Fingerprint) Suspect {
	s := Suspect{
		Fingerprint: f, IsClass: e.isClass, Service: e.first.Service, Request: e.first.Request,
		Evidence: append([]Evidence(nil), e.evidence...), Trials: e.trials, Blocked: e.isBlocked(),
	}
	if s.Blocked {
		s.Until = e.until(now)
	}
	return s
}

package pool

import "time"

// Limits of the back-off after failures. Backend servers fail in streaks of some
// seconds: a server that has just failed a request will most likely fail the next
// one as well, long before there is enough evidence to suspect it.
const (
	firstBackOff = 2 * time.Second
	maxBackOff   = 8 * time.Second
	// timeoutBackOff is the first back-off if the server has merely not responded in
	// time, which may be chance.
	timeoutBackOff = time.Second
	// overloadBackOff is the back-off while more requests are queued than the usable
	// servers can run. What the server could serve once its streak is over is then
	// worth more than the one request that may fail.
	overloadBackOff = time.Second
	// recoveredAfter is how long after its back-off a server without traffic counts as
	// recovered. Until then it is used if no other server has a free slot, so a long
	// time costs no capacity.
	recoveredAfter = 30 * time.Second
	// successesToRecover is the number of good responses that end a failure streak.
	successesToRecover = 2
	// failuresToSuspect is the number of back-offs in a row, without a success between
	// them, after which a server is suspected.
	failuresToSuspect = 3
	// answeredFailRate is the server's rate of failed requests at or above which a
	// response that reports a failure begins a back-off. Below it, such failures are
	// attributed to the requests.
	answeredFailRate = 0.06
)

// backOff keeps requests away from a server after a failure. The server still counts
// as capacity, and is used if no other server has a slot in time.
type backOff struct {
	backOffUntil   time.Time
	streakFailedAt time.Time // When a request last failed.
	streak         int       // Back-offs without a good response between them; zero once the server has recovered.
	successes      int       // Good responses since the last failure.
	// startGrant is the server's latest grant when the back-off began. The results of
	// that and earlier grants say nothing about the time since.
	startGrant GrantID
	// changedAt is when a back-off began or the failure streak ended.
	changedAt time.Time
}

// recordFailure begins a back-off after the failure of grant g. Each back-off of a
// failure streak is longer than the one before, up to maxBackOff. last is the server's
// latest grant. timedOut means that no response came in time.
func (b *backOff) recordFailure(now time.Time, g, last GrantID, timedOut bool) {
	if g <= b.startGrant {
		return // The request was sent before the back-off began.
	}
	b.streakFailedAt, b.startGrant = now, last
	if b.inBackOff(now) {
		return
	}
	if b.successes > 0 {
		b.streak, b.successes = 0, 0 // A success lies between the failures.
	}
	length := min(firstBackOff<<min(b.streak, 8), maxBackOff)
	if timedOut && b.streak == 0 {
		length = timeoutBackOff
	}
	b.backOffUntil = now.Add(length)
	b.streak++
	b.changedAt = now
}

// recordSuccess records the success of grant g. During a streak some responses are
// good, so one is not enough to end it, unless requests wait for the server's slots
// (needed). The first success does end the back-off.
func (b *backOff) recordSuccess(now time.Time, g GrantID, needed bool) {
	if b.streak == 0 || g <= b.startGrant {
		return
	}
	b.successes++
	if needed || b.successes >= successesToRecover {
		*b = backOff{changedAt: now}
		return
	}
	if b.inBackOff(now) {
		b.backOffUntil = now
	}
}

// inBackOff reports whether the server is in back-off.
func (b *backOff) inBackOff(now time.Time) bool { return now.Before(b.backOffUntil) }

// probeableUnderLoad reports whether a server in back-off may get one request if the
// pool is overloaded.
func (b *backOff) probeableUnderLoad(now time.Time) bool {
	return now.Sub(b.streakFailedAt) >= overloadBackOff
}

// recovering reports whether the server's back-off has ended recently, but its
// failure streak has not. It then runs one request at a time.
func (b *backOff) recovering(now time.Time) bool {
	return b.streak > 0 && !b.inBackOff(now) && now.Sub(b.backOffUntil) < recoveredAfter
}

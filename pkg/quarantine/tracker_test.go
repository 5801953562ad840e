package quarantine_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/buffer"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/site"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// suspect is the identity of the request of most tests.
var suspect = quarantine.Identity{Own: "own", Class: "class"}

// loss returns the loss of a server during a request that was granted when nothing was known.
func loss(server string, after time.Duration) quarantine.Loss {
	return quarantine.Loss{Identity: suspect, Basis: &quarantine.Basis{}, Service: "s", Server: site.ServerName(server), At: start.Add(after)}
}

// lose records the loss of a server during a request that is granted now.
func lose(tr *quarantine.Tracker, now time.Time, id quarantine.Identity, server string) bool {
	b := tr.Check(now, id).Basis
	return tr.RecordLoss(now, quarantine.Loss{Identity: id, Basis: &b, Service: "s", Server: site.ServerName(server), At: now})
}

func isBlocked(tr *quarantine.Tracker, now time.Time, id quarantine.Identity) bool {
	return tr.Check(now, id).Blocked
}

// TestBlocksAfterSecondServer guards against a request that goes on to crash servers.
func TestBlocksAfterSecondServer(t *testing.T) {
	tr := quarantine.NewTracker()
	assert.Assert(t, tr.RecordLoss(start, loss("a", 0)))
	assert.Assert(t, !tr.RecordLoss(start, loss("a", 0)), "a repeated loss is not new")
	tr.RecordLoss(start, loss("a", time.Second))
	assert.Assert(t, !isBlocked(tr, start.Add(time.Second), suspect), "two reports of one loss do not block")
	tr.RecordLoss(start, loss("b", 2*time.Second))
	v := tr.Check(start.Add(2*time.Second), suspect)
	assert.Assert(t, v.Blocked && !v.TrialDue && v.RetryAfter > 0)
	later := start.Add(2*time.Second + v.RetryAfter)
	assert.Assert(t, tr.Check(later, suspect).TrialDue, "the time that the caller is told is kept")
}

// TestServerThatStartsAgainCounts guards against a server that crashes again under the name that it had and counts
// once: with its start times, and without where the second run was granted after the first loss.
func TestServerThatStartsAgainCounts(t *testing.T) {
	tr := quarantine.NewTracker()
	first := loss("a", 0)
	first.StartedMs = 1000
	second := first
	second.StartedMs = 2000
	tr.RecordLoss(start, first)
	assert.Assert(t, !tr.RecordLoss(start, first))
	assert.Assert(t, tr.RecordLoss(start, second))
	assert.Assert(t, isBlocked(tr, start, suspect))

	tr = quarantine.NewTracker()
	assert.Assert(t, lose(tr, start, suspect, "a"))
	assert.Assert(t, lose(tr, start.Add(time.Second), suspect, "a"))
	assert.Assert(t, isBlocked(tr, start.Add(time.Second), suspect))
}

// TestTrialsEnd guards against a request that is let through again and again, and against one that is
// never tried.
func TestTrialsEnd(t *testing.T) {
	tr := quarantine.NewTracker()
	now := start
	lose(tr, now, suspect, "a")
	lose(tr, now, suspect, "b")
	for number := 1; number <= 3; number++ {
		v := tr.Check(now, suspect)
		_, due := tr.Trial(now, v.Fingerprint)
		assert.Assert(t, v.Blocked && !v.TrialDue && !due)
		now = now.Add(v.RetryAfter)
		v = tr.Check(now, suspect)
		assert.Assert(t, v.TrialDue)
		trial, due := tr.Trial(now, v.Fingerprint)
		assert.Assert(t, due)
		assert.Equal(t, trial.Number, number)
		assert.Assert(t, tr.RecordTrial(now, trial))
		assert.Assert(t, !tr.RecordTrial(now, trial))
		lose(tr, now, suspect, fmt.Sprint("trial-", number))
	}
	assert.Assert(t, now.Sub(start) > time.Hour)
	for range 100 { // It comes every hour, and no trial is due any more.
		now = now.Add(time.Hour)
		v := tr.Check(now, suspect)
		assert.Assert(t, v.Blocked && !v.TrialDue, "at %v", now.Sub(start))
		_, due := tr.Trial(now, v.Fingerprint)
		assert.Assert(t, !due)
	}
	assert.Assert(t, !isBlocked(tr, now.Add(25*time.Hour), suspect), "forgotten once it has not come for a day")
}

// TestServedRequestIsCleared guards against a request that stays refused although it crashes no server,
// and against one that is cleared by a run that shows nothing.
func TestServedRequestIsCleared(t *testing.T) {
	tr := quarantine.NewTracker()
	lose(tr, start, suspect, "a")
	before := tr.Check(start, suspect).Basis
	lose(tr, start.Add(time.Second), suspect, "b")
	own := quarantine.Identity{Own: "own"}
	assert.Equal(t, len(tr.Served(start, own, before)), 0, "granted before the last loss was known")
	other := quarantine.Identity{Own: "other"}
	assert.Equal(t, len(tr.Served(start, other, tr.Check(start, other).Basis)), 0, "another caller's request")
	releases := tr.Served(start, own, tr.Check(start.Add(time.Second), suspect).Basis)
	assert.Equal(t, len(releases), 1)
	assert.Assert(t, tr.RecordRelease(start, releases[0]))
	assert.Assert(t, !tr.RecordRelease(start, releases[0]))
	assert.Assert(t, !isBlocked(tr, start, suspect))
	assert.Assert(t, !tr.RecordLoss(start, loss("c", 0)), "a loss of the epoch before is dropped")
	lose(tr, start, suspect, "a")
	lose(tr, start, suspect, "b")
	assert.Assert(t, isBlocked(tr, start, suspect), "losses after the release block again")
}

// TestLossesAtOnceAreClearedSoon guards against a request of many callers that is refused for long,
// since two servers fell at the same moment while they ran it.
func TestLossesAtOnceAreClearedSoon(t *testing.T) {
	tr := quarantine.NewTracker()
	tr.RecordLoss(start, loss("a", 0))
	tr.RecordLoss(start, loss("b", 0))
	v := tr.Check(start, suspect)
	assert.Assert(t, v.Blocked && v.RetryAfter <= 2*time.Second, "%v", v.RetryAfter)
	releases := tr.Served(start, suspect, quarantine.Basis{}) // A run on a third server.
	assert.Equal(t, len(releases), 2, "its own losses and those of its path")
	for _, r := range releases {
		tr.RecordRelease(start, r)
	}
	assert.Assert(t, !isBlocked(tr, start, suspect))
}

// TestCallerThatChangesItsRequestIsStopped guards against a request that crashes servers for ever, since
// something in it differs each time; and against a path that is refused because servers fall at once.
func TestCallerThatChangesItsRequestIsStopped(t *testing.T) {
	tr := quarantine.NewTracker()
	ownOf := func(i int) quarantine.Identity {
		return quarantine.Identity{Own: quarantine.Fingerprint(fmt.Sprint("own-", i)), Class: "class"}
	}
	lost := 0
	for ; lost < 20 && !isBlocked(tr, start, ownOf(lost)); lost++ {
		lose(tr, start, ownOf(lost), fmt.Sprint("s-", lost))
	}
	assert.Equal(t, lost, 4)
	now := start
	for _, wait := range []time.Duration{2 * time.Second, time.Minute, time.Hour, time.Hour} { // Others wait for these trials.
		v := tr.Check(now, ownOf(50))
		assert.Assert(t, v.Blocked && !v.TrialDue && v.RetryAfter == wait, "%v", v.RetryAfter)
		now = now.Add(wait)
		trial, due := tr.Trial(now, v.Fingerprint)
		assert.Assert(t, due)
		tr.RecordTrial(now, trial)
	}
	innocent := tr.Check(now, ownOf(60))
	for _, r := range tr.Served(now, ownOf(60), innocent.Basis) {
		tr.RecordRelease(now, r)
	}
	assert.Assert(t, !isBlocked(tr, now, ownOf(70)), "the first request that is served clears the path")

	tr = quarantine.NewTracker()
	for i := range 20 {
		l := loss(fmt.Sprint("s-", i), 0)
		l.Identity = ownOf(i)
		tr.RecordLoss(start, l)
	}
	assert.Assert(t, !isBlocked(tr, start, ownOf(30)), "twenty servers that fall at the same moment")
}

// TestOneRequestDoesNotBlockItsPath guards against requests of others that are refused because of one
// caller's request on the same path, however often it comes.
func TestOneRequestDoesNotBlockItsPath(t *testing.T) {
	tr := quarantine.NewTracker()
	for i := range 8 {
		lose(tr, start, suspect, fmt.Sprint("s-", i))
	}
	assert.Assert(t, isBlocked(tr, start, suspect))
	assert.Assert(t, !isBlocked(tr, start, quarantine.Identity{Own: "other", Class: "class"}))
}

// TestTrackerIsBounded guards against memory that grows with the requests that crash servers, and
// against a request that is let through because others fill the tracker.
func TestTrackerIsBounded(t *testing.T) {
	tr := quarantine.NewTracker()
	lose(tr, start, suspect, "a")
	lose(tr, start, suspect, "b")
	for i := range 10_000 {
		l := loss("a", 0)
		l.Identity = quarantine.Identity{Own: quarantine.Fingerprint(fmt.Sprint(i))}
		tr.RecordLoss(start, l)
	}
	assert.Assert(t, len(tr.List(start)) <= 4096)
	assert.Assert(t, isBlocked(tr, start, suspect), "what is refused goes last")
	recent := loss("a", time.Hour)
	recent.Identity = quarantine.Identity{Own: "recent"}
	assert.Assert(t, tr.RecordLoss(start.Add(time.Hour), recent), "expired losses are swept to make room")
}

// TestKnowledgeIsTheSameInAnyOrder guards against VMs that decide differently for good, since they have
// heard of losses, releases and trials in another order.
func TestKnowledgeIsTheSameInAnyOrder(t *testing.T) {
	later := &quarantine.Basis{Own: quarantine.Count{Epoch: 1}}
	inNext := loss("c", time.Second)
	inNext.Basis = later
	steps := []func(tr *quarantine.Tracker){
		func(tr *quarantine.Tracker) { tr.RecordLoss(start, loss("a", 0)) },
		func(tr *quarantine.Tracker) { tr.RecordLoss(start, loss("b", 0)) },
		func(tr *quarantine.Tracker) {
			tr.RecordRelease(start, quarantine.Release{Fingerprint: suspect.Own, Epoch: 1, At: start})
		},
		func(tr *quarantine.Tracker) { tr.RecordLoss(start, inNext) },
	}
	for _, order := range [][]int{{0, 1, 2, 3}, {3, 2, 1, 0}, {2, 0, 3, 1}, {1, 3, 0, 2}} {
		tr := quarantine.NewTracker()
		for _, i := range order {
			steps[i](tr)
		}
		assert.Equal(t, tr.Check(start, suspect).Basis.Own, quarantine.Count{Epoch: 1, Losses: 1}, "%v", order)
	}
}

// TestBuildsWithoutABasis guards against a request that is not refused, since a VM of an earlier build
// reports its losses.
func TestBuildsWithoutABasis(t *testing.T) {
	tr := quarantine.NewTracker()
	for _, server := range []string{"a", "b"} {
		l := loss(server, 0)
		l.Basis, l.Identity.Class = nil, ""
		assert.Assert(t, tr.RecordLoss(start, l))
		assert.Assert(t, !tr.RecordLoss(start, l))
	}
	v := tr.Check(start, suspect)
	assert.Assert(t, v.Blocked && v.RetryAfter >= time.Minute, "%v", v.RetryAfter)
}

// TestIdentityOfRequests guards against requests of two callers that count as one, and against sends
// of one request that count as several.
func TestIdentityOfRequests(t *testing.T) {
	base := func() *quarantine.Request {
		return &quarantine.Request{
			Method: "POST", Host: "h.example", Target: "/a?x=1", Account: "one", Body: buffer.NewBody([]byte("b")), KeyHeader: "Order-Key",
			Header: http.Header{"Cookie": {"member=1"}, "Authorization": {"Token k"}, "X-Client": {"c"}},
		}
	}
	same := map[string]func(r *quarantine.Request){
		"request ID":  func(r *quarantine.Request) { r.Header.Set("Laburnumpick-Request-Id", "2") },
		"deadline":    func(r *quarantine.Request) { r.Header.Set("Laburnumpick-Deadline-Ms", "7") },
		"trace":       func(r *quarantine.Request) { r.Header.Set("Traceparent", "00-1"); r.Header.Set("X-B3-Spanid", "1") },
		"key":         func(r *quarantine.Request) { r.Header.Set("Order-Key", "9") },
		"host's case": func(r *quarantine.Request) { r.Host = "H.example" },
	}
	other := map[string]func(r *quarantine.Request){
		"method": func(r *quarantine.Request) { r.Method = "PUT" }, "host": func(r *quarantine.Request) { r.Host = "i.example" },
		"query": func(r *quarantine.Request) { r.Target = "/a?x=2" }, "account": func(r *quarantine.Request) { r.Account = "two" },
		"body": func(r *quarantine.Request) { r.Body = buffer.NewBody([]byte("c")) }, "cookie": func(r *quarantine.Request) { r.Header.Set("Cookie", "member=2") },
		"credentials":    func(r *quarantine.Request) { r.Header.Set("Authorization", "Token l") },
		"another header": func(r *quarantine.Request) { r.Header.Set("X-Client", "d") },
		"body that continues a header": func(r *quarantine.Request) {
			r.Header.Del("X-Client")
			r.Body = buffer.NewBody([]byte("X-Client\x00c\x00\x00b"))
		},
	}
	want := quarantine.Identify(base())
	for name, change := range same {
		r := base()
		change(r)
		assert.Equal(t, quarantine.Identify(r), want, name)
	}
	for name, change := range other {
		r := base()
		change(r)
		assert.Assert(t, quarantine.Identify(r).Own != want.Own, name)
	}
	r := base()
	r.Target, r.Account, r.Body, r.Header = "/a", "two", nil, nil
	assert.Equal(t, quarantine.Identify(r).Class, want.Class)
}

// TestDescriptionCanBeTold guards against a text of a caller that no message can hold.
func TestDescriptionCanBeTold(t *testing.T) {
	assert.Equal(t, quarantine.Describe("GET", "/pack/r\xe9solution\n"), `GET /pack/r\xe9solution\n`)
	assert.Assert(t, len(quarantine.Describe("GET", string(make([]byte, 10_000)))) < 300)
}

package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/site"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func loss(server string, after time.Duration) quarantine.Loss {
	return quarantine.Loss{Fingerprint: "f", Service: "s", Server: site.ServerName(server), At: start.Add(after)}
}

func TestBlocksAfterSecondServer(t *testing.T) {
	tr := quarantine.NewTracker()
	assert.Assert(t, tr.RecordLoss(start, loss("a", 0)))
	assert.Assert(t, !tr.RecordLoss(start, loss("a", 0)), "a repeated loss is not new")
	tr.RecordLoss(start, loss("a", time.Second))
	_, blocked := tr.Blocked(start.Add(time.Second), "f")
	assert.Assert(t, !blocked, "two losses of one server do not block")
	tr.RecordLoss(start, loss("b", 2*time.Second))
	wait, blocked := tr.Blocked(start.Add(2*time.Second), "f")
	assert.Assert(t, blocked)
	_, blocked = tr.Blocked(start.Add(2*time.Second+wait+time.Millisecond), "f")
	assert.Assert(t, !blocked, "the block ends once a loss expires")
}

func TestReleaseCancelsOlderLosses(t *testing.T) {
	tr := quarantine.NewTracker()
	tr.RecordLoss(start, loss("a", 0))
	tr.RecordLoss(start, loss("b", 0))
	assert.Assert(t, tr.RecordRelease(start, quarantine.Release{Fingerprint: "f", At: start.Add(time.Second)}))
	_, blocked := tr.Blocked(start.Add(time.Second), "f")
	assert.Assert(t, !blocked)
	assert.Assert(t, !tr.RecordLoss(start, loss("c", 0)), "a loss older than the release is dropped")
	tr.RecordLoss(start, loss("a", 2*time.Second))
	tr.RecordLoss(start, loss("b", 2*time.Second))
	_, blocked = tr.Blocked(start.Add(2*time.Second), "f")
	assert.Assert(t, blocked, "losses after the release block again")
}

func TestTrackerIsBounded(t *testing.T) {
	tr := quarantine.NewTracker()
	for i := range 10_000 {
		l := loss("a", 0)
		l.Fingerprint = quarantine.Fingerprint(fmt.Sprint(i))
		tr.RecordLoss(start, l)
	}
	assert.Assert(t, len(tr.List(start)) <= 4096)
	recent := loss("a", time.Hour)
	assert.Assert(t, tr.RecordLoss(start.Add(time.Hour), recent), "expired losses are swept to make room")
}

func TestFingerprintsOfDifferentRequestsDiffer(t *testing.T) {
	seen := map[quarantine.Fingerprint]bool{}
	for _, r := range [][4]string{
		{"s", "GET", "/a", ""},
		{"s", "GET", "/a", "b"},
		{"s", "GET", "/ab", ""},
		{"s", "POST", "/a", ""},
		{"s2", "GET", "/a", ""},
	} {
		seen[quarantine.NewFingerprint(site.ServiceName(r[0]), r[1], r[2], []byte(r[3]))] = true
	}
	assert.Equal(t, len(seen), 5)
}

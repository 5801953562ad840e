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

func TestStopsAfterTheSecondServer(t *testing.T) {
	b := quarantine.NewTracker()
	assert.Assert(t, b.RecordLoss(start, loss("a", 0)))
	assert.Assert(t, !b.RecordLoss(start, loss("a", 0)), "the same fact is not new")
	b.RecordLoss(start, loss("a", time.Second))
	_, stop := b.Blocked(start.Add(time.Second), "f")
	assert.Assert(t, !stop, "one server is not two")
	b.RecordLoss(start, loss("b", 2*time.Second))
	wait, stop := b.Blocked(start.Add(2*time.Second), "f")
	assert.Assert(t, stop)
	_, stop = b.Blocked(start.Add(2*time.Second+wait+time.Millisecond), "f")
	assert.Assert(t, !stop, "time releases it")
}

func TestReleaseWinsOverOlderFacts(t *testing.T) {
	b := quarantine.NewTracker()
	b.RecordLoss(start, loss("a", 0))
	b.RecordLoss(start, loss("b", 0))
	assert.Assert(t, b.RecordRelease(start, quarantine.Release{Fingerprint: "f", At: start.Add(time.Second)}))
	_, stop := b.Blocked(start.Add(time.Second), "f")
	assert.Assert(t, !stop)
	assert.Assert(t, !b.RecordLoss(start, loss("c", 0)), "a late fact from before the release")
	b.RecordLoss(start, loss("a", 2*time.Second))
	b.RecordLoss(start, loss("b", 2*time.Second))
	_, stop = b.Blocked(start.Add(2*time.Second), "f")
	assert.Assert(t, stop, "it crashes servers again")
}

func TestBookIsBounded(t *testing.T) {
	b := quarantine.NewTracker()
	for i := range 10_000 {
		l := loss("a", 0)
		l.Fingerprint = quarantine.Fingerprint(fmt.Sprint(i))
		b.RecordLoss(start, l)
	}
	assert.Assert(t, len(b.List(start)) <= 4096)
	late := loss("a", time.Hour)
	assert.Assert(t, b.RecordLoss(start.Add(time.Hour), late), "old facts make room")
}

func TestFingerprintTellsRequestsApart(t *testing.T) {
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

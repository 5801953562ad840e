package notice_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/notice"
	"laburnumpick.org/pkg/site"
)

var start = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

const svc site.ServiceName = "sealbook"

func registered(n site.ServerName) site.Server { return site.Server{Name: n, StartedMs: 7} }

// TestLeavingEndsOnlyWithTheStart guards against a registered server that gets requests again
// after a while, and against one that gets none after a restart.
func TestLeavingEndsOnlyWithTheStart(t *testing.T) {
	m := notice.NewMemory()
	s := registered("a")
	assert.Assert(t, m.Record(start, svc, s, true, 0))
	assert.Assert(t, !m.Record(start.Add(time.Second), svc, s, true, 0), "nothing new")
	n, found := m.Check(start.Add(1000*time.Hour), svc, s)
	assert.Assert(t, found && n.Leaving)
	s.StartedMs++
	_, found = m.Check(start, svc, s)
	assert.Assert(t, !found)
}

// TestConfiguredServerIsTriedAgain guards against a configured server, whose restart does not
// show, that gets no requests for good.
func TestConfiguredServerIsTriedAgain(t *testing.T) {
	m := notice.NewMemory()
	s := site.Server{Name: "a"}
	m.Record(start, svc, s, true, 0)
	_, found := m.Check(start.Add(time.Minute), svc, s)
	assert.Assert(t, found)
	_, found = m.Check(start.Add(2*time.Minute), svc, s)
	assert.Assert(t, !found)
}

// TestLongestPauseCounts guards against a pause that is cut short by a later one.
func TestLongestPauseCounts(t *testing.T) {
	m := notice.NewMemory()
	s := registered("a")
	m.Record(start, svc, s, false, 4*time.Second)
	m.Record(start.Add(time.Second), svc, s, false, time.Second)
	n, found := m.Check(start.Add(3*time.Second), svc, s)
	assert.Assert(t, found)
	assert.Equal(t, n.Pause, time.Second)
	_, found = m.Check(start.Add(4*time.Second), svc, s)
	assert.Assert(t, !found)
}

// TestEachHomeIsToldOnce guards against notices that travel with each request, and against a
// home, a new one or one that has restarted, that is not told all of them.
func TestEachHomeIsToldOnce(t *testing.T) {
	m := notice.NewMemory()
	first := notice.HomeID{VM: "vm-1", Since: 1}
	tell := func(h notice.HomeID, want int) {
		t.Helper()
		b := m.Untold(start, svc, h.VM)
		assert.Equal(t, len(b.Notices), want)
		m.MarkTold(svc, h, b)
	}
	tell(first, 0)
	m.Record(start, svc, registered("a"), true, 0)
	m.Record(start, svc, registered("b"), false, time.Minute)
	tell(first, 2)
	tell(first, 0)
	m.Record(start, svc, registered("c"), true, 0)
	tell(first, 1)
	restarted := notice.HomeID{VM: "vm-1", Since: 2}
	tell(restarted, 0) // The reply shows that the home has restarted.
	tell(restarted, 3)
	tell(restarted, 0)
	tell(notice.HomeID{VM: "vm-2", Since: 1}, 3)
	m.TellAgain(svc)
	tell(notice.HomeID{VM: "vm-2", Since: 1}, 3)
	b := m.Untold(start, svc, "vm-1") // A call whose reply is lost.
	assert.Equal(t, len(b.Notices), 3)
	tell(first, 3)
}

// TestNoticesAreBounded guards against memory and messages that grow with each server that
// ever left.
func TestNoticesAreBounded(t *testing.T) {
	m := notice.NewMemory()
	for i := range 4500 {
		m.Record(start, svc, registered(site.ServerName(fmt.Sprint(i))), true, 0)
	}
	told := 0
	for range 100 {
		b := m.Untold(start, svc, "vm-1")
		assert.Assert(t, len(b.Notices) <= 256)
		told += len(b.Notices)
		m.MarkTold(svc, notice.HomeID{VM: "vm-1", Since: 1}, b)
	}
	assert.Equal(t, told, 4096)
	_, found := m.Check(start, svc, registered("4499"))
	assert.Assert(t, found, "the latest is kept")
}

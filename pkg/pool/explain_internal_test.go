package pool

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumpick.org/pkg/admission"
	"laburnumpick.org/pkg/site"
)

// dump is the whole state below a value as text. Pointers are numbered in the order in which
// they are met, so that equal states of different pools have equal texts.
type dump struct {
	strings.Builder
	pointers map[uintptr]int
}

func dumpOf(v reflect.Value) string {
	d := &dump{pointers: make(map[uintptr]int)}
	d.write(v)
	return d.String()
}

func (d *dump) write(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		d.writePointer(v)
	case reflect.Struct:
		for i := range v.NumField() {
			d.WriteString(v.Type().Field(i).Name + ":{")
			d.write(v.Field(i))
			d.WriteString("} ")
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			d.write(v.Index(i))
			d.WriteString(", ")
		}
	case reflect.Map:
		d.writeMap(v)
	case reflect.Interface:
		d.write(v.Elem())
	case reflect.Func, reflect.Invalid:
	default:
		fmt.Fprint(&d.Builder, v)
	}
}

func (d *dump) writePointer(v reflect.Value) {
	if v.IsNil() || v.Type() == reflect.TypeFor[*time.Location]() {
		return
	}
	n, known := d.pointers[v.Pointer()]
	if !known {
		n = len(d.pointers)
		d.pointers[v.Pointer()] = n
	}
	fmt.Fprintf(&d.Builder, "#%d ", n)
	if !known {
		d.write(v.Elem())
	}
}

func (d *dump) writeMap(v reflect.Value) {
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(dumpOf(a), dumpOf(b)) })
	for _, k := range keys {
		d.write(k)
		d.WriteString("=>")
		d.write(v.MapIndex(k))
		d.WriteString("; ")
	}
}

// addReferences adds the addresses of all pointers, maps and slices below a value, with the
// paths to them.
func addReferences(all map[uintptr]string, path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Map, reflect.Slice:
		// Nothing changes a list of server names, nor a time zone.
		if v.IsNil() || v.Type() == reflect.TypeFor[*time.Location]() || v.Type() == reflect.TypeFor[[]site.ServerName]() {
			return
		}
		if _, known := all[v.Pointer()]; known {
			return
		}
		if v.Kind() != reflect.Slice || v.Cap() > 0 {
			all[v.Pointer()] = path
		}
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		addReferences(all, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			addReferences(all, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			addReferences(all, path+"[]", v.Index(i))
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			addReferences(all, path+"[key]", k)
			addReferences(all, path+"[]", v.MapIndex(k))
		}
	}
}

// history is a pool with random requests, responses and faults.
type history struct {
	t    *rapid.T
	now  time.Time
	pool *Pool
}

func newHistory(t *rapid.T) *history {
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	set := Settings{ScoreThreshold: 10, Retry: DefaultRetryLimits, Admission: rapid.SampledFrom(admission.Policies).Draw(t, "policy")}
	h := &history{t: t, now: now, pool: New(now, "s", set)}
	var members []Member
	for i := range rapid.IntRange(1, 6).Draw(t, "servers") {
		n := site.ServerName(fmt.Sprintf("s-%d", i))
		dc := site.DataCentre([]string{"east", "west"}[i%2])
		m := Member{Server: site.Server{Name: n, Address: string(n), DataCentre: dc, Slots: 1 + i%3, StartedMs: int64(i % 2)}}
		if i == 3 {
			m.ColdUntil = now.Add(3 * time.Second)
		}
		members = append(members, m)
	}
	h.pool.Configure(now, set, members)
	return h
}

func (h *history) request() Request {
	draw := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(h.t, label) }
	r := Request{
		Account: site.AccountName(fmt.Sprint("a-", draw(3, "account"))), Rule: site.RuleName(fmt.Sprint("r-", draw(2, "rule"))),
		Class: []site.Class{site.Repeatable, site.AtMostOnce}[draw(2, "class")], VM: fmt.Sprint("vm-", draw(2, "vm")),
		DataCentre: []site.DataCentre{"", "east", "west"}[draw(3, "data centre")], Priority: draw(3, "priority"),
		Deadline: h.now.Add(time.Duration(draw(3000, "left")) * time.Millisecond), Attempts: draw(2, "attempts"),
		MaxAttempts: draw(4, "most attempts"), NoWait: draw(8, "no wait") == 0, Suspect: draw(8, "suspect") == 0,
	}
	if draw(3, "target") > 0 {
		r.Target = h.now.Add(time.Second)
	}
	if draw(4, "exclude") == 0 {
		r.Exclude = []site.ServerName{"s-0"}
	}
	return r
}

// step changes the pool in one of the ways in which its home does.
func (h *history) step() {
	p, draw := h.pool, func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(h.t, label) }
	server := site.ServerName(fmt.Sprint("s-", draw(6, "server")))
	switch draw(9, "step") {
	case 0, 1, 2:
		p.Admit(h.now, h.request())
	case 3, 4:
		h.release(draw(6, "report"))
	case 5:
		h.now = h.now.Add(time.Duration(draw(2000, "ms")) * time.Millisecond)
		p.Tick(h.now)
	case 6:
		p.MergeNotices(h.now, "vm-0", []Notice{{Server: server, StartedMs: int64(draw(2, "started")), Leaving: draw(4, "leaves") == 0, Pause: time.Second}})
	case 7:
		limit := site.RequestLimit{Named: true, Rate: site.RequestRate(draw(4, "rate"))}
		p.MergeLimits(h.now, []NamedLimit{{Server: server, StartedMs: int64(draw(2, "started")), Limit: limit, VM: "vm-0"}})
	case 8:
		p.DispatchQueue(h.now)
	}
}

// release ends the oldest request.
func (h *history) release(kind int) {
	oldest := GrantID(0)
	for id := range h.pool.grants {
		if oldest == 0 || id < oldest {
			oldest = id
		}
	}
	g, ok := h.pool.Grant(oldest)
	if !ok {
		return
	}
	h.now = h.now.Add(20 * time.Millisecond)
	reports := []Report{
		Served{Rule: "r-0", Took: 20 * time.Millisecond},
		Served{Rule: "r-0", Took: 3 * time.Second},
		Failed{Rule: "r-0", Took: 20 * time.Millisecond},
		Dropped{},
		Declined{Reason: Shed},
		Unreached{Detail: "refused"},
	}
	h.pool.Release(h.now, g, reports[kind])
}

// TestCloneSharesNothing guards against an explanation that changes the pool, because a field
// was added that clone does not copy.
func TestCloneSharesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			h.step()
		}
		c := h.pool.clone()
		assert.Equal(t, dumpOf(reflect.ValueOf(c)), dumpOf(reflect.ValueOf(h.pool)))
		own, copied := make(map[uintptr]string), make(map[uintptr]string)
		addReferences(own, "pool", reflect.ValueOf(h.pool))
		addReferences(copied, "copy", reflect.ValueOf(c))
		for at, path := range copied {
			assert.Assert(t, own[at] == "", "%s is shared", path)
		}
	})
}

// TestExplainIsTheNextDecision guards against an explanation that differs from the decision that
// follows, and against one that changes anything in the pool.
func TestExplainIsTheNextDecision(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			h.step()
			r := h.request()
			before := dumpOf(reflect.ValueOf(h.pool))
			e := h.pool.Explain(h.now, r)
			assert.Equal(t, dumpOf(reflect.ValueOf(h.pool)), before)
			if h.pool.Queued() > 0 {
				h.pool.DispatchQueue(h.now)
			}
			assert.Equal(t, h.pool.Queued(), e.Queued)
			d := h.pool.Admit(h.now, r)
			assert.DeepEqual(t, e.Decision, d)
			checkCandidates(t, e, d)
		}
	})
}

// checkCandidates checks that exactly the granted server is chosen, and that each other one has
// a reason, unless the request was refused before a server was chosen.
func checkCandidates(t *rapid.T, e Explanation, d Decision) {
	g, granted := d.(Granted)
	free := 0
	for _, c := range e.Candidates {
		assert.Equal(t, c.Chosen, granted && c.Server.Name == g.Server.Name)
		if !c.Chosen && c.Obstacle == Unobstructed {
			free++
		}
	}
	assert.Assert(t, free == 0 || !granted, "%+v", e)
	_, waits := d.(Waiting)
	assert.Assert(t, free == 0 || !waits, "%+v", e)
}

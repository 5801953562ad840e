package floor_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumpick.org/pkg/floor"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func aService(servers, least int) *site.Service {
	s := &site.Service{Name: "votes", Site: "north", Floor: least}
	for i := range servers {
		s.Servers = append(s.Servers, site.Server{Name: site.ServerName(fmt.Sprintf("s-%d", i))})
	}
	return s
}

func sick(by string) floor.Entry { return floor.Entry{Cause: floor.Ejected, By: by, At: start} }

// vm is one VM that takes servers out. Between its read and its write anything
// may happen, as when it is paused.
type vm struct {
	table *watchedTable
	keep  *floor.RecordStore
}

// watchedTable runs others' work between a VM's read and its write, and checks
// each write that takes effect.
type watchedTable struct {
	store.Table
	m       *store.Memory
	svc     *site.Service
	between func()
	fault   store.Fault // Of the next write.
	broken  *string
}

// Put lets the others go first.
func (w *watchedTable) Put(ctx context.Context, k store.Key, v []byte, r store.Revision) (store.Revision, error) {
	if f := w.between; f != nil {
		w.between = nil
		f()
	}
	before := w.read()
	fault := w.fault
	w.fault = store.FaultNone
	w.m.SetFaults(func(op store.Op) store.Fault {
		if op.Write {
			return fault
		}
		return store.FaultNone
	})
	rev, err := w.m.Put(ctx, k, v, r)
	w.m.SetFaults(func(store.Op) store.Fault { return store.FaultNone })
	w.check(before, w.read())
	return rev, err
}

func (w *watchedTable) read() floor.Record {
	r, _, err := floor.NewRecordStore(w.m).Read(context.Background(), w.svc)
	if err != nil {
		*w.broken = err.Error()
	}
	return r
}

// check holds one write against the promise: a server that goes out by the
// fleet's or an operator's doing leaves the floor standing.
func (w *watchedTable) check(before, after floor.Record) {
	for n, e := range after.Excluded {
		if _, was := before.Excluded[n]; was || e.Cause == floor.Leaving {
			continue
		}
		if got := after.InServiceCount(w.svc); got < w.svc.Floor {
			*w.broken = fmt.Sprintf("%s went out, %d in use, floor %d: %+v", n, got, w.svc.Floor, after.Excluded)
		}
	}
}

// TestFloorUnderRaces drives many VMs with ejections that race, pauses between
// reading and writing, lost answers, a store that goes away, servers that
// leave, operators' holds and returns.
func TestFloorUnderRaces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		servers := rapid.IntRange(1, 8).Draw(rt, "servers")
		svc := aService(servers, rapid.IntRange(0, servers).Draw(rt, "floor"))
		m := store.NewMemory()
		broken := ""
		var vms []*vm
		for range 3 {
			w := &watchedTable{Table: m, m: m, svc: svc, broken: &broken}
			vms = append(vms, &vm{w, floor.NewRecordStore(w)})
		}
		for range rapid.IntRange(1, 15).Draw(rt, "steps") {
			step(rt, vms, svc, 0)
			if broken != "" {
				rt.Fatal(broken)
			}
		}
	})
}

// step has one VM do something, with others' steps in its pause.
func step(rt *rapid.T, vms []*vm, svc *site.Service, depth int) {
	ctx := context.Background()
	v := vms[rapid.IntRange(0, len(vms)-1).Draw(rt, "vm")]
	n := svc.Servers[rapid.IntRange(0, len(svc.Servers)-1).Draw(rt, "server")].Name
	fault := store.Fault(rapid.IntRange(0, 3).Draw(rt, "fault"))
	others := 0
	if depth < 2 {
		others = rapid.IntRange(0, 2).Draw(rt, "others in the pause")
	}
	act := rapid.IntRange(0, 3).Draw(rt, "act")
	v.table.between = func() {
		for range others {
			step(rt, vms, svc, depth+1)
		}
		v.table.fault = fault
	}
	switch act {
	case 0:
		v.keep.Exclude(ctx, svc, n, sick("vm"), false)
	case 1:
		v.keep.Exclude(ctx, svc, n, floor.Entry{Cause: floor.Held}, false)
	case 2:
		v.keep.Exclude(ctx, svc, n, floor.Entry{Cause: floor.Leaving}, false)
	default:
		v.keep.Readmit(ctx, svc, n, floor.Ejected)
	}
	v.table.between = nil
}

func TestTake(t *testing.T) {
	cases := []struct {
		name   string
		out    map[site.ServerName]floor.Cause
		take   site.ServerName
		cause  floor.Cause
		forced bool
		want   string
	}{
		{"room above the floor", nil, "s-0", floor.Ejected, false, "floor.Allowed"},
		{"at the floor", map[site.ServerName]floor.Cause{"s-1": floor.Ejected}, "s-0", floor.Ejected, false, "floor.Forbidden"},
		{"a leaving server counts", map[site.ServerName]floor.Cause{"s-1": floor.Leaving}, "s-0", floor.Ejected, false, "floor.Forbidden"},
		{"an operator at the floor", map[site.ServerName]floor.Cause{"s-1": floor.Ejected}, "s-0", floor.Held, false, "floor.Forbidden"},
		{"an operator by force", map[site.ServerName]floor.Cause{"s-1": floor.Ejected}, "s-0", floor.Held, true, "floor.Allowed"},
		{"leaving at the floor", map[site.ServerName]floor.Cause{"s-1": floor.Ejected}, "s-0", floor.Leaving, false, "floor.Allowed"},
		{"out already", map[site.ServerName]floor.Cause{"s-0": floor.Held}, "s-0", floor.Ejected, false, "floor.Unneeded"},
		{"held after ejected", map[site.ServerName]floor.Cause{"s-0": floor.Ejected}, "s-0", floor.Held, false, "floor.Allowed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := floor.Record{Excluded: map[site.ServerName]floor.Entry{}}
			for n, cause := range c.out {
				r.Excluded[n] = floor.Entry{Cause: cause}
			}
			got := r.Exclude(aService(3, 2), c.take, floor.Entry{Cause: c.cause}, c.forced)
			assert.Equal(t, fmt.Sprintf("%T", got), c.want)
		})
	}
}

func TestSurplusGivesBackTheFirstEjected(t *testing.T) {
	svc := aService(3, 2)
	r := floor.Record{Excluded: map[site.ServerName]floor.Entry{
		"s-0": {Cause: floor.Leaving}, "s-1": {Cause: floor.Ejected, At: start.Add(time.Second)}, "s-2": {Cause: floor.Ejected, At: start},
	}}
	n, ok := r.NextToReadmit(svc)
	assert.Assert(t, ok)
	assert.Equal(t, n, site.ServerName("s-2"))
}

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

func newService(servers, minInService int) *site.Service {
	s := &site.Service{Name: "votes", Site: "north", Floor: minInService}
	for i := range servers {
		s.Servers = append(s.Servers, site.Server{Name: site.ServerName(fmt.Sprintf("s-%d", i))})
	}
	return s
}

func ejected(by string) floor.Entry { return floor.Entry{Cause: floor.Ejected, By: by, At: start} }

// vm is one VM that updates the record. Other VMs may act between its read and
// its write, as if it had been paused there.
type vm struct {
	table   *checkedTable
	records *floor.RecordStore
}

// checkedTable runs other VMs' steps before each write of a VM, and checks the
// floor after each write.
type checkedTable struct {
	store.Table
	memory    *store.Memory
	svc       *site.Service
	beforePut func()
	putFault  store.Fault // Injected into the next write.
	violation *string
}

// Put runs beforePut, then writes and checks the floor.
func (w *checkedTable) Put(ctx context.Context, k store.Key, v []byte, r store.Revision) (store.Revision, error) {
	if f := w.beforePut; f != nil {
		w.beforePut = nil
		f()
	}
	before := w.read()
	fault := w.putFault
	w.putFault = store.FaultNone
	w.memory.SetFaults(func(op store.Op) store.Fault {
		if op.Write {
			return fault
		}
		return store.FaultNone
	})
	rev, err := w.memory.Put(ctx, k, v, r)
	w.memory.SetFaults(func(store.Op) store.Fault { return store.FaultNone })
	w.check(before, w.read())
	return rev, err
}

func (w *checkedTable) read() floor.Record {
	r, _, err := floor.NewRecordStore(w.memory).Read(context.Background(), w.svc)
	if err != nil {
		*w.violation = err.Error()
	}
	return r
}

// check verifies that a write that ejects or holds a server does not bring the
// service below its floor.
func (w *checkedTable) check(before, after floor.Record) {
	for n, e := range after.Excluded {
		if _, was := before.Excluded[n]; was || e.Cause == floor.Leaving {
			continue
		}
		if got := after.InServiceCount(w.svc); got < w.svc.Floor {
			*w.violation = fmt.Sprintf("%s was excluded with %d servers left in service, floor %d: %+v", n, got, w.svc.Floor, after.Excluded)
		}
	}
}

// TestFloorUnderRaces runs concurrent ejections, operators' holds, leaving
// servers and readmissions on several VMs. It injects pauses between a VM's read
// and its write, lost requests and replies, and an unavailable store.
func TestFloorUnderRaces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		servers := rapid.IntRange(1, 8).Draw(rt, "servers")
		svc := newService(servers, rapid.IntRange(0, servers).Draw(rt, "floor"))
		m := store.NewMemory()
		violation := ""
		var vms []*vm
		for range 3 {
			w := &checkedTable{Table: m, memory: m, svc: svc, violation: &violation}
			vms = append(vms, &vm{w, floor.NewRecordStore(w)})
		}
		for range rapid.IntRange(1, 15).Draw(rt, "steps") {
			step(rt, vms, svc, 0)
			if violation != "" {
				rt.Fatal(violation)
			}
		}
	})
}

// step runs one random operation on one VM, with steps of other VMs between its
// read and its write.
func step(rt *rapid.T, vms []*vm, svc *site.Service, depth int) {
	ctx := context.Background()
	v := vms[rapid.IntRange(0, len(vms)-1).Draw(rt, "vm")]
	n := svc.Servers[rapid.IntRange(0, len(svc.Servers)-1).Draw(rt, "server")].Name
	fault := store.Fault(rapid.IntRange(0, 3).Draw(rt, "fault"))
	concurrent := 0
	if depth < 2 {
		concurrent = rapid.IntRange(0, 2).Draw(rt, "concurrent steps of other VMs")
	}
	act := rapid.IntRange(0, 3).Draw(rt, "act")
	v.table.beforePut = func() {
		for range concurrent {
			step(rt, vms, svc, depth+1)
		}
		v.table.putFault = fault
	}
	switch act {
	case 0:
		v.records.Exclude(ctx, svc, n, ejected("vm"), false)
	case 1:
		v.records.Exclude(ctx, svc, n, floor.Entry{Cause: floor.Held}, false)
	case 2:
		v.records.Exclude(ctx, svc, n, floor.Entry{Cause: floor.Leaving}, false)
	default:
		v.records.Readmit(ctx, svc, n, floor.Ejected)
	}
	v.table.beforePut = nil
}

func TestExclude(t *testing.T) {
	cases := []struct {
		name     string
		excluded map[site.ServerName]floor.Cause
		server   site.ServerName
		cause    floor.Cause
		forced   bool
		want     string
	}{
		{"above the floor", nil, "s-0", floor.Ejected, false, "floor.Allowed"},
		{"at the floor", map[site.ServerName]floor.Cause{"s-1": floor.Ejected}, "s-0", floor.Ejected, false, "floor.Forbidden"},
		{"a leaving server is out of service", map[site.ServerName]floor.Cause{"s-1": floor.Leaving}, "s-0", floor.Ejected, false, "floor.Forbidden"},
		{"hold at the floor", map[site.ServerName]floor.Cause{"s-1": floor.Ejected}, "s-0", floor.Held, false, "floor.Forbidden"},
		{"forced hold at the floor", map[site.ServerName]floor.Cause{"s-1": floor.Ejected}, "s-0", floor.Held, true, "floor.Allowed"},
		{"leaving at the floor", map[site.ServerName]floor.Cause{"s-1": floor.Ejected}, "s-0", floor.Leaving, false, "floor.Allowed"},
		{"already excluded", map[site.ServerName]floor.Cause{"s-0": floor.Held}, "s-0", floor.Ejected, false, "floor.Unneeded"},
		{"hold of an ejected server", map[site.ServerName]floor.Cause{"s-0": floor.Ejected}, "s-0", floor.Held, false, "floor.Allowed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := floor.Record{Excluded: map[site.ServerName]floor.Entry{}}
			for n, cause := range c.excluded {
				r.Excluded[n] = floor.Entry{Cause: cause}
			}
			got := r.Exclude(newService(3, 2), c.server, floor.Entry{Cause: c.cause}, c.forced)
			assert.Equal(t, fmt.Sprintf("%T", got), c.want)
		})
	}
}

func TestNextToReadmitReturnsFirstEjected(t *testing.T) {
	svc := newService(3, 2)
	r := floor.Record{Excluded: map[site.ServerName]floor.Entry{
		"s-0": {Cause: floor.Leaving}, "s-1": {Cause: floor.Ejected, At: start.Add(time.Second)}, "s-2": {Cause: floor.Ejected, At: start},
	}}
	n, ok := r.NextToReadmit(svc)
	assert.Assert(t, ok)
	assert.Equal(t, n, site.ServerName("s-2"))
}

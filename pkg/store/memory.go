package store

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"laburnumpick.org/pkg/control"
)

// Fault is a failure that a Memory store injects into a call.
type Fault int

// Faults for SetFaults.
const (
	FaultNone         Fault = iota
	FaultUnavailable        // The call fails with Unavailable and has no effect.
	FaultLostResponse       // A write takes effect but fails with Indeterminate.
	FaultLostRequest        // A write has no effect and fails with Indeterminate.
)

// Memory is an in-memory Store with fault injection. A VM uses it if its settings
// name the embedded platform, which is the default; the platform's stand-in serves
// it over HTTP.
type Memory struct {
	mu          sync.Mutex
	rows        map[Key]Row
	objects     map[string][]byte
	vms         map[string]VM
	chooseFault func(op Op) Fault
	delay       time.Duration
	counts      Counts
}

// Op describes a call to the function that chooses its fault.
type Op struct {
	Write bool
	Key   Key
}

// Counts holds the number of calls to a store.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// NewMemory returns an empty store without faults.
func NewMemory() *Memory {
	return &Memory{
		rows:        make(map[Key]Row),
		objects:     make(map[string][]byte),
		vms:         make(map[string]VM),
		chooseFault: func(Op) Fault { return FaultNone },
	}
}

// SetFaults sets the function that chooses the fault of each later call.
func (m *Memory) SetFaults(choose func(Op) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.chooseFault = choose
}

// SetDelay delays each later call by d.
func (m *Memory) SetDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = d
}

// Counts returns the number of calls since the store was made.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// begin waits for the delay, counts the call and chooses its fault. A read fails
// with Unavailable on any fault: it has no effect, so its outcome is never
// indeterminate.
func (m *Memory) begin(ctx context.Context, op Op) (Fault, error) {
	m.mu.Lock()
	delay := m.delay
	m.mu.Unlock()
	if err := control.Sleep(ctx, delay); err != nil {
		return FaultUnavailable, Unavailable.Wrap(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if op.Write {
		m.counts.Writes++
	} else {
		m.counts.Reads++
	}
	f := m.chooseFault(op)
	if f == FaultUnavailable || (f != FaultNone && !op.Write) {
		return f, Unavailable.New("injected fault")
	}
	return f, nil
}

// Get implements Table.
func (m *Memory) Get(ctx context.Context, k Key) (Row, error) {
	if _, err := m.begin(ctx, Op{Key: k}); err != nil {
		return Row{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.rows[k]
	if !ok {
		return Row{}, NotFound.New("row %q does not exist", k)
	}
	return r, nil
}

// Put implements Table.
func (m *Memory) Put(ctx context.Context, k Key, value []byte, expect Revision) (Revision, error) {
	f, err := m.begin(ctx, Op{Write: true, Key: k})
	if err != nil {
		return 0, err
	}
	if f == FaultLostRequest {
		return 0, Indeterminate.New("no response to the write of row %q", k)
	}
	rev, err := m.put(k, value, expect)
	if f == FaultLostResponse {
		return 0, Indeterminate.New("no response to the write of row %q", k)
	}
	return rev, err
}

// put writes a row if its revision is the expected one.
func (m *Memory) put(k Key, value []byte, expect Revision) (Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if got := m.rows[k].Revision; got != expect {
		return 0, Conflict.New("row %q has revision %d, expected %d", k, got, expect)
	}
	rev := expect + 1
	m.rows[k] = Row{Key: k, Revision: rev, Value: append([]byte(nil), value...)}
	return rev, nil
}

// List implements Table.
func (m *Memory) List(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	if _, err := m.begin(ctx, Op{Key: prefix}); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []Row
	for k, r := range m.rows {
		if strings.HasPrefix(string(k), string(prefix)) && k > after {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

// GetObject implements Objects.
func (m *Memory) GetObject(ctx context.Context, name string) ([]byte, error) {
	if _, err := m.begin(ctx, Op{Key: Key(name)}); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	b, ok := m.objects[name]
	if !ok {
		return nil, NotFound.New("object %q does not exist", name)
	}
	return b, nil
}

// PutObject implements Objects.
func (m *Memory) PutObject(ctx context.Context, name string, value []byte) error {
	f, err := m.begin(ctx, Op{Write: true, Key: Key(name)})
	if err != nil {
		return err
	}
	if f == FaultLostRequest {
		return Indeterminate.New("no response to the write of object %q", name)
	}
	m.mu.Lock()
	m.objects[name] = append([]byte(nil), value...)
	m.mu.Unlock()
	if f == FaultLostResponse {
		return Indeterminate.New("no response to the write of object %q", name)
	}
	return nil
}

// VMs implements VMList.
func (m *Memory) VMs(ctx context.Context) ([]VM, error) {
	if _, err := m.begin(ctx, Op{}); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	vms := make([]VM, 0, len(m.vms))
	for _, v := range m.vms {
		vms = append(vms, v)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	return vms, nil
}

// SetVM adds a VM to the list or replaces its entry; an empty state removes it.
func (m *Memory) SetVM(v VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v.State == "" {
		delete(m.vms, v.Name)
		return
	}
	m.vms[v.Name] = v
}

package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"laburnumpick.org/pkg/daemon"
	"laburnumpick.org/pkg/entry"
	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/floor"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/store"
	"laburnumpick.org/pkg/trial"
)

// operatorToken is the token that the demo's settings name.
const operatorToken = "demo-operator-token-0001"

// startTime bounds the wait for the processes to come up.
const startTime = 15 * time.Second

// liveSite is a site of running processes, as the demo sees it.
type liveSite struct {
	plan     *trial.Plan
	platform string
	servers  serverAddresses
	vms      []daemon.Addresses
	http     *http.Client

	mu      sync.Mutex
	healthy []int // Indexes of vms that the balancer uses.
}

// openSite waits for a site's processes.
func openSite(ctx context.Context, dir, name string, vms int) (*liveSite, error) {
	p, err := trial.LoadPlan(name)
	if err != nil {
		return nil, err
	}
	s := &liveSite{plan: p, http: &http.Client{Timeout: 10 * time.Second}}
	var pa platformAddress
	if err := awaitFile(ctx, filepath.Join(dir, name+"-platform.json"), &pa); err != nil {
		return nil, err
	}
	s.platform = pa.URL
	if err := awaitFile(ctx, filepath.Join(dir, name+"-servers.json"), &s.servers); err != nil {
		return nil, err
	}
	for i := range vms {
		var a daemon.Addresses
		if err := awaitFile(ctx, filepath.Join(dir, fmt.Sprintf("%s-vm-%d.json", name, i+1)), &a); err != nil {
			return nil, err
		}
		s.vms = append(s.vms, a)
	}
	return s, s.setUp(ctx)
}

func awaitFile(ctx context.Context, name string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for {
		raw, err := os.ReadFile(name)
		if err == nil {
			return json.Unmarshal(raw, into)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s did not appear", name)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// setUp puts the VMs on the platform's list and creates the site through one
// of them.
func (s *liveSite) setUp(ctx context.Context) error {
	for i, vm := range s.vms {
		err := s.put(ctx, s.platform+"/control/vm", store.VM{
			Name: vm.VM, Address: vm.VMs, DataCentre: string(s.plan.DataCentre(i)),
			Role: store.RoleEntry, State: store.VMLive,
		})
		if err != nil {
			return err
		}
	}
	for _, o := range s.plan.Objects(func(n site.ServerName) string { return s.servers.Servers[n] }) {
		if _, err := s.apply(ctx, 0, o); err != nil {
			return err
		}
	}
	return s.awaitHealth(ctx)
}

// awaitHealth waits until all VMs serve and know each other.
func (s *liveSite) awaitHealth(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for {
		s.pollHealth(ctx)
		b, err := s.believe(ctx, 0, 0)
		if err == nil && len(s.healthyVMs()) == len(s.vms) && len(b.GetMembers()) == len(s.vms) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("only %d of %d VMs of %s came up", len(s.healthyVMs()), len(s.vms), s.plan.Site)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// pollHealth looks at each VM as the balancer does.
func (s *liveSite) pollHealth(ctx context.Context) {
	var healthy []int
	for i, vm := range s.vms {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Callers+entry.PathHealth, nil)
		if err != nil {
			continue
		}
		resp, err := s.http.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			healthy = append(healthy, i)
		}
	}
	if ctx.Err() != nil {
		return // What failed did so because the watch has ended.
	}
	s.mu.Lock()
	s.healthy = healthy
	s.mu.Unlock()
}

func (s *liveSite) healthyVMs() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.healthy
}

// callers returns the addresses of the VMs that the balancer uses.
func (s *liveSite) callers() []string {
	var out []string
	for _, i := range s.healthyVMs() {
		out = append(out, s.vms[i].Callers)
	}
	return out
}

func (s *liveSite) operator(vm int) fleetapi.Operator {
	return fleetapi.NewOperatorClient(s.vms[vm].Operators, operatorToken, s.http)
}

func (s *liveSite) apply(ctx context.Context, vm int, o site.Object) (int64, error) {
	raw, err := site.EncodeJSON(o)
	if err != nil {
		return 0, err
	}
	a, err := s.operator(vm).Apply(ctx, &fleetapi.ApplyRequest{Document: raw})
	if err != nil {
		return 0, err
	}
	if a.GetVerdict() != "accepted" {
		return 0, fmt.Errorf("%s: %s: %s", o.ID(), a.GetVerdict(), a.GetReason())
	}
	return a.GetVersion(), nil
}

func (s *liveSite) believe(ctx context.Context, vm int, after int64) (*fleetapi.BelieveAnswer, error) {
	return s.operator(vm).Believe(ctx, &fleetapi.BelieveRequest{JournalAfterUnixMs: after})
}

func (s *liveSite) put(ctx context.Context, url string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("%s: %s", url, text)
	}
	return nil
}

func (s *liveSite) setServer(ctx context.Context, name string, f standin.Faults) error {
	return s.put(ctx, s.servers.Control+"/faults/"+name, f)
}

func (s *liveSite) reports(ctx context.Context) ([]standin.ServerReport, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.servers.Control+"/report", nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var out []standin.ServerReport
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// outOf reads a service's record of servers that are out.
func (s *liveSite) outOf(ctx context.Context, svc *site.Service) (floor.Record, error) {
	k := floor.NewRecordStore(store.NewClient(s.platform, http.DefaultTransport))
	r, _, err := k.Read(ctx, svc)
	return r, err
}

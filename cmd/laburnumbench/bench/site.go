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

// operatorToken is the operator's token in the settings that _scripts/demo.sh
// writes.
const operatorToken = "demo-operator-token-0001"

// startTimeout bounds each wait while the processes start.
const startTimeout = 15 * time.Second

// liveSite is the demo's client of a site that runs as separate processes.
type liveSite struct {
	plan     *trial.Plan
	platform string // URL of the platform.
	servers  serverAddresses
	vms      []daemon.Addresses
	http     *http.Client

	mu      sync.Mutex
	healthy []int // Indexes of the VMs in rotation.
}

// openSite waits until a site's processes have written their address files,
// registers the VMs and configures the site.
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
	return s, s.register(ctx)
}

// awaitFile waits until a JSON file exists and decodes it.
func awaitFile(ctx context.Context, name string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		raw, err := os.ReadFile(name)
		if err == nil {
			return json.Unmarshal(raw, out)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("address file %s did not appear in time", name)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// register adds the VMs to the platform's list, creates the site's objects through
// one VM and waits until all VMs are healthy.
func (s *liveSite) register(ctx context.Context) error {
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

// awaitHealth waits until all VMs are healthy and the first one knows all
// members.
func (s *liveSite) awaitHealth(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		s.pollHealth(ctx)
		state, err := s.vmState(ctx, 0, 0)
		if err == nil && len(s.healthyVMs()) == len(s.vms) && len(state.GetMembers()) == len(s.vms) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("startup timed out: %d of %d VMs of %s are healthy", len(s.healthyVMs()), len(s.vms), s.plan.Site)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// pollHealth checks each VM's health endpoint, as the load balancer does, and
// updates the rotation.
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
		return // The context's end may have failed the checks; keep the last result.
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

// callerAddresses returns the addresses for callers of the VMs in rotation.
func (s *liveSite) callerAddresses() []string {
	var out []string
	for _, i := range s.healthyVMs() {
		out = append(out, s.vms[i].Callers)
	}
	return out
}

// operator returns a client of a VM's operator API.
func (s *liveSite) operator(vm int) fleetapi.Operator {
	return fleetapi.NewOperatorClient(s.vms[vm].Operators, operatorToken, s.http)
}

// apply applies a configuration object through a VM and returns the new version.
func (s *liveSite) apply(ctx context.Context, vm int, o site.Object) (int64, error) {
	raw, err := site.EncodeJSON(o)
	if err != nil {
		return 0, err
	}
	resp, err := s.operator(vm).Apply(ctx, &fleetapi.ApplyRequest{Document: raw})
	if err != nil {
		return 0, err
	}
	if resp.GetVerdict() != "accepted" {
		return 0, fmt.Errorf("change of %s was not accepted: %s: %s", o.ID(), resp.GetVerdict(), resp.GetReason())
	}
	return resp.GetVersion(), nil
}

// vmState returns a VM's view of the fleet with its event log after a time in Unix
// milliseconds.
func (s *liveSite) vmState(ctx context.Context, vm int, afterUnixMs int64) (*fleetapi.BelieveAnswer, error) {
	return s.operator(vm).Believe(ctx, &fleetapi.BelieveRequest{JournalAfterUnixMs: afterUnixMs})
}

// put sends v as JSON.
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
		return fmt.Errorf("PUT %s: %s", url, text)
	}
	return nil
}

// setServerFaults sets the faults of a backend server.
func (s *liveSite) setServerFaults(ctx context.Context, name string, f standin.Faults) error {
	return s.put(ctx, s.servers.Control+"/faults/"+name, f)
}

// serverReports returns what the backend servers ran and refused.
func (s *liveSite) serverReports(ctx context.Context) ([]standin.ServerReport, error) {
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

// ejectionRecord reads from the store which servers of a service are ejected.
func (s *liveSite) ejectionRecord(ctx context.Context, svc *site.Service) (floor.Record, error) {
	records := floor.NewRecordStore(store.NewClient(s.platform, http.DefaultTransport))
	r, _, err := records.Read(ctx, svc)
	return r, err
}

package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"laburnumpick.org/pkg/daemon"
	"laburnumpick.org/pkg/settings"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
	"laburnumpick.org/pkg/telemetry"
	"laburnumpick.org/pkg/trial"
)

type overheadCmd struct {
	Requests int `default:"20000" help:"Number of requests on each path."`
	Callers  int `default:"8" help:"Number of concurrent callers."`
}

// overheadFigures holds the results of one path to a server that responds at once.
type overheadFigures struct {
	Path      string  `json:"way"`
	P50Micros float64 `json:"p50Micros"`
	P99Micros float64 `json:"p99Micros"`
	PerSecond float64 `json:"perSecondAllCores"`
	Allocs    float64 `json:"allocationsPerRequest"`
	Ratio     float64 `json:"timeToPassThrough"` // Wall time relative to the bare pass-through.
}

// Run measures each path in turn. Callers, entry VM and server share this process
// and communicate over loopback.
func (c *overheadCmd) Run() error {
	telemetry.DiscardLogs()
	backend := serveLocal(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "an answer of some length, as a server would give")
	}))
	defer func() { _ = backend.Close() }()
	pass := serveLocal(passThrough(backend.Addr().String()))
	defer func() { _ = pass.Close() }()
	d, err := newLocalDaemon(backend.Addr().String())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = d.Run(ctx) }()
	time.Sleep(2 * time.Second)
	paths := []struct {
		name, address, method string
	}{
		{"direct", backend.Addr().String(), http.MethodGet},
		{"bare pass-through", pass.Addr().String(), http.MethodGet},
		{"laburnumpick, repeatable", d.Addresses().Callers, http.MethodGet},
		{"laburnumpick, once without key", d.Addresses().Callers, http.MethodPost},
		{"laburnumpick, once with key", d.Addresses().Callers, http.MethodPut},
	}
	enc := json.NewEncoder(os.Stdout)
	baseline := 0.0
	for _, p := range paths {
		f, err := c.measure(p.name, p.address, p.method)
		if err != nil {
			return err
		}
		if p.name == "bare pass-through" {
			baseline = f.PerSecond
		}
		if baseline > 0 {
			f.Ratio = baseline / f.PerSecond
		}
		if err := enc.Encode(f); err != nil {
			return err
		}
	}
	return nil
}

// serveLocal serves a handler on a loopback port.
func serveLocal(h http.Handler) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readTimeout}
	go func() { _ = srv.Serve(l) }()
	return l
}

// passThrough returns a minimal reverse proxy on net/http, the baseline.
func passThrough(address string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+r.URL.Path, r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		resp, err := client.Do(out)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

// newLocalDaemon returns an entry VM with a single service, both of whose servers
// have the given address.
func newLocalDaemon(address string) (*daemon.Daemon, error) {
	set := settings.Default()
	set.VM = settings.VM{Name: "vm-1", Site: "bench", DataCentre: "a"}
	set.Listen = settings.Listen{Callers: "127.0.0.1:0", VMs: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	set.Access.FleetToken = "bench-fleet-token-0001"
	set.Limits.Account = settings.Account{Rate: 1e6, Burst: 1_000_000, InFlight: 10_000}
	mem := store.NewMemory()
	svc := &site.Service{
		Name: "s", Site: "bench", Hosts: []string{"s"}, DeadlineMs: 5000,
		Servers: []site.Server{
			{Name: "a", Address: address, DataCentre: "a", Slots: 64},
			{Name: "b", Address: address, DataCentre: "a", Slots: 64},
		},
	}
	objects := []site.Object{
		&site.Site{Name: "bench", DataCentres: []site.DataCentre{"a"}, EjectionThreshold: 30}, svc,
		&site.Rule{Name: "reads", Service: "s", Methods: []string{"GET"}, PathPrefix: "/", Class: site.Repeatable},
		&site.Rule{Name: "posts", Service: "s", Methods: []string{"POST"}, PathPrefix: "/", Class: site.AtMostOnce},
		&site.Rule{Name: "puts", Service: "s", Methods: []string{"PUT"}, PathPrefix: "/", Class: site.AtMostOnce, KeyHeader: "Idempotency-Key"},
	}
	if err := trial.Configure(mem, "bench", objects...); err != nil {
		return nil, err
	}
	return daemon.New(&set, daemon.TCP(), daemon.Platform{Store: mem})
}

// measure sends requests from concurrent callers over persistent connections. A
// tenth as many requests are sent first, unmeasured, to warm up.
func (c *overheadCmd) measure(name, address, method string) (*overheadFigures, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers}}
	perCaller := c.Requests / c.Callers
	latencies := make([][]float64, c.Callers) // In microseconds, by caller.
	errs := make([]error, c.Callers)
	run := func(n int, record bool) {
		var wg sync.WaitGroup
		for i := range c.Callers {
			wg.Go(func() {
				for j := range n {
					start := time.Now()
					if err := sendRequest(client, address, method, fmt.Sprintf("%s-%d-%d-%v", name, i, j, record)); err != nil {
						errs[i] = err
						return
					}
					if record {
						latencies[i] = append(latencies[i], float64(time.Since(start).Nanoseconds())/1000)
					}
				}
			})
		}
		wg.Wait()
	}
	run(perCaller/10, false)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	run(perCaller, true)
	wall := time.Since(start).Seconds()
	runtime.ReadMemStats(&after)
	all := slices.Concat(latencies...)
	slices.Sort(all)
	for _, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	n := float64(len(all))
	return &overheadFigures{
		Path: name, P50Micros: all[len(all)/2], P99Micros: all[len(all)*99/100], PerSecond: n / wall,
		Allocs: float64(after.Mallocs-before.Mallocs) / n,
	}, nil
}

// sendRequest sends a request with an idempotency key and checks that it succeeds.
func sendRequest(client *http.Client, address, method, key string) error {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+"/x", bytes.NewReader([]byte("body")))
	if err != nil {
		return err
	}
	req.Host = "s"
	req.Header.Set("Idempotency-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s: %w", resp.StatusCode, body, err)
	}
	return nil
}

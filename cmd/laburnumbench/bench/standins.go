package bench

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/store"
	"laburnumpick.org/pkg/trial"
)

// readTimeout bounds the time to read the header of a request to a stand-in.
const readTimeout = 10 * time.Second

// platformFaults is the body of PUT /control/faults.
type platformFaults struct {
	Unavailable   bool `json:"away"`
	LoseResponses bool `json:"lostAnswer"`
	DelayMs       int  `json:"delayMs"`
}

type platformCmd struct {
	Address     string `default:"127.0.0.1:0" help:"Address to listen on."`
	AddressFile string `required:"" help:"File that receives the address in use."`
}

// platformAddress is the content of the platform's address file.
type platformAddress struct {
	URL string `json:"url"`
}

// Run serves an in-memory platform until the process is signalled.
func (c *platformCmd) Run() error {
	mem := store.NewMemory()
	mux := http.NewServeMux()
	mux.Handle("/", store.NewHandler(mem))
	mux.HandleFunc("PUT /control/vm", func(w http.ResponseWriter, r *http.Request) {
		var vm store.VM
		if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		mem.SetVM(vm)
	})
	mux.HandleFunc("PUT /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f platformFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		setFaults(mem, f)
	})
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(mem.Counts())
	})
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: readTimeout}
	go func() { _ = srv.Serve(l) }()
	if err := writeFileAtomically(c.AddressFile, platformAddress{"http://" + l.Addr().String()}); err != nil {
		return err
	}
	waitForSignal()
	return srv.Close()
}

// setFaults replaces the faults of the store.
func setFaults(mem *store.Memory, f platformFaults) {
	mem.SetDelay(time.Duration(f.DelayMs) * time.Millisecond)
	mem.SetFaults(func(op store.Op) store.Fault {
		switch {
		case f.Unavailable:
			return store.FaultUnavailable
		case f.LoseResponses && op.Write:
			return store.FaultLostResponse
		default:
			return store.FaultNone
		}
	})
}

type serversCmd struct {
	Plan        string        `required:"" help:"Plan of the site: tt-north or lagos."`
	Net         int           `default:"1" help:"Offset of the second byte of the loopback addresses, different for each site."`
	AddressFile string        `required:"" help:"File that receives the addresses in use."`
	Downtime    time.Duration `default:"3s" help:"Time until a crashed server restarts."`
	Seed        uint64        `default:"1"`
}

// serverAddresses is the content of the servers' address file.
type serverAddresses struct {
	Control string                     `json:"control"`
	Servers map[site.ServerName]string `json:"servers"`
}

// Run serves all backend servers of a plan until the process is signalled. Each
// server has its own loopback address, so that no other process takes its port
// while it is down.
func (c *serversCmd) Run() error {
	p, err := trial.LoadPlan(c.Plan)
	if err != nil {
		return err
	}
	out := serverAddresses{Servers: make(map[site.ServerName]string)}
	var servers []*standin.Server
	for i := range p.Services {
		s := &p.Services[i]
		for j, n := range s.ServerNames() {
			srv, err := standin.NewServer(standin.ServerConfig{
				Name: string(n), Address: fmt.Sprintf("127.%d.%d.%d:0", 76+c.Net, i+1, j+1),
				Slots: s.Slots, Mean: s.Mean, Base: s.Base, Downtime: c.Downtime,
				Seed: c.Seed + uint64(100*i+j), Listen: listenTCP,
			})
			if err != nil {
				return err
			}
			servers = append(servers, srv)
			out.Servers[n] = srv.Address()
		}
	}
	l, err := listenTCP("127.0.0.1:0")
	if err != nil {
		return err
	}
	ctl := &http.Server{Handler: standin.ControlHandler(servers), ReadHeaderTimeout: readTimeout}
	go func() { _ = ctl.Serve(l) }()
	out.Control = "http://" + l.Addr().String()
	if err := writeFileAtomically(c.AddressFile, out); err != nil {
		return err
	}
	waitForSignal()
	return ctl.Close()
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

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

// readTimeout bounds the header of a request to a stand-in.
const readTimeout = 10 * time.Second

// platformFaults is the body of PUT /control/faults.
type platformFaults struct {
	Unavailable bool `json:"away"`
	LostAnswer  bool `json:"lostAnswer"`
	DelayMs     int  `json:"delayMs"`
}

type platformCmd struct {
	Address     string `default:"127.0.0.1:0" help:"Where to listen."`
	AddressFile string `required:"" help:"Where to write the address in use."`
}

// platformAddress is the content of the platform's address file.
type platformAddress struct {
	URL string `json:"url"`
}

// Run serves a platform in memory.
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
	if err := writeFile(c.AddressFile, platformAddress{"http://" + l.Addr().String()}); err != nil {
		return err
	}
	untilStopped()
	return srv.Close()
}

func setFaults(mem *store.Memory, f platformFaults) {
	mem.SetDelay(time.Duration(f.DelayMs) * time.Millisecond)
	mem.SetFaults(func(op store.Op) store.Fault {
		switch {
		case f.Unavailable:
			return store.FaultAway
		case f.LostAnswer && op.Write:
			return store.FaultLostAnswer
		default:
			return store.FaultNone
		}
	})
}

type serversCmd struct {
	Plan        string        `required:"" help:"The site: tt-north or lagos."`
	Net         int           `default:"1" help:"Second byte pair of the loopback addresses, to keep sites apart."`
	AddressFile string        `required:"" help:"Where to write the addresses in use."`
	Downtime    time.Duration `default:"3s" help:"How long a crashed server stays down."`
	Seed        uint64        `default:"1"`
}

// serverAddresses is the content of the servers' address file.
type serverAddresses struct {
	Control string                     `json:"control"`
	Servers map[site.ServerName]string `json:"servers"`
}

// Run serves all servers of a plan, each on a loopback address of its own so
// that no other process takes the port while the server is down.
func (c *serversCmd) Run() error {
	p, err := trial.Load(c.Plan)
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
	ctl := &http.Server{Handler: standin.Control(servers), ReadHeaderTimeout: readTimeout}
	go func() { _ = ctl.Serve(l) }()
	out.Control = "http://" + l.Addr().String()
	if err := writeFile(c.AddressFile, out); err != nil {
		return err
	}
	untilStopped()
	return ctl.Close()
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

package trial

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/standin"
	"laburnumpick.org/pkg/store"
)

// FaultKind is the kind of an injected fault.
type FaultKind string

// Kinds of faults.
const (
	SlowServer          FaultKind = "slow"              // Requests take Factor times as long.
	FailingServer       FaultKind = "erring"            // A share of responses has status 500.
	MismatchingServer   FaultKind = "wrong"             // A share of responses belongs to other requests.
	TruncatingServer    FaultKind = "cutShort"          // A share of responses is truncated.
	UnresponsiveServer  FaultKind = "mute"              // Accepts connections and never responds.
	FlappingServer      FaultKind = "flapping"          // Alternates between slow and healthy, each for Interval.
	DrainingServer      FaultKind = "draining"          // Refuses all requests, as before a shutdown.
	ColdServer          FaultKind = "cold"              // Refuses all requests, as before its warm-up has ended.
	SlowService         FaultKind = "allSlow"           // All servers of a service are Factor times slower.
	BlackholedConns     FaultKind = "silent"            // The host's open connections drop all traffic.
	OneWayCut           FaultKind = "cut"               // All traffic from Target to To is dropped.
	PausedVM            FaultKind = "paused"            // Data from and to the VM arrives only after the pause.
	KilledVM            FaultKind = "killed"            // The VM is isolated for good.
	RestartedVM         FaultKind = "restarted"         // The VM stops gracefully, and a new one takes its place.
	StoreDown           FaultKind = "storeDown"         // All calls to the store fail.
	StoreSlow           FaultKind = "storeSlow"         // Each call takes Interval.
	StoreLosesResponses FaultKind = "storeLosesAnswers" // Writes take effect, but their responses are lost.
	CrashRequest        FaultKind = "crashRequest"      // A request that crashes servers is sent five times.
	RacingCommands      FaultKind = "racingCommands"    // Two operators change one object concurrently.
)

// Fault is one entry of a fault schedule.
type Fault struct {
	At       time.Duration `yaml:"at"`  // From the start of the load.
	For      time.Duration `yaml:"for"` // Zero means until the end of the run; FlappingServer and PausedVM need a duration.
	Kind     FaultKind     `yaml:"kind"`
	Target   string        `yaml:"where"` // A server, service, VM or host, depending on the kind.
	To       string        `yaml:"to"`    // Host at the other end of a OneWayCut.
	Factor   float64       `yaml:"factor"`
	Share    float64       `yaml:"share"` // Between 0 and 1.
	Interval time.Duration `yaml:"every"`
}

// ParseFaults reads a fault schedule in YAML. Empty text is an empty schedule.
func ParseFaults(text string) ([]Fault, error) {
	dec := yaml.NewDecoder(strings.NewReader(text))
	dec.KnownFields(true)
	var fs []Fault
	if err := dec.Decode(&fs); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	for i, f := range fs {
		if f.Kind == "" || f.At < 0 || f.For < 0 {
			return nil, fmt.Errorf("fault %d: kind must be set, and at and for must not be negative", i+1)
		}
	}
	return fs, nil
}

// WarrantsEjection reports whether the server that has the fault should be
// ejected.
func (f Fault) WarrantsEjection() bool {
	switch f.Kind {
	case SlowServer, FailingServer, MismatchingServer, TruncatingServer, UnresponsiveServer, FlappingServer:
		return true
	default:
		return false
	}
}

// Run waits until the fault is due, injects it, and clears it after its duration.
func (f Fault) Run(fleet *Fleet) error {
	time.Sleep(f.At)
	if f.Kind == FlappingServer {
		return f.flap(fleet)
	}
	if err := f.apply(fleet, true); err != nil {
		return err
	}
	if f.For == 0 {
		return nil
	}
	time.Sleep(f.For)
	return f.apply(fleet, false)
}

// flap alternates a server between slow and healthy.
func (f Fault) flap(fleet *Fleet) error {
	for end := time.Now().Add(f.For); time.Now().Before(end); {
		for _, on := range []bool{true, false} {
			slow := f
			slow.Kind = SlowServer
			if err := slow.apply(fleet, on); err != nil {
				return err
			}
			time.Sleep(f.Interval)
		}
	}
	return nil
}

// serverFaults returns the server faults to inject, or false if the fault does
// not apply to servers.
func (f Fault) serverFaults() (standin.Faults, bool) {
	switch f.Kind {
	case SlowServer, SlowService:
		return standin.Faults{SlowFactor: f.Factor}, true
	case FailingServer:
		return standin.Faults{ErrorShare: f.Share}, true
	case MismatchingServer:
		return standin.Faults{MismatchShare: f.Share}, true
	case TruncatingServer:
		return standin.Faults{TruncateShare: f.Share}, true
	case UnresponsiveServer:
		return standin.Faults{Unresponsive: true}, true
	case DrainingServer:
		return standin.Faults{Draining: true}, true
	case ColdServer:
		return standin.Faults{Cold: true}, true
	default:
		return standin.Faults{}, false
	}
}

// apply injects the fault, or clears it.
func (f Fault) apply(fleet *Fleet, on bool) error {
	if faults, ok := f.serverFaults(); ok {
		return f.applyToServers(fleet, faults, on)
	}
	switch f.Kind {
	case BlackholedConns:
		if on {
			fleet.Net.BlackholeOpenConns(f.Target)
		}
	case OneWayCut:
		fleet.Net.SetCut(standin.Link{From: f.Target, To: f.To}, on)
	case PausedVM:
		if on {
			fleet.Net.Pause(f.Target, f.For)
		}
	case KilledVM, RestartedVM:
		return f.applyToVM(fleet, on)
	case StoreDown, StoreLosesResponses:
		fleet.Store.SetFaults(storeFaults(f.Kind, on))
	case CrashRequest:
		if on {
			f.sendCrashRequests(fleet)
		}
	case RacingCommands:
		if on {
			return f.raceCommands(fleet)
		}
	case StoreSlow:
		fleet.Store.SetDelay(fleet.opts.StoreDelay)
		if on {
			fleet.Store.SetDelay(f.Interval)
		}
	default:
		return fmt.Errorf("unknown kind of fault %q", f.Kind)
	}
	return nil
}

// crashInterval is the time between two sends of a request that crashes servers.
const crashInterval = 200 * time.Millisecond

// sendCrashRequests sends a request that crashes each server that runs it, as a
// caller that retries through other VMs does.
func (f Fault) sendCrashRequests(fleet *Fleet) {
	for i := range 5 {
		vms := fleet.Serving()
		fleet.Call(fleet.ctx, vms[i%len(vms)], Call{
			Service: site.ServiceName(f.Target), Method: http.MethodGet, Path: "/crash",
			Mark: "crash-" + f.Target, Body: standin.CrashTrigger,
		})
		time.Sleep(crashInterval)
	}
}

// raceCommands has two operators change one object concurrently through two VMs.
// At most one of the commands may be accepted.
func (f Fault) raceCommands(fleet *Fleet) error {
	vms := fleet.Serving()
	base := vms[0].Daemon.CatalogVersion()
	accepted := make(chan bool, 2)
	for i := range 2 {
		go func() {
			raw, err := site.EncodeJSON(&site.Account{Name: "raced", Rate: float64(i + 1), Burst: 1, InFlight: 1})
			if err != nil {
				accepted <- false
				return
			}
			resp, err := fleet.OperatorClient(vms[i%len(vms)]).Apply(fleet.ctx, &fleetapi.ApplyRequest{Base: base, Document: raw})
			accepted <- err == nil && resp.GetVerdict() == "accepted"
		}()
	}
	if first, second := <-accepted, <-accepted; first && second {
		return errors.New("both of two conflicting commands were accepted")
	}
	return nil
}

// applyToServers sets or clears the faults of a server, or of all servers of a
// service.
func (f Fault) applyToServers(fleet *Fleet, faults standin.Faults, on bool) error {
	if !on {
		faults = standin.Faults{}
	}
	if s, ok := fleet.Servers[site.ServerName(f.Target)]; ok {
		s.SetFaults(faults)
		return nil
	}
	for i := range fleet.Plan.Services {
		if s := &fleet.Plan.Services[i]; string(s.Name) == f.Target {
			for _, n := range s.ServerNames() {
				fleet.Servers[n].SetFaults(faults)
			}
			return nil
		}
	}
	return fmt.Errorf("unknown server or service %q", f.Target)
}

// applyToVM kills a VM, or starts a replacement and stops the VM gracefully.
func (f Fault) applyToVM(fleet *Fleet, on bool) error {
	for _, vm := range fleet.Serving() {
		if vm.Name != f.Target || !on {
			continue
		}
		if f.Kind == KilledVM {
			fleet.Kill(vm)
			return nil
		}
		fleet.removeFromBalancer(vm)
		if _, err := fleet.StartVM(vm.Name+"-next", vm.DataCentre); err != nil {
			return err
		}
		vm.Stop()
	}
	return nil
}

// storeFaults returns a function that chooses the fault of each operation on the store.
func storeFaults(k FaultKind, on bool) func(store.Op) store.Fault {
	return func(op store.Op) store.Fault {
		switch {
		case !on:
			return store.FaultNone
		case k == StoreDown:
			return store.FaultUnavailable
		case op.Write:
			return store.FaultLostResponse
		default:
			return store.FaultNone
		}
	}
}

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

// FaultKind names what goes wrong.
type FaultKind string

// Kinds of faults.
const (
	SlowServer          FaultKind = "slow"     // Factor times slower.
	FailingServer       FaultKind = "erring"   // A share of answers with status 500.
	MismatchingServer   FaultKind = "wrong"    // A share of answers to other requests.
	TruncatingServer    FaultKind = "cutShort" // A share of answers cut short.
	UnresponsiveServer  FaultKind = "mute"     // No answers, though it takes connections.
	FlappingServer      FaultKind = "flapping" // Slow and well in turn, each for every.
	DrainingServer      FaultKind = "draining"
	ColdServer          FaultKind = "cold"
	SlowService         FaultKind = "allSlow" // All servers of a service, Factor times.
	BlackholedConns     FaultKind = "silent"  // Open connections of a host lose all.
	OneWayCut           FaultKind = "cut"     // From where to to.
	PausedVM            FaultKind = "paused"
	KilledVM            FaultKind = "killed"
	RestartedVM         FaultKind = "restarted"
	StoreDown           FaultKind = "storeDown"
	StoreSlow           FaultKind = "storeSlow" // Each call takes every.
	StoreLosesResponses FaultKind = "storeLosesAnswers"
	CrashRequest        FaultKind = "crashRequest"   // A request to a service, sent five times.
	RacingCommands      FaultKind = "racingCommands" // Two operators change one object at once.
)

// Fault is one line of a fault schedule.
type Fault struct {
	At       time.Duration `yaml:"at"`  // From the start of the load.
	For      time.Duration `yaml:"for"` // Zero for the rest of the run.
	Kind     FaultKind     `yaml:"kind"`
	Target   string        `yaml:"where"` // A server, a service, a VM or a host.
	To       string        `yaml:"to"`
	Factor   float64       `yaml:"factor"`
	Share    float64       `yaml:"share"`
	Interval time.Duration `yaml:"every"`
}

// ParseFaults reads a fault schedule in YAML.
func ParseFaults(text string) ([]Fault, error) {
	dec := yaml.NewDecoder(strings.NewReader(text))
	dec.KnownFields(true)
	var fs []Fault
	if err := dec.Decode(&fs); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	for i, f := range fs {
		if f.Kind == "" || f.At < 0 || f.For < 0 {
			return nil, fmt.Errorf("fault %d: give a kind, and times that are not negative", i+1)
		}
	}
	return fs, nil
}

// WarrantsEjection reports whether the fault is one for which its server should be
// ejected.
func (f Fault) WarrantsEjection() bool {
	switch f.Kind {
	case SlowServer, FailingServer, MismatchingServer, TruncatingServer, UnresponsiveServer, FlappingServer:
		return true
	default:
		return false
	}
}

// Run makes the fault happen: it waits for its time, and ends it after.
func (f Fault) Run(fl *Fleet) error {
	time.Sleep(f.At)
	if f.Kind == FlappingServer {
		return f.flap(fl)
	}
	if err := f.set(fl, true); err != nil {
		return err
	}
	if f.For == 0 {
		return nil
	}
	time.Sleep(f.For)
	return f.set(fl, false)
}

// flap turns a server slow and well in turn.
func (f Fault) flap(fl *Fleet) error {
	for end := time.Now().Add(f.For); time.Now().Before(end); {
		for _, sick := range []bool{true, false} {
			slow := f
			slow.Kind = SlowServer
			if err := slow.set(fl, sick); err != nil {
				return err
			}
			time.Sleep(f.Interval)
		}
	}
	return nil
}

// serverFaults returns what the fault means for a server, or false where it is
// none of a server.
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

func (f Fault) set(fl *Fleet, on bool) error {
	if faults, ok := f.serverFaults(); ok {
		return f.setServers(fl, faults, on)
	}
	switch f.Kind {
	case BlackholedConns:
		if on {
			fl.Net.BlackholeOpenConns(f.Target)
		}
	case OneWayCut:
		fl.Net.SetCut(standin.Link{From: f.Target, To: f.To}, on)
	case PausedVM:
		if on {
			fl.Net.Pause(f.Target, f.For)
		}
	case KilledVM, RestartedVM:
		return f.setVM(fl, on)
	case StoreDown, StoreLosesResponses:
		fl.Store.SetFaults(storeFaults(f.Kind, on))
	case CrashRequest:
		if on {
			f.crash(fl)
		}
	case RacingCommands:
		if on {
			return f.race(fl)
		}
	case StoreSlow:
		fl.Store.SetDelay(fl.opts.StoreDelay)
		if on {
			fl.Store.SetDelay(f.Interval)
		}
	default:
		return fmt.Errorf("there is no fault %q", f.Kind)
	}
	return nil
}

// crashGap is the rest between two sendings of a request that crashes servers.
const crashGap = 200 * time.Millisecond

// crash sends a request that takes down each server that runs it, as a caller
// who resends it through other VMs.
func (f Fault) crash(fl *Fleet) {
	for i := range 5 {
		vms := fl.Serving()
		fl.Call(fl.ctx, vms[i%len(vms)], Call{
			Service: site.ServiceName(f.Target), Method: http.MethodGet, Path: "/crash",
			Mark: "crash-" + f.Target, Body: standin.CrashTrigger,
		})
		time.Sleep(crashGap)
	}
}

// race has two operators change one object at once through two VMs. One must
// be told what beat it.
func (f Fault) race(fl *Fleet) error {
	vms := fl.Serving()
	base := vms[0].Daemon.CatalogVersion()
	accepted := make(chan bool, 2)
	for i := range 2 {
		go func() {
			raw, err := site.EncodeJSON(&site.Account{Name: "raced", Rate: float64(i + 1), Burst: 1, InFlight: 1})
			if err != nil {
				accepted <- false
				return
			}
			a, err := fl.Operator(vms[i%len(vms)]).Apply(fl.ctx, &fleetapi.ApplyRequest{Base: base, Document: raw})
			accepted <- err == nil && a.GetVerdict() == "accepted"
		}()
	}
	if first, second := <-accepted, <-accepted; first && second {
		return errors.New("two racing commands were both accepted")
	}
	return nil
}

// setServers sets faults of a server, or of all servers of a service.
func (f Fault) setServers(fl *Fleet, faults standin.Faults, on bool) error {
	if !on {
		faults = standin.Faults{}
	}
	if s, ok := fl.Servers[site.ServerName(f.Target)]; ok {
		s.SetFaults(faults)
		return nil
	}
	for i := range fl.Plan.Services {
		if s := &fl.Plan.Services[i]; string(s.Name) == f.Target {
			for _, n := range s.ServerNames() {
				fl.Servers[n].SetFaults(faults)
			}
			return nil
		}
	}
	return fmt.Errorf("there is no server or service %q", f.Target)
}

// setVM kills a VM, or stops it gracefully, and starts another in its place.
func (f Fault) setVM(fl *Fleet, on bool) error {
	for _, vm := range fl.Serving() {
		if vm.Name != f.Target || !on {
			continue
		}
		if f.Kind == KilledVM {
			fl.Kill(vm)
			return nil
		}
		fl.retire(vm)
		if _, err := fl.StartVM(vm.Name+"-next", vm.DataCentre); err != nil {
			return err
		}
		vm.Stop()
	}
	return nil
}

func storeFaults(k FaultKind, on bool) func(store.Op) store.Fault {
	return func(op store.Op) store.Fault {
		switch {
		case !on:
			return store.FaultNone
		case k == StoreDown:
			return store.FaultAway
		case op.Write:
			return store.FaultLostAnswer
		default:
			return store.FaultNone
		}
	}
}

package roster

import (
	"laburnumpick.org/pkg/site"
)

// VMName is the name of a VM.
type VMName string

// VM identifies a VM and holds the address at which other VMs reach it.
type VM struct {
	Name       VMName
	Address    string // host:port for calls from other VMs.
	DataCentre site.DataCentre
	Cores      float64 // CPU of the VM, to which its share of roles is proportional; 0 counts as one core.
	Protocol   Protocol
}

// Protocol says which calls a VM's build understands. It grows with each duty that earlier
// builds do not know.
type Protocol int

// ProtocolQuotas is the protocol of builds that decide on quotas of client accounts.
const ProtocolQuotas Protocol = 1

// cores returns the weight of the VM in the assignment of roles.
func (vm *VM) cores() float64 {
	if vm.Cores <= 0 {
		return 1
	}
	return vm.Cores
}

// Status is the state of a member as this VM knows it.
type Status string

// Statuses. At the same incarnation a later one overrides an earlier one.
const (
	Alive   Status = "alive"
	Suspect Status = "suspect"
	Leaving Status = "leaving" // The VM is stopping gracefully and gets no roles.
	Dead    Status = "dead"
)

var precedence = map[Status]int{Alive: 0, Suspect: 1, Leaving: 2, Dead: 3}

// Incarnation orders the updates about a VM. It starts at the VM's start time in
// milliseconds and grows each time the VM refutes a suspicion.
type Incarnation uint64

// Update is a fact about a member, as VMs send it to each other.
type Update struct {
	VM
	Incarnation Incarnation
	Status      Status
}

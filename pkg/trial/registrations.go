package trial

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"

	"laburnumpick.org/pkg/registry"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/standin"
)

// registrations is the list in which backend servers register themselves.
type registrations struct {
	mu       sync.Mutex
	revision registry.Revision
	entries  map[site.ServerName]registry.Entry
}

// put adds or replaces an entry. Its sequence number is set.
func (r *registrations) put(e registry.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	e.Seq = int64(r.revision)
	r.entries[e.Server.Name] = e
}

// restart sets a new start time of a server.
func (r *registrations) restart(n site.ServerName) {
	r.mu.Lock()
	e := r.entries[n]
	r.mu.Unlock()
	e.Server.StartedMs++
	r.put(e)
}

// list returns the full list.
func (r *registrations) list(since registry.Revision) registry.Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := registry.Update{Since: since, Revision: r.revision, Full: true}
	for _, e := range r.entries {
		u.Entries = append(u.Entries, e)
	}
	slices.SortFunc(u.Entries, func(a, b registry.Entry) int { return cmp.Compare(a.Server.Name, b.Server.Name) })
	return u
}

// registrationsLink is a VM's connection to the list. It honors cut links of the network.
type registrationsLink struct {
	*registrations
	fleet *Fleet
	host  string
}

// Read implements registry.Source.
func (l registrationsLink) Read(_ context.Context, since registry.Revision) (registry.Update, error) {
	if l.fleet.Net.IsCut(standin.Link{From: l.host, To: storeHost}) || l.fleet.Net.IsCut(standin.Link{From: storeHost, To: l.host}) {
		return registry.Update{}, errors.New("the list of servers cannot be reached")
	}
	return l.list(since), nil
}

// registerServers registers the servers of all services.
func (f *Fleet) registerServers() {
	for i := range f.Plan.Services {
		s := &f.Plan.Services[i]
		for j, n := range s.ServerNames() {
			f.registrations.put(registry.Entry{Service: s.Name, Server: site.Server{
				Name: n, Address: f.Servers[n].Address(), DataCentre: f.Plan.DataCentre(j), Slots: s.Slots, StartedMs: 1,
			}})
		}
	}
}

// RestartServer gives a registered server a new start time. It forgets its faults and what
// it has told the VMs.
func (f *Fleet) RestartServer(n site.ServerName) {
	f.registrations.restart(n)
	f.Servers[n].SetFaults(standin.Faults{})
	f.Servers[n].Notices().Restart()
}

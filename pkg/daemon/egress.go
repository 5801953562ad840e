package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/egress"
	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/journal"
	"laburnumpick.org/pkg/operator"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// egressConfig returns the settings and dependencies of this VM's way to the servers.
func (d *Daemon) egressConfig(nw Network, self roster.VM, jr *journal.Journal) egress.Config {
	return egress.Config{
		Self: self, Dial: nw.Dial, TokenHeader: fleetapi.HeaderToken, Token: d.set.Access.FleetToken,
		Rand:    rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)),
		VMs:     func() []roster.VM { return d.node.View().VMs() },
		Servers: d.knownServers, Journal: jr, Scope: d.tel.Scope.SubScope("egress"),
	}
}

// egressHandler returns the handler of requests that other VMs cannot send themselves.
func (d *Daemon) egressHandler(contract backend.Contract) http.Handler {
	return egress.NewHandler(egress.HandlerConfig{
		Sender: d.egress, Contract: contract, Tracer: d.tel.Tracer,
		MaxAtOnce: func() int { return d.current.Load().Limits.CarriedRequests }, MaxBody: func() int64 { return d.callerLimits().BodyBytes },
		Buffers: d.buffers,
		Server:  d.knownServer, CheckNotice: d.dispatcher.CheckNotice, OnHead: d.dispatcher.ObserveCarried,
		Stopping: d.entry.Stopping,
	})
}

// vmHandler returns the handler of calls by other VMs.
func (d *Daemon) vmHandler(contract backend.Contract, p Peer) http.Handler {
	mux := http.NewServeMux()
	carry := d.egressHandler(contract)
	mux.Handle("POST "+egress.PathAttempt, carry)
	mux.Handle("POST "+egress.PathCheck, carry)
	mux.Handle("/", http.MaxBytesHandler(p.Handler(fleetapi.NewFleetServer(d.node.Server())), maxVMMessageBytes))
	return operator.RequireFleetToken(fleetapi.HeaderToken, d.set.Access.FleetToken, mux)
}

// reaches reports whether this VM or another one can open a connection to a server.
func (d *Daemon) reaches(ctx context.Context, n site.ServiceName, s site.Server) bool {
	v := d.egress.Check(ctx, egress.Target{Service: n, Server: s})
	return v == egress.ServerReached || v == egress.ServerReachedElsewhere
}

// knownServers returns the servers of all services that this VM knows.
func (d *Daemon) knownServers() []egress.Target {
	reg := d.registry.State()
	var out []egress.Target
	for _, svc := range d.replica.State().Directory.Services() {
		for _, m := range home.Members(svc, reg) {
			out = append(out, egress.Target{Service: svc.Name, Server: m.Server})
		}
	}
	return out
}

// knownServer returns a server of a service that this VM knows and that is not leaving.
func (d *Daemon) knownServer(n site.ServiceName, name site.ServerName) (site.Server, bool) {
	for _, m := range home.Members(d.replica.State().Directory.Service(n), d.registry.State()) {
		if m.Name == name {
			return m.Server, !m.Leaving
		}
	}
	return site.Server{}, false
}

// Package trial runs a whole site in one process: the real code of the entry VMs,
// stand-ins for the backend servers, and an in-memory network. Tests, replays of
// traces and experiments use it.
package trial

import (
	"embed"
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"

	"laburnumpick.org/pkg/site"
)

//go:embed plans/*.yaml
var plans embed.FS

// Plan describes a site and its load.
type Plan struct {
	Site              site.Name              `yaml:"site"`
	EjectionThreshold site.EjectionThreshold `yaml:"sureness"`
	DataCentres       []site.DataCentre      `yaml:"dataCentres"`
	LinkDelay         time.Duration          `yaml:"linkDelay"`   // One-way delay between data centres.
	CallerDelay       time.Duration          `yaml:"callerDelay"` // One-way delay between callers and the site.
	Services          []ServicePlan          `yaml:"services"`
}

// ServicePlan describes one service and its load.
type ServicePlan struct {
	Name      site.ServiceName `yaml:"name"`
	Servers   int              `yaml:"servers"`
	Slots     int              `yaml:"slots"`    // Requests that a server runs at once.
	Floor     int              `yaml:"floor"`    // Fewest servers that must stay in service.
	Base      time.Duration    `yaml:"base"`     // Constant part of the processing time.
	Mean      time.Duration    `yaml:"mean"`     // Mean of its exponentially distributed part.
	Deadline  time.Duration    `yaml:"deadline"` // Of requests that set none.
	Rate      float64          `yaml:"rate"`     // Requests per second over all VMs.
	WritePath string           `yaml:"write"`    // Path of at-most-once requests; empty if the service has none.
}

// LoadPlan reads one of the plans embedded in the package.
func LoadPlan(name string) (*Plan, error) {
	text, err := plans.ReadFile("plans/" + name + ".yaml")
	if err != nil {
		return nil, fmt.Errorf("unknown plan %q: the plans are tt-north and lagos", name)
	}
	var p Plan
	return &p, yaml.Unmarshal(text, &p)
}

// KeyHeader is the header that holds the idempotency key in the plans' rules.
const KeyHeader = "Idempotency-Key"

// Service returns the plan of a service, or nil if the site has none of that name.
func (p *Plan) Service(n site.ServiceName) *ServicePlan {
	for i := range p.Services {
		if p.Services[i].Name == n {
			return &p.Services[i]
		}
	}
	return nil
}

// ServerNames returns the names of the service's servers.
func (s *ServicePlan) ServerNames() []site.ServerName {
	names := make([]site.ServerName, s.Servers)
	for i := range names {
		names[i] = site.ServerName(fmt.Sprintf("%s-%d", s.Name, i+1))
	}
	return names
}

// DataCentre returns the data centre of the i-th server of a service, or of the
// i-th VM. Both are spread over the data centres in turn.
func (p *Plan) DataCentre(i int) site.DataCentre { return p.DataCentres[i%len(p.DataCentres)] }

// Objects returns the plan as configuration objects. address returns the address
// that a server listens on.
func (p *Plan) Objects(address func(site.ServerName) string) []site.Object {
	all := []site.Object{&site.Site{Name: p.Site, DataCentres: p.DataCentres, EjectionThreshold: p.EjectionThreshold}}
	for i := range p.Services {
		s := &p.Services[i]
		svc := &site.Service{
			Name: s.Name, Site: p.Site, Hosts: []string{string(s.Name)}, Floor: s.Floor,
			DeadlineMs: s.Deadline.Milliseconds(),
		}
		for j, n := range s.ServerNames() {
			svc.Servers = append(svc.Servers, site.Server{
				Name: n, Address: address(n), DataCentre: p.DataCentre(j), Slots: s.Slots,
			})
		}
		all = append(all, svc, &site.Rule{
			Name: site.RuleName(s.Name) + "-reads", Service: s.Name, Methods: []string{"GET", "HEAD"},
			PathPrefix: "/", Class: site.Repeatable,
		})
		if s.WritePath != "" {
			all = append(all, &site.Rule{
				Name: site.RuleName(s.Name) + "-writes", Service: s.Name, Methods: []string{"POST"},
				PathPrefix: s.WritePath, Class: site.AtMostOnce, KeyHeader: KeyHeader, KeyRequired: true,
			})
		}
	}
	return all
}

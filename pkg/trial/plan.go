// Package trial brings up a whole site of stand-ins and entry VMs in one
// process, over a network in memory. Tests, replays of traces and experiments
// run the real code of the VMs on it.
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
	Site        site.Name         `yaml:"site"`
	Sureness    site.Sureness     `yaml:"sureness"`
	DataCentres []site.DataCentre `yaml:"dataCentres"`
	LinkDelay   time.Duration     `yaml:"linkDelay"`   // One way between data centres.
	CallerDelay time.Duration     `yaml:"callerDelay"` // One way from callers.
	Services    []ServicePlan     `yaml:"services"`
}

// ServicePlan describes one service and its load.
type ServicePlan struct {
	Name      site.ServiceName `yaml:"name"`
	Servers   int              `yaml:"servers"`
	Slots     int              `yaml:"slots"`
	Floor     int              `yaml:"floor"`
	Base      time.Duration    `yaml:"base"`
	Mean      time.Duration    `yaml:"mean"`
	Deadline  time.Duration    `yaml:"deadline"`
	Rate      float64          `yaml:"rate"`  // Requests a second of the whole site.
	WritePath string           `yaml:"write"` // Path of requests that run once, or empty.
}

// LoadPlan reads one of the plans that come with the package.
func LoadPlan(name string) (*Plan, error) {
	text, err := plans.ReadFile("plans/" + name + ".yaml")
	if err != nil {
		return nil, fmt.Errorf("there is no plan %q; there are tt-north and lagos", name)
	}
	var p Plan
	return &p, yaml.Unmarshal(text, &p)
}

// KeyHeader is the header of once-only keys in the plans.
const KeyHeader = "Idempotency-Key"

// ServerNames returns the names of a service's servers.
func (s *ServicePlan) ServerNames() []site.ServerName {
	names := make([]site.ServerName, s.Servers)
	for i := range names {
		names[i] = site.ServerName(fmt.Sprintf("%s-%d", s.Name, i+1))
	}
	return names
}

// DataCentre returns where a service's i-th server stands.
func (p *Plan) DataCentre(i int) site.DataCentre { return p.DataCentres[i%len(p.DataCentres)] }

// Objects returns the plan as configuration. address tells where each server
// listens.
func (p *Plan) Objects(address func(site.ServerName) string) []site.Object {
	all := []site.Object{&site.Site{Name: p.Site, DataCentres: p.DataCentres, Sureness: p.Sureness}}
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
			PathPrefix: "/", Run: site.Repeatable,
		})
		if s.WritePath != "" {
			all = append(all, &site.Rule{
				Name: site.RuleName(s.Name) + "-writes", Service: s.Name, Methods: []string{"POST"},
				PathPrefix: s.WritePath, Run: site.AtMostOnce, KeyHeader: KeyHeader, KeyRequired: true,
			})
		}
	}
	return all
}

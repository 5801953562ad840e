package site_test

import (
	"fmt"
	"runtime"
	"testing"

	"laburnumpick.org/pkg/site"
)

// The numbers of objects that the fleet is designed for, and the number of regions
// among which they are divided.
const (
	allServices = 9_600
	allServers  = 200_000
	allRoutes   = 190_000
	allAccounts = 420_000
	regions     = 4
)

func mustPut(b *testing.B, d *site.Directory, o site.Object) *site.Directory {
	b.Helper()
	next, err := d.Put(o)
	if err != nil {
		b.Fatal(err)
	}
	return next
}

// largeService returns a service with an equal part of all servers.
func largeService(i int) *site.Service {
	s := &site.Service{
		Name: site.ServiceName(fmt.Sprintf("service-%d", i)), Site: "north",
		Hosts: []string{fmt.Sprintf("service-%d.example", i)}, DeadlineMs: 1000,
	}
	for j := range allServers / allServices {
		s.Servers = append(s.Servers, site.Server{
			Name: site.ServerName(fmt.Sprintf("service-%d-%d", i, j)), Address: "10.111.112.113:8080",
			DataCentre: site.DataCentre(fmt.Sprintf("dc-%d", j%4)), Slots: 3,
		})
	}
	return s
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// newLargeDirectory builds a directory of 1/divisor of all objects. The returned
// function reports the heap memory that it takes.
func newLargeDirectory(b *testing.B, divisor int) (d *site.Directory, report func()) {
	b.Helper()
	before := heapBytes()
	d = mustPut(b, site.NewDirectory(), aSite())
	n := allServices / divisor
	for i := range n {
		d = mustPut(b, d, largeService(i))
	}
	afterServices := heapBytes()
	for i := range allRoutes / divisor {
		d = mustPut(b, d, aRule(fmt.Sprintf("rule-%d", i), fmt.Sprintf("service-%d", i%n), fmt.Sprintf("/path-%d/deep", i/n), site.Repeatable, "GET"))
	}
	afterRules := heapBytes()
	for i := range allAccounts / divisor {
		d = mustPut(b, d, &site.Account{Name: site.AccountName(fmt.Sprintf("account-%d", i)), Rate: 10, Burst: 20, InFlight: 5})
	}
	end := heapBytes()
	return d, func() {
		b.ReportMetric((afterServices-before)/1e6, "servicesMB")
		b.ReportMetric((afterRules-afterServices)/1e6, "rulesMB")
		b.ReportMetric((end-afterRules)/1e6, "accountsMB")
	}
}

// BenchmarkMatchRule matches requests to rules, for all regions together and for one.
func BenchmarkMatchRule(b *testing.B) {
	for _, divisor := range []int{1, regions} {
		b.Run(fmt.Sprintf("%d rules", allRoutes/divisor), func(b *testing.B) {
			d, report := newLargeDirectory(b, divisor)
			defer report()
			n := allServices / divisor
			hosts := make([]string, 1024)
			for i := range hosts {
				hosts[i] = fmt.Sprintf("service-%d.example", (i*37)%n)
			}
			i := 0
			for b.Loop() {
				i++
				if s, r := d.MatchRule(hosts[i%len(hosts)], "GET", "/path-7/deep/and/deeper"); s == nil || r == nil {
					b.Fatal("no service or rule matched")
				}
			}
		})
	}
}

// BenchmarkPut puts single objects into the directory of one region.
func BenchmarkPut(b *testing.B) {
	d, _ := newLargeDirectory(b, regions)
	for name, o := range map[string]site.Object{
		"account": &site.Account{Name: "account-7", Rate: 1, Burst: 2, InFlight: 5},
		"rule":    aRule("rule-9", "service-9", "/path-0/deep", site.Repeatable, "GET"),
		"service": largeService(5),
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				mustPut(b, d, o)
			}
		})
	}
}

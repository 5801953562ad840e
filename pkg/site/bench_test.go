package site_test

import (
	"fmt"
	"runtime"
	"testing"

	"laburnumpick.org/pkg/site"
)

// The sizes that the fleet is designed for, and a region's share of them.
const (
	allServices = 9_600
	allServers  = 200_000
	allRoutes   = 190_000
	allAccounts = 420_000
	regions     = 4
)

func must(b *testing.B, d *site.Directory, o site.Object) *site.Directory {
	b.Helper()
	next, err := d.Put(o)
	if err != nil {
		b.Fatal(err)
	}
	return next
}

// bigService is a service with its share of servers.
func bigService(i int) *site.Service {
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

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// withBigDirectory builds one region's share, or all, and reports its memory.
func withBigDirectory(b *testing.B, share int) (d *site.Directory, report func()) {
	b.Helper()
	before := heap()
	d = must(b, site.NewDirectory(), aSite())
	n := allServices / share
	for i := range n {
		d = must(b, d, bigService(i))
	}
	afterServices := heap()
	for i := range allRoutes / share {
		d = must(b, d, aRule(fmt.Sprintf("rule-%d", i), fmt.Sprintf("service-%d", i%n), fmt.Sprintf("/path-%d/deep", i/n), site.Repeatable, "GET"))
	}
	afterRules := heap()
	for i := range allAccounts / share {
		d = must(b, d, &site.Account{Name: site.AccountName(fmt.Sprintf("account-%d", i)), Rate: 10, Burst: 20, InFlight: 5})
	}
	end := heap()
	return d, func() {
		b.ReportMetric((afterServices-before)/1e6, "servicesMB")
		b.ReportMetric((afterRules-afterServices)/1e6, "rulesMB")
		b.ReportMetric((end-afterRules)/1e6, "accountsMB")
	}
}

// BenchmarkRoute looks rules up at the design's size.
func BenchmarkRoute(b *testing.B) {
	for _, share := range []int{1, regions} {
		b.Run(fmt.Sprintf("%d routes", allRoutes/share), func(b *testing.B) {
			d, report := withBigDirectory(b, share)
			defer report()
			n := allServices / share
			hosts := make([]string, 1024)
			for i := range hosts {
				hosts[i] = fmt.Sprintf("service-%d.example", (i*37)%n)
			}
			i := 0
			for b.Loop() {
				i++
				if s, r := d.MatchRule(hosts[i%len(hosts)], "GET", "/path-7/deep/and/deeper"); s == nil || r == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}

// BenchmarkPut makes changes at a region's size.
func BenchmarkPut(b *testing.B) {
	d, _ := withBigDirectory(b, regions)
	for name, o := range map[string]site.Object{
		"account": &site.Account{Name: "account-7", Rate: 1, Burst: 2, InFlight: 5},
		"rule":    aRule("rule-9", "service-9", "/path-0/deep", site.Repeatable, "GET"),
		"service": bigService(5),
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				must(b, d, o)
			}
		})
	}
}

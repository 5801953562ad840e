package site_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumpick.org/pkg/site"
)

func routedObjects(routes ...*site.Route) []site.Object {
	all := []site.Object{
		&site.Site{Name: "north", DataCentres: []site.DataCentre{"a"}, EjectionThreshold: 7},
		&site.Service{Name: "one", Site: "north", Registered: true, DeadlineMs: 1000},
		&site.Service{Name: "two", Site: "north", Registered: true, DeadlineMs: 1000},
	}
	for _, r := range routes {
		all = append(all, r)
	}
	return all
}

func aRoute(name, prefix string) *site.Route {
	return &site.Route{
		Name: site.RouteName(name), Host: "h.example", PathPrefix: prefix, Class: site.Repeatable,
		Shares: []site.Share{{Service: "one", Weight: 3}, {Service: "two", Weight: 1}}, TimeoutMs: 1500, Attempts: 2,
	}
}

func TestLongestPrefixWins(t *testing.T) {
	d, err := site.Build(routedObjects(aRoute("root", "/"), aRoute("a", "/a/"), aRoute("ab", "/a/b/"), aRoute("c", "/c/c/")))
	assert.NilError(t, err)
	for path, want := range map[string]site.RuleName{
		"/": "root", "/a": "root", "/a/": "a", "/a/b": "a", "/a/b/": "ab", "/a/b/c/d": "ab", "/c/": "root", "/c/c/x": "c",
	} {
		m, ok := d.Match("H.example:8080", "GET", path, 0)
		assert.Assert(t, ok && m.Rule == want, "path %s matched rule %q", path, m.Rule)
	}
	_, ok := d.Match("other.example", "GET", "/", 0)
	assert.Assert(t, !ok)
	m, _ := d.Match("h.example", "GET", "/", 0.74)
	assert.Equal(t, string(m.Service), "one")
	m, _ = d.Match("h.example", "GET", "/", 0.76)
	assert.Equal(t, string(m.Service), "two")
}

func TestInvalidRoutes(t *testing.T) {
	bad := map[string]func(r *site.Route){
		"no service":        func(r *site.Route) { r.Shares = nil },
		"unknown service":   func(r *site.Route) { r.Shares[0].Service = "nobody" },
		"no weight":         func(r *site.Route) { r.Shares = []site.Share{{Service: "one"}} },
		"prefix":            func(r *site.Route) { r.PathPrefix = "/a" },
		"host":              func(r *site.Route) { r.Host = "A b" },
		"no attempts":       func(r *site.Route) { r.Attempts = 0 },
		"timeout":           func(r *site.Route) { r.TimeoutMs = 0 },
		"negative priority": func(r *site.Route) { r.Priority = -1 },
		"unknown class":     func(r *site.Route) { r.Class = "sometimes" },
		"prefix twice":      func(r *site.Route) { r.PathPrefix = "/" },
		"name twice":        func(r *site.Route) { r.Name = "root" },
		"negative share":    func(r *site.Route) { r.Shares[0].Weight = -1 },
	}
	for name, corrupt := range bad {
		r := aRoute("new", "/new/")
		corrupt(r)
		_, err := site.Build(routedObjects(aRoute("root", "/"), r))
		assert.Assert(t, err != nil, name)
	}
}

// TestBuildMatchesPut checks that Build, which inserts routes in place, accepts the
// same objects as Put and matches requests in the same way.
func TestBuildMatchesPut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var routes []*site.Route
		for i := range rapid.IntRange(0, 30).Draw(rt, "routes") {
			r := aRoute(fmt.Sprint("r-", i), fmt.Sprintf("/%d/", i%rapid.IntRange(1, 30).Draw(rt, "spread")))
			r.Host = fmt.Sprintf("h%d.example", rapid.IntRange(0, 2).Draw(rt, "host"))
			routes = append(routes, r)
		}
		objects := routedObjects(routes...)
		built, buildErr := site.Build(objects)
		put := site.NewDirectory()
		var putErr error
		for _, o := range objects {
			next, err := put.Put(o)
			if err != nil {
				putErr = err
				break
			}
			put = next
		}
		if (buildErr == nil) != (putErr == nil) {
			rt.Fatalf("Build returned error %v, Put returned error %v", buildErr, putErr)
		}
		if buildErr != nil {
			return
		}
		for h := range 3 {
			for p := range 30 {
				host, path := fmt.Sprintf("h%d.example", h), fmt.Sprintf("/%d/x", p)
				a, okA := built.Match(host, "GET", path, 0)
				b, okB := put.Match(host, "GET", path, 0)
				if a != b || okA != okB {
					rt.Fatalf("%s%s: Build matched %v, Put matched %v", host, path, a, b)
				}
			}
		}
	})
}

// BenchmarkBuild builds a configuration of many routes on one host, as every VM
// does after each change.
func BenchmarkBuild(b *testing.B) {
	var routes []*site.Route
	for i := range 4000 {
		routes = append(routes, aRoute(fmt.Sprint("r-", i), fmt.Sprintf("/%d/", i)))
	}
	objects := routedObjects(routes...)
	for b.Loop() {
		began := time.Now()
		_, err := site.Build(objects)
		assert.NilError(b, err)
		b.ReportMetric(float64(time.Since(began).Microseconds())/4000, "us/route")
	}
}

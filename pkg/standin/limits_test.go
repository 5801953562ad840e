package standin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/site"
)

// TestWorstLimitWindow guards against a check of the limits that overlooks a violation.
func TestWorstLimitWindow(t *testing.T) {
	start := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	every := func(from, to, gap float64) []time.Time {
		var out []time.Time
		for s := from; s < to; s += gap {
			out = append(out, at(s))
		}
		return out
	}
	named := func(s float64, l site.RequestLimit) NamedLimit { return NamedLimit{at(s), l} }
	none := site.RequestLimit{}
	for _, c := range []struct {
		name     string
		arrivals []time.Time
		named    []NamedLimit
		violated bool
	}{
		{"no limit", every(0, 20, 0.1), nil, false},
		{"at the limit", every(0, 20, 1), []NamedLimit{named(0, site.LimitOf(1))}, false},
		{"twelve in four seconds, eleven allowed", every(5, 5.57, 0.05), []NamedLimit{named(0, site.LimitOf(1))}, true},
		{"eleven in four seconds", every(5, 5.52, 0.05), []NamedLimit{named(0, site.LimitOf(1))}, false},
		{"before the contact time", every(0, 2.9, 0.1), []NamedLimit{named(0, site.LimitOf(1))}, false},
		{"after a fall, within the contact time of the higher limit", every(10, 12.5, 0.2), []NamedLimit{named(0, site.LimitOf(5)), named(10, site.LimitOf(1))}, false},
		{"after a fall", every(13, 16.9, 0.2), []NamedLimit{named(0, site.LimitOf(5)), named(10, site.LimitOf(1))}, true},
		{"after the end", every(10, 20, 0.1), []NamedLimit{named(0, site.LimitOf(1)), named(10, none)}, false},
		{"named again", every(18, 20, 0.1), []NamedLimit{named(0, site.LimitOf(1)), named(10, none), named(14, site.LimitOf(1))}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := WorstLimitWindow(c.arrivals, c.named)
			assert.Equal(t, w.Violated, c.violated, "%+v", w)
		})
	}
}

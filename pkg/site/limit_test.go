package site_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/site"
)

// TestInvalidRequestLimits guards against a server that names a limit in an unexpected
// form and is then taken to have none, or to have another one.
func TestInvalidRequestLimits(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		want   site.RequestLimit
		err    string // Part of the error; empty if there is none.
	}{
		{"no value", nil, site.RequestLimit{}, ""},
		{"a decimal number", []string{"2.1"}, site.LimitOf(2.1), ""},
		{"spaces", []string{" 3 "}, site.LimitOf(3), ""},
		{"zero", []string{"0"}, site.LimitOf(0), ""},
		{"less than one", []string{"0.2"}, site.LimitOf(0.2), ""},
		{"a large number", []string{"1000000"}, site.LimitOf(1e6), ""},
		{"an exponent", []string{"1e2"}, site.LimitOf(100), ""},
		{"negative", []string{"-1"}, site.RequestLimit{}, "negative"},
		{"not a number", []string{"NaN"}, site.RequestLimit{}, "not a finite decimal number"},
		{"infinite", []string{"Inf"}, site.RequestLimit{}, "not a finite decimal number"},
		{"out of range", []string{"1e400"}, site.RequestLimit{}, "not a finite decimal number"},
		{"hexadecimal", []string{"0x1p4"}, site.RequestLimit{}, "not a finite decimal number"},
		{"text", []string{"none"}, site.RequestLimit{}, "not a finite decimal number"},
		{"empty", []string{""}, site.RequestLimit{}, "not a finite decimal number"},
		{"a unit", []string{"2/s"}, site.RequestLimit{}, "not a finite decimal number"},
		{"a list", []string{"1, 2"}, site.RequestLimit{}, "not a finite decimal number"},
		{"twice", []string{"5", "2"}, site.LimitOf(2), "named 2 times"},
		{"twice, once invalid", []string{"x", "2"}, site.LimitOf(2), "named 2 times"},
		{"twice, both invalid", []string{"x", "-2"}, site.RequestLimit{}, "named 2 times"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := site.ParseRequestLimit(c.values)
			assert.Equal(t, got, c.want)
			if c.err == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.err)
		})
	}
}

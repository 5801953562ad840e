package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRun(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	good := `vm: {name: vm-1, site: north, dataCentre: a}
listen: {callers: "127.0.0.1:0", vms: "127.0.0.1:0", operators: "127.0.0.1:0"}
access: {fleetToken: sixteen-bytes-or-more}
stop: {balancerLag: 0s}
`
	example := filepath.Join("..", "..", "docs", "operations", "laburnumpickd.example.yaml")
	cases := []struct {
		name   string
		args   []string
		status int
		want   string // Part of the output.
	}{
		{"valid", []string{"--check", write("good.yaml", good)}, 0, "good.yaml is valid"},
		{"example file", []string{"--check", example}, 0, "is valid"},
		{"not valid", []string{"--check", write("bad.yaml", good+"colour: red\n")}, 2, "bad.yaml:5: unknown key: colour"},
		{"not valid, without --check", []string{write("bad2.yaml", good+"log: {verbosity: 99}\n")}, 2, "log.verbosity: 99 must lie between 0 and 9"},
		{"no file", []string{"--check", filepath.Join(dir, "nothing.yaml")}, 2, "nothing.yaml"},
		{"no argument", nil, 2, "<settings>"},
		{"unknown flag", []string{"--colour"}, 2, "unknown flag"},
		{"help", []string{"--help"}, 0, "Usage: laburnumpickd"},
		{"invalid listen address", []string{write("taken.yaml", strings.Replace(good, `callers: "127.0.0.1:0"`, `callers: "256.0.0.1:0"`, 1))}, 1, "256.0.0.1"},
		{"serves until it is stopped", []string{write("serve.yaml", good)}, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			var out bytes.Buffer
			assert.Equal(t, run(ctx, c.args, &out, &out), c.status, "%s", out.String())
			assert.Assert(t, strings.Contains(out.String(), c.want), "%s", out.String())
		})
	}
}

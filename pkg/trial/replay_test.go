package trial_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"laburnumpick.org/pkg/trial"
)

// TestReplay plays each recorded trace and compares the results with its golden
// file.
func TestReplay(t *testing.T) {
	files, err := filepath.Glob("traces/*.jsonl")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 3)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".jsonl")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			lines, err := trial.ParseTrace(bytes.NewReader(text))
			assert.NilError(t, err)
			withFleet(t, lines[0].Site, trial.Options{VMs: lines[0].VMs, Seed: 1, Downtime: 5 * time.Second}, func(t *testing.T, f *trial.Fleet) {
				var out bytes.Buffer
				enc := json.NewEncoder(&out)
				for _, r := range f.Replay(bg, lines) {
					assert.NilError(t, enc.Encode(r))
				}
				golden.Assert(t, out.String(), name+".golden")
			})
		})
	}
}

func TestParseTraceErrors(t *testing.T) {
	for _, text := range []string{"", "{}", "not JSON", `{"site":"lagos"}`, `{"site":"lagos","vms":1}` + "\n{"} {
		_, err := trial.ParseTrace(strings.NewReader(text))
		assert.Assert(t, err != nil, "%q", text)
	}
}

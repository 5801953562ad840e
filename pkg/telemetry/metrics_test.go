package telemetry_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"laburnumpick.org/pkg/telemetry"
)

// TestMetricsPage checks that the operators' page contains the current table.
func TestMetricsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/metrics.md")
	assert.NilError(t, err)
	golden.Assert(t, telemetry.MetricsTable(), "metrics.golden")
	assert.Assert(t, strings.Contains(string(page), telemetry.MetricsTable()), "docs/operations/metrics.md doesn't contain the table of telemetry.Metrics")
}

// TestTableMatchesCode checks that the metrics in the table are exactly those that
// the code reports, each with its package as the scope.
func TestTableMatchesCode(t *testing.T) {
	named := regexp.MustCompile(`\.(Counter|Gauge|Histogram)\("(\w+)"`)
	var used []string
	err := filepath.WalkDir("..", func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		src, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range named.FindAllStringSubmatch(string(src), -1) {
			used = append(used, filepath.Base(filepath.Dir(path))+" "+strings.ToLower(m[1])+" "+m[2])
		}
		return nil
	})
	assert.NilError(t, err)
	slices.Sort(used)
	var listed []string
	for _, m := range telemetry.Metrics {
		listed = append(listed, m.Scope+" "+string(m.Type)+" "+m.Name)
	}
	slices.Sort(listed)
	assert.DeepEqual(t, slices.Compact(used), listed)
}

func TestTagValuesAreBounded(t *testing.T) {
	v := telemetry.NewTagValues(2)
	for _, n := range []string{"a", "b", "a"} {
		assert.Equal(t, v.Limit(n), n)
	}
	assert.Equal(t, v.Limit("c"), telemetry.Others)
}

package record_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"laburnumpick.org/pkg/record"
)

// checkExplanations compares the explanations of some subjects by an event log with a golden file.
func checkExplanations(t *testing.T, log, want string, subjects ...string) {
	t.Helper()
	f, err := os.Open(filepath.Join("testdata", log))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, f.Close()) }()
	lines, err := record.Read(f)
	assert.NilError(t, err)
	var b strings.Builder
	for _, subject := range subjects {
		_, err := record.Explain(lines, subject).WriteTo(&b)
		assert.NilError(t, err)
	}
	golden.Assert(t, b.String(), want)
}

// TestExplain reads the event log of a simulated day. It compares the explanations
// of one request of each kind, of one server and of an unknown subject.
func TestExplain(t *testing.T) {
	checkExplanations(t, "account.log", "stories.golden",
		"a7dab83ba197dbbf", "815dddafb4ee91d1", "70b0d7cbf03b4c8e", "13932e6038cd9c39", "526aeb41a6cd6258",
		"i-3cc3300e88", "unknown")
}

// TestExplainNamesTheLosses guards against a request that was refused as quarantined and whose
// explanation does not name the servers that were lost with it.
func TestExplainNamesTheLosses(t *testing.T) {
	checkExplanations(t, "quarantine.log", "quarantine.golden", "2ad7f0cc-6fa6-4c25-865c-9a2f6a029ede", "bee3af77-f212-4f9b-aa76-09f35b404f67")
}

// TestExplainNamesTheEndOfTheConnection guards against a request that a VM has read and thrown away and
// whose explanation says that the VM was lost.
func TestExplainNamesTheEndOfTheConnection(t *testing.T) {
	checkExplanations(t, "unanswered.log", "unanswered.golden", "7f0e", "unknown")
}

func FuzzRead(f *testing.F) {
	f.Add("I0927 07:26:54.608666   1 grant.go:132] \"home: refused\" id=\"a\" queued=4")
	f.Add("   1.6 vm-1 E0101 00:00:00.000000 1 x:1] \"m\" a=\"\\\"\" b=")
	f.Fuzz(func(_ *testing.T, text string) {
		lines, err := record.Read(strings.NewReader(text))
		if err != nil {
			return // A line that is too long.
		}
		for _, l := range lines {
			record.Explain(lines, l.Get("id"))
		}
	})
}

// TestExplainNamesTheServersLimits guards against a refusal because of the servers' limits
// that looks like one for want of slots.
func TestExplainNamesTheServersLimits(t *testing.T) {
	checkExplanations(t, "limits.log", "limits.golden", "5ae94531", "sealbook-3")
}

// TestExplainNamesTheVMThatCarried guards against an explanation that hides which VM sent a
// request to its server, or that no VM could.
func TestExplainNamesTheVMThatCarried(t *testing.T) {
	checkExplanations(t, "egress.log", "egress.golden", "74e93123-609a-40df-b71e-b2e9fb1be58a", "6f3d6659-3039-4783-bf3a-bb00a0ca8cb5")
}

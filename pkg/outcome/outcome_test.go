package outcome_test

import (
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"laburnumpick.org/pkg/outcome"
)

// TestResponseTable compares the response of every kind with the golden file, since
// callers depend on these values.
func TestResponseTable(t *testing.T) {
	kinds := outcome.Kinds()
	slices.Sort(kinds)
	var b strings.Builder
	for _, k := range kinds {
		resp := k.Response()
		fmt.Fprintf(&b, "%-16s %-8s %d %-4v %s\n", k, resp.Outcome, resp.Status, resp.RetryAfter, resp.Advice)
	}
	golden.Assert(t, b.String(), "answers.golden")
}

// TestWrite checks the status, the headers and the body of an error response.
func TestWrite(t *testing.T) {
	w := httptest.NewRecorder()
	f := outcome.New(outcome.Overload, "the queue is full").WithRetryAfter(1200 * time.Millisecond)
	outcome.Write(w, f, "id-1", "/ask", false)
	h := w.Header()
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, h.Get("Retry-After"), "2")
	assert.Equal(t, h.Get(outcome.HeaderRetryMs), "1200")
	assert.Equal(t, h.Get(outcome.HeaderOutcome), "notRun")
	golden.Assert(t, w.Body.String()+"\n", "notice.golden")
}

// TestRetryAfterWithFractions checks that Retry-After keeps fractions of a second if
// they are allowed.
func TestRetryAfterWithFractions(t *testing.T) {
	w := httptest.NewRecorder()
	outcome.Write(w, outcome.New(outcome.Overload, "full").WithRetryAfter(350*time.Millisecond), "id-1", "", true)
	assert.Equal(t, w.Header().Get("Retry-After"), "0.350")
}

// TestUnlistedKindIsUnknown checks that a kind that is not in the table is never
// reported as answered or as not run.
func TestUnlistedKindIsUnknown(t *testing.T) {
	assert.Equal(t, outcome.Kind("made up").Response().Outcome, outcome.Unknown)
}

func ExampleFailure() {
	f := outcome.New(outcome.StoreUnavailable, "the table does not answer")
	fmt.Println(f)
	fmt.Println(f.Outcome(), f.RetryDelay())
	// Output:
	// storeAway: the table does not answer
	// notRun 5s
}

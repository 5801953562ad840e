package fleetapi

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// TestLimitsSurviveTheWire guards against a limit of zero, or the end of a limit, that
// another VM reads as the other one.
func TestLimitsSurviveTheWire(t *testing.T) {
	for _, l := range []site.RequestLimit{{}, site.LimitOf(0), site.LimitOf(2.1)} {
		named := pool.NamedLimit{Server: "s-0", StartedMs: 7, Limit: l, Age: 3 * time.Second, VM: "vm-1"}
		assert.Equal(t, toNamedLimit(fromNamedLimit(named)), named)
		report := home.LimitReport{Service: "s", Grant: 9, Named: named}
		assert.Equal(t, ToLimitReport(FromLimitReport(report)), report)
		grant := home.Reply{
			Decision: pool.Granted{ID: 1, Limit: l},
			Limits:   pool.LimitList{Version: pool.LimitVersion{Since: 1, Changes: 2}, Limits: []pool.NamedLimit{named}},
		}
		reply, ok := ToReply(FromReply(grant))
		assert.Assert(t, ok)
		assert.DeepEqual(t, reply, grant)
	}
}

package dispatch

import (
	"time"

	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/site"
)

// FirstSlotRequest returns the request for a slot that this VM would send for the first
// attempt of a caller's request that arrived now.
func (d *Dispatcher) FirstSlotRequest(now time.Time, m site.Match, account site.AccountName) *home.SlotRequest {
	j := &Job{Match: m, Account: account, Request: &backend.Request{}}
	if m.Target > 0 {
		j.Target = now.Add(m.Target)
	}
	req := d.slotRequest(now, j, &Result{}, false)
	req.Left = m.Timeout
	return req
}

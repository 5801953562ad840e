package dispatch

import (
	"net/http"
	"time"

	"laburnumpick.org/pkg/site"
)

// ObservedLimit is what a response says about its server's limit on requests. With an
// error, a limit that is not named means nothing.
type ObservedLimit struct {
	Limit site.RequestLimit
	Err   error // What is wrong with the limit, as site.ParseRequestLimit returns it.
}

// observeHead passes on what the head of a response says about its server. A server that
// refuses a request meant for another one says nothing about that one.
func (d *Dispatcher) observeHead(j *Job, t *attempt, status int, h http.Header) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	l, err := d.cfg.Contract.Limit(h)
	t.slot.ObserveLimit(j.Match.Service, ObservedLimit{l, err})
	d.observeNotice(time.Now(), j, t, status, h)
}

package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"laburnumpick.org/platform/standin"
)

// Bounds of the promises.
const (
	// lossSlack is how long after a request a connection may end unread.
	lossSlack = 200 * time.Millisecond
	// contact is how long after a harm something lost is still excused.
	contact = 3 * time.Second
	// recovered is the share of requests that must be served at the end.
	recovered = 0.9
)

// notRun are the statuses that promise that a request has not run.
var notRun = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// known are the statuses that a proper request may get.
var known = append([]int{
	http.StatusOK, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout,
}, notRun...)

// check returns the promises that were broken. Without timing, only those count
// that hold on a machine of any speed.
func check(all []told, runs []standin.Run, quiet time.Time, timing bool) []string {
	ran := make(map[string]int)
	for _, r := range runs {
		ran[r.ID]++
	}
	var broken []string
	for _, t := range all {
		why := t.broken(ran[t.id])
		if why == "" && timing {
			why = t.lost(ran[t.id])
		}
		if why != "" {
			broken = append(broken, fmt.Sprintf("%s via %s at %s: %s", t.id, t.vm.name, t.sent.Format("15:04:05.000"), why))
		}
	}
	if why := unserved(all, quiet); why != "" && timing {
		broken = append(broken, why)
	}
	return broken
}

// broken returns what is wrong with what a caller got for a request that has run
// so many times, or "".
func (t *told) broken(runs int) string {
	switch {
	case t.once && runs > 1:
		return fmt.Sprintf("may run once and ran %d times", runs)
	case t.wrong != "":
		return t.wrong
	case t.once && slices.Contains(notRun, t.status) && runs > 0:
		return fmt.Sprintf("status %d promises that it has not run, and it has", t.status)
	case t.status == http.StatusOK && runs == 0:
		return "answered and never run"
	case t.status != 0 && !slices.Contains(known, t.status):
		return fmt.Sprintf("status %d for a proper request", t.status)
	}
	return ""
}

// lost returns why a request without an answer should have had one, or "".
func (t *told) lost(runs int) string {
	took := t.end.Sub(t.sent)
	if t.status != 0 || t.vm.excused(t.sent.Add(-contact)) || (runs == 0 && took <= lossSlack) {
		return ""
	}
	return fmt.Sprintf("no whole answer after %v, run %d times: %v", took.Round(time.Millisecond), runs, t.err)
}

// unserved returns what is wrong once all is well again, or "".
func unserved(all []told, quiet time.Time) string {
	good, late := 0, 0
	for _, t := range all {
		if !t.sent.After(quiet) {
			continue
		}
		late++
		if t.status == http.StatusOK {
			good++
		}
	}
	if late > 0 && float64(good) >= recovered*float64(late) {
		return ""
	}
	return fmt.Sprintf("only %d of %d requests were served once all was well again", good, late)
}

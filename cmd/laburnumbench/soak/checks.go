package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"laburnumpick.org/platform/standin"
)

// Tolerances of the checks.
const (
	// closeRaceWindow is how long after a request a VM may still close the
	// connection without having read the request.
	closeRaceWindow = 200 * time.Millisecond
	// disruptionMargin is how long a VM counts as disrupted after a kill or pause
	// has ended. Requests sent until disruptionMargin after that may get no response
	// either.
	disruptionMargin = 3 * time.Second
	// minServedShare is the share of requests that must succeed once all faults
	// have ended.
	minServedShare = 0.9
)

// notRunStatuses are the statuses that guarantee that a request has not run.
var notRunStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// allowedStatuses are the statuses that a valid request may get.
var allowedStatuses = append([]int{
	http.StatusOK, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout,
}, notRunStatuses...)

// checkPromises compares the callers' results with the runs that the servers
// logged and returns the broken promises. Without timing, it skips the checks
// that a slow machine can fail.
func checkPromises(all []requestResult, runs []standin.Run, recoveryStart time.Time, timing bool) []string {
	ran := make(map[string]int)
	shown := make(map[string]credentials, len(all))
	for _, t := range all {
		shown[t.id] = t.shown
	}
	var broken []string
	for _, r := range runs {
		ran[r.ID]++
		if why := shown[r.ID].violation(r.Header); why != "" {
			broken = append(broken, fmt.Sprintf("%s on %s at %s: %s", r.ID, r.Server, r.At.Format("15:04:05.000"), why))
		}
	}
	for _, t := range all {
		why := t.violation(ran[t.id])
		if why == "" && timing {
			why = t.missingResponse(ran[t.id])
		}
		if why != "" {
			broken = append(broken, fmt.Sprintf("%s via %s at %s: %s", t.id, t.vm.name, t.sent.Format("15:04:05.000"), why))
		}
	}
	if why := checkRecovery(all, recoveryStart); why != "" && timing {
		broken = append(broken, why)
	}
	return broken
}

// violation describes the promise that the result breaks, given how many times
// the servers ran the request. It returns "" if none is broken.
func (t *requestResult) violation(runs int) string {
	switch {
	case t.atMostOnce && runs > 1:
		return fmt.Sprintf("at-most-once request ran %d times", runs)
	case t.mismatch != "":
		return t.mismatch
	case t.atMostOnce && slices.Contains(notRunStatuses, t.status) && runs > 0:
		return fmt.Sprintf("status %d says that the request has not run, but it ran", t.status)
	case t.status == http.StatusOK && runs == 0:
		return "answered with status 200, but no server ran it"
	case t.status != 0 && !slices.Contains(t.shown.allowed(), t.status):
		return fmt.Sprintf("unexpected status %d, with unknown key: %v", t.status, t.shown.unknown)
	}
	return ""
}

// missingResponse describes a request that should have got a complete response but
// did not, and returns "" for any other. A request is exempt if a disruption of its
// VM, which is a kill or pause, ended later than disruptionMargin before the request,
// or if the connection closed within closeRaceWindow and no server ran the request.
// The VM records only its latest disruption, so all its earlier requests are exempt.
func (t *requestResult) missingResponse(runs int) string {
	elapsed := t.end.Sub(t.sent)
	if t.status != 0 || t.vm.isDisruptedAfter(t.sent.Add(-disruptionMargin)) || (runs == 0 && elapsed <= closeRaceWindow) {
		return ""
	}
	return fmt.Sprintf("no complete response after %v, run %d times: %v", elapsed.Round(time.Millisecond), runs, t.err)
}

// checkRecovery checks the share of successful requests among those sent after
// recoveryStart. It returns "" if enough succeeded.
func checkRecovery(all []requestResult, recoveryStart time.Time) string {
	served, total := 0, 0
	for _, t := range all {
		if !t.sent.After(recoveryStart) || t.shown.unknown {
			continue
		}
		total++
		if t.status == http.StatusOK {
			served++
		}
	}
	if total > 0 && float64(served) >= minServedShare*float64(total) {
		return ""
	}
	return fmt.Sprintf("only %d of %d requests succeeded after all faults had ended", served, total)
}

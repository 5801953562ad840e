package home

import (
	"fmt"
	"slices"
	"time"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/quarantine"
	"laburnumpick.org/pkg/record"
)

// RefusedForLosses returns the refusal of a request that crashes servers. attempts is the number
// of servers that it has been sent to: once it may have run, "not run" is no longer true of it.
func RefusedForLosses(v quarantine.Verdict, attempts int) pool.Refused {
	if attempts > 0 {
		return pool.Refused{Kind: outcome.CrashedServers, Detail: "backend servers crashed while they ran this request"}
	}
	return pool.Refused{
		Kind:   outcome.Quarantined,
		Detail: fmt.Sprintf("the request is quarantined: several backend servers crashed while they ran it (suspect %s)", v.Fingerprint), RetryAfter: v.RetryAfter,
	}
}

// lossesOf returns what this VM and the requesting one know of a request's losses.
func (h *Home) lossesOf(now time.Time, id quarantine.Identity, told quarantine.Basis) quarantine.Basis {
	return h.cfg.Losses.Check(now, id).Basis.Max(told)
}

// updateLosses records that a request crashed its server, or clears a suspected request that was
// served.
func (h *Home) updateLosses(now time.Time, e GrantResult) {
	switch r := e.Report.(type) {
	case pool.Unreached:
		if r.Crashed {
			h.reportLoss(now, e.Loss(now))
		}
	case pool.Failed:
		if !r.Answered && e.StartedMs != 0 {
			h.addDoubt(now, e.Loss(now))
		}
	case pool.Served:
		h.clearLosses(now, e)
	case pool.Declined, pool.Dropped:
	}
}

// Loss returns the loss of the server that a result reports.
func (e *GrantResult) Loss(now time.Time) quarantine.Loss {
	return quarantine.Loss{
		Identity: e.Identity, Basis: e.Basis, Service: e.Service, Server: e.Server, StartedMs: e.StartedMs, VM: e.VM, Ran: e.Ran, Request: e.Request, At: now,
	}
}

// reportLoss records that a server crashed during a request and informs the other VMs, any of which
// may get the request next.
func (h *Home) reportLoss(now time.Time, l quarantine.Loss) {
	if l.Server == "" || !h.cfg.Losses.RecordLoss(now, l) {
		return
	}
	h.cfg.Losses.MarkUnsaved(l.Identity.Own)
	h.cfg.Scope.Counter("losses").Inc(1)
	record.Log("home: server lost during a request", "pool", l.Service, "server", l.Server, "started", l.StartedMs, "vm", l.VM,
		"suspect", l.Identity.Own)
	text := "server " + string(l.Server) + " crashed during " + l.Request
	if v := h.cfg.Losses.Check(now, l.Identity); v.Blocked {
		text += fmt.Sprintf("; suspect %s is quarantined", v.Fingerprint)
	}
	h.cfg.Journal.Add(now, "request "+string(l.Identity.Own), text)
	go h.cfg.OnLoss(l)
}

// clearLosses clears a request of earlier losses once it has been served normally: another request
// on the lost servers must have been the cause.
func (h *Home) clearLosses(now time.Time, e GrantResult) {
	var b quarantine.Basis
	if e.Basis != nil {
		b = *e.Basis
	}
	for _, r := range h.cfg.Losses.Served(now, e.Identity, b) {
		h.cfg.Losses.RecordRelease(now, r)
		h.cfg.Losses.MarkUnsaved(r.Fingerprint)
		h.cfg.Journal.Add(now, "request "+string(r.Fingerprint), "cleared: it was served normally by another server")
		go h.cfg.OnCleared(r)
	}
}

// Limits of doubts.
const (
	doubtTime = 10 * time.Second // In which a server that has crashed is expected to register again.
	maxDoubts = 256
)

// doubt is a failure whose server may have crashed and started again before a check found it down.
type doubt struct {
	loss  quarantine.Loss
	until time.Time
}

// addDoubt remembers a failure until it is known whether its server has started again.
func (h *Home) addDoubt(now time.Time, l quarantine.Loss) {
	if len(h.doubts) >= maxDoubts {
		h.doubts = h.doubts[1:]
	}
	h.doubts = append(h.doubts, doubt{l, now.Add(doubtTime)})
}

// checkDoubts reports the losses of servers that have started again since they failed a request.
func (h *Home) checkDoubts(now time.Time) {
	if len(h.doubts) == 0 {
		return
	}
	servers := h.cfg.Registry.State()
	h.doubts = slices.DeleteFunc(h.doubts, func(d doubt) bool {
		if l, ok := servers.Server(d.loss.Server); ok && l.Server.StartedMs > d.loss.StartedMs {
			h.reportLoss(now, d.loss)
			return true
		}
		return now.After(d.until)
	})
}

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"laburnumpick.org/pkg/standin"
	platform "laburnumpick.org/platform/standin"
)

// Requests that crash servers.
const (
	crashPrefix   = "crash-" // Of their IDs.
	crashInterval = 1500 * time.Millisecond
	crashDownTime = 3 * time.Second // Until the server's successor starts.
)

// What the users' pages allow a request that crashes servers.
const (
	crashNews         = 3 * time.Second // After its third crash, in which all VMs must have heard of it.
	maxCrashesOverdue = 3               // Later than that.
)

// sendCrashRequests has one caller send a request that crashes each server that runs it, again and
// again through random VMs.
func (s *soak) sendCrashRequests(ctx context.Context, c *callers) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 16))
	place := []standin.CrashPlace{standin.CrashBeforeResponse, standin.CrashInBody}[rng.IntN(2)]
	hc := &http.Client{Timeout: exchangeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(crashInterval)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.pickVM(rng).addresses().Callers+anonymousPath+"crash", http.NoBody)
		if err != nil {
			return
		}
		req.Host = "soak.example"
		req.Header.Set(platform.HeaderID, fmt.Sprint(crashPrefix, i))
		req.Header.Set(platform.HeaderDeadline, fmt.Sprint(requestDeadline.Milliseconds()))
		req.Header.Set(platform.HeaderCrash, string(place))
		resp, err := hc.Do(req)
		if err != nil {
			continue // Only what the servers see counts.
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// crashServer ends a server, and starts its successor after a while. It does nothing if an event is
// replacing the server.
func (s *soak) crashServer(index int, srv *platform.Server, k *link) {
	if s.replacing[index].Swap(true) {
		return
	}
	srv.Close(true)
	k.close()
	time.AfterFunc(crashDownTime, func() {
		defer s.replacing[index].Store(false)
		s.store.Delete("servers", srv.Name)
		_ = s.startServer(index) // A server that is missing shows in the requests that are not served.
	})
}

// crashTimes returns when requests that crash servers began to run, in order.
func crashTimes(runs []platform.Run) []time.Time {
	var at []time.Time
	for _, r := range runs {
		if strings.HasPrefix(r.ID, crashPrefix) {
			at = append(at, r.At)
		}
	}
	slices.SortFunc(at, func(a, b time.Time) int { return a.Compare(b) })
	return at
}

// checkCrashes returns the broken promise if a request that crashes servers reached too many.
func checkCrashes(runs []platform.Run) []string {
	at := crashTimes(runs)
	overdue := 0
	for i, x := range at {
		if i > 2 && x.Sub(at[2]) > crashNews {
			overdue++
		}
	}
	if overdue <= maxCrashesOverdue {
		return nil
	}
	return []string{fmt.Sprintf("a request that crashes servers reached %d of them, %d later than %v after the third", len(at), overdue, crashNews)}
}

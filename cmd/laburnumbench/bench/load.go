package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/trial"
)

// attemptResult records one attempt of a caller and its reply.
type attemptResult struct {
	site       string
	call       trial.Call
	atMostOnce bool
	start      time.Time
	end        time.Time
	reply      trial.Reply
}

// load generates the requests of a site's plan and records the results.
type load struct {
	plan       *trial.Plan
	addresses  func() []string // Caller addresses of the VMs in rotation.
	rng        *rand.Rand
	http       *http.Client
	rateFactor float64 // Multiplies the plan's rates.

	mu      sync.Mutex
	results []attemptResult
	wg      sync.WaitGroup
	lastID  int
}

func newLoad(p *trial.Plan, addresses func() []string, rt http.RoundTripper, seed uint64) *load {
	return &load{
		plan: p, addresses: addresses, rng: rand.New(rand.NewPCG(seed, 7)),
		http: &http.Client{Transport: rt}, rateFactor: 1,
	}
}

// run sends requests until the context ends, then waits for the responses.
func (l *load) run(ctx context.Context) {
	type schedule struct {
		at  time.Time
		svc int
	}
	var schedules []schedule
	for i := range l.plan.Services {
		schedules = append(schedules, schedule{time.Now().Add(l.interarrival(i)), i})
	}
	for {
		first := 0
		for i := range schedules {
			if schedules[i].at.Before(schedules[first].at) {
				first = i
			}
		}
		select {
		case <-ctx.Done():
			l.wg.Wait()
			return
		default:
			time.Sleep(time.Until(schedules[first].at))
		}
		l.send(ctx, schedules[first].svc)
		schedules[first].at = schedules[first].at.Add(l.interarrival(schedules[first].svc))
	}
}

// interarrival draws the time until the next request to a service, from an
// exponential distribution.
func (l *load) interarrival(svc int) time.Duration {
	return time.Duration(l.rng.ExpFloat64() / (l.rateFactor * l.plan.Services[svc].Rate) * float64(time.Second))
}

// Composition of the load.
const (
	writeShare   = 0.5  // Share of writes among the requests to a service that has writes.
	resendShare  = 0.05 // Share of writes that the caller sends twice, concurrently.
	accountCount = 40
)

// send starts a request, and for some writes a concurrent second attempt with the
// same idempotency key.
func (l *load) send(ctx context.Context, svc int) {
	s := &l.plan.Services[svc]
	l.lastID++
	c := trial.Call{
		Service: s.Name, Method: http.MethodGet, Path: "/items", Size: 600,
		Mark:    fmt.Sprintf("%s-%d", l.plan.Site, l.lastID),
		Account: site.AccountName(fmt.Sprintf("account-%d", l.rng.IntN(accountCount))),
	}
	atMostOnce := s.WritePath != "" && l.rng.Float64() < writeShare
	attempts := 1
	if atMostOnce {
		c.Method, c.Path, c.Key, c.Body = http.MethodPost, s.WritePath, "key-"+c.Mark, "mark "+c.Mark
		if l.rng.Float64() < resendShare {
			attempts = 2
		}
	}
	for range attempts {
		address := l.pickVM()
		l.wg.Go(func() { l.attempt(context.WithoutCancel(ctx), address, c, atMostOnce) })
	}
}

// pickVM returns the address of a random VM in rotation.
func (l *load) pickVM() string {
	all := l.addresses()
	if len(all) == 0 {
		return "127.0.0.1:0" // Fails at once, like a load balancer without VMs.
	}
	return all[l.rng.IntN(len(all))]
}

// attempt sends one request and records its result.
func (l *load) attempt(ctx context.Context, address string, c trial.Call, atMostOnce bool) trial.Reply {
	s := attemptResult{site: string(l.plan.Site), call: c, atMostOnce: atMostOnce, start: time.Now()}
	s.reply = trial.Send(ctx, l.http, address, c)
	s.end = time.Now()
	l.mu.Lock()
	l.results = append(l.results, s)
	l.mu.Unlock()
	return s.reply
}

// countOutcomes counts the results so far by outcome. A request counts as aborted if
// its connection failed before the complete response.
func (l *load) countOutcomes() (answered, notRun, unknown, aborted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.results {
		r := &l.results[i].reply
		switch {
		case r.Err != nil:
			aborted++
		case r.Outcome == outcome.Answered:
			answered++
		case r.Outcome == outcome.NotRun:
			notRun++
		default:
			unknown++
		}
	}
	return answered, notRun, unknown, aborted
}

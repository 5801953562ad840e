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

// sent is one attempt of a caller with what it got.
type sent struct {
	site  string
	call  trial.Call
	once  bool
	start time.Time
	end   time.Time
	reply trial.Reply
}

// load sends a site's mixture of requests and keeps what callers got.
type load struct {
	plan      *trial.Plan
	addresses func() []string // Of the VMs that the balancer uses.
	rng       *rand.Rand
	http      *http.Client
	busier    float64 // Times the plan's rates.

	mu   sync.Mutex
	all  []sent
	wg   sync.WaitGroup
	next int
}

func newLoad(p *trial.Plan, addresses func() []string, rt http.RoundTripper, seed uint64) *load {
	return &load{
		plan: p, addresses: addresses, rng: rand.New(rand.NewPCG(seed, 7)),
		http: &http.Client{Transport: rt}, busier: 1,
	}
}

// run sends requests until the context ends, then waits for the answers.
func (l *load) run(ctx context.Context) {
	type due struct {
		at  time.Time
		svc int
	}
	var next []due
	for i := range l.plan.Services {
		next = append(next, due{time.Now().Add(l.gap(i)), i})
	}
	for {
		first := 0
		for i := range next {
			if next[i].at.Before(next[first].at) {
				first = i
			}
		}
		select {
		case <-ctx.Done():
			l.wg.Wait()
			return
		default:
			time.Sleep(time.Until(next[first].at))
		}
		l.send(ctx, next[first].svc)
		next[first].at = next[first].at.Add(l.gap(next[first].svc))
	}
}

// gap draws the time between two requests to a service.
func (l *load) gap(svc int) time.Duration {
	return time.Duration(l.rng.ExpFloat64() / (l.busier * l.plan.Services[svc].Rate) * float64(time.Second))
}

// Shares of the mixture.
const (
	writeShare  = 0.5  // Of requests to services that have writes.
	resendShare = 0.05 // Of writes that the caller sends again at once elsewhere.
	accounts    = 40
)

// send starts one request, and for some writes a second attempt beside it.
func (l *load) send(ctx context.Context, svc int) {
	s := &l.plan.Services[svc]
	l.next++
	c := trial.Call{
		Service: s.Name, Method: http.MethodGet, Path: "/items", Size: 600,
		Mark:    fmt.Sprintf("%s-%d", l.plan.Site, l.next),
		Account: site.AccountName(fmt.Sprintf("account-%d", l.rng.IntN(accounts))),
	}
	once := s.WritePath != "" && l.rng.Float64() < writeShare
	attempts := 1
	if once {
		c.Method, c.Path, c.Key, c.Body = http.MethodPost, s.WritePath, "key-"+c.Mark, "mark "+c.Mark
		if l.rng.Float64() < resendShare {
			attempts = 2
		}
	}
	for range attempts {
		address := l.pick()
		l.wg.Go(func() { l.attempt(context.WithoutCancel(ctx), address, c, once) })
	}
}

// pick chooses a VM as the balancer would.
func (l *load) pick() string {
	all := l.addresses()
	if len(all) == 0 {
		return "127.0.0.1:0" // Refused at once, as by a balancer without VMs.
	}
	return all[l.rng.IntN(len(all))]
}

func (l *load) attempt(ctx context.Context, address string, c trial.Call, once bool) trial.Reply {
	s := sent{site: string(l.plan.Site), call: c, once: once, start: time.Now()}
	s.reply = trial.Send(ctx, l.http, address, c)
	s.end = time.Now()
	l.mu.Lock()
	l.all = append(l.all, s)
	l.mu.Unlock()
	return s.reply
}

// tally counts what callers got so far.
func (l *load) tally() (answered, notRun, unknown, broken int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.all {
		r := &l.all[i].reply
		switch {
		case r.Err != nil:
			broken++
		case r.Outcome == outcome.Answered:
			answered++
		case r.Outcome == outcome.NotRun:
			notRun++
		default:
			unknown++
		}
	}
	return answered, notRun, unknown, broken
}

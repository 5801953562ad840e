package pool

import (
	"math"
	"slices"
	"time"

	"laburnumpick.org/pkg/site"
)

// Constants of the tests for sickness.
const (
	// slowShape is the exponent of the alternative "slow": a sick server's
	// latencies rank among its peers' as the largest of so many would.
	slowShape = 3
	// minFailRate is the share of failed answers that a healthy server may have.
	minFailRate = 0.005
	// sickFailRate is the least share of failed answers of a sick server.
	sickFailRate = 0.2
	maxFailRate  = 0.9
	// failWeight is the weight of the newest answer in a rate of failed ones.
	failWeight = 1.0 / 16
	// commonRate is a peer's rate of failed answers above which it has got
	// worse as well.
	commonRate = 0.1
	// commonScore is the share of the threshold at which a peer is suspect too.
	commonScore = 0.35
	// slowRatio is how many times the peers' median a server's own must at least
	// be for its latencies to convict it.
	slowRatio = 2
	// recentCount is how many of a server's latest latencies its own median is of.
	recentCount = 8
	// trialRatio is how many times the peers' median a good trial may take.
	trialRatio = 4

	ringSize     = 24 // Latencies kept for each server and rule.
	minReference = 16 // Peers' latencies before ranks mean anything.
	// rankPrior is how many latencies, spread evenly, stand beside the peers'
	// in a rank: a short reference may be low by chance for many answers on end.
	rankPrior = 8
	maxRules  = 16 // Rules whose latencies are kept apart.
)

// detector gathers the evidence against one server in two cumulative sums of
// log-likelihood ratios, one over failures and one over latencies. Each starts
// anew at zero, so that old good answers do not hide new bad ones. A healthy
// server passes a threshold of h nats once in no less than e^h answers.
type detector struct {
	failScore float64
	slowScore float64
	failRate  float64
	rings     map[site.RuleName]*ring
}

func newDetector() detector {
	return detector{rings: make(map[site.RuleName]*ring)}
}

// score is the stronger of the two cases against the server.
func (d *detector) score() float64 { return max(d.failScore, d.slowScore) }

func (d *detector) acquit() { d.failScore, d.slowScore = 0, 0 }

// addFailure weighs whether an answer failed. healthy is the share of failed
// answers of the server's peers.
func (d *detector) addFailure(failed bool, healthy float64) {
	p0 := min(max(healthy, minFailRate), maxFailRate)
	p1 := min(max(sickFailRate, 3*p0), 0.97)
	step, hit := math.Log((1-p1)/(1-p0)), 0.0
	if failed {
		step, hit = math.Log(p1/p0), 1
	}
	d.failScore = max(0, d.failScore+step)
	d.failRate += (hit - d.failRate) * failWeight
}

// addRank weighs a latency by its rank among the peers', between 0 and 1. For
// a server that is like its peers ranks are uniform, whatever the shape of the
// latencies' distribution.
func (d *detector) addRank(rank float64) {
	step := math.Log(slowShape) + (slowShape-1)*math.Log(rank)
	d.slowScore = max(0, d.slowScore+step)
}

func (d *detector) keep(rule site.RuleName, ms float64) {
	r, ok := d.rings[rule]
	if !ok {
		if len(d.rings) >= maxRules {
			return
		}
		r = &ring{}
		d.rings[rule] = r
	}
	r.add(ms)
}

// ring keeps the last latencies.
type ring struct {
	ms [ringSize]float64
	n  int // Values kept.
	at int // Place of the next value.
}

func (r *ring) add(ms float64) {
	r.ms[r.at] = ms
	r.at = (r.at + 1) % ringSize
	r.n = min(r.n+1, ringSize)
}

func (r *ring) values() []float64 { return r.ms[:r.n] }

// recentMedian returns the median of the last few latencies.
func (r *ring) recentMedian() float64 {
	var buf [recentCount]float64
	last := buf[:0]
	for i := range min(recentCount, r.n) {
		last = append(last, r.ms[(r.at-1-i+ringSize)%ringSize])
	}
	return median(last)
}

// reference appends the latest latencies of the service's other trusted
// servers to buf.
func (p *Pool) reference(buf []float64, rule site.RuleName, self *server) []float64 {
	for _, v := range p.order {
		if v == self || !v.trusted() {
			continue
		}
		if r, ok := v.rings[rule]; ok {
			buf = append(buf, r.values()...)
		}
	}
	return buf
}

// rank returns the share of the peers' latencies that a latency exceeds, or
// false where too little is known.
func (p *Pool) rank(v *server, rule site.RuleName, ms float64) (float64, bool) {
	var buf [512]float64
	ref := p.reference(buf[:0], rule, v)
	if len(ref) < minReference {
		return 0, false
	}
	below := rankPrior / 2.0
	for _, r := range ref {
		switch {
		case r < ms:
			below++
		case r == ms:
			below += 0.5
		}
	}
	return below / float64(len(ref)+rankPrior), true
}

// usual is what the answers of a rule take, as of a while ago.
type usual struct {
	at      time.Time
	median  float64 // In milliseconds.
	slowest float64 // Of the slowest usual answers, in milliseconds.
}

// usualFor is how long what answers take is good for. Each request asks for it
// several times, and it moves slowly.
const usualFor = 100 * time.Millisecond

// usualOf returns what the answers of a rule take. Where too little is known it
// goes by the mean of all answers.
func (p *Pool) usualOf(now time.Time, rule site.RuleName) usual {
	if u, ok := p.usuals[rule]; ok && now.Sub(u.at) < usualFor {
		return u
	}
	u := usual{at: now, median: p.meanMs, slowest: guessRatio * p.meanMs}
	var buf [512]float64
	if ref := p.reference(buf[:0], rule, nil); len(ref) >= minReference {
		slices.Sort(ref)
		u.median = ref[len(ref)/2]
		u.slowest = ref[int(slowQuantile*float64(len(ref)))]
	}
	if len(p.usuals) >= maxRules {
		clear(p.usuals)
	}
	p.usuals[rule] = u
	return u
}

// slowQuantile is the share of answers that take no longer than the slowest
// usual one.
const slowQuantile = 0.95

// guessRatio is how many times the mean the slowest usual answers take, where
// too little is known.
const guessRatio = 3

// peersMedian returns the median of the peers' latest latencies in
// milliseconds, or zero where too little is known.
func (p *Pool) peersMedian(rule site.RuleName, self *server) float64 {
	var buf [512]float64
	ref := p.reference(buf[:0], rule, self)
	if len(ref) < minReference {
		return 0
	}
	return median(ref)
}

// eachPeer calls do with the score and the rate of failures of each other
// trusted server of the service.
func (p *Pool) eachPeer(self *server, do func(score, failRate float64)) {
	for _, v := range p.order {
		if v != self && v.trusted() {
			do(v.score(), v.failRate)
		}
	}
}

// peersFailRate returns the mean share of failed answers of the other servers.
func (p *Pool) peersFailRate(self *server) float64 {
	sum, n := 0.0, 0
	p.eachPeer(self, func(_, rate float64) {
		sum += rate
		n++
	})
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// commonCause reports whether at least half of the other servers get worse as
// well, so that the cause lies outside the server.
func (p *Pool) commonCause(self *server) bool {
	limit := float64(p.set.ScoreThreshold) * commonScore
	worse, n := 0, 0
	p.eachPeer(self, func(score, rate float64) {
		n++
		if score > limit || rate > commonRate {
			worse++
		}
	})
	return n > 0 && 2*worse >= n
}

// stillSlow reports whether a server's latest answers are slow beside what the
// peers give now. Its score may be from before they got slower as well.
func (p *Pool) stillSlow(v *server, rule site.RuleName) bool {
	r, ok := v.rings[rule]
	return ok && r.n > 0 && r.recentMedian() > slowRatio*p.peersRecent(rule, v)
}

// peersRecent returns the median over what the service's other servers
// have taken in their last few answers, in milliseconds.
func (p *Pool) peersRecent(rule site.RuleName, self *server) float64 {
	var buf [64]float64
	ms := p.recents(buf[:0], rule, self)
	return median(ms)
}

// recents appends the recent medians of the pool's trusted servers but one.
func (p *Pool) recents(buf []float64, rule site.RuleName, self *server) []float64 {
	for _, v := range p.order {
		if r, ok := v.rings[rule]; ok && v != self && v.trusted() && r.n > 0 {
			buf = append(buf, r.recentMedian())
		}
	}
	return buf
}

// median returns the median of values, which it sorts, or zero of none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// tooSlow reports whether a trial took far longer than the peers' answers do.
func (p *Pool) tooSlow(v *server, rule site.RuleName, took time.Duration) bool {
	m := p.peersMedian(rule, v)
	return m > 0 && milliseconds(took) > trialRatio*m
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

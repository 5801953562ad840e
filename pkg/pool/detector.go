package pool

import (
	"math"
	"slices"
	"time"

	"laburnumpick.org/pkg/site"
)

// Parameters of the tests for unhealthy servers.
const (
	// slowShape is the exponent of the alternative hypothesis "slow": the ranks of an
	// unhealthy server's latencies among its peers' are distributed like the largest
	// of slowShape uniform values.
	slowShape = 3
	// minFailRate is the least rate of failed requests that is assumed of a healthy
	// server.
	minFailRate = 0.005
	// unhealthyFailRate is the least rate of failed requests that is assumed of an
	// unhealthy server.
	unhealthyFailRate = 0.2
	// maxFailRate is the greatest rate of failed requests that is assumed of a healthy
	// server, whatever its peers' rate is.
	maxFailRate = 0.9
	// failWeight is the weight of the newest request in the moving rate of failed
	// requests.
	failWeight = 1.0 / 16
	// commonFailRate is a peer's rate of failed requests above which the peer has got
	// worse as well.
	commonFailRate = 0.1
	// commonScore is the share of the score threshold above which a peer has got worse
	// as well.
	commonScore = 0.35
	// slowRatio is the least ratio of a server's recent median latency to its peers'
	// at which its latencies alone make it suspected.
	slowRatio = 2
	// recentCount is the number of latest latencies in a server's recent median.
	recentCount = 8
	// probeRatio is the greatest ratio of a good probe's latency to the peers' median.
	probeRatio = 4

	ringSize     = 24 // Latencies kept for each server and rule.
	minReference = 16 // Fewer latencies of peers give no usable rank.
	// rankPrior is the number of evenly spread latencies that are added to the peers'
	// when a rank is computed. A short reference may otherwise be too low by chance,
	// for many responses in a row.
	rankPrior = 8
	maxRules  = 16 // Rules whose latencies are kept separately.
)

// detector holds the evidence against one server as two cumulative sums (CUSUM) of
// log-likelihood ratios, one over failures and one over latencies. Neither sum falls
// below zero, so old good responses do not mask new bad ones. A healthy server exceeds
// a threshold of h nats at most once in e^h responses on average.
type detector struct {
	failScore float64                 // Sum over failures.
	slowScore float64                 // Sum over latencies.
	failRate  float64                 // Moving rate of failed requests.
	rings     map[site.RuleName]*ring // Latest latencies of each rule.
}

func newDetector() detector {
	return detector{rings: make(map[site.RuleName]*ring)}
}

// score returns the greater of the two sums.
func (d *detector) score() float64 { return max(d.failScore, d.slowScore) }

// resetScores sets both sums to zero.
func (d *detector) resetScores() { d.failScore, d.slowScore = 0, 0 }

// addResult updates the failure sum and rate with the result of a request. peersRate
// is the rate of failed requests of the server's peers.
func (d *detector) addResult(failed bool, peersRate float64) {
	p0 := min(max(peersRate, minFailRate), maxFailRate)
	p1 := min(max(unhealthyFailRate, 3*p0), 0.97)
	step, hit := math.Log((1-p1)/(1-p0)), 0.0
	if failed {
		step, hit = math.Log(p1/p0), 1
	}
	d.failScore = max(0, d.failScore+step)
	d.failRate += (hit - d.failRate) * failWeight
}

// addRank updates the latency sum with the rank of a latency among the peers',
// between 0 and 1. The ranks of a server that is like its peers are uniform,
// whatever the distribution of the latencies.
func (d *detector) addRank(rank float64) {
	step := math.Log(slowShape) + (slowShape-1)*math.Log(rank)
	d.slowScore = max(0, d.slowScore+step)
}

// addLatency keeps a latency of a rule, for up to maxRules rules.
func (d *detector) addLatency(rule site.RuleName, ms float64) {
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

// ring keeps the latest latencies, in milliseconds.
type ring struct {
	ms   [ringSize]float64
	n    int // Number of values.
	next int // Index of the next value.
}

func (r *ring) add(ms float64) {
	r.ms[r.next] = ms
	r.next = (r.next + 1) % ringSize
	r.n = min(r.n+1, ringSize)
}

func (r *ring) values() []float64 { return r.ms[:r.n] }

// recentMedian returns the median of the latest recentCount latencies.
func (r *ring) recentMedian() float64 {
	var buf [recentCount]float64
	last := buf[:0]
	for i := range min(recentCount, r.n) {
		last = append(last, r.ms[(r.next-1-i+ringSize)%ringSize])
	}
	return median(last)
}

// appendPeerLatencies appends the latest latencies of the service's other trusted
// servers to buf.
func (p *Pool) appendPeerLatencies(buf []float64, rule site.RuleName, self *server) []float64 {
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

// rank returns the share of the peers' latencies that a latency exceeds, or false if
// there are too few latencies.
func (p *Pool) rank(v *server, rule site.RuleName, ms float64) (float64, bool) {
	var buf [512]float64
	ref := p.appendPeerLatencies(buf[:0], rule, v)
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

// latencyEstimate is a cached estimate of the latencies of a rule.
type latencyEstimate struct {
	computedAt time.Time
	mean       float64 // In milliseconds.
	median     float64 // In milliseconds.
	p95        float64 // The 95th percentile, in milliseconds.
}

// estimateTTL is how long an estimate is cached. Each request uses it several times,
// and it changes slowly.
const estimateTTL = 100 * time.Millisecond

// latencyOf returns the latency estimate of a rule. If there are too few latencies,
// it uses the mean over all rules.
func (p *Pool) latencyOf(now time.Time, rule site.RuleName) latencyEstimate {
	if u, ok := p.latencies[rule]; ok && now.Sub(u.computedAt) < estimateTTL {
		return u
	}
	u := latencyEstimate{computedAt: now, mean: p.meanMs, median: p.meanMs, p95: p95Guess * p.meanMs}
	var buf [512]float64
	if ref := p.appendPeerLatencies(buf[:0], rule, nil); len(ref) >= minReference {
		slices.Sort(ref)
		u.mean = mean(ref)
		u.median = ref[len(ref)/2]
		u.p95 = ref[int(p95Quantile*float64(len(ref)))]
	}
	if len(p.latencies) >= maxRules {
		clear(p.latencies)
	}
	p.latencies[rule] = u
	return u
}

// p95Quantile is the quantile that latencyEstimate.p95 holds.
const p95Quantile = 0.95

// p95Guess is the assumed ratio of the 95th percentile to the mean if there are too
// few latencies.
const p95Guess = 3

// peersMedian returns the median of the peers' latest latencies in milliseconds, or
// zero if there are too few.
func (p *Pool) peersMedian(rule site.RuleName, self *server) float64 {
	var buf [512]float64
	ref := p.appendPeerLatencies(buf[:0], rule, self)
	if len(ref) < minReference {
		return 0
	}
	return median(ref)
}

// eachPeer calls do with the score and failure rate of each other trusted server of
// the service.
func (p *Pool) eachPeer(self *server, do func(score, failRate float64)) {
	for _, v := range p.order {
		if v != self && v.trusted() {
			do(v.score(), v.failRate)
		}
	}
}

// peersFailRate returns the mean failure rate of the other trusted servers.
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

// commonCause reports whether at least half of the other trusted servers have got
// worse as well, so that the cause lies outside the server.
func (p *Pool) commonCause(self *server) bool {
	limit := float64(p.settings.ScoreThreshold) * commonScore
	worse, n := 0, 0
	p.eachPeer(self, func(score, rate float64) {
		n++
		if score > limit || rate > commonFailRate {
			worse++
		}
	})
	return n > 0 && 2*worse >= n
}

// stillSlow reports whether a server's latest responses are slow compared with its
// peers' latest ones. Its score may stem from a time before the peers got slower as
// well.
func (p *Pool) stillSlow(v *server, rule site.RuleName) bool {
	r, ok := v.rings[rule]
	return ok && r.n > 0 && r.recentMedian() > slowRatio*p.peersRecentMedian(rule, v)
}

// peersRecentMedian returns the median of the recent medians of the service's other
// trusted servers, in milliseconds.
func (p *Pool) peersRecentMedian(rule site.RuleName, self *server) float64 {
	var buf [64]float64
	ms := p.appendRecentMedians(buf[:0], rule, self)
	return median(ms)
}

// appendRecentMedians appends the recent medians of the other trusted servers to
// buf.
func (p *Pool) appendRecentMedians(buf []float64, rule site.RuleName, self *server) []float64 {
	for _, v := range p.order {
		if r, ok := v.rings[rule]; ok && v != self && v.trusted() && r.n > 0 {
			buf = append(buf, r.recentMedian())
		}
	}
	return buf
}

// median sorts the values and returns their median, or zero if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// probeTooSlow reports whether a probe took much longer than the peers' responses.
func (p *Pool) probeTooSlow(v *server, rule site.RuleName, took time.Duration) bool {
	m := p.peersMedian(rule, v)
	return m > 0 && milliseconds(took) > probeRatio*m
}

// mean returns the mean of one or more values.
func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

package piernotch

import (
	"math"
	"math/rand/v2"
	"time"
)

// rate is a running rate a second over about the last second.
type rate struct {
	value float64
	since time.Duration
	at    time.Duration
}

func (r *rate) add(now time.Duration, amount float64) {
	r.decay(now)
	r.value += amount
}

func (r *rate) decay(now time.Duration) {
	if r.at > 0 {
		r.value *= math.Exp(-(now - r.at).Seconds())
	}
	r.at = now
}

// minRateSpan is the least time a rate is taken over, in seconds: one heavy request
// in the first moments must not pass for a heavy stream of them.
const minRateSpan = 0.5

// perSec corrects for the time before the first event.
func (r *rate) perSec(now time.Duration) float64 {
	seen := 1 - math.Exp(-max((now-r.since).Seconds(), minRateSpan))
	return r.value * math.Exp(-(now - r.at).Seconds()) / seen
}

// tokenBucket holds tokens that come at a steady rate, a second's worth at most.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// take takes one token, if there is one.
func (q *tokenBucket) take(now time.Duration, perSec float64) bool {
	q.tokens = min(q.tokens+perSec*(now-q.at).Seconds(), max(1, perSec))
	q.at = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

// mixBits spreads the bits of x.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// indicator is the share that one sample adds to a running share.
func indicator(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// jitter is a random time up to d.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Float64() * float64(d))
}

// followRatio moves a running quotient towards ms/work; 0 is a quotient not known yet.
func followRatio(was, ms, work, gain float64) float64 {
	if !(work > 0) || !(ms > 0) || math.IsInf(gain, 0) || math.IsNaN(gain) {
		return was
	}
	if was == 0 {
		return ms / work
	}
	return was + min(gain, 0.5)*(ms/work-was)
}

const (
	fastQuantile     = 1.0 / 8  // of a class's answers are quicker than what stands in for its hints
	fastQuantileStep = 1.0 / 16 // by which that follows one answer
)

// workWithoutHint is what stands in for the hint of a request of a class: how long the quicker answers of
// the class take, which waited for nothing, and the mean work until there was one. Without it a site
// that gives no hints would have no measure of work at all.
func (b *Balancer) workWithoutHint(class int) float64 {
	if b.fastAnswers[class] > 0 {
		return b.fastAnswers[class]
	}
	return b.meanWork
}

// learnWorkWithoutHint follows a low quantile of what the answers of a class take.
func (b *Balancer) learnWorkWithoutHint(class int, took time.Duration) {
	switch ms, q := took.Seconds()*1000, &b.fastAnswers[class]; {
	case *q == 0:
		*q = ms
	case ms < *q:
		*q *= 1 - fastQuantileStep*(1-fastQuantile)
	default:
		*q *= 1 + fastQuantileStep*fastQuantile
	}
}

// observeArrival learns what arrives: the median hint, and the work on each side of it
// and in each band.
func (b *Balancer) observeArrival(r *request) {
	if r.hasCostHint() {
		b.hintCount++
		step := 1 + max(1/b.hintCount, groupSmoothing/2)
		switch {
		case b.hintCount == 1:
			b.medianHint = r.CostHint
		case r.CostHint > b.medianHint:
			b.medianHint *= step
		default:
			b.medianHint /= step
		}
	}
	if r.work > 0 {
		b.workSamples++
		gain := max(1/b.workSamples, groupSmoothing/8)
		b.meanWork += gain * (r.work - b.meanWork)
		b.largeWorkShare += gain * (r.work / b.meanWork) * (indicator(r.lane == 1) - b.largeWorkShare)
		b.largeWorkShare = min(max(b.largeWorkShare, 0), 1)
	}
	b.priorities[r.priority].arrived += r.work
}

// capacityShare is the share of its capacity that a backend can be counted on for.
func (b *Balancer) capacityShare(now time.Duration, to *backend) float64 {
	if to.slowStartSince < 0 || b.settings.Rules.SlowStartDuration <= 0 {
		return 1
	}
	age := float64(now-to.slowStartSince) / float64(b.settings.Rules.SlowStartDuration)
	return b.settings.Rules.SlowStartCapacity + (1-b.settings.Rules.SlowStartCapacity)*min(max(age, 0), 1)
}

// warmSendRate is the work a second that this proxy sends a warm backend of size 1
// (what arrives is a multiple of any capacity, by clients' retries). A few left warm
// in a zone may be drowning: they count as half of it. If all is cold, the mean counts.
func (b *Balancer) warmSendRate(now time.Duration) float64 {
	most := 0.0
	for i := range b.groups {
		g := &b.groups[i]
		if g.fullSize > 0 {
			most = max(most, g.sendRate.perSec(now)/max(g.warmSize, g.fullSize/2))
		}
	}
	return max(most, b.sendRate.perSec(now)/max(b.groups[0].fullSize+b.groups[1].fullSize, 1))
}

// expectedLatency is how long the backend will take for the request after what this
// proxy has there already, ms. Where proxies are many that is next to nothing, and what all
// have there, by its reports, tells more: requests held over answers a second (Little's law).
func (b *Balancer) expectedLatency(now time.Duration, r *request, to *backend) float64 {
	pace := to.latencyPerWork
	if pace == 0 {
		pace = b.latencyPerWork
	}
	ms := (to.backlog + r.work) * pace
	if c := &to.reports; b.manyBalancers() && c.fresh(now) && c.meanCompletionRate > 0 {
		ms = max(ms, 1000*(c.meanOthers+float64(to.inflight))/c.meanCompletionRate)
	}
	return ms
}

// silenceTimeout is how long an answer may take before it counts as missing.
func (b *Balancer) silenceTimeout(g *group, work float64) time.Duration {
	ms := 2*work + g.queueingMean + silenceDeviations*g.queueingDeviation
	if g.latency == 0 {
		ms = 2*work + float64(b.shortestObjective)/float64(time.Millisecond)
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// effectiveLoad is how many of this proxy's requests the backend has in hand. The rest are
// on their way there or back: where that takes long, a bound on all that are out
// would leave it idle. The way to a zone is its quickest answer's time less a light
// request, and never rises: a jam must not pass for a long way. Most of a request
// on its way makes no room for another.
func (b *Balancer) effectiveLoad(to *backend) float64 {
	way := to.path.fastestAnswer - b.meanWork/4
	if to.path.answerCount < pathMinAnswers || way <= b.meanWork/4 || to.latency <= 0 {
		return float64(to.inflight)
	}
	return float64(to.inflight)*(1-min(way/to.latency, pathMaxShare)) + 0.25
}

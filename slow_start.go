package piernotch

import (
	"math"
	"time"
)

// slowStartIfYoung starts the slow start of a backend that the list says is young.
func (b *Balancer) slowStartIfYoung(now time.Duration, to *backend) {
	if to.StartedAt > 0 && now < to.StartedAt+b.settings.Rules.SlowStartDuration {
		b.startSlowStart(now, to, to.StartedAt)
	}
}

// startSlowStart starts a slow start. The first send is put off by a share of the gap, so
// that many proxies do not greet the backend in the same moment.
func (b *Balancer) startSlowStart(now time.Duration, to *backend, since time.Duration) {
	to.slowStartSince, to.assumedRestartUntil, to.latency = since, 0, 0
	to.nextSlowStartSend = now + jitter(b.rng, b.slowStartPause(now, to))
}

// zonesWithoutBalancer tells whether there are zones without a proxy: a cold backend there would not get
// anything from anyone until it counts as warm.
func (b *Balancer) zonesWithoutBalancer() bool {
	return b.settings.BalancerCount < len(b.settings.Zones)
}

// winsSlowStartDraw tells whether a cold backend may have a request of this proxy now. A share of less
// than one within the rule's span means that most proxies send none: each draws for every
// window, and what it does not use is void. Had all the right to one and kept it until they
// were busy, they would send it at once. Windows of proxies and backends are out of step.
func (b *Balancer) winsSlowStartDraw(now time.Duration, to *backend) bool {
	at := uint64(float64(now)/float64(b.slowStartWindow) + to.spillRank)
	chance := float64(mixBits(mixBits(at^b.windowSeed)^to.idHash)) / math.MaxUint64
	return chance*float64(b.slowStartInterval(now, to)) <= float64(b.slowStartWindow)
}

// slowStartInterval is the time in which this proxy's share of a cold backend amounts to a mean
// request. A warm one of its size tells the share, by what this proxy sends it or by what
// it answers for all, times the cold one's warmth. Only light hints go there, and those
// are too low as often as not: hence the mean. Many proxies together send it no more than
// it can do; what pushes it over beyond that is room for uneven zones, weights and hints.
func (b *Balancer) slowStartInterval(now time.Duration, to *backend) time.Duration {
	mates, growth, longest := b.sendersTo(to), slowStartGrowth, b.settings.Rules.SlowStartDuration
	perSec := b.peakCompletionRate * b.meanWork / mates
	switch {
	case b.slowStartWindow == 0:
		perSec = slowStartMultiple * max(b.warmSendRate(now), perSec)
		if to.locality == 1 && len(b.groups[0].members) > 0 {
			perSec /= float64(b.settings.BalancerCount) // all of them may send there
		}
	case perSec == 0: // nothing was ever said
		perSec = b.warmSendRate(now)
	}
	if b.slowStartWindow > 0 { // no least of one each: it alone can be more than they all may send
		growth, longest = 1, time.Hour
	}
	perSec *= b.capacityShare(now, to) * to.Size
	if to.reports.reportedAt > 0 && to.reports.others < idleInflight {
		perSec = max(perSec, growth*to.reports.completionRate*b.meanWork/mates)
	}
	switch {
	case perSec <= 0 && b.slowStartWindow == 0:
		return 0
	case perSec <= 0: // not known yet: many would all try at once
		return longest
	}
	return time.Duration(min(b.meanWork/perSec, longest.Seconds()) * float64(time.Second))
}

// slowStartPause is how long a cold backend gets nothing after a request of this proxy: until
// the next window, if sends are drawn.
func (b *Balancer) slowStartPause(now time.Duration, to *backend) time.Duration {
	if b.slowStartWindow > 0 {
		return b.slowStartWindow
	}
	return b.slowStartInterval(now, to)
}

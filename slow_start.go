package piernotch

import (
	"math"
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	slowStartMultiple = 3.0 // so many times its share may go to a server: overload is further off
	slowStartGrowth   = 2.0 // so many times the rate it last reported, if it is idle
	slowStartWindows  = 8   // windows, within the rule's overload window, for which a send is drawn
	idleInflight      = 1.5 // requests of others at a server that is idle, at most
)

// slowStartIfYoung starts the slow start of a server that the list says started lately.
func (b *Balancer) slowStartIfYoung(now time.Duration, target *server) {
	if target.StartedAt > 0 && now < target.StartedAt+b.settings.Rules.SlowStartDuration {
		b.startSlowStart(now, target, target.StartedAt)
	}
}

// startSlowStart counts a slow start from since. A random delay keeps many balancers from sending at once.
func (b *Balancer) startSlowStart(now time.Duration, target *server, since time.Duration) {
	target.slowStartSince, target.assumedRestartUntil, target.latency = since, 0, 0
	target.nextSlowStartSend = now + estimate.Jitter(b.rng, b.slowStartPause(now, target))
}

// endSlowStartIfDue ends a slow start after its time, or when the list has not confirmed a restart.
func (b *Balancer) endSlowStartIfDue(now time.Duration, target *server) {
	timeIsUp := now >= target.slowStartSince+b.settings.Rules.SlowStartDuration
	noRestart := target.assumedRestartUntil > 0 && now >= target.assumedRestartUntil
	if !target.warm() && (timeIsUp || noRestart) {
		target.slowStartSince, target.assumedRestartUntil = -1, 0
	}
}

// slowStartAllows reports whether a server in slow start may get the request: one at a time, no heavy one,
// as one from each balancer would overload it, and none from other zones while its own has balancers.
func (b *Balancer) slowStartAllows(now time.Duration, r *request, target *server) bool {
	if r.work > b.workload.Mean() || b.spills(target) && !b.zonesWithoutBalancer() {
		return false
	}
	due := now >= target.nextSlowStartSend && target.inflight == 0
	return due && (b.slowStartWindow == 0 || b.winsSlowStartDraw(now, target))
}

// zonesWithoutBalancer reports whether some zone has no balancer of its own to warm its servers up.
func (b *Balancer) zonesWithoutBalancer() bool {
	return b.settings.BalancerCount < len(b.settings.Zones)
}

// winsSlowStartDraw reports whether this balancer may send to the server in the present window. With many
// balancers the share of each is less than a request, so each draws for every window. A right that is not
// used lapses: if it lasted, all would use theirs at once when they get busy. The windows are staggered.
func (b *Balancer) winsSlowStartDraw(now time.Duration, target *server) bool {
	window := uint64(float64(now)/float64(b.slowStartWindow) + target.spillRank)
	draw := float64(estimate.MixBits(estimate.MixBits(window^b.windowSeed)^target.idHash)) / math.MaxUint64
	return draw*float64(b.slowStartInterval(now, target)) <= float64(b.slowStartWindow)
}

// slowStartPause is the least time between this balancer's requests: a window, if they are drawn.
func (b *Balancer) slowStartPause(now time.Duration, target *server) time.Duration {
	if b.slowStartWindow > 0 {
		return b.slowStartWindow
	}
	return b.slowStartInterval(now, target)
}

// slowStartInterval is the time in which this balancer's share of the server amounts to a request of
// mean work: only those with light hints go there, but such hints are too low as often as not.
func (b *Balancer) slowStartInterval(now time.Duration, target *server) time.Duration {
	longest := b.settings.Rules.SlowStartDuration
	if b.slowStartWindow > 0 {
		longest = time.Hour // one request of each balancer may be more than it can take
	}
	perSec := b.slowStartRate(now, target)
	switch {
	case perSec <= 0 && b.slowStartWindow == 0:
		return 0
	case perSec <= 0: // unknown yet: many balancers would all try at once
		return longest
	}
	return time.Duration(min(b.workload.Mean()/perSec, longest.Seconds()) * float64(time.Second))
}

// slowStartRate is the work per second that this balancer may send to the server: its share of what a warm
// one gets or completes, times the capacity share. Many balancers together send no more than that; the
// overload limit beyond it leaves room for uneven zones, weights and hints.
func (b *Balancer) slowStartRate(now time.Duration, target *server) float64 {
	senders, growth := b.sendersTo(target), 1.0
	perSec := b.peakCompletionRate * b.workload.Mean() / senders
	switch {
	case b.slowStartWindow == 0:
		growth = slowStartGrowth
		perSec = slowStartMultiple * max(b.warmSendRate(now), perSec)
		if b.spills(target) {
			perSec /= float64(b.settings.BalancerCount) // all of them may send there
		}
	case perSec == 0: // no server has reported a completion rate
		perSec = b.warmSendRate(now)
	}
	perSec *= b.capacityShare(now, target) * target.Size
	if target.reports.reportedAt > 0 && target.reports.others < idleInflight {
		perSec = max(perSec, growth*target.reports.completionRate*b.workload.Mean()/senders)
	}
	return perSec
}

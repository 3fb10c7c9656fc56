package piernotch

import (
	"math"
	"time"
)

const (
	slowStartMultiple = 3.0 // so many times its share may go to a backend: overload is further off
	slowStartGrowth   = 2.0 // so many times the rate it last reported, if it is idle
	slowStartWindows  = 8   // windows, within the rule's overload window, for which a send is drawn
	idleInflight      = 1.5 // requests of others at a backend that is idle, at most
)

// slowStartIfYoung starts the slow start of a backend that the list says started lately.
func (b *Balancer) slowStartIfYoung(now time.Duration, to *backend) {
	if to.StartedAt > 0 && now < to.StartedAt+b.settings.Rules.SlowStartDuration {
		b.startSlowStart(now, to, to.StartedAt)
	}
}

// startSlowStart counts a slow start from since. The first send is put off, lest many balancers send at once.
func (b *Balancer) startSlowStart(now time.Duration, to *backend, since time.Duration) {
	to.slowStartSince, to.assumedRestartUntil, to.latency = since, 0, 0
	to.nextSlowStartSend = now + jitter(b.rng, b.slowStartPause(now, to))
}

// endSlowStartIfDue ends a slow start after its time, or when the list has not confirmed a restart.
func (b *Balancer) endSlowStartIfDue(now time.Duration, to *backend) {
	timeIsUp := now >= to.slowStartSince+b.settings.Rules.SlowStartDuration
	noRestart := to.assumedRestartUntil > 0 && now >= to.assumedRestartUntil
	if !to.warm() && (timeIsUp || noRestart) {
		to.slowStartSince, to.assumedRestartUntil = -1, 0
	}
}

// slowStartAllows reports whether a backend in slow start may get the request: one at a time, none that is
// heavy, for one from each balancer would be an overload, and none from other zones that it can do without.
func (b *Balancer) slowStartAllows(now time.Duration, r *request, to *backend) bool {
	if r.work > b.meanWork || b.spills(to) && !b.zonesWithoutBalancer() {
		return false
	}
	due := now >= to.nextSlowStartSend && to.inflight == 0
	return due && (b.slowStartWindow == 0 || b.winsSlowStartDraw(now, to))
}

// zonesWithoutBalancer reports whether some zone has no balancer of its own to warm its backends up.
func (b *Balancer) zonesWithoutBalancer() bool {
	return b.settings.BalancerCount < len(b.settings.Zones)
}

// winsSlowStartDraw reports whether this balancer may send to the backend in the present window. With many
// balancers the share of each is less than a request, so each draws for every window. A right that is not
// used lapses: if it lasted, all would use theirs at once when they get busy. Windows are not in step.
func (b *Balancer) winsSlowStartDraw(now time.Duration, to *backend) bool {
	window := uint64(float64(now)/float64(b.slowStartWindow) + to.spillRank)
	draw := float64(mixBits(mixBits(window^b.windowSeed)^to.idHash)) / math.MaxUint64
	return draw*float64(b.slowStartInterval(now, to)) <= float64(b.slowStartWindow)
}

// slowStartPause is the least time between this balancer's requests: a window, if they are drawn.
func (b *Balancer) slowStartPause(now time.Duration, to *backend) time.Duration {
	if b.slowStartWindow > 0 {
		return b.slowStartWindow
	}
	return b.slowStartInterval(now, to)
}

// slowStartInterval is the time in which this balancer's share of the backend amounts to a request of
// mean work. Only requests with light hints go there, but those are too low as often as not.
func (b *Balancer) slowStartInterval(now time.Duration, to *backend) time.Duration {
	longest := b.settings.Rules.SlowStartDuration
	if b.slowStartWindow > 0 {
		longest = time.Hour // one request of each balancer may be more than it can take
	}
	perSec := b.slowStartRate(now, to)
	switch {
	case perSec <= 0 && b.slowStartWindow == 0:
		return 0
	case perSec <= 0: // unknown yet: many balancers would all try at once
		return longest
	}
	return time.Duration(min(b.meanWork/perSec, longest.Seconds()) * float64(time.Second))
}

// slowStartRate is the work per second that this balancer may send to the backend: its share of what a warm
// one gets or completes, times the capacity share. Many balancers together send no more than that; the
// overload limit beyond it leaves room for uneven zones, weights and hints.
func (b *Balancer) slowStartRate(now time.Duration, to *backend) float64 {
	senders, growth := b.sendersTo(to), 1.0
	perSec := b.peakCompletionRate * b.meanWork / senders
	switch {
	case b.slowStartWindow == 0:
		growth = slowStartGrowth
		perSec = slowStartMultiple * max(b.warmSendRate(now), perSec)
		if b.spills(to) {
			perSec /= float64(b.settings.BalancerCount) // all of them may send there
		}
	case perSec == 0: // no backend has reported a completion rate
		perSec = b.warmSendRate(now)
	}
	perSec *= b.capacityShare(now, to) * to.Size
	if to.reports.reportedAt > 0 && to.reports.others < idleInflight {
		perSec = max(perSec, growth*to.reports.completionRate*b.meanWork/senders)
	}
	return perSec
}

// Package concurrency limits how many requests one balancer has in flight in a group of servers.
//
// Each of many balancers sees only a small part of the load. Bounds on its own requests at each server
// then do not bound the sum: a fleet can be overloaded although each balancer has less than one request
// at each server. A Limit therefore bounds the requests of this balancer in the whole group, and moves so
// that the mean number of all balancers' requests at a server stays at a target. All balancers see the same
// mean. If all of them move their limits by the same factor, they reach the target together, however many
// they are and whatever their parts of the traffic are, and none has to know of the others.
//
// Like the adaptive limits of Netflix's concurrency-limits and of Envoy's adaptive concurrency filter, the
// limit follows a measured effect of the load. The measure here is the number of requests in flight rather
// than a gradient of latencies, as the work of requests differs too much for a least latency to mean much.
package concurrency

import (
	"math"
	"time"
)

const (
	// targetInflight is the number of all balancers' requests at a server, on the mean of its group: one is
	// served and half of the time another waits, so that no server idles between two requests.
	targetInflight = 1.5
	// maxUnderload bounds how far below its target the mean counts as being: by a factor of e is enough for
	// the highest speed of adjustment, and an empty group must not give an infinite one.
	maxUnderload = 8
	// maxAdjustment is the greatest logarithm of target to mean that counts: a factor of e in adjustTime.
	maxAdjustment = 1.0
	// adjustTime is the time in seconds in which the limit changes by a factor of e, at most. It is some
	// times the latency of a report, since a faster change would oscillate.
	adjustTime = 0.35
	// peakHeadroom bounds the limit as a multiple of the recent peak: a limit that is never reached would
	// otherwise grow without bound, and would have to fall for long before it has an effect.
	peakHeadroom = 2
	// minLimit keeps one request going: without any, the balancer would not learn of an improvement.
	minLimit = 1.0
)

// Limit bounds this balancer's requests in one group. New returns a usable one.
type Limit struct {
	inflight int     // requests of this balancer in the group
	limit    float64 // bound on that; infinite: none
	peak     float64 // recent maximum of inflight, decaying by a factor of e per second
}

// New returns a Limit that allows any number of requests.
func New() Limit { return Limit{limit: math.Inf(1)} }

// Started counts a request that is sent into the group.
func (l *Limit) Started() { l.inflight++ }

// Ended counts the end of a request for which Started was called.
func (l *Limit) Ended() { l.inflight-- }

// Inflight returns the number of requests that have started and not ended.
func (l *Limit) Inflight() int { return l.inflight }

// Bound returns the limit, which may be infinite.
func (l *Limit) Bound() float64 { return l.limit }

// Reached reports whether the group has all that this balancer may send there.
func (l *Limit) Reached() bool { return float64(l.inflight) >= l.limit }

// Remove allows any number of requests: there are few balancers, or the mean is not known. The time is what
// has elapsed since the last call of Remove or Adjust.
func (l *Limit) Remove(elapsed time.Duration) {
	l.updatePeak(elapsed)
	l.limit = math.Inf(1)
}

// Adjust moves the limit towards what keeps the mean number of all balancers' requests at a server of the
// group at the target. The time is what has elapsed since the last call of Remove or Adjust.
func (l *Limit) Adjust(elapsed time.Duration, meanInflight float64) {
	l.updatePeak(elapsed)
	adjustment := math.Log(targetInflight / max(meanInflight, targetInflight/maxUnderload))
	adjustment = min(max(adjustment, -maxAdjustment), maxAdjustment)
	reachable := min(l.limit, peakHeadroom*l.peak+targetInflight)
	l.limit = max(reachable*math.Exp(adjustment*elapsed.Seconds()/adjustTime), minLimit)
}

// updatePeak decays the recent maximum, down to the present number.
func (l *Limit) updatePeak(elapsed time.Duration) {
	l.peak = max(float64(l.inflight), l.peak*math.Exp(-elapsed.Seconds()))
}

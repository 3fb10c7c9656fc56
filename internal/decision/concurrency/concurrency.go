// Package concurrency limits how many requests one balancer has in flight in a group of servers.
//
// With many balancers, each sees only a small part of the load. Bounds on its own requests at each server
// then do not bound the sum: a fleet can be overloaded although each balancer has less than one request at
// each server. A Limit therefore bounds the requests of this balancer in the whole group, and is adjusted so
// that the mean number of all balancers' requests at a server stays at a target. All balancers see the same
// mean. If all of them move their limits by the same factor, they reach the target together, whatever their
// number and their parts of the traffic are, and exchange nothing.
//
// Like the adaptive limits of Netflix's concurrency-limits and of Envoy's adaptive concurrency filter, the
// limit follows a measured effect of the load. The measure here is the number of requests in flight rather
// than a gradient of latencies: the work of requests differs so much that a minimum latency says little.
package concurrency

import (
	"math"
	"time"
)

const (
	// targetInflight is the target for the mean number of all balancers' requests at a server of the group:
	// one is served, and half of the time another waits, so that no server idles between two requests.
	targetInflight = 1.5
	// maxUnderload bounds the factor by which the mean counts as below its target. A factor of e already
	// gives the fastest adjustment, and an empty group must not give an infinite factor.
	maxUnderload = 8
	// maxAdjustment bounds the logarithm of target over mean, in either direction: the limit changes at most
	// by a factor of e in adjustTime.
	maxAdjustment = 1.0
	// adjustTime is the shortest time, in seconds, in which the limit changes by a factor of e. It is
	// several times the delay of a load report, since a faster change would oscillate.
	adjustTime = 0.35
	// peakHeadroom bounds the limit as a multiple of the recent peak of requests in flight. A limit that is
	// never reached would otherwise grow without bound, and later take long to fall far enough to have an
	// effect (integral windup).
	peakHeadroom = 2
	// minLimit always allows one request in flight: without any request, the balancer would not learn of an
	// improvement.
	minLimit = 1.0
)

// Limit bounds this balancer's requests in one group. Create it with New: the zero value allows no request.
type Limit struct {
	inflight int     // requests of this balancer in the group
	limit    float64 // bound on inflight; infinite: no bound
	peak     float64 // recent maximum of inflight, decaying by a factor of e per second
}

// New returns a Limit that allows any number of requests.
func New() Limit { return Limit{limit: math.Inf(1)} }

// Started counts a request that this balancer sends into the group.
func (l *Limit) Started() { l.inflight++ }

// Ended counts the end of a request for which Started was called.
func (l *Limit) Ended() { l.inflight-- }

// Inflight returns the number of requests that have started and not ended.
func (l *Limit) Inflight() int { return l.inflight }

// Bound returns the present limit, which is infinite for a new Limit and after Remove.
func (l *Limit) Bound() float64 { return l.limit }

// Reached reports whether this balancer has at least as many requests in flight as the limit allows.
func (l *Limit) Reached() bool { return float64(l.inflight) >= l.limit }

// Remove lifts the limit. The caller calls it while there are few balancers or the mean is not known.
// elapsed is the time since the last call of Remove or Adjust.
func (l *Limit) Remove(elapsed time.Duration) {
	l.updatePeak(elapsed)
	l.limit = math.Inf(1)
}

// Adjust moves the limit so that meanInflight, the mean number of all balancers' requests at a server of the
// group, approaches the target. elapsed is the time since the last call of Remove or Adjust.
func (l *Limit) Adjust(elapsed time.Duration, meanInflight float64) {
	l.updatePeak(elapsed)
	adjustment := math.Log(targetInflight / max(meanInflight, targetInflight/maxUnderload))
	adjustment = min(max(adjustment, -maxAdjustment), maxAdjustment)
	reachable := min(l.limit, peakHeadroom*l.peak+targetInflight)
	l.limit = max(reachable*math.Exp(adjustment*elapsed.Seconds()/adjustTime), minLimit)
}

// updatePeak decays the recent maximum, and raises it to the present number of requests if that is higher.
func (l *Limit) updatePeak(elapsed time.Duration) {
	l.peak = max(float64(l.inflight), l.peak*math.Exp(-elapsed.Seconds()))
}

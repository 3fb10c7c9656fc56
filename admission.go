package piernotch

import (
	"math"
	"time"

	"piernotch/internal/decision/estimate"
	"piernotch/internal/decision/workload"
)

const (
	shedGain     = 1.0 / 4 // change of the shed share in one shortest objective while all is late
	starvedBelow = 0.8     // of the mean share that is forwarded: a band below it is starved
)

// newRequest opens a request: its deadlines, its expected work with the lane for it, its priority.
func (b *Balancer) newRequest(now time.Duration, in Request) *request {
	r := b.openRequest(in)
	r.objective = min(now+r.class.LatencyObjective, r.Deadline)
	r.queueDeadline = now + (r.Deadline-now)/2
	expected := b.workload.Expect(in.Class, in.CostHint)
	r.work, r.lane = expected.Work, smallLane
	if expected.Large {
		r.lane = largeLane
	}
	r.priority = 2 * in.Class
	if !b.quotas.Take(now, in.Tenant) {
		r.priority++
	}
	return r
}

// observeArrival counts a request in the expected work of all, and in that of its priority.
func (b *Balancer) observeArrival(r *request) {
	expected := workload.Expectation{Work: r.work, Large: r.lane == largeLane}
	b.workload.ObserveArrival(r.CostHint, expected)
	b.priorities[r.priority].arrived += r.work
}

// dispatchOrQueue dispatches a request, lets it wait, or rejects it if it would have to wait too long.
func (b *Balancer) dispatchOrQueue(now time.Duration, r *request) {
	if b.dispatch(now, r) {
		return
	}
	needs := min(estimate.Milliseconds(r.work*b.latencyPerWork), r.class.LatencyObjective/2)
	latest := min(b.attemptDeadline(r)-needs, r.queueDeadline)
	if now+2*b.tickInterval >= latest || b.queueTooLong(now, r) {
		b.rejectOrFail(r)
	}
}

// dispatchWaiting gives the capacity that has become free to the waiting requests.
func (b *Balancer) dispatchWaiting(now time.Duration) {
	for {
		var first *request
		for _, r := range b.openRequests {
			if r.waiting() && (first == nil || b.precedes(r, first)) {
				first = r
			}
		}
		if first == nil || !b.dispatch(now, first) {
			return
		}
	}
}

// precedes orders waiting requests: starved bands first, then by precedence, then by arrival.
func (b *Balancer) precedes(r, other *request) bool {
	x, y := &b.priorities[r.priority], &b.priorities[other.priority]
	if x.starved != y.starved {
		return x.starved
	}
	return x.precedence > y.precedence || x.precedence == y.precedence && r.ID < other.ID
}

// buildPriorities makes two bands of each class: within its tenants' quotas and over them.
func (b *Balancer) buildPriorities() {
	b.priorities = nil
	for _, c := range b.settings.Classes {
		within := priorityBand{weight: c.PriorityWeight}
		over := priorityBand{weight: c.PriorityWeight * b.settings.OverQuotaWeight}
		b.priorities = append(b.priorities, within, over)
	}
	b.updatePrecedence()
}

// updatePrecedence sets each band's weight for its work: light requests first, if the weight is per request.
func (b *Balancer) updatePrecedence() {
	for i := range b.priorities {
		p := &b.priorities[i]
		p.precedence = p.weight
		if work := b.workload.WithoutHint(i / 2); b.settings.WeightPerRequest && work > 0 {
			p.precedence /= work
		}
	}
}

// updatePriorities decays the sums of work at a tick, and sets which bands are starved and what is rejected.
func (b *Balancer) updatePriorities() {
	// A balancer that rejects everything sees nothing improve, so shedding decays.
	b.shedShare -= b.shedShare / (ticksPerObjective * ticksPerObjective)
	keep := math.Exp(-b.tickInterval.Seconds())
	var arrived, forwarded float64
	for i := range b.priorities {
		p := &b.priorities[i]
		p.arrived *= keep
		p.forwarded *= keep
		arrived += p.arrived
		forwarded += p.forwarded
	}
	b.updatePrecedence()
	for i := range b.priorities {
		p := &b.priorities[i]
		lower, equal := 0.0, 0.0 // work that is rejected before this band's, and along with it
		for _, other := range b.priorities {
			switch {
			case other.precedence < p.precedence:
				lower += other.arrived
			case other.precedence == p.precedence:
				equal += other.arrived
			}
		}
		p.starved = b.manyBalancers() && p.forwarded*arrived < starvedBelow*p.arrived*forwarded
		p.rejectShare = 0
		if equal > 0 {
			p.rejectShare = min(max(b.shedShare*arrived-lower, 0)/equal, 1)
		}
	}
}

// shedStep is how far one answer may move the shed share. It grows with the time since the last answer: a
// change shows late, and a busy balancer would oscillate. The bound makes a quiet one wait for more answers.
func (b *Balancer) shedStep(now time.Duration) float64 {
	elapsed := (now - b.shedAdjustedAt).Seconds()
	b.shedAdjustedAt = now
	return min(elapsed/b.shortestObjective.Seconds()*shedGain, estimate.GroupSmoothing)
}

// adjustShedding moves the shed share by one answer: late is 1 if it took over half of its objective, so that
// there is time to act. Work is shed only while the other group is late, too: spilling costs less.
func (b *Balancer) adjustShedding(step float64, locality int, late float64) {
	g, other := &b.groups[locality], &b.groups[1-locality]
	g.lateShare += estimate.GroupSmoothing * (late - g.lateShare)
	g.lateUpdatedAt = b.shedAdjustedAt
	lateElsewhere := len(other.members) == 0 || other.lateShare > 2*estimate.GroupSmoothing
	change := -step / 2
	if late > 0 && lateElsewhere {
		change = step
	}
	b.shedShare = min(max(b.shedShare+change, 0), 1)
}

// retryAfter is the delay that a rejection advises; 0 is no advice.
func (b *Balancer) retryAfter() time.Duration {
	if !b.settings.Limits.RetryAfter || b.shedShare == 0 {
		return 0
	}
	return min(b.shortestObjective, b.settings.Limits.MaxRetryAfter)
}

package piernotch

import (
	"time"

	"piernotch/internal/decision/admission"
	"piernotch/internal/decision/lanes"
	"piernotch/internal/decision/workload"
)

// newRequest opens a request: its deadlines, its expected work with the lane for it, its priority.
func (b *Balancer) newRequest(now time.Duration, in Request) *request {
	r := b.requests.add(in, &b.settings.Classes[in.Class])
	r.objective = min(now+r.class.LatencyObjective, r.Deadline)
	r.queueDeadline = now + (r.Deadline-now)/2
	expected := b.workload.Expect(in.Class, in.CostHint)
	r.work, r.lane = expected.Work, lanes.Small
	if expected.Large {
		r.lane = lanes.Large
	}
	standing := admission.WithinQuota
	if !b.quotas.Take(now, in.Tenant) {
		standing = admission.OverQuota
	}
	r.priority = admission.BandOf(in.Class, standing)
	return r
}

// observeArrival counts a request in the expected work of all, and in that of its priority.
func (b *Balancer) observeArrival(r *request) {
	expected := workload.Expectation{Work: r.work, Large: r.lane == lanes.Large}
	b.workload.ObserveArrival(r.CostHint, expected)
	b.admission.RequestArrived(r.priority, r.work)
}

// dispatchOrQueue dispatches a request, lets it wait, or rejects it if it would have to wait too long.
func (b *Balancer) dispatchOrQueue(now time.Duration, r *request) {
	if b.dispatch(now, r) {
		return
	}
	needs := min(b.latency.Needed(r.work), r.class.LatencyObjective/2)
	latest := min(b.attemptDeadline(r)-needs, r.queueDeadline)
	if now+2*b.tickInterval >= latest || b.queueTooLong(now, r) {
		b.rejectOrFail(r)
	}
}

// dispatchWaiting gives the capacity that has become free to the waiting requests.
func (b *Balancer) dispatchWaiting(now time.Duration) {
	for {
		var first *request
		for _, r := range b.requests.open {
			if r.waiting() && (first == nil || b.precedes(r, first)) {
				first = r
			}
		}
		if first == nil || !b.dispatch(now, first) {
			return
		}
	}
}

// precedes reports whether a waiting request is dispatched before another.
func (b *Balancer) precedes(r, other *request) bool {
	return b.admission.Precedes(r.place(), other.place())
}

// queueTooLong reports whether a waiting request would wait for too long behind those that precede it, at the
// rate at which work was sent lately.
func (b *Balancer) queueTooLong(now time.Duration, r *request) bool {
	var ahead admission.Queue
	for _, other := range b.requests.open {
		if other != r && other.waiting() && b.precedes(other, r) {
			ahead.Add(other.work)
		}
	}
	return b.admission.QueueTooLong(ahead, b.sendRate.PerSecond(now))
}

// updateExpectedWork tells admission what the requests of each class probably take.
func (b *Balancer) updateExpectedWork() {
	for class := range b.settings.Classes {
		b.admission.SetExpectedWork(class, b.workload.WithoutHint(class))
	}
}

// observeAnswer lets an answer move the shed share by up to the step.
func (b *Balancer) observeAnswer(step float64, answer admission.Answer) {
	answer.OnlyLocality = len(b.groups[1-answer.Locality].members) == 0
	b.admission.ObserveAnswer(step, answer)
}

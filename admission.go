package piernotch

import (
	"time"

	"piernotch/internal/decision/admission"
	"piernotch/internal/decision/lanes"
	"piernotch/internal/decision/workload"
)

// newRequest opens a request: its deadlines, its expected work with the lane for it, its priority.
func (b *Balancer) newRequest(now time.Duration, arrival Request) *request {
	r := b.requests.add(arrival, &b.settings.Classes[arrival.Class])
	r.objective = min(now+r.class.LatencyObjective, r.Deadline)
	r.queueDeadline = now + (r.Deadline-now)/2
	expected := b.workload.Expect(arrival.Class, arrival.CostHint)
	r.work, r.lane = expected.Work, lanes.Small
	if expected.Large {
		r.lane = lanes.Large
	}
	standing := admission.WithinQuota
	if !b.quotas.Take(now, arrival.Tenant) {
		standing = admission.OverQuota
	}
	r.priority = admission.BandOf(arrival.Class, standing)
	return r
}

// observeArrival counts a request in the expected work of all, and in that of its priority.
func (b *Balancer) observeArrival(r *request) {
	expected := workload.Expectation{Work: r.work, Large: r.lane == lanes.Large}
	b.workload.ObserveArrival(r.CostHint, expected)
	b.admission.RequestArrived(r.priority, r.work)
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

package piernotch

import (
	"time"

	"piernotch/internal/decision/admission"
	"piernotch/internal/decision/lanes"
	"piernotch/internal/decision/workload"
)

// queueDivisor is the part of the time until its client gives up that a request may wait for a server: half,
// so that the client can still go elsewhere.
const queueDivisor = 2

// newRequest opens a request: its deadlines, its expected work with the lane for it, its priority.
func (b *Balancer) newRequest(now time.Duration, arrival Request) *openRequest {
	request := b.requests.add(arrival, &b.settings.Classes[arrival.Class])
	request.objective = min(now+request.class.LatencyObjective, request.Deadline)
	request.queueDeadline = now + (request.Deadline-now)/queueDivisor
	expected := b.workload.Expect(arrival.Class, arrival.CostHint)
	request.work, request.lane = expected.Work, lanes.Small
	if expected.Large {
		request.lane = lanes.Large
	}
	standing := admission.WithinQuota
	if !b.quotas.Take(now, arrival.Tenant) {
		standing = admission.OverQuota
	}
	request.priority = admission.BandOf(arrival.Class, standing)
	return request
}

// observeArrival counts a request in the expected work of all, and in that of its priority.
func (b *Balancer) observeArrival(request *openRequest) {
	expected := workload.Expectation{Work: request.work, Large: request.lane == lanes.Large}
	b.workload.ObserveArrival(request.CostHint, expected)
	b.admission.RequestArrived(request.priority, request.work)
}

// precedes reports whether a waiting request is dispatched before another.
func (b *Balancer) precedes(request, other *openRequest) bool {
	return b.admission.Precedes(request.place(), other.place())
}

// queueTooLong reports whether a waiting request would wait for too long behind those that precede it, at the
// rate at which work was sent lately.
func (b *Balancer) queueTooLong(now time.Duration, request *openRequest) bool {
	var ahead admission.Queue
	for _, other := range b.requests.open {
		if other != request && other.waiting() && b.precedes(other, request) {
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

// observeResponse lets a response move the shed share by up to the step.
func (b *Balancer) observeResponse(step float64, response admission.Response) {
	response.OnlyLocality = len(b.groups[1-response.Locality].members) == 0
	b.admission.ObserveResponse(step, response)
}

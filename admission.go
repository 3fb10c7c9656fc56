package piernotch

import (
	"time"

	"piernotch/internal/decision/admission"
	"piernotch/internal/decision/lanes"
	"piernotch/internal/decision/workload"
)

// queueDivisor sets the longest time that a request waits for a server: half of the time until its client
// gives up. After a rejection, the client still has time to try elsewhere.
const queueDivisor = 2

// newRequest opens the record of a request and sets its deadlines, expected work, lane and priority. It
// counts the request against its tenant's quota.
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

// observeArrival counts a new request in the workload estimates and in the arrived work of its priority band.
func (b *Balancer) observeArrival(request *openRequest) {
	expected := workload.Expectation{Work: request.work, Large: request.lane == lanes.Large}
	b.workload.ObserveArrival(request.CostHint, expected)
	b.admission.RequestArrived(request.priority, request.work)
}

// precedes reports whether a waiting request is dispatched before another waiting request.
func (b *Balancer) precedes(request, other *openRequest) bool {
	return b.admission.Precedes(request.place(), other.place())
}

// queueTooLong reports whether a waiting request would wait too long behind the requests that precede it, if
// work continues to be sent at the recent rate.
func (b *Balancer) queueTooLong(now time.Duration, request *openRequest) bool {
	var ahead admission.Queue
	for _, other := range b.requests.open {
		if other != request && other.waiting() && b.precedes(other, request) {
			ahead.Add(other.work)
		}
	}
	return b.admission.QueueTooLong(ahead, b.sendRate.PerSecond(now))
}

// updateExpectedWork tells admission, for each class, the expected work of a request without a cost hint.
func (b *Balancer) updateExpectedWork() {
	for class := range b.settings.Classes {
		b.admission.SetExpectedWork(class, b.workload.WithoutHint(class))
	}
}

// observeResponse counts a response in its locality's share of late responses, and adjusts the shed share by
// at most step.
func (b *Balancer) observeResponse(step float64, response admission.Response) {
	response.OnlyLocality = len(b.groups[1-response.Locality].members) == 0
	b.admission.ObserveResponse(step, response)
}

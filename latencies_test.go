package piernotch

import (
	"math"
	"testing"
	"time"
)

// Regression: where the transit to a zone takes far longer than the work, most requests in flight are in
// transit. A limit on all requests in flight left the servers of that zone idle while requests were rejected.
func TestEffectiveLoadExcludesRequestsInTransit(t *testing.T) {
	set := testSettings()
	set.BalancerCount = 4
	b, _ := newTestBalancer(t, set, testEndpoints(1, 2))
	now := time.Second
	remote := b.endpoints.find(2)
	response := func(took time.Duration) {
		r := &openRequest{class: &set.Classes[idempotentClass], work: 10}
		b.recordOutcome(now, r, &attempt{server: remote}, Outcome{Status: OK, Latency: took})
	}
	setMeanWork(t, b, 10)
	for range 64 { // enough responses for an estimate of the path
		response(50 * ms)
	}
	remote.inflight = 2
	if got := b.effectiveLoad(remote); got >= 1 {
		t.Errorf("two requests that are mostly in transit count as %v", got)
	}
	for range 100 { // queueing must not be mistaken for a long transit
		response(400 * ms)
	}
	if got := b.effectiveLoad(remote); got < 1.5 {
		t.Errorf("two requests in a queue count as %v", got)
	}
}

// Without cost hints, the work of each class is estimated from its fastest responses, and the small lane gets
// almost the whole group.
func TestWorkIsEstimatedPerClassWithoutHints(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), testEndpoints(4, 1))
	now := time.Second
	for i := range RequestID(400) {
		class, took := idempotentClass, 20*ms
		if i%2 == 1 {
			class, took = nonIdempotentClass, 80*ms
		}
		if i%3 == 0 {
			took *= 5 // a response with queueing
		}
		b.HandleRequest(now, Request{ID: i, Class: class, Deadline: now + 2*time.Second, CostHint: math.NaN()})
		now += took
		b.HandleOutcome(now, Outcome{ID: i, Status: OK, Latency: took, RequestDone: true})
	}
	for class, want := range map[int]float64{idempotentClass: 20, nonIdempotentClass: 80} {
		r := b.newRequest(now, Request{ID: 1000 + RequestID(class), Class: class, CostHint: math.NaN()})
		if got := r.work; got < want/2 || got > 1.5*want {
			t.Errorf("class %d: work %.1f, want about %.0f", class, got, want)
		}
	}
	if mean := b.workload.Mean(); mean < 30 || mean > 75 {
		t.Errorf("mean work %.1f", mean)
	}
	if b.workload.LargeShare() > 0.05 || b.latency.PerWork() < 1 {
		t.Errorf("share of large work %.2f, latency per work %.2f", b.workload.LargeShare(), b.latency.PerWork())
	}
}

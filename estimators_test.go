package piernotch

import (
	"math"
	"testing"
	"time"
)

// Where the way to a zone takes far longer than the work, a bound on all that is
// out left the servers there idle, while clients were refused for want of room.
func TestEffectiveLoadExcludesRequestsInTransit(t *testing.T) {
	set := testSettings()
	set.BalancerCount = 4
	b, _ := newTestBalancer(t, set, testEndpoints(1, 2))
	now := time.Second
	far := b.backends[2]
	answer := func(took time.Duration) {
		b.recordOutcome(now, &request{class: &set.Classes[idempotentClass], work: 10}, &attempt{backend: far}, Outcome{Status: OK, Latency: took})
	}
	b.medianHint, b.meanWork, b.hintCount = 10, 10, 1
	for range pathMinAnswers {
		answer(50 * ms)
	}
	far.inflight = 2
	if got := b.effectiveLoad(far); got >= 1 {
		t.Errorf("two requests of which most is the way count as %v", got)
	}
	for range 100 { // a jam is not a long way
		answer(400 * ms)
	}
	if got := b.effectiveLoad(far); got < 1.5 {
		t.Errorf("two requests in a jam count as %v", got)
	}
}

// Without hints the quick answers of each class tell its work, and all of the group is the small lane's.
func TestWorkIsEstimatedPerClassWithoutHints(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), testEndpoints(4, 1))
	now := time.Second
	for i := range RequestID(400) {
		class, took := idempotentClass, 20*ms
		if i%2 == 1 {
			class, took = nonIdempotentClass, 80*ms
		}
		if i%3 == 0 {
			took *= 5 // it waited
		}
		b.HandleRequest(now, Request{ID: i, Class: class, Deadline: now + 2*time.Second, CostHint: math.NaN()})
		now += took
		b.HandleOutcome(now, Outcome{ID: i, Status: OK, Latency: took, Closed: true})
	}
	for class, want := range map[int]float64{idempotentClass: 20, nonIdempotentClass: 80} {
		if got := b.newRequest(now, Request{ID: 1000 + RequestID(class), Class: class, CostHint: math.NaN()}).work; got < want/2 || got > 1.5*want {
			t.Errorf("class %d: work %.1f, want about %.0f", class, got, want)
		}
	}
	if b.meanWork < 30 || b.meanWork > 75 {
		t.Errorf("mean work %.1f", b.meanWork)
	}
	if b.largeWorkShare > 0.05 || b.latencyPerWork < 1 {
		t.Errorf("large share %.2f, pace %.2f", b.largeWorkShare, b.latencyPerWork)
	}
}

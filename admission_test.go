package piernotch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/decision/admission"
	"piernotch/internal/decision/estimate"
)

// Overload must shed the lowest priority first. If everything is shed, no responses arrive, so the shed share
// has to decay by itself; otherwise the balancer would reject everything for ever.
func TestSheddingFollowsPriorityAndRecovers(t *testing.T) {
	s := testSettings()
	s.Classes[dedupEverywhereClass].PriorityWeight = 10
	b, h := newTestBalancer(t, s, testEndpoints(2, 1))
	now := time.Second
	for i := range 2000 {
		now += 5 * ms
		r := newTestRequest(RequestID(i), i%2, 10)
		r.Deadline = now + 2*time.Second
		before := len(h.attempts)
		b.HandleRequest(now, r)
		if len(h.attempts) > before {
			b.HandleOutcome(now, Outcome{ID: r.ID, Server: h.last().to, Latency: 450 * ms, RequestDone: true})
		}
		b.Timer(now, tickToken)
	}
	low, high := 0, 0
	for _, id := range h.rejected {
		if id%2 == 1 {
			high++
		} else {
			low++
		}
	}
	if low < 100 || high > low {
		t.Fatalf("rejected %d of low weight and %d of high weight", low, high)
	}
	shedAll(t, b, now) // from here on nothing is sent, so no responses arrive
	for range int(20 * time.Second / b.tickInterval) {
		now += b.tickInterval
		b.Timer(now, tickToken)
	}
	if share := b.admission.ShedShare(); share > 0.5 {
		t.Fatalf("shedding stays at %.2f without late responses", share)
	}
}

func TestOverQuotaRequestsHaveLowerPriority(t *testing.T) {
	s := testSettings()
	s.OverQuotaWeight = 0.1
	s.Tenants = []Tenant{{QuotaPerSec: 20}, {}}
	b, _ := newTestBalancer(t, s, testEndpoints(2, 1))
	over := 0
	for i := range 40 {
		now := time.Second + time.Duration(i)*25*ms
		r := b.newRequest(now, Request{ID: RequestID(i), CostHint: 5, Deadline: 9 * time.Second})
		if r.priority == admission.BandOf(idempotentClass, admission.OverQuota) {
			over++
		}
	}
	if over < 15 || over > 30 { // 40 arrive in 1 s; this balancer's half of the quota is 10 per second
		t.Errorf("%d of 40 were over the quota", over)
	}
	r := b.newRequest(time.Second, Request{ID: 99, Tenant: 1, CostHint: 5})
	if r.priority != admission.BandOf(idempotentClass, admission.WithinQuota) {
		t.Error("a tenant without a quota was over it")
	}
}

// Two classes together send twice as much work as one server completes. If only the priority weight decided,
// the class with the lower weight would get nothing for as long as the overload lasts.
func TestNoClassStarvesUnderSustainedOverload(t *testing.T) {
	s := manyBalancersSettings()
	s.Classes[nonIdempotentClass].PriorityWeight = 3
	b, h := newTestBalancer(t, s, testEndpoints(1, 1))
	served, sends := map[int]int{}, 0
	class := func(id RequestID) int { return int(id) % 2 * nonIdempotentClass }
	for now, id := time.Second, RequestID(2); now < 9*time.Second; now += 20 * ms {
		for range 2 {
			b.HandleRequest(now, Request{ID: id, Class: class(id), Deadline: now + 2*time.Second, CostHint: 10})
			id++
		}
		if sends < len(h.attempts) {
			a := h.attempts[sends]
			sends++
			served[class(a.id)]++
			completeAttempt(b, now, a.id, 0, a.to, OK)
		}
		if (now-time.Second)%b.tickInterval < 20*ms {
			b.Timer(now, tickToken)
		}
	}
	low, high := served[idempotentClass], served[nonIdempotentClass]
	require.Greater(t, low+high, 300)
	require.Greater(t, low, high/3, "%d of %d", low, low+high)
}

// Under sustained overload, a request that would wait too long must be rejected at once. A longer queue would
// serve no more requests, and would hold client connections that more important requests need.
func TestTooLongQueueIsRejectedAtOnce(t *testing.T) {
	s := testSettings()
	s.Classes[nonIdempotentClass].PriorityWeight = 5
	b, h := newTestBalancer(t, s, testEndpoints(4, 1))
	type inflightAttempt struct {
		startedAttempt
		endsAt time.Duration
	}
	var inflight []inflightAttempt
	mostWaiting, arrived, important := 0, 0, 0
	class := map[RequestID]int{}
	for now := time.Second; now < 6*time.Second; now += 5 * ms {
		for len(inflight) > 0 && inflight[0].endsAt <= now {
			a := inflight[0]
			inflight = inflight[1:]
			completeAttempt(b, now, a.id, 0, a.to, OK)
		}
		for range 2 { // 400 requests per second
			arrived++
			r := newTestRequest(RequestID(arrived), idempotentClass, 10)
			if arrived%5 == 0 {
				r.Class = nonIdempotentClass
				important++
			}
			class[r.ID] = r.Class
			r.Deadline = now + 2*time.Second
			b.HandleRequest(now, r)
		}
		b.Timer(now, tickToken)
		for _, a := range h.attempts {
			inflight = append(inflight, inflightAttempt{a, now + 200*ms})
		}
		h.attempts = h.attempts[:0]
		waiting := 0
		for _, r := range b.requests.open {
			waiting += int(estimate.Indicator(r.inflight == 0))
		}
		mostWaiting = max(mostWaiting, waiting)
	}
	rejectedImportant := 0
	for _, id := range h.rejected {
		rejectedImportant += int(estimate.Indicator(class[id] == nonIdempotentClass))
	}
	require.Less(t, mostWaiting, 40, "160 per second for a quarter of 500 ms")
	importantShare := float64(rejectedImportant) / float64(important)
	require.Less(t, importantShare, 0.3*float64(len(h.rejected)-rejectedImportant)/float64(arrived-important),
		"the higher weight goes first")
	require.Greater(t, len(h.rejected), arrived/4)
}

package piernotch

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSelectionStaysInZoneWhileItHasServers(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), testEndpoints(3, 2))
	for i := range 20 {
		b.HandleRequest(time.Second, newTestRequest(RequestID(i), idempotentClass, 10))
		if to := h.last().to; to > 3 {
			t.Fatalf("request %d left its zone for server %d", i, to)
		}
		completeAttempt(b, time.Second, RequestID(i), 0, h.last().to, OK)
	}
	list := testEndpoints(3, 2)
	list[0].State, list[1].State, list[2].State = Draining, Gone, Draining
	b.UpdateEndpoints(time.Second, UpdateDelta, list[:3])
	b.HandleRequest(time.Second, newTestRequest(100, idempotentClass, 10))
	if to := h.last().to; to < 4 {
		t.Fatalf("sent to %d, which is not ready", to)
	}
}

func TestSelectionSeparatesLanesByCostHint(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), testEndpoints(8, 1))
	heavy, light := map[ServerID]int{}, map[ServerID]int{}
	for i := range 400 {
		hint, seen := 9.0, light
		if i%2 == 1 {
			hint, seen = 11, heavy
		}
		b.HandleRequest(time.Second, newTestRequest(RequestID(i), idempotentClass, hint))
		if i >= 100 {
			seen[h.last().to]++
		}
		completeAttempt(b, time.Second, RequestID(i), 0, h.last().to, OK)
	}
	for id := ServerID(1); id <= 8; id++ {
		if id <= 3 && light[id] > 0 || id >= 6 && heavy[id] > 0 {
			t.Errorf("server %d got %d light and %d heavy requests", id, light[id], heavy[id])
		}
	}
	if len(light) < 3 || len(heavy) < 3 {
		t.Errorf("no round robin: light %v, heavy %v", light, heavy)
	}
}

func TestRequestsWithoutHintUseSmallLaneAndSingleServerServesBoth(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), testEndpoints(8, 1))
	for i, hint := range []float64{math.NaN(), math.Inf(1), 0, -3} {
		b.HandleRequest(time.Second, newTestRequest(RequestID(i), idempotentClass, hint))
		if to := h.last().to; to < 4 {
			t.Errorf("hint %v went to %d", hint, to)
		}
	}
	b, h = newTestBalancer(t, testSettings(), testEndpoints(1, 1))
	b.HandleRequest(time.Second, newTestRequest(1, idempotentClass, 5))
	b.HandleRequest(time.Second, newTestRequest(2, idempotentClass, 50))
	if len(h.attempts) != 2 {
		t.Errorf("the only server got %d of 2 requests", len(h.attempts))
	}
}

// Regression: queues at the servers had no limit. All servers were overloaded, and most requests were
// rejected because responses were late.
func TestFullZoneSpillsAndThenQueues(t *testing.T) {
	set := testSettings()
	set.Classes[nonIdempotentClass].PriorityWeight = 2
	set.BalancerCount = 4
	b, h := newTestBalancer(t, set, testEndpoints(3, 2))
	for i := range 9 {
		b.HandleRequest(time.Second, newTestRequest(RequestID(i), idempotentClass, 10))
		if local := h.last().to <= 3; local != (i < 6) {
			t.Fatalf("request %d went to server %d", i, h.last().to)
		}
	}
	b.HandleRequest(time.Second, newTestRequest(10, idempotentClass, 10))
	b.HandleRequest(time.Second, newTestRequest(11, nonIdempotentClass, 10))
	if len(h.attempts) != 9 || len(h.rejected) > 0 {
		t.Fatalf("%d sent, %d rejected: a lack of capacity is no reason to reject", len(h.attempts), len(h.rejected))
	}
	completeAttempt(b, time.Second, 0, 0, h.attempts[0].to, OK)
	if h.last().id != 11 || h.last().to != h.attempts[0].to {
		t.Fatalf("the free capacity went to request %d at %d", h.last().id, h.last().to)
	}
	completeAttempt(b, time.Second, 1, 0, h.attempts[1].to, OK)
	if h.last().id != 10 {
		t.Fatalf("request 10 still waits, %d was sent", h.last().id)
	}
}

// Regression: a zone's only server was in slow start, and requests were rejected although servers in the next
// zone were idle. None of the idle servers was among the few that this balancer may spill to.
func TestRequestsDoNotWaitWhileRemoteServersAreIdle(t *testing.T) {
	list := append(testEndpoints(1, 1), Endpoint{ID: 8, Zone: 1, Size: 1}, Endpoint{ID: 9, Zone: 1, Size: 1})
	list[0].StartedAt = 900 * ms
	b, h := newTestBalancer(t, testSettings(), list)
	for _, to := range b.endpoints.sorted {
		to.spillRank = 0.9
	}
	setMeanWork(t, b, 10)
	b.HandleRequest(time.Second, newTestRequest(1, idempotentClass, 100))
	if len(h.attempts) != 1 || h.last().to == 1 {
		t.Fatalf("sent %v", h.attempts)
	}
}

// Regression: balancers that started together went through the servers in the same order, so that all of them
// sent to the same few servers at the same time.
func TestRoundRobinStartsDifferPerSeed(t *testing.T) {
	first := map[ServerID]int{}
	for seed := range uint64(100) {
		h := &recorder{}
		b, err := New(testSettings(), seed, h)
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(time.Second, UpdateFull, testEndpoints(20, 1))
		b.HandleRequest(time.Second, newTestRequest(1, idempotentClass, 10))
		first[h.last().to]++
	}
	for id, n := range first {
		if n > 30 {
			t.Errorf("%d of 100 balancers begin with server %d", n, id)
		}
	}
}

// Regression: round robin sent a heavy request to a slow server, where it was certain to be late.
func TestHeavyRequestsGoToFastEnoughServer(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), testEndpoints(4, 1))
	setMeanWork(t, b, 10)
	for _, to := range b.endpoints.sorted { // latency: three times the work; on server 3, half of the work
		took := 30 * ms
		if to.ID == 3 {
			took = 5 * ms
		}
		b.observeLatency(&openRequest{class: &b.settings.Classes[nonIdempotentClass], work: 10}, to, took)
	}
	b.HandleRequest(time.Second, newTestRequest(1, nonIdempotentClass, 300))
	if h.last().to != 3 {
		t.Fatalf("300 ms of work within 500 ms went to server %d", h.last().to)
	}
	// Server 3 is still the fastest, even behind the first request.
	b.HandleRequest(time.Second, newTestRequest(2, nonIdempotentClass, 300))
	if h.last().to != 3 {
		t.Fatalf("the second request went to server %d", h.last().to)
	}
}

// Spilled requests of all balancers add up at a server, so two balancers may spill two requests each, but four
// balancers only one each. Each balancer also sends two requests to its own zone's server.
func TestFewBalancersSpillMoreEach(t *testing.T) {
	for balancers, want := range map[int]int{2: 4, 4: 3} {
		set := testSettings()
		set.BalancerCount = balancers
		b, h := newTestBalancer(t, set, testEndpoints(1, 2))
		for i := range 9 {
			b.HandleRequest(time.Second, newTestRequest(RequestID(i), idempotentClass, 10))
		}
		if len(h.attempts) != want {
			t.Errorf("%d balancers: %d sent, want %d", balancers, len(h.attempts), want)
		}
	}
}

// Regression: requests of one class hung on some servers that responded to the other classes. Each such
// request used up capacity there for a whole latency objective, and then failed.
func TestClassFailingOnServerIsSentElsewhere(t *testing.T) {
	set := testSettings()
	b, h := newTestBalancer(t, set, testEndpoints(2, 1))
	now := time.Second
	send := func(class int) ServerID {
		id := RequestID(len(b.requests.byID)) + RequestID(now)
		b.HandleRequest(now, newTestRequest(id, class, 10))
		return h.last().to
	}
	failing := b.endpoints.find(1)
	served := &openRequest{class: &set.Classes[idempotentClass], work: 10}
	hung := &openRequest{
		Request: Request{Class: nonIdempotentClass}, class: &set.Classes[nonIdempotentClass], work: 10,
	}
	for range 4 {
		now += 100 * ms
		responded := &attempt{server: failing, sentAt: now}
		b.recordOutcome(now, served, responded, Outcome{Status: OK, Latency: ms})
		timedOut := &attempt{server: failing, sentAt: now - 50*ms}
		b.recordOutcome(now, hung, timedOut, Outcome{Status: Timeout, Latency: 50 * ms})
	}
	failing.classFailures.RecordSend(now, nonIdempotentClass)
	for range 2 {
		if to := send(nonIdempotentClass); to == 1 {
			t.Error("sent to the server that fails its class")
		}
	}
	if to := send(idempotentClass); to != 1 {
		t.Errorf("the other class went to %d", to)
	}
	now += 4 * set.Classes[nonIdempotentClass].LatencyObjective
	if to := send(nonIdempotentClass); to != 1 {
		t.Errorf("not tried again: sent to %d", to)
	}
}

// A server that reports five requests in flight and one completion per second will respond late, however few
// requests this balancer has there. An outdated report must not keep the server out of use.
func TestOverloadedServerReceivesNoRequestsPastObjective(t *testing.T) {
	b, h := newTestBalancer(t, manyBalancersSettings(), testEndpoints(1, 1))
	b.LoadReported(time.Second, 1, LoadReport{Inflight: 5, CompletedPerSecond: 1})
	b.HandleRequest(time.Second, newTestRequest(1, idempotentClass, 10))
	require.Empty(t, h.attempts)
	b.HandleRequest(5*time.Second, Request{ID: 2, Class: idempotentClass, Deadline: 6 * time.Second, CostHint: 10})
	require.Len(t, h.attempts, 1)
}

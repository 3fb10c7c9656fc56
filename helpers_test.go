package piernotch

import (
	"testing"
	"time"

	"piernotch/internal/decision/admission"
	"piernotch/internal/decision/workload"
)

const ms = time.Millisecond

// recorder is a Host that records the calls that it gets.
type recorder struct {
	attempts     []startedAttempt
	canceled     []int
	rejected     []RequestID
	failed       []RequestID
	healthChecks []ServerID
	watches      int
	timers       []timerCall
}

func (h *recorder) StartAttempt(id RequestID, to ServerID, timeout time.Duration) {
	h.attempts = append(h.attempts, startedAttempt{id, to, timeout})
}

func (h *recorder) CancelAttempt(_ RequestID, attempt int) { h.canceled = append(h.canceled, attempt) }

func (h *recorder) Reject(id RequestID, _ time.Duration) { h.rejected = append(h.rejected, id) }

func (h *recorder) Fail(id RequestID) { h.failed = append(h.failed, id) }

func (h *recorder) HealthCheck(id ServerID) { h.healthChecks = append(h.healthChecks, id) }

func (h *recorder) WatchEndpoints() { h.watches++ }

func (h *recorder) SetTimer(d time.Duration, token uint32) {
	h.timers = append(h.timers, timerCall{d, token})
}

// startedAttempt is a call of StartAttempt.
type startedAttempt struct {
	id      RequestID
	to      ServerID
	timeout time.Duration
}

// timerCall is a call of SetTimer.
type timerCall struct {
	after time.Duration
	token uint32
}

func (h *recorder) last() startedAttempt { return h.attempts[len(h.attempts)-1] }

// Indexes of the classes in testSettings.
const (
	idempotentClass = iota
	dedupEverywhereClass
	dedupInZoneClass
	dedupInCellClass
	nonIdempotentClass
)

// testSettings returns settings with two zones, two balancers, and a class for each retry safety and
// deduplication scope.
func testSettings() Settings {
	class := func(safety RetrySafety, scope DedupScope) Class {
		return Class{
			LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: 1,
			RetrySafety: safety, DedupScope: scope, DedupWindow: time.Second,
		}
	}
	return Settings{
		BalancerCount: 2, Zones: []string{"a", "b"}, Tick: 5 * ms,
		Classes: []Class{
			idempotentClass:      class(Idempotent, 0),
			dedupEverywhereClass: class(IdempotencyKey, DedupEverywhere),
			dedupInZoneClass:     class(IdempotencyKey, DedupInZone),
			dedupInCellClass:     class(IdempotencyKey, DedupInCell),
			nonIdempotentClass:   class(NonIdempotent, 0),
		},
		Limits: Limits{MaxAttempts: 3, HedgedRequests: true, CancelAttempts: true},
		Rules:  Rules{PollInterval: 10 * time.Second, SlowStartCapacity: 0.2, SlowStartDuration: 20 * time.Second},
	}
}

// manyBalancersSettings returns testSettings with so many balancers that each sees only a small part of the
// load.
func manyBalancersSettings() Settings {
	s := testSettings()
	s.BalancerCount = 80
	return s
}

// testEndpoints returns n ready, warm servers in each zone. IDs start at 1 and increase zone by zone.
func testEndpoints(n, zones int) []Endpoint {
	var all []Endpoint
	for z := range zones {
		for i := range n {
			all = append(all, Endpoint{ID: ServerID(z*n + i + 1), Zone: z, Cell: i % 2, Size: 1})
		}
	}
	return all
}

// newTestBalancer returns a Balancer that got the list at the clock time of 1 s, and its recorder.
func newTestBalancer(t *testing.T, s Settings, list []Endpoint) (*Balancer, *recorder) {
	t.Helper()
	h := &recorder{}
	b, err := New(s, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(time.Second, UpdateFull, list)
	return b, h
}

// newTestRequest returns a request with its deadline at the clock time of 3 s.
func newTestRequest(id RequestID, class int, hint float64) Request {
	return Request{ID: id, Class: class, Deadline: 3 * time.Second, CostHint: hint}
}

// completeAttempt ends an attempt with a latency of 20 ms. The status OK also ends the request.
func completeAttempt(b *Balancer, now time.Duration, id RequestID, attemptNumber int, to ServerID, s Status) {
	b.HandleOutcome(now, Outcome{
		ID:          id,
		Attempt:     attemptNumber,
		Server:      to,
		Status:      s,
		Latency:     20 * ms,
		RequestDone: s == OK,
	})
}

// runTicks reviews the servers every 10 ms for 3 s, with some requests in flight. Each server of the own zone
// reports every 500 ms that it holds the given number of requests.
func runTicks(t *testing.T, s Settings, inflight float64) (*Balancer, *recorder) {
	t.Helper()
	b, h := newTestBalancer(t, s, testEndpoints(6, 2))
	b.tickInterval = 10 * ms
	now := time.Second
	for i := range 2 + int(2*inflight) {
		b.HandleRequest(now, Request{ID: RequestID(1 + i), Class: idempotentClass, Deadline: time.Minute, CostHint: 10})
	}
	for i := range 300 {
		now += b.tickInterval
		for id := ServerID(1); i%50 == 0 && id <= 6; id++ {
			b.LoadReported(now, id, LoadReport{Inflight: inflight, CompletedPerSecond: 20})
		}
		b.reviewServers(now)
	}
	return b, h
}

func fillRetryBudget(b *Balancer) {
	for range 1000 {
		b.retryBudget.RequestArrived()
	}
}

// setMeanWork sets the mean work and the median cost hint, in ms, by restoring a snapshot.
func setMeanWork(t *testing.T, b *Balancer, work float64) {
	t.Helper()
	if !b.workload.Restore(workload.Snapshot{MedianHint: work, Mean: work, LargeShare: 0.5}) {
		t.Fatal("the balancer has cost hints of its own")
	}
}

// shedAll reports late responses until all work is shed.
func shedAll(t *testing.T, b *Balancer, now time.Duration) {
	t.Helper()
	for range 100 {
		now += b.shortestObjective
		b.admission.ObserveResponse(b.admission.Step(now), admission.Response{Late: true, OnlyLocality: true})
	}
	if share := b.admission.ShedShare(); share != 1 {
		t.Fatalf("shed share %v", share)
	}
}

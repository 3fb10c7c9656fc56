package piernotch

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Overload: refuse what is worth least, and come back from refusing everything.
func TestSheddingFollowsPriorityAndRecovers(t *testing.T) {
	s := testSettings()
	s.Classes[dedupEverywhereClass].PriorityWeight = 10
	b, h := newTestBalancer(t, s, testEndpoints(2, 1))
	now := time.Second
	for i := range 2000 {
		now += 5 * ms
		r := newTestRequest(RequestID(i), i%2, 10)
		r.Deadline = now + 2*time.Second
		n := len(h.attempts)
		b.HandleRequest(now, r)
		if len(h.attempts) > n {
			b.HandleOutcome(now, Outcome{ID: r.ID, Backend: h.last().to, Latency: 450 * ms, Closed: true})
		}
		b.Timer(now, tickToken)
	}
	count := map[bool]int{}
	for _, id := range h.rejected {
		count[id%2 == 1]++
	}
	if count[false] < 100 || count[true] > count[false] {
		t.Fatalf("refused %d of little worth and %d of much", count[false], count[true])
	}
	b.shedShare = 1 // nothing is sent, so nothing is heard
	for range int(20 * time.Second / b.tickInterval) {
		now += b.tickInterval
		b.Timer(now, tickToken)
	}
	if b.shedShare > 0.5 {
		t.Fatalf("shedding stays at %.2f with nothing to show for it", b.shedShare)
	}
}

func TestOverQuotaRequestsHaveLowerPriority(t *testing.T) {
	s := testSettings()
	s.OverQuotaWeight = 0.1
	s.Tenants = []Tenant{{QuotaPerSec: 20}, {}}
	b, _ := newTestBalancer(t, s, testEndpoints(2, 1))
	over := 0
	for i := range 40 {
		r := b.newRequest(time.Second+time.Duration(i)*25*ms, Request{ID: RequestID(i), CostHint: 5, Deadline: 9 * time.Second})
		if b.priorities[r.priority].weight < 1 {
			over++
		}
	}
	if over < 15 || over > 30 { // 40 a second against this proxy's half of 20
		t.Errorf("%d of 40 counted as beyond the share", over)
	}
	if r := b.newRequest(time.Second, Request{ID: 99, Tenant: 1, CostHint: 5}); b.priorities[r.priority].weight < 1 {
		t.Error("a tenant without a quota is within it")
	}
}

// Two classes are worth the same. The one whose clients wait for longer must not take the other's part, and
// what has to be refused is refused of both alike.
func TestClassesOfEqualWeightShareCapacityEqually(t *testing.T) {
	set := testSettings()
	set.BalancerCount = 100
	b, _ := newTestBalancer(t, set, testEndpoints(2, 1))
	x, y := &b.priorities[2*idempotentClass], &b.priorities[2*nonIdempotentClass]
	if x.precedence != y.precedence {
		t.Fatalf("bands %+v and %+v", x, y)
	}
	x.arrived, x.forwarded, y.arrived, y.forwarded, b.shedShare = 100, 20, 100, 80, 0.5
	b.updatePriorities()
	if !x.starved || y.starved {
		t.Errorf("starves: %v and %v, the first was sent a fifth of its work and the other four", x.starved, y.starved)
	}
	if math.Abs(x.rejectShare-y.rejectShare) > 1e-9 || x.rejectShare < 0.4 || x.rejectShare > 0.6 {
		t.Errorf("refused %.2f and %.2f", x.rejectShare, y.rejectShare)
	}
	first := &request{Request: Request{ID: 1}, priority: 2 * nonIdempotentClass}
	second := &request{Request: Request{ID: 2}, priority: 2 * idempotentClass}
	if b.precedes(first, second) || !b.precedes(second, first) {
		t.Error("what starves does not go first")
	}
	x.starved = false
	if !b.precedes(first, second) || b.precedes(second, first) {
		t.Error("what came first does not go first")
	}
}

// Where worth counts by request, two light ones are worth more than a heavy one of more worth each; where it
// counts by work they are not.
func TestWeightPerRequestAndPerWork(t *testing.T) {
	for _, byRequest := range []bool{false, true} {
		set := testSettings()
		set.BalancerCount, set.WeightPerRequest = 100, byRequest
		set.Classes[idempotentClass].PriorityWeight, set.Classes[nonIdempotentClass].PriorityWeight = 2, 3
		b, _ := newTestBalancer(t, set, testEndpoints(2, 1))
		for i := range b.fastAnswers {
			b.fastAnswers[i] = 20
		}
		b.fastAnswers[nonIdempotentClass] = 80
		b.priorities[2*idempotentClass].arrived, b.priorities[2*nonIdempotentClass].arrived, b.shedShare = 100, 100, 0.5
		b.updatePriorities()
		light := &request{Request: Request{ID: 2}, priority: 2 * idempotentClass}
		heavy := &request{Request: Request{ID: 1}, priority: 2 * nonIdempotentClass}
		if got := b.precedes(light, heavy); got != byRequest {
			t.Errorf("by request %v: the light one goes first: %v", byRequest, got)
		}
		if got := b.priorities[heavy.priority].rejectShare > b.priorities[light.priority].rejectShare; got != byRequest {
			t.Errorf("by request %v: more of the heavy ones is refused: %v", byRequest, got)
		}
	}
}

// TestNoClassStarvesUnderSustainedOverload: twice as much comes as one backend answers, all
// of it in two classes. By worth alone the lesser one would get nothing for as long as it lasts.
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
			x := h.attempts[sends]
			sends++
			served[class(x.id)]++
			completeAttempt(b, now, x.id, 0, x.to, OK)
		}
		if (now-time.Second)%b.tickInterval < 20*ms {
			b.Timer(now, tickToken)
		}
	}
	low, high := served[idempotentClass], served[nonIdempotentClass]
	require.Greater(t, low+high, 300)
	require.Greater(t, low, high/3, "%d of %d", low, low+high)
}

// Under steady overload the queue stays short: who has no turn soon is refused at once, so that
// clients' connections are left for what is worth more, and as much is sent as with a long one.
func TestTooLongQueueIsRejectedAtOnce(t *testing.T) {
	s := testSettings()
	s.Classes[nonIdempotentClass].PriorityWeight = 5
	b, h := newTestBalancer(t, s, testEndpoints(4, 1))
	type out struct {
		at startedAttempt
		by time.Duration
	}
	var busy []out
	most, asked, dear, refused := 0, 0, 0, 0
	class := map[RequestID]int{}
	for now := time.Second; now < 6*time.Second; now += 5 * ms {
		for len(busy) > 0 && busy[0].by <= now {
			x := busy[0]
			busy = busy[1:]
			completeAttempt(b, now, x.at.id, 0, x.at.to, OK)
		}
		for range 2 { // 400 a second
			asked++
			r := newTestRequest(RequestID(asked), idempotentClass, 10)
			if asked%5 == 0 {
				r.Class, dear = nonIdempotentClass, dear+1
			}
			class[r.ID] = r.Class
			r.Deadline = now + 2*time.Second
			b.HandleRequest(now, r)
		}
		b.Timer(now, tickToken)
		for _, at := range h.attempts {
			busy = append(busy, out{at, now + 200*ms})
		}
		h.attempts = h.attempts[:0]
		waiting := 0
		for _, r := range b.openRequests {
			waiting += int(indicator(r.inflight == 0))
		}
		most = max(most, waiting)
	}
	for _, id := range h.rejected {
		refused += int(indicator(class[id] == nonIdempotentClass))
	}
	require.Less(t, most, 40, "160 a second for a quarter of 500 ms")
	require.Less(t, float64(refused)/float64(dear), 0.3*float64(len(h.rejected)-refused)/float64(asked-dear), "what is worth more goes first")
	require.Greater(t, len(h.rejected), asked/4)
}

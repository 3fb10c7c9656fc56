package piernotch

import (
	"fmt"
	"testing"
	"time"
)

// Whether a request is retried, and on which servers, depends on its class and on how the first attempt
// ended.
func TestRetriesRespectClassRetrySafety(t *testing.T) {
	for _, c := range []struct {
		class   int
		status  Status
		retried bool
		allowed func(first, second ServerID) bool // nil: any servers
	}{
		{idempotentClass, Reset, true, nil},
		{dedupEverywhereClass, Reset, true, nil},
		{dedupInZoneClass, Reset, true, func(x, y ServerID) bool { return (x <= 2) == (y <= 2) }},
		{dedupInCellClass, Reset, false, nil}, // no other server is in the same cell
		{nonIdempotentClass, Reset, false, nil},
		{nonIdempotentClass, ConnectFailed, true, nil},
		{nonIdempotentClass, Full, true, nil},
		{dedupInCellClass, Full, true, nil},
	} {
		name := fmt.Sprint(c.class, c.status)
		list := testEndpoints(2, 2)
		for i := range list {
			list[i].Cell = i
		}
		b, h := newTestBalancer(t, testSettings(), list)
		fillRetryBudget(b)
		b.HandleRequest(time.Second, newTestRequest(1, c.class, 10))
		first := h.last().to
		completeAttempt(b, time.Second+10*ms, 1, 0, first, c.status)
		retried := len(h.attempts) == 2
		if retried != c.retried {
			t.Errorf("%s: retried: %v", name, retried)
		} else if retried && c.allowed != nil && !c.allowed(first, h.last().to) {
			t.Errorf("%s: sent to %d, then to %d", name, first, h.last().to)
		}
		if !c.retried && (len(h.failed) != 1 || len(h.rejected) != 0) {
			t.Errorf("%s: failed %v, rejected %v", name, h.failed, h.rejected)
		}
	}
}

func TestRetriesEndWithDedupWindow(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), testEndpoints(3, 1))
	r := newTestRequest(1, dedupEverywhereClass, 10)
	b.settings.Classes[dedupEverywhereClass].DedupWindow = 50 * ms
	fillRetryBudget(b)
	b.HandleRequest(time.Second, r)
	completeAttempt(b, time.Second+60*ms, 1, 0, h.last().to, Reset)
	if len(h.attempts) != 1 {
		t.Fatal("retried after the window")
	}
}

func TestRequestIsRejectedAfterMaxAttempts(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), testEndpoints(6, 1))
	fillRetryBudget(b)
	b.HandleRequest(time.Second, newTestRequest(1, idempotentClass, 10))
	for i := range 3 {
		completeAttempt(b, time.Second+ms, 1, i, h.last().to, Full)
	}
	if len(h.attempts) != 3 || len(h.rejected) != 1 {
		t.Fatalf("%d attempts, rejected %v", len(h.attempts), h.rejected)
	}
	if len(b.requests.open) != 0 || len(b.requests.byID) != 0 {
		t.Fatal("the record of a finished request is kept")
	}
}

func TestRequestGetsOneResponseBeforeDeadline(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), nil) // no servers
	r := newTestRequest(1, idempotentClass, 10)
	b.HandleRequest(time.Second, r)
	for now := time.Second; now < r.Deadline; now += b.tickInterval {
		b.Timer(now, tickToken)
	}
	if len(h.rejected) != 1 {
		t.Fatalf("rejected %v", h.rejected)
	}
	// A request with less than a tick left must not wait for the next tick.
	r = newTestRequest(2, idempotentClass, 10)
	r.Deadline = time.Second + b.tickInterval/2
	b.HandleRequest(time.Second, r)
	if len(h.rejected) != 2 {
		t.Fatal("a request waits for a tick that comes after its deadline")
	}
	b.ClientDisconnected(2*time.Second, 2) // ignored: the request already has its response
	b.ClientDisconnected(2*time.Second, 77)
	if len(h.rejected)+len(h.failed) != 2 {
		t.Fatal("more than one final response")
	}
}

func TestTimeoutAtDeadlineFailsRequest(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), testEndpoints(2, 1))
	b.HandleRequest(time.Second, newTestRequest(1, nonIdempotentClass, 10))
	if to := h.last().timeout; to <= 0 || to > 2*time.Second {
		t.Fatalf("timeout %v", to)
	}
	completeAttempt(b, time.Second+h.last().timeout, 1, 0, h.last().to, Timeout)
	if len(h.failed) != 1 {
		t.Fatal("no final response")
	}
}

func TestClientGoneCancelsAttempts(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), testEndpoints(2, 1))
	b.HandleRequest(time.Second, newTestRequest(1, idempotentClass, 10))
	b.ClientDisconnected(time.Second+ms, 1)
	if len(h.canceled) != 1 || len(h.failed)+len(h.rejected) != 0 {
		t.Fatal("the attempt was not cancelled, or a client that has left got a response")
	}
	completeAttempt(b, time.Second+2*ms, 1, 0, h.last().to, Cancelled)
	if len(b.requests.open) != 0 {
		t.Fatal("the record of a closed request is kept")
	}
}

func TestStreamingResponseIsNeitherRetriedNorCancelled(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), testEndpoints(2, 1))
	b.HandleRequest(time.Second, newTestRequest(1, idempotentClass, 10))
	b.ResponseStarted(time.Second+ms, 1, 0)
	for now := time.Second; now < 5*time.Second; now += b.tickInterval {
		b.Timer(now, tickToken)
	}
	b.ClientDisconnected(5*time.Second, 1)
	if len(h.attempts) != 1 || len(h.canceled) != 0 {
		t.Fatal("a started response was retried or cancelled")
	}
}

// An attempt may wait so long for its connection that an attempt that started later is written first. The
// earlier attempt is then the repeat, and must be written within the deduplication window of the later one.
func TestAttemptDelayedBeforeWriteCountsAsRetry(t *testing.T) {
	set := testSettings()
	set.Limits.HedgedRequests = true
	b, h := newTestBalancer(t, set, testEndpoints(2, 1))
	now := time.Second
	b.HandleRequest(now, Request{ID: 1, Class: dedupEverywhereClass, Deadline: now + 3*time.Second, CostHint: 10})
	r := b.requests.find(1)
	fillRetryBudget(b)
	now += 100 * ms
	if !b.dispatch(now, r) || len(h.attempts) != 2 {
		t.Fatalf("sent %v", h.attempts)
	}
	for _, c := range []struct {
		after         time.Duration // since the start of the first attempt; the deduplication window is 1 s
		first, second bool          // whether the first and the second attempt are allowed
	}{
		{900 * ms, true, true},
		{1050 * ms, true, false},
		{1200 * ms, false, false},
	} {
		first := b.AttemptAllowed(time.Second+c.after, 1, 0)
		second := b.AttemptAllowed(time.Second+c.after, 1, 1)
		if first != c.first || second != c.second {
			t.Errorf("%v: the first is allowed: %v, the second: %v", c.after, first, second)
		}
	}
}

package piernotch

import (
	"fmt"
	"testing"
	"time"
)

// What may go where after an attempt whose fate is given.
func TestRetriesRespectClassRetrySafety(t *testing.T) {
	for _, c := range []struct {
		class  int
		status Status
		again  bool
		reach  func(first, second BackendID) bool
	}{
		{idempotentClass, Reset, true, nil},
		{dedupEverywhereClass, Reset, true, nil},
		{dedupInZoneClass, Reset, true, func(x, y BackendID) bool { return (x <= 2) == (y <= 2) }},
		{dedupInCellClass, Reset, false, nil}, // the zone has one backend of the cell
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
		b.retryBudget = 10
		b.HandleRequest(time.Second, newTestRequest(1, c.class, 10))
		first := h.last().to
		completeAttempt(b, time.Second+10*ms, 1, 0, first, c.status)
		if again := len(h.attempts) == 2; again != c.again {
			t.Errorf("%s: sent again: %v", name, again)
		} else if again && c.reach != nil && !c.reach(first, h.last().to) {
			t.Errorf("%s: sent to %d, then to %d", name, first, h.last().to)
		}
		if c.again {
			continue
		}
		if len(h.failed) != 1 || len(h.rejected) != 0 {
			t.Errorf("%s: failed %v, refused %v", name, h.failed, h.rejected)
		}
	}
}

func TestRetriesEndWithDedupWindow(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), testEndpoints(3, 1))
	r := newTestRequest(1, dedupEverywhereClass, 10)
	b.settings.Classes[dedupEverywhereClass].DedupWindow = 50 * ms
	b.retryBudget = 10
	b.HandleRequest(time.Second, r)
	completeAttempt(b, time.Second+60*ms, 1, 0, h.last().to, Reset)
	if len(h.attempts) != 1 {
		t.Fatal("sent again after the window")
	}
}

func TestRequestIsRejectedAfterMaxAttempts(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), testEndpoints(6, 1))
	b.retryBudget = 10
	b.HandleRequest(time.Second, newTestRequest(1, idempotentClass, 10))
	for i := range 3 {
		completeAttempt(b, time.Second+ms, 1, i, h.last().to, Full)
	}
	if len(h.attempts) != 3 || len(h.rejected) != 1 {
		t.Fatalf("%d attempts, refused %v", len(h.attempts), h.rejected)
	}
	if len(b.openRequests) != 0 || len(b.requests) != 0 {
		t.Fatal("a finished request is still kept")
	}
}

func TestRequestIsAnsweredOnceAndBeforeDeadline(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), nil) // no backend at all
	r := newTestRequest(1, idempotentClass, 10)
	b.HandleRequest(time.Second, r)
	for now := time.Second; now < r.Deadline; now += b.tickInterval {
		b.Timer(now, tickToken)
	}
	if len(h.rejected) != 1 {
		t.Fatalf("refused %v", h.rejected)
	}
	// Held, with less than a sweep left: the next sweep would come too late.
	r = newTestRequest(2, idempotentClass, 10)
	r.Deadline = time.Second + b.tickInterval/2
	b.HandleRequest(time.Second, r)
	if len(h.rejected) != 2 {
		t.Fatal("a request near its end waits for a sweep that comes too late")
	}
	b.ClientGone(2*time.Second, 2) // already gone: ignored
	b.ClientGone(2*time.Second, 77)
	if len(h.rejected)+len(h.failed) != 2 {
		t.Fatal("answered twice")
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
		t.Fatal("nothing answered")
	}
}

func TestClientGoneCancelsAttempts(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), testEndpoints(2, 1))
	b.HandleRequest(time.Second, newTestRequest(1, idempotentClass, 10))
	b.ClientGone(time.Second+ms, 1)
	if len(h.canceled) != 1 || len(h.failed)+len(h.rejected) != 0 {
		t.Fatal("the attempt goes on, or a gone client was answered")
	}
	completeAttempt(b, time.Second+2*ms, 1, 0, h.last().to, Cancelled)
	if len(b.openRequests) != 0 {
		t.Fatal("state kept for a request that owes nothing")
	}
}

func TestStreamingResponseIsNeitherRetriedNorCancelled(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), testEndpoints(2, 1))
	b.HandleRequest(time.Second, newTestRequest(1, idempotentClass, 10))
	b.ResponseStarted(time.Second+ms, 1, 0)
	for now := time.Second; now < 5*time.Second; now += b.tickInterval {
		b.Timer(now, tickToken)
	}
	b.ClientGone(5*time.Second, 1)
	if len(h.attempts) != 1 || len(h.canceled) != 0 {
		t.Fatal("a started stream was repeated or cancelled")
	}
}

// An attempt may wait for its connection for longer than the one that was sent after it: then it is the
// repeat, and has to be written within the window of the other.
func TestAttemptDelayedBeforeWriteCountsAsRetry(t *testing.T) {
	set := testSettings()
	set.Limits.HedgedRequests = true
	b, h := newTestBalancer(t, set, testEndpoints(2, 1))
	now := time.Second
	b.HandleRequest(now, Request{ID: 1, Class: dedupEverywhereClass, Deadline: now + 3*time.Second, CostHint: 10})
	r := b.requests[1]
	b.retryBudget = 1
	if now += 100 * ms; !b.dispatch(now, r) || len(h.attempts) != 2 {
		t.Fatalf("sent %v", h.attempts)
	}
	for _, c := range []struct {
		after         time.Duration // the first attempt was sent
		first, second bool
	}{{900 * ms, true, true}, {1050 * ms, true, false}, {1200 * ms, false, false}} { // the window is a second
		if x, y := b.AttemptAllowed(time.Second+c.after, 1, 0), b.AttemptAllowed(time.Second+c.after, 1, 1); x != c.first || y != c.second {
			t.Errorf("%v: the first stands: %v, the second: %v", c.after, x, y)
		}
	}
}

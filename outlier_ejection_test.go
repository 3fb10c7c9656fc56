package piernotch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A hung server accepts requests but does not respond, while the endpoint list shows it as ready. It must be
// ejected, and return after one successful trial.
func TestSilentServerIsEjectedAndReturnsAfterOneTrial(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), testEndpoints(2, 1))
	hung := b.endpoints.sorted[0]
	now, id := time.Second, RequestID(0)
	step := func() {
		id++
		r := newTestRequest(id, nonIdempotentClass, 10)
		r.Deadline = now + 2*time.Second
		b.HandleRequest(now, r)
		if to := h.last().to; to != hung.ID {
			completeAttempt(b, now+20*ms, id, 0, to, OK)
		}
		now += 25 * ms
		b.Timer(now, tickToken)
	}
	for !hung.outlier.Ejected() && id < 100 {
		step()
	}
	if !hung.outlier.Ejected() {
		t.Fatal("never ejected")
	}
	before := len(h.attempts)
	for _, a := range h.attempts {
		if a.to == hung.ID {
			completeAttempt(b, now, a.id, 0, a.to, Timeout)
		}
	}
	for now < hung.outlier.PauseEnd() {
		step()
	}
	for _, a := range h.attempts[before : len(h.attempts)-1] {
		if a.to == hung.ID {
			t.Fatal("an ejected server got a request before its trial")
		}
	}
	now = hung.outlier.PauseEnd() + ms
	b.Timer(now, tickToken)
	trials := 0
	for range 20 {
		step()
		if h.last().to == hung.ID {
			trials++
		}
	}
	if trials != 1 {
		t.Fatalf("%d trials at once", trials)
	}
	for i := range h.attempts {
		completeAttempt(b, now, h.attempts[i].id, 0, h.attempts[i].to, OK)
	}
	if hung.outlier.Ejected() {
		t.Fatal("a successful trial did not end the ejection")
	}
}

func TestHealthCheckPrecedesTrial(t *testing.T) {
	s := testSettings()
	s.Limits.HealthChecks = true
	b, h := newTestBalancer(t, s, testEndpoints(2, 1))
	to := b.endpoints.sorted[0]
	b.eject(time.Second, to)
	for now := to.outlier.PauseEnd(); now < to.outlier.PauseEnd()+time.Second; now += b.tickInterval {
		b.Timer(now, tickToken)
	}
	if len(h.healthChecks) != 1 {
		t.Fatalf("%d health checks", len(h.healthChecks)) // regression: a health check at every tick
	}
	b.HealthCheckCompleted(to.outlier.PauseEnd()+ms, to.ID, Timeout)
	if to.outlier.Ejections() != 2 {
		t.Fatal("a failed health check must prolong the ejection")
	}
	b.Timer(to.outlier.PauseEnd()+ms, tickToken)
	b.HealthCheckCompleted(to.outlier.PauseEnd()+2*ms, to.ID, OK)
	if !to.outlier.AllowsAttempt(to.outlier.PauseEnd()+3*ms, b.outlierOptions()) {
		t.Fatal("no trial after a passed health check")
	}
}

// Regression: servers that were ejected for bad responses, resets or silence returned in slow start. Half of
// the fleet was limited to one request at a time, although no process had restarted.
func TestOnlyConnectFailuresEndEjectionInSlowStart(t *testing.T) {
	for status, slowStart := range map[Status]bool{Error: false, Reset: false, ConnectFailed: true} {
		b, _ := newTestBalancer(t, testSettings(), testEndpoints(2, 1))
		to := b.endpoints.find(1)
		record := func(s Status) {
			r := &openRequest{class: &b.settings.Classes[idempotentClass], work: 10}
			b.recordOutcome(time.Second, r, &attempt{server: to}, Outcome{Status: s})
		}
		setMeanWork(t, b, 10)
		record(status)
		record(status)
		if to.outlier.Ejected() {
			t.Errorf("status %v: ejected after two", status)
		}
		record(status)
		if !to.outlier.Ejected() {
			t.Errorf("status %v: not ejected after three", status)
		}
		record(OK)
		if to.warm() == slowStart || to.outlier.Ejected() {
			t.Errorf("status %v: warm: %v, %d ejections", status, to.warm(), to.outlier.Ejections())
		}
	}
}

// Regression: a server that rejects everything is idle and responds at once, so it kept getting requests. Its
// rejections also counted as slow responses in the latency estimates of the whole fleet.
func TestServerRejectingAllRequestsIsEjected(t *testing.T) {
	b, h := newTestBalancer(t, manyBalancersSettings(), testEndpoints(6, 1))
	fillRetryBudget(b)
	rejections := 0
	for i := range 200 {
		now := time.Second + time.Duration(i)*ms
		b.HandleRequest(now, newTestRequest(RequestID(i), idempotentClass, 10))
		attemptNumber := 0
		if h.last().to == 1 {
			rejections++
			completeAttempt(b, now, RequestID(i), 0, 1, Full)
			attemptNumber++
		}
		completeAttempt(b, now, RequestID(i), attemptNumber, h.last().to, OK)
	}
	require.LessOrEqual(t, rejections, 3)
	require.Less(t, b.latency.PerWork(), 3.0, "a rejection counted as a slow response")
	require.Empty(t, h.rejected)
}

// Regression: a failure of all servers that lasted some milliseconds ejected them all, and every request was
// rejected for the whole pause, although the servers had recovered.
func TestServersReturnSoonAfterAllWereEjected(t *testing.T) {
	for name, test := range map[string]struct {
		balancers int
		within    time.Duration
	}{
		"one balancer":     {1, 2 * trialInterval},
		"twelve balancers": {12, 2 * 12 * trialInterval},
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.BalancerCount = test.balancers
			b, h := newTestBalancer(t, s, testEndpoints(3, 1))
			now := time.Second
			for _, failing := range b.endpoints.sorted {
				b.eject(now, failing)
			}
			b.Timer(now, tickToken)
			for _, failing := range b.endpoints.sorted {
				require.GreaterOrEqual(t, failing.outlier.PauseEnd(), now+test.within/4)
			}

			now += test.within
			b.Timer(now, tickToken)
			request := newTestRequest(1, nonIdempotentClass, 10)
			request.Deadline = now + time.Second
			b.HandleRequest(now, request)
			require.Len(t, h.attempts, 1)
			completeAttempt(b, now, 1, 0, h.last().to, OK)
			require.False(t, b.endpoints.find(h.last().to).outlier.Ejected())
		})
	}
}

// While another server can get requests, an ejected one keeps its pause.
func TestPauseIsKeptWhileAnotherServerIsNotEjected(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), testEndpoints(3, 1))
	first, second := b.endpoints.sorted[0], b.endpoints.sorted[1]
	b.eject(time.Second, first)
	b.eject(time.Second, second)
	before := first.outlier.PauseEnd()
	b.rebuildGroups(time.Second)
	require.Equal(t, before, first.outlier.PauseEnd())

	b.eject(time.Second, b.endpoints.sorted[2])
	b.rebuildGroups(time.Second)
	require.Less(t, first.outlier.PauseEnd(), before)
	require.Less(t, second.outlier.PauseEnd(), time.Second+2*trialInterval)
}

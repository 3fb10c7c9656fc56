package piernotch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A hung backend takes requests and says nothing; the list calls it ready.
func TestSilentBackendIsEjectedAndReturnsAfterOneTrial(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), testEndpoints(2, 1))
	hung := b.sorted[0]
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
	for hung.ejections == 0 && id < 100 {
		step()
	}
	if hung.ejections == 0 {
		t.Fatal("never ejected")
	}
	before := len(h.attempts)
	for _, s := range h.attempts {
		if s.to == hung.ID {
			completeAttempt(b, now, s.id, 0, s.to, Timeout)
		}
	}
	for now < hung.trialAt {
		step()
	}
	for _, s := range h.attempts[before : len(h.attempts)-1] {
		if s.to == hung.ID {
			t.Fatal("an ejected backend got work before its trial")
		}
	}
	now = hung.trialAt + ms
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
	if hung.ejections != 0 {
		t.Fatal("an answered trial did not end the ejection")
	}
}

func TestHealthCheckPrecedesTrial(t *testing.T) {
	s := testSettings()
	s.Limits.HealthChecks = true
	b, h := newTestBalancer(t, s, testEndpoints(2, 1))
	to := b.sorted[0]
	b.eject(time.Second, to)
	for now := to.trialAt; now < to.trialAt+time.Second; now += b.tickInterval {
		b.Timer(now, tickToken)
	}
	if len(h.healthChecks) != 1 {
		t.Fatalf("%d probes", len(h.healthChecks)) // one each sweep once cost more than it told
	}
	b.HealthCheckCompleted(to.trialAt+ms, to.ID, Timeout)
	if to.ejections != 2 {
		t.Fatal("a failed probe must prolong the ejection")
	}
	b.Timer(to.trialAt+ms, tickToken)
	b.HealthCheckCompleted(to.trialAt+2*ms, to.ID, OK)
	if !b.trialDue(to.trialAt+3*ms, to) {
		t.Fatal("no trial after a good probe")
	}
}

// Spoilt answers, resets and silence took servers out and brought them back as if cold:
// half of the fleet was held to one request at a time, though none had restarted.
func TestOnlyConnectFailuresEndEjectionInSlowStart(t *testing.T) {
	for status, cold := range map[Status]bool{Error: false, Reset: false, ConnectFailed: true} {
		b, _ := newTestBalancer(t, testSettings(), testEndpoints(2, 1))
		to := b.backends[1]
		hear := func(s Status) {
			b.recordOutcome(time.Second, &request{class: &b.settings.Classes[idempotentClass], work: 10}, &attempt{backend: to}, Outcome{Status: s})
		}
		b.meanWork = 10
		hear(status)
		hear(status)
		if to.ejections > 0 {
			t.Errorf("status %d: ejected after two", status)
		}
		hear(status)
		if to.ejections == 0 {
			t.Errorf("status %d: not ejected after three", status)
		}
		hear(OK)
		if (to.slowStartSince >= 0) != cold || to.ejections > 0 {
			t.Errorf("status %d: cold since %v", status, to.slowStartSince)
		}
	}
}

// TestBackendRejectingAllRequestsIsEjected: it is idle by what is held there, answers at once, and
// so drew turn after turn; its refusals also passed for a fleet that is late.
func TestBackendRejectingAllRequestsIsEjected(t *testing.T) {
	b, h := newTestBalancer(t, manyBalancersSettings(), testEndpoints(6, 1))
	b.retryBudget = 100
	drawn := 0
	for i := range 200 {
		now := time.Second + time.Duration(i)*ms
		b.HandleRequest(now, newTestRequest(RequestID(i), idempotentClass, 10))
		try := 0
		if h.last().to == 1 {
			drawn++
			completeAttempt(b, now, RequestID(i), 0, 1, Full)
			try++
		}
		completeAttempt(b, now, RequestID(i), try, h.last().to, OK)
	}
	require.LessOrEqual(t, drawn, 3)
	require.Less(t, b.latencyPerWork, 3.0, "a refusal passed for a slow answer")
	require.Empty(t, h.rejected)
}

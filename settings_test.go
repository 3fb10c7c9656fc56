package piernotch

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestValidateRejectsUnusableSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"zone":       func(s *Settings) { s.Zone = 9 },
		"classes":    func(s *Settings) { s.Classes = nil },
		"classes[1]": func(s *Settings) { s.Classes[1].LatencyObjective = -ms },
		"tick":       func(s *Settings) { s.Tick = -1 },
		"attempts":   func(s *Settings) { s.Limits.MaxAttempts = 0 },
		"cold from":  func(s *Settings) { s.Rules.SlowStartCapacity = math.NaN() },
		"tenants[0]": func(s *Settings) { s.Tenants = []Tenant{{QuotaPerSec: -1}} },
		"proxies":    func(s *Settings) { s.BalancerCount = 0 },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1, &recorder{}); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestUpdateSettingsWithRequestsInFlight(t *testing.T) {
	s := testSettings()
	b, h := newTestBalancer(t, s, testEndpoints(3, 1))
	b.HandleRequest(0, newTestRequest(1, idempotentClass, 1))
	first := h.last().to
	next := s
	next.Classes = append([]Class(nil), s.Classes...)
	next.Classes[idempotentClass].RetrySafety = NonIdempotent
	next.Classes = append(next.Classes, Class{Name: "new", LatencyObjective: 500 * ms, Deadline: time.Second, PriorityWeight: 9, RetrySafety: NonIdempotent})
	next.Limits.MaxAttempts = 1

	bad := next
	bad.Classes = bad.Classes[:1]
	require.ErrorContains(t, b.UpdateSettings(0, bad), "keep their places")
	bad = next
	bad.Limits.MaxAttempts = 0
	require.Error(t, b.UpdateSettings(0, bad))
	require.Equal(t, s.Limits.MaxAttempts, b.settings.Limits.MaxAttempts, "nothing of it is taken")

	require.NoError(t, b.UpdateSettings(0, next))
	b.HandleRequest(ms, newTestRequest(2, len(next.Classes)-1, 1))
	require.Equal(t, RequestID(2), h.last().id)
	completeAttempt(b, 2*ms, 1, 0, first, Reset) // it may have run: its class allows another, the settings do not
	require.Len(t, h.attempts, 2)
	require.Equal(t, []RequestID{1}, h.rejected, "it came as safe, and refusing it is true")
	require.Empty(t, h.failed)
}

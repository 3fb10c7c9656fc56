package piernotch

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestValidateRejectsUnusableSettings(t *testing.T) {
	for setting, change := range map[string]func(*Settings){
		"Zone":                    func(s *Settings) { s.Zone = 9 },
		"Classes":                 func(s *Settings) { s.Classes = nil },
		"Classes[1]":              func(s *Settings) { s.Classes[1].LatencyObjective = -ms },
		"Tick":                    func(s *Settings) { s.Tick = -1 },
		"Limits.MaxAttempts":      func(s *Settings) { s.Limits.MaxAttempts = 0 },
		"Rules":                   func(s *Settings) { s.Rules.PollInterval = -1 },
		"Rules.SlowStartCapacity": func(s *Settings) { s.Rules.SlowStartCapacity = math.NaN() },
		"Tenants[0]":              func(s *Settings) { s.Tenants = []Tenant{{QuotaPerSec: -1}} },
		"BalancerCount":           func(s *Settings) { s.BalancerCount = 0 },
	} {
		t.Run(setting, func(t *testing.T) {
			s := testSettings()
			change(&s)
			_, err := New(s, 1, &recorder{})
			var invalid *SettingsError
			require.ErrorAs(t, err, &invalid)
			require.Equal(t, setting, invalid.Setting)
			require.ErrorContains(t, err, "settings: ")
		})
	}
}

func TestSettingsErrorsNameSettingInOperatorsTerms(t *testing.T) {
	for text, change := range map[string]func(*Settings){
		"rules: slow start capacity is 2": func(s *Settings) { s.Rules.SlowStartCapacity = 2 },
		"classes[1]: latency objective 0s, deadline 2s, deduplication window 1s": func(s *Settings) {
			s.Classes[1].LatencyObjective = 0
		},
		"classes[0]: priority weight -1, late weight share 0": func(s *Settings) {
			s.Classes[0].PriorityWeight = -1
		},
	} {
		s := testSettings()
		change(&s)
		require.EqualError(t, s.Validate(), "settings: "+text)
	}
}

func TestUpdateSettingsWithRequestsInFlight(t *testing.T) {
	s := testSettings()
	b, h := newTestBalancer(t, s, testEndpoints(3, 1))
	b.HandleRequest(0, newTestRequest(1, idempotentClass, 1))
	first := h.last().to
	next := s
	next.Classes = slices.Clone(s.Classes)
	next.Classes[idempotentClass].RetrySafety = NonIdempotent
	next.Classes = append(next.Classes, Class{
		Name: "new", LatencyObjective: 500 * ms, Deadline: time.Second, PriorityWeight: 9, RetrySafety: NonIdempotent,
	})
	next.Limits.MaxAttempts = 1

	bad := next
	bad.Classes = bad.Classes[:1]
	require.ErrorContains(t, b.UpdateSettings(0, bad), "keep their places")
	bad = next
	bad.Limits.MaxAttempts = 0
	require.Error(t, b.UpdateSettings(0, bad))
	require.Equal(t, s.Limits.MaxAttempts, b.settings.Limits.MaxAttempts, "no setting was changed")

	require.NoError(t, b.UpdateSettings(0, next))
	b.HandleRequest(ms, newTestRequest(2, len(next.Classes)-1, 1))
	require.Equal(t, RequestID(2), h.last().id)
	// The request may have executed. The class that it arrived with allows a retry; the new settings do not.
	completeAttempt(b, 2*ms, 1, 0, first, Reset)
	require.Len(t, h.attempts, 2)
	require.Equal(t, []RequestID{1}, h.rejected, "it arrived as idempotent, so that a rejection is safe")
	require.Empty(t, h.failed)
}

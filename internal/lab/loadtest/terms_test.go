package loadtest

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/chaos"
)

// Clients with 5 to 20 ms left, of which servers need 4, still get one final response each, and nothing is executed
// twice beyond its class's effect.
func TestInvariantsHoldForRequestsWithLittleTimeLeft(t *testing.T) {
	t.Parallel()
	program := buildBalancer(t)
	for _, deadline := range []string{"5", "10", "20"} {
		for _, effect := range []string{"safe", "unsafe"} {
			t.Run(deadline+" ms, "+effect, func(t *testing.T) {
				t.Parallel()
				realization := testRealization(t, "", "traffic.rate_per_s=150", "class.*.effect="+effect,
					"class.*.deadline_ms="+deadline, "class.*.aim_ms="+deadline, "class.*.work_ms=4",
					"kind.*.error_rate=0.1", "balancers.count=2")
				report, err := Run(context.Background(), realization, Options{Program: program})
				require.NoError(t, err)
				requireOneOutcomePerAttempt(t, report)
				requireNoViolations(t, report)
			})
		}
	}
}

// All servers fall silent before SIGTERM and stay so through the whole shutdown. Requests that are open then must have
// their final response before the platform may kill the process.
func TestRequestsGetResponseThoughServersHangThroughShutdown(t *testing.T) {
	t.Parallel()
	silence := `
[[trouble]]
kind = "vanish"
at_s = 2
for_s = 8
part = 1
`
	terminated := chaos.Step{At: 2500 * time.Millisecond, Duration: 5 * time.Second, Action: chaos.TerminateBalancer}
	second := terminated
	second.Balancer = 1
	second.At = 3 * time.Second
	second.SignalSeries = true
	program := buildBalancer(t)
	for _, effect := range []string{"safe", "unsafe"} {
		t.Run(effect, func(t *testing.T) {
			t.Parallel()
			realization := testRealization(t, silence, "length_s=10", "balancers.count=2", "class.*.effect="+effect)
			report, err := Run(context.Background(), realization, Options{
				Program: program, Faults: []chaos.Step{terminated, second},
			})
			require.NoError(t, err)
			t.Log(report.Counts)
			require.Zero(t, report.ViolationCount(), "%v", report.Violations)
			requireOneOutcomePerAttempt(t, report)
		})
	}
}

package loadtest

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/scenario"
)

// Servers send some responses a second time, up to 60 ms later. A balancer must not take the second one for
// the response to the next request on the connection.
func TestRequestNeverGetsResponseOfAnEarlierOne(t *testing.T) {
	t.Parallel()
	repeats := `
[[trouble]]
kind = "response_twice"
at_s = 0
for_s = 10
part = 0.2
size = 60
`
	realization := func(settings ...string) *scenario.Realization {
		return testRealization(t, repeats, append(settings, "length_s=10", "traffic.rate_per_s=120")...)
	}
	program := buildBalancer(t)
	for _, balancers := range []string{"balancers.count=1", "balancers.count=3"} {
		t.Run(balancers, func(t *testing.T) {
			t.Parallel()
			report, err := Run(context.Background(), realization(balancers), Options{Program: program})
			require.NoError(t, err)
			require.Zero(t, report.ViolationCount(), "%v", report.Violations)
			require.Greater(t, report.Counts.Served, report.Requests/2)
		})
	}
}

// Servers with short queues send some rejections a second time, up to 60 ms later. The second one does not prove that
// the next request on the connection was not executed.
func TestRejectionOfEarlierRequestDoesNotProveLaterOneUnexecuted(t *testing.T) {
	t.Parallel()
	repeats := `
[[trouble]]
kind = "response_twice"
at_s = 0
for_s = 10
part = 0.5
size = 60
`
	realization := testRealization(t, repeats, "length_s=10", "traffic.rate_per_s=400", "kind.*.queue_per_core=0",
		"kind.*.cores=1", "balancers.count=3", "class.*.effect=unsafe")
	report, err := Run(context.Background(), realization, Options{Program: buildBalancer(t)})
	require.NoError(t, err)
	require.Zero(t, report.ViolationCount(), "%v", report.Violations)
	require.Positive(t, report.Counts.Rejected)
}

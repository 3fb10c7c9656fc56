package simulation

import (
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/scenario"
)

// Servers drain while discovery is down. They must get no requests once balancers could know of the drain.
// TestChangeReachesBalancersSoonAfterDiscoveryOutage of package loadtest checks the same with processes.
func TestDrainIsKnownSoonAfterDiscoveryOutage(t *testing.T) {
	parsed, err := scenario.Parse("outage", []byte(`
include = "base"
length_s = 40
[balancers]
count = 30
[traffic]
rate_per_s = 45
shape = "steady"
[discovery]
notice_s = 0.2
calls_per_s = 30
period_ms = 100
[rules]
drain_grace_ms = 500
[[trouble]]
kind = "discovery_outage"
at_s = 2
for_s = [8, 20]
[[trouble]]
kind = "leave"
at_s = 8
for_s = 1
part = 0.5
ramp_s = 40
`))
	require.NoError(t, err)
	for seed := range uint64(12) {
		realization, err := parsed.Draw(seed)
		require.NoError(t, err)
		world, err := New(realization, NewInProcess())
		require.NoError(t, err)
		result, err := world.Run()
		require.NoError(t, err)
		require.Zero(t, result.ViolationCount(), "seed %d: %v", seed, result.Violations)
	}
}

package loadtest

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// notifiedWithin is how soon a change must reach a balancer that can reach discovery: then it counts as
// notified, and only the grace of a drain is left.
const notifiedWithin = 6 * time.Second

// What users saw: a balancer went on sending requests to servers that had been draining for 8 to 11 s. The
// servers rejected them, and clients had to wait for a retry or were rejected.
//
// Order of events: discovery failed for several seconds, so the watch ended and calls failed; discovery came
// back and listed a server as draining; the balancer polled again only when its backoff was over.
//
// Cause: the backoff after a failed poll doubled up to the poll interval of the settings, 10 s, and with jitter
// up to 15 s, although a change counts as notified 6 s after discovery can be reached.
//
// Evidence: no call of the balancer was recorded between the drain and the attempts; the update was logged
// the moment it came, without a timeout of a watch before it; sixteen processes under an outage of 12 s polled
// 0.3 to 12.8 s after its end, five of them after more than 8 s.
func TestChangeReachesBalancersSoonAfterDiscoveryOutage(t *testing.T) {
	t.Parallel()
	faults := `
[[trouble]]
kind = "discovery_outage"
at_s = 1
for_s = 12
[[trouble]]
kind = "leave"
at_s = 11
for_s = 1
part = 0.4
ramp_s = 30
`
	report, err := Run(
		context.Background(),
		testRealization(
			t, faults, "balancers.count=16", "length_s=24", "discovery.notice_s=0.2", "discovery.period_ms=100",
		),
		Options{Program: buildBalancer(t)},
	)
	require.NoError(t, err)
	require.Zero(t, report.ViolationCount(), "%v", report.Violations)
	require.Less(t, report.SlowestNotification, notifiedWithin)
}

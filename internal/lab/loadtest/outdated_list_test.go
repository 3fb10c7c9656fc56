package loadtest

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// notifiedWithin is how soon a change must reach a balancer that can reach discovery. After that time the balancer
// counts as notified, with only the drain grace left to stop using a draining server.
const notifiedWithin = 6 * time.Second

// Guards against a long backoff after an outage of discovery. The backoff after failed polls used to grow to the poll
// interval of 10 s (15 s with jitter), although a change counts as notified 6 s after discovery can be reached again.
// Balancers poll only when their backoff is over: after an outage of 12 s, sixteen polled 0.3 to 12.8 s after its end,
// five of them after more than 8 s. Meanwhile they sent requests to servers that had been draining for 8 to 11 s. The
// servers rejected them, and clients had to wait for a retry or were rejected.
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
	requireNoViolations(t, report)
	require.Less(t, report.SlowestNotification, notifiedWithin)
}

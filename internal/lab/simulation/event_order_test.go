package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/lab/scenario"
)

// A response that arrives in the same microsecond as the timeout counts as a response.
func TestResponsePrecedesTimeoutInSameMicrosecond(t *testing.T) {
	s, err := scenario.Parse("tie.toml", []byte(`
name = "tie"
length_s = 1
[zones]
same_ms = 1
client_ms = 0
jitter = 0
[balancers]
count = 1
[fleet]
servers = 1
weights = "none"
[traffic]
load = 0
hints = "exact"
[[kind]]
name = "one"
handshake_rtts = 0
[[class]]
name = "read"
dist = "fixed"
work_ms = 10
aim_ms = 1000
deadline_ms = 1000
`))
	require.NoError(t, err)
	for timeout, want := range map[time.Duration]piernotch.Status{
		12 * time.Millisecond:                  piernotch.OK,
		12*time.Millisecond - time.Microsecond: piernotch.Timeout,
	} {
		d, err := s.Draw(1)
		require.NoError(t, err)
		w, err := New(d, faultyTier{NewInProcess(), func(_ time.Duration, _ []Event, a []Action) []Action {
			for i := range a {
				if a[i].Kind == ActionStartAttempt { // 1 ms to the server, 10 ms of work, 1 ms back
					a[i].Delay = timeout
				}
			}
			return a
		}})
		require.NoError(t, err)
		w.schedule(100*time.Millisecond, func() { w.traffic.clientArrives(w) })
		r, err := w.Run()
		require.NoError(t, err)
		require.Positive(t, w.counters.Outcomes[want], "time-out after %v: %v", timeout, r.Ended)
		require.Zero(t, w.counters.Outcomes[piernotch.OK]*w.counters.Outcomes[piernotch.Timeout])
	}
}

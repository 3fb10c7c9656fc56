package loadtest

import (
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/goodput"
	"piernotch/internal/lab/simulation"
)

func TestMeasureRecoveryComparesWithControl(t *testing.T) {
	control, r := &simulation.Result{}, &simulation.Result{}
	for i := range 30 {
		control.Seconds = append(control.Seconds, goodput.Second{AskedWeight: 10, ServedWeight: 8, ClientAttempts: 4})
		r.Seconds = append(r.Seconds, goodput.Second{AskedWeight: 10, ServedWeight: 8, ClientAttempts: 4})
		if i >= 12 && i < 16 {
			r.Seconds[i].ServedWeight, r.Seconds[i].Rejected = 2, 2
		}
	}
	require.Equal(t, Recovery{Worst: 1, Served: 1}, MeasureRecovery(control, control, FaultTime))
	got := MeasureRecovery(r, control, FaultTime)
	require.InDelta(t, 0.25, got.Worst, 1e-9)
	require.Equal(t, 6.0, got.RecoveredAfter, "the last 3 s that hold a bad second end 6 s after it began")
	require.InDelta(t, 8.0/72, got.Rejected, 1e-9)
	for _, d := range FaultTests() {
		s, err := d.Scenario()
		require.NoError(t, err, d.Name)
		c, _, err := d.Control()
		require.NoError(t, err, d.Name)
		a, err := s.Draw(1)
		require.NoError(t, err)
		b, err := c.Draw(1)
		require.NoError(t, err)
		require.Equal(t, a.Servers, b.Servers, d.Name)
		require.Empty(t, b.Faults)
	}
}

package loadreport

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const second = time.Second

func TestReportsLeaveOutOwnRequests(t *testing.T) {
	var r Reports
	require.False(t, r.Received())
	r.Record(second, 5, 20, 2)
	require.True(t, r.Received())
	require.Equal(t, 3.0, r.LastOthers())
	require.Equal(t, 3.0, r.MeanOthers(), "the first report is the mean")
	require.Equal(t, 20.0, r.MeanCompletionRate())
	r.Record(2*second, 1, 40, 2) // the report is older than the two own requests
	require.Equal(t, 0.0, r.LastOthers())
	require.Equal(t, 40.0, r.LastCompletionRate())
	require.Equal(t, 2.25, r.MeanOthers())
	require.Equal(t, 25.0, r.MeanCompletionRate())
}

func TestOldReportGivesWayToMean(t *testing.T) {
	var r Reports
	require.Equal(t, 2.0, r.TotalInflight(second, 9, 2), "without reports only the own requests count")
	r.Record(second, 4, 20, 0)
	r.Record(second, 12, 20, 0) // the mean is 6
	for _, c := range []struct {
		age       time.Duration
		groupMean float64
		want      float64
	}{
		{0, 9, 12 + 1},
		{second, 9, 6 + 6/math.E + 1},
		{second, 2, 2 + 10/math.E + 1},
		{time.Minute, 9, 6 + 1},
		{time.Minute, 2, 2 + 1},
	} {
		require.InDelta(t, c.want, r.TotalInflight(second+c.age, c.groupMean, 1), 1e-9, "%+v", c)
	}
}

func TestGroupMeanCountsFreshReports(t *testing.T) {
	var old, fresh, silent Reports
	old.Record(second, 9, 20, 0)
	fresh.Record(3*second, 4, 20, 1)
	var none, mean GroupMean
	_, known := none.Inflight()
	require.False(t, known)
	now := 4 * second // the old report is three seconds old
	require.False(t, old.Fresh(now))
	require.True(t, old.Fresh(now-1))
	for _, r := range []*Reports{&old, &fresh, &silent} {
		mean.Add(now, r, 2)
	}
	inflight, known := mean.Inflight()
	require.True(t, known)
	require.InDelta(t, 3+2, inflight, 1e-9)
}

func TestPeakRateFallsSlowly(t *testing.T) {
	var small, large, silent Reports
	small.Record(second, 1, 10, 0)
	large.Record(second, 1, 50, 0)
	var fleet Fleet
	fleet.Add(&small, 1)
	fleet.Add(&large, 2)
	fleet.Add(&silent, 9)
	var peak PeakRate
	peak.Update(Fleet{})
	require.Zero(t, peak.PerSecond(), "no server has reported")
	peak.Update(fleet)
	require.Equal(t, 20.0, peak.PerSecond())
	for range 2839 {
		peak.Update(Fleet{})
	}
	require.InDelta(t, 10, peak.PerSecond(), 0.01, "it has halved")
	peak.Restore(5)
	require.InDelta(t, 10, peak.PerSecond(), 0.01)
	peak.Restore(30)
	require.Equal(t, 30.0, peak.PerSecond())
}

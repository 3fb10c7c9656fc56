package piernotch

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRestoreAppliesSnapshotOnce(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), testEndpoints(2, 1))
	b.Restore(Snapshot{MedianHint: -1, MeanWork: 2, LargeWorkShare: 0.5})
	require.Zero(t, b.workload.MedianHint())
	b.Restore(Snapshot{MedianHint: 50, MeanWork: 80, LargeWorkShare: 0.7, PeakCompletionRate: math.Inf(1)})
	require.Zero(t, b.workload.MedianHint(), "an impossible rate")
	b.Restore(Snapshot{MedianHint: 50, MeanWork: 80, LargeWorkShare: 0.7, PeakCompletionRate: 3})
	require.Equal(t, Snapshot{50, 80, 0.7, 3}, b.Snapshot())
	b.Restore(Snapshot{MedianHint: 1, MeanWork: 1})
	require.Equal(t, 50.0, b.workload.MedianHint(), "a balancer with cost hints of its own does not restore")
}

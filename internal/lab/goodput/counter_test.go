package goodput

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/lab/scenario"
)

func newTestCounter() *Counter {
	return New(&scenario.Realization{
		Length: 4 * time.Second,
		Classes: []scenario.DrawnClass{
			{
				Class: piernotch.Class{
					Name:             "read",
					PriorityWeight:   1,
					LatencyObjective: time.Second,
					LateWeightShare:  0.5,
				},
			},
			{Class: piernotch.Class{Name: "write", PriorityWeight: 3, LatencyObjective: time.Second}},
			{Class: piernotch.Class{Name: "unused", PriorityWeight: 1}},
		},
		Score: scenario.DrawnScore{WholeRun: 0.5, WorstWindow: 0.25, WorstClass: 0.25, Window: time.Second},
	})
}

func TestEarnedWeightFollowsLatencyObjective(t *testing.T) {
	for _, c := range []struct {
		took   time.Duration
		served bool
		want   float64
		late   float64
	}{
		{time.Second, true, 1, 0},
		{time.Second + 1, true, 0.5, 0},
		{time.Second, false, 0, 0},
		{time.Second + 1, false, 0, 1},
	} {
		counter := newTestCounter()
		counter.RequestSent(0, 0, 10)
		require.Equal(
			t,
			c.want,
			counter.RequestFinished(FinishedRequest{Took: c.took, Work: 10, ClientAttempts: 1, End: End(c.served)}),
		)
		require.Equal(t, c.late, counter.LateUnserved)
	}
}

func TestPartsAreWholeWorstWindowAndWorstClass(t *testing.T) {
	counter := newTestCounter()
	finish := func(at time.Duration, class int, served bool) {
		counter.RequestSent(at, class, 10)
		counter.RequestFinished(FinishedRequest{
			First: at, Took: 500 * time.Millisecond, Class: class, Work: 10, ClientAttempts: 1, End: End(served),
		})
	}
	finish(0, 0, true)
	finish(time.Second, 0, true)
	finish(time.Second, 1, false)
	finish(2*time.Second, 1, true)
	parts := counter.Parts()
	require.Equal(t, 5.0/8, parts.WholeRun)
	require.Equal(t, 1.0/4, parts.WorstWindow)
	require.Equal(t, 1.0/2, parts.WorstClass)
	require.Equal(t, []ClassShare{{"read", 1, 2}, {"write", 0.5, 2}, {"unused", 1, 0}}, parts.Classes)
	require.InDelta(t, 0.5*5/8+0.25/4+0.25/2-0.01, parts.Service(counter.realization.Score, 0.01), 1e-12)
	require.Zero(t, parts.Service(counter.realization.Score, 2))
	require.InEpsilon(t, 500, counter.Percentile(50), 1e-3)
	require.Len(t, counter.Latency(), len(latencyPercentiles))
}

func TestRunWithoutRequestsIsFullyServed(t *testing.T) {
	counter := newTestCounter()
	require.Equal(t, 1.0, counter.Parts().Service(counter.realization.Score, 0))
	require.Nil(t, counter.Latency())
}

func TestUnservedAttemptsCountForSecondOfFirst(t *testing.T) {
	counter := newTestCounter()
	counter.AttemptRejected(1500 * time.Millisecond)
	counter.AttemptFailed(1500 * time.Millisecond)
	counter.AttemptFailed(time.Minute)
	require.Equal(t, Second{Rejected: 1, Failed: 1}, counter.Seconds[1])
	require.Equal(t, Second{Failed: 1}, counter.Seconds[3])
	require.Equal(t, 1, counter.Rejected)
	require.Equal(t, 2, counter.Failed)
}

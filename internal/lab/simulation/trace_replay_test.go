package simulation

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/scenario"
	"piernotch/internal/trafficrecording"
)

func TestTraceIsReplayedInOrderOfArrival(t *testing.T) {
	name := filepath.Join(t.TempDir(), "t.pnt")
	out, err := trafficrecording.Create(
		name,
		trafficrecording.Header{Zone: "hawassa", Classes: []string{"pick-submit", "segment-read"}},
		trafficrecording.Limits{},
	)
	require.NoError(t, err)
	for i := range 400 { // each pair is swapped: records are in the order in which requests ended
		at := time.Duration(i^1) * 20 * time.Millisecond
		out.Add(
			trafficrecording.Record{
				At:       at,
				Class:    uint16(i % 2),
				Key:      uint64(i%7 + 1),
				CostHint: 30,
				Deadline: time.Second,
			},
		)
	}
	require.NoError(t, out.Close())
	r := run(t, NewInProcess(), "quiet", 1, "traffic.trace="+name, "length_s=10", "clients.retries=0")
	require.Equal(t, 400, r.Requests)
	require.Greater(t, r.Service, 0.9)
	require.Zero(t, r.ViolationCount())
	for i := range 8 {
		require.InDelta(t, 50*30*6.5, r.Seconds[i].AskedWeight, 1, "25 of each class a second")
	}
	s, err := scenario.Load("quiet")
	require.NoError(t, err)
	for set, want := range map[string]string{
		"traffic.trace=/no/such":       "no such file",
		"class.pick-submit.name=other": "is none of the scenario's",
	} {
		c, err := s.With("traffic.trace="+name, set)
		require.NoError(t, err)
		d, err := c.Draw(1)
		require.NoError(t, err)
		_, err = New(d, NewInProcess())
		require.ErrorContains(t, err, want)
	}
}

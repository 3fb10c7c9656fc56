package experiment

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/scenario"
)

// testPlan is a plan of short days.
func testPlan(t *testing.T, runs, workers int) Plan {
	t.Helper()
	s, err := scenario.Load("addis")
	require.NoError(t, err)
	s, err = s.With("length_s=15")
	require.NoError(t, err)
	return Plan{Scenario: s, Seed: 11, Runs: runs, Workers: workers}
}

func TestResultsDoNotDependOnNumberOfWorkers(t *testing.T) {
	var encoded [2][]byte
	for i, workers := range []int{1, 4} {
		var c Counter
		p := testPlan(t, 6, workers)
		p.Progress = c.Done
		runs, err := Run(context.Background(), p, Variant{})
		require.NoError(t, err)
		require.Equal(t, 6, c.Count())
		f := &ResultFile{Kind: "run", Runs: runs, Summary: SummarizeRuns(runs)}
		f.RemoveTimings()
		encoded[i], err = json.Marshal(f)
		require.NoError(t, err)
	}
	require.Equal(t, string(encoded[0]), string(encoded[1]))
}

package experiment

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/scenario"
)

// testPlan is a plan of short runs.
func testPlan(t *testing.T, runs, workers int) Plan {
	t.Helper()
	loaded, err := scenario.Load("addis")
	require.NoError(t, err)
	loaded, err = loaded.With("length_s=15")
	require.NoError(t, err)
	return Plan{Scenario: loaded, Seed: 11, Runs: runs, Workers: workers}
}

func TestResultsDoNotDependOnNumberOfWorkers(t *testing.T) {
	var encoded [2][]byte
	for i, workers := range []int{1, 4} {
		var counter Counter
		plan := testPlan(t, 6, workers)
		plan.Progress = counter.Done
		runs, err := Run(context.Background(), plan, Variant{})
		require.NoError(t, err)
		require.Equal(t, 6, counter.Count())
		file := &ResultFile{Kind: "run", Runs: runs, Summary: SummarizeRuns(runs)}
		file.RemoveTimings()
		encoded[i], err = json.Marshal(file)
		require.NoError(t, err)
	}
	require.Equal(t, string(encoded[0]), string(encoded[1]))
}

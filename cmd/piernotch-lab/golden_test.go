package main

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/chaos"
	"piernotch/internal/lab/clustersim"
	"piernotch/internal/lab/faultproxy"
	"piernotch/internal/lab/load"
	"piernotch/internal/lab/loadtest"
)

var update = flag.Bool("update", false, "write the golden files again; only where the form changes on purpose")

// checkGolden compares what writeJSON keeps of a value with a file under testdata, and reads the file.
func checkGolden[T any](t *testing.T, name string, value T) {
	t.Helper()
	path, fresh := filepath.Join("testdata", name), filepath.Join(t.TempDir(), name)
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, writeJSON(path, value))
	}
	require.NoError(t, writeJSON(fresh, value))
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	got, err := os.ReadFile(fresh)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), "%s: the form on disk has changed", path)
	var read T
	require.NoError(t, json.Unmarshal(want, &read))
	require.Equal(t, value, read)
}

// TestSchedulesGoldenFile guards the schedules of faults that are kept in files and played again.
func TestSchedulesGoldenFile(t *testing.T) {
	checkGolden(t, "group-schedule.json", clusterSchedule{
		Seed: 7,
		Size: clustersim.Size{Voters: 3, Clients: 4, Receivers: 2, Duties: 5, Duration: 90 * time.Second, Faults: 6},
		Faults: []clustersim.Fault{
			{
				At:       time.Second,
				Duration: 2 * time.Second,
				Kind:     clustersim.FaultCutLink,
				Process:  1,
				Other:    2,
				OneWay:   true,
			},
		},
		Broken: "two holders at once",
	})
	checkGolden(t, "chaos-schedule.json", chaosRun{
		Kind: "links", Seed: 8, Descriptions: []string{"a word"}, Failed: "a rule was broken",
		Steps: []chaos.Step{
			{
				At:         time.Second,
				Duration:   2 * time.Second,
				Action:     chaos.FlapLink,
				Balancer:   1,
				Target:     chaos.AllServers,
				Directions: chaos.OnlyFromTarget,
				Fault: faultproxy.Fault{
					Cut:            faultproxy.Reset,
					Delay:          3 * time.Millisecond,
					Jitter:         4 * time.Millisecond,
					BytesPerSecond: 5000,
				},
			},
		},
		Report: &loadtest.Report{
			Counts: load.Counts{
				Attempts:       1,
				Served:         2,
				Rejected:       3,
				Failed:         4,
				TimedOut:       5,
				Disconnected:   6,
				Unreachable:    7,
				RetriedOnClose: 8,
			},
			Balancers: [][]loadtest.Quarter{
				{{CPUSeconds: 1, ResidentMB: 2, Descriptors: 3}},
			},
			Malformed: map[string]load.MalformedCount{"nothing": {Sent: 1, Answered: 2, Served: 3}},
		},
	})
}

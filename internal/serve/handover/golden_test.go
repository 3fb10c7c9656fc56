package handover

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/overrides"
)

var update = flag.Bool("update", false, "rewrite the golden files; only if the format changes on purpose")

// checkGolden compares got with a golden file under testdata and returns the file's content. With -update it
// first writes the file.
func checkGolden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), "%s: the format on disk has changed", path)
	return want
}

// Different versions of the program read each other's records, so the format must not change by accident. Every
// field of the variable full is set.
func TestHandoverRecordGoldenFile(t *testing.T) {
	full := Record{
		ProcessState: ProcessState{Epoch: 3, PID: 4711, Phase: Ready, DescriptorClaim: 129},
		Name:         "n0", WrittenAt: 1_700_000_000 * time.Second, Discovery: "127.0.0.1:18500", Generation: 42,
		Endpoints: []Endpoint{
			{
				Name:      "s-1",
				Address:   "127.0.0.1:18001",
				Zone:      "addis",
				Cell:      7,
				State:     piernotch.Ready,
				Size:      1.5,
				StartedAt: 61 * time.Second,
			},
			{
				Name:      "s-2",
				Address:   "127.0.0.1:18002",
				Zone:      "afar",
				Cell:      8,
				State:     piernotch.Draining,
				Size:      0.25,
				StartedAt: 62 * time.Second,
			},
			{
				Name:      "s-3",
				Address:   "[::1]:18003",
				Zone:      "addis",
				Cell:      9,
				State:     piernotch.Gone,
				Size:      4,
				StartedAt: 63 * time.Second,
			},
		},
		Overrides: overrides.Overrides{
			Servers: map[string]overrides.Override{
				"s-1": {
					Timestamp: overrides.Timestamp{Counter: 11, Process: 12},
					Active:    true,
					SetAt:     13 * time.Second,
				},
				"s-2": {
					Timestamp: overrides.Timestamp{Counter: 14, Process: 15},
					Active:    false,
					SetAt:     16 * time.Second,
				},
				"s-9": {
					Timestamp: overrides.Timestamp{Counter: 17, Process: 18},
					Active:    true,
					SetAt:     19 * time.Second,
				},
			},
			Drain: overrides.Override{
				Timestamp: overrides.Timestamp{Counter: 20, Process: 21},
				Active:    true,
				SetAt:     22 * time.Second,
			},
		},
		Snapshot: piernotch.Snapshot{
			MedianHint:         50.5,
			MeanWork:           80.25,
			LargeWorkShare:     0.75,
			PeakCompletionRate: 3.125,
		},
	}
	none := Record{ // no endpoint list is known
		ProcessState: ProcessState{Epoch: 1, PID: 2, Phase: Starting, DescriptorClaim: 3},
		Name:         "n0",
	}
	ending := Record{
		ProcessState: ProcessState{Epoch: 1, PID: 2, Phase: ShuttingDown, DescriptorClaim: 3},
		Name:         "n0",
		Endpoints:    []Endpoint{},
	}
	for name, record := range map[string]Record{"full.record": full, "starting.record": none, "ending.record": ending} {
		data, err := Encode(record)
		require.NoError(t, err)
		got, err := Decode(checkGolden(t, name, data))
		require.NoError(t, err)
		require.Equal(t, record, got, name)
	}
}

package controlgroup

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGroupFileGoldenFile fails if a key of the settings file changes its name or meaning. Each key has a
// value other than its default; testdata/group.toml is the output of Config.TOML.
func TestGroupFileGoldenFile(t *testing.T) {
	want := Config{
		Name: "lakes", Self: "n1", StorePath: "/var/lib/piernotch/n1.voter",
		LeaseDuration: 7500 * time.Millisecond, MaxClockDrift: 0.02,
		Voters: []Voter{
			{Name: "n0", Address: "127.0.0.1:18700"},
			{Name: "n1", Address: "127.0.0.1:18701"},
			{Name: "n2", Address: "[::1]:18702"},
		},
		Duties: []string{"sweep", "count"}, WatchDuty: "watch/lakes", DiscoveryName: "discovery-lakes",
	}
	got, err := LoadFile("testdata/group.toml")
	require.NoError(t, err)
	require.Equal(t, want, got)
	text, err := os.ReadFile("testdata/group.toml")
	require.NoError(t, err)
	require.Equal(t, string(text), want.TOML())
}

// TestShippedGroupFile fails if deploy/group.toml no longer loads as these settings.
func TestShippedGroupFile(t *testing.T) {
	got, err := LoadFile("../../deploy/group.toml")
	require.NoError(t, err)
	require.Equal(t, Config{
		Name: "example", Self: "n0", StorePath: "/var/lib/piernotch/n0.voter",
		LeaseDuration: 5 * time.Second, MaxClockDrift: 0.01,
		Voters: []Voter{
			{Name: "n0", Address: "127.0.0.1:18700"},
			{Name: "n1", Address: "127.0.0.1:18701"},
			{Name: "n2", Address: "127.0.0.1:18702"},
		},
		Duties: []string{}, WatchDuty: "watch/addis",
	}, got)
}

package config

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// deploy/example.toml and deploy/example.json must result in the same settings, addresses and seed.
func TestExampleFilesAgree(t *testing.T) {
	got, err := LoadFile("../../../deploy/example.toml")
	require.NoError(t, err)
	data, err := os.ReadFile("../../../deploy/example.json")
	require.NoError(t, err)
	want, err := parsePlatform(data, func(string) string { return "" })
	require.NoError(t, err)
	require.Equal(t, want.Settings, got.Settings)
	require.Equal(t, want.KeepAlive, got.KeepAlive)
	require.Equal(t, want.Listen+want.Discovery, got.Listen+got.Discovery)
	require.Equal(t, want.Seed, got.Seed)
}

// All errors of a file must be reported at once, each with its line.
func TestAllErrorsOfAFileAreReportedWithTheirLines(t *testing.T) {
	_, err := parseTOML("x.toml", []byte(`listen = "nowhere"
discovery = "127.0.0.1:18500"
colour = "red"
seed = "xyz"
[limits]
memory_mb = "much"
sockets = 3
[log]
format = "xml"
[balancers]
zone = "a"
zones = ["b"]
[[class]]
name = "read"
aim_ms = 100
deadline_ms = 50
effect = "odd"
`))
	var fields FieldErrors
	require.ErrorAs(t, err, &fields)
	var first *FieldError
	require.ErrorAs(t, err, &first)
	require.Same(t, fields[0], first)
	lines := map[string]int{}
	for _, field := range fields {
		lines[field.Key] = field.Line
	}
	require.Equal(t, map[string]int{
		"listen": 1, "colour": 3, "seed": 4, "limits.memory_mb": 6, "limits.sockets": 7, "log": 8, "balancers.zone": 11,
		"class[0].deadline_ms": 16, "class[0].effect": 17,
	}, lines, err)
}

func TestMissingKeysHaveDefaults(t *testing.T) {
	c, err := parseTOML("x.toml", []byte("discovery = \"127.0.0.1:1\"\n"+
		"[[class]]\nname = \"read\"\naim_ms = 100\ndeadline_ms = 500\neffect = \"safe\"\n"))
	require.NoError(t, err)
	require.Equal(t, 192, c.MemoryMB)
	require.Equal(t, 250*time.Millisecond, c.DialTimeout)
	require.Equal(t, 4, c.Settings.Limits.MaxAttempts)
	require.Empty(t, c.Trace.File)
}

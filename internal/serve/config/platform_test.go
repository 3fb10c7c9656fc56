package config

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The error for an invalid value must name the value's key, and be a *FieldError.
func TestInvalidValueNamesItsField(t *testing.T) {
	data, err := os.ReadFile("../../../deploy/example.json")
	require.NoError(t, err)
	noEnvironment := func(string) string { return "" }
	good, err := parsePlatform(data, noEnvironment)
	require.NoError(t, err)
	require.Len(t, good.KnownEndpoints.Endpoints, 1)
	require.Equal(t, "segment-read", good.Settings.Classes[0].Name)
	for _, c := range []struct{ old, new, field string }{
		{`"listen": "127.0.0.1:18000"`, `"listen": "here"`, "listen: "},
		{`"discovery": "127.0.0.1:18500"`, `"discovery": "disco.local:80"`, "discovery: "},
		{`"seed": "8c1f`, `"seed": "xyz`, "seed: "},
		{`"memory_mb": 192`, `"memory_mb": 1`, "limits.memory_mb: "},
		{`"sockets": 1024`, `"sockets": 8`, "limits.sockets: "},
		{`"lifecycle": "in_service"`, `"lifecycle": "asleep"`, "known: list: instances[0].lifecycle "},
		{`"keepalive_ms": 60000`, `"keepalive_ms": 0`, "settings: limits.keepalive_ms "},
		{`"effect": "safe"`, `"effect": "odd"`, "settings: classes[0].effect "},
		{`"my_zone": 0`, `"my_zone": 9`, "settings: zone 9 of 1"},
		{`{"name"`, `"name"`, "ROUTER_CONFIG: "},
	} {
		_, err := parsePlatform([]byte(strings.Replace(string(data), c.old, c.new, 1)), noEnvironment)
		require.Error(t, err, c.new)
		require.True(t, strings.HasPrefix(err.Error(), c.field), err)
		require.NotContains(t, err.Error(), "\n")
		var field *FieldError
		require.ErrorAs(t, err, &field)
	}
	overridden, err := parsePlatform(data, func(name string) string {
		return map[string]string{"ROUTER_NAME": "n7", "ROUTER_LISTEN": "127.0.0.1:9"}[name]
	})
	require.NoError(t, err)
	require.Equal(t, "n7 127.0.0.1:9", overridden.Name+" "+overridden.Listen)
}

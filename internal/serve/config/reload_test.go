package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch"
)

// exampleFile returns the text of the example configuration, an environment that names a file, and a function that
// writes that file.
func exampleFile(t *testing.T) (example string, env func(string) string, write func(text string)) {
	t.Helper()
	data, err := os.ReadFile("../../../deploy/example.json")
	require.NoError(t, err)
	name := filepath.Join(t.TempDir(), "config.json")
	env = func(key string) string { return map[string]string{"ROUTER_CONFIG": name}[key] }
	write = func(text string) {
		t.Helper()
		require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	}
	return string(data), env, write
}

// A reload must reject a file that is incomplete: a missing key would read as zero.
func TestReloadedFileMustBeComplete(t *testing.T) {
	example, env, write := exampleFile(t)
	write(example)
	cfg, err := Load(env)
	require.NoError(t, err)
	for _, c := range []struct{ old, new, message string }{
		{example, "", "ROUTER_CONFIG: "},
		{example, example[:900], "ROUTER_CONFIG: "},
		{`"points": 5, `, "", "ROUTER_CONFIG: settings.classes[0].points: missing"},
		{`"zones": ["addis"], `, "", "ROUTER_CONFIG: settings.zones: missing"},
		{`"cold_from": 0.12, `, "", "ROUTER_CONFIG: settings.rules.cold_from: missing"},
		{`"cancelling": true`, `"cancelling": 1`, ""},
		{`"deadline_ms": 5000`, `"deadline_ms": -1`, "settings: classes[0]: "},
		{`"deadline_ms": 5000`, `"deadline_ms": "soon"`, "settings: "},
		{`"most_tries": 4`, `"most_tries": 0`, "settings: limits: "},
		{`"specifics": {"warm_keys": true}`, `"specifics": 3`, "settings: "},
		{`"classes": [`, `"classes": [], "others": [`, "settings: no classes"},
	} {
		write(strings.Replace(example, c.old, c.new, 1))
		_, err := cfg.Reload(env)
		require.ErrorContains(t, err, c.message, c.new)
	}
	// Classes may be added and removed, and keys may be added.
	write(strings.Replace(example, `{"name": "segment-read",`, `{"name": "other", "x": 1,`, 1))
	next, err := cfg.Reload(env)
	require.NoError(t, err)
	require.Equal(t, "other", next.Settings.Classes[0].Name)
}

// A keyed class without its scope would be repeated where servers do not know its keys.
func TestReloadedKeyedClassMustBeComplete(t *testing.T) {
	const scope, window = `, "dedup_scope": "zone"`, `, "dedup_window_ms": 6000`
	unkeyed, env, write := exampleFile(t)
	keyed := strings.Replace(unkeyed, `"effect": "unsafe"`, `"effect": "keyed"`+scope+window, 1)
	for _, started := range []string{keyed, unkeyed} { // the first keyed class may come with the new file
		write(started)
		cfg, err := Load(env)
		require.NoError(t, err)
		write(strings.Replace(keyed, scope, "", 1))
		_, err = cfg.Reload(env)
		require.ErrorContains(t, err, "settings.classes[1].dedup_scope: missing")
		write(strings.Replace(keyed, window, "", 1))
		_, err = cfg.Reload(env)
		require.ErrorContains(t, err, "settings.classes[1].dedup_window_ms: missing")
		write(strings.Replace(keyed, window, `, "dedup_window_ms": null`, 1))
		_, err = cfg.Reload(env)
		require.ErrorContains(t, err, "settings.classes[1].dedup_window_ms: ")
		for _, complete := range []string{keyed, unkeyed} {
			write(complete)
			_, err = cfg.Reload(env)
			require.NoError(t, err)
		}
	}
}

// The start accepts such a file, with the scope in which a repeat does no harm.
func TestKeyedClassWithoutScopeIsRepeatedInItsCellOnly(t *testing.T) {
	example, env, write := exampleFile(t)
	write(strings.Replace(example, `"effect": "unsafe"`, `"effect": "keyed", "dedup_window_ms": 6000`, 1))
	cfg, err := Load(env)
	require.NoError(t, err)
	require.Equal(t, piernotch.DedupInCell, cfg.Settings.Classes[1].DedupScope)
}

package scenario

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAllProblemsAreReportedWithFileAndLine(t *testing.T) {
	dir := t.TempDir()
	base, name := filepath.Join(dir, "under.toml"), filepath.Join(dir, "top.toml")
	require.NoError(t, os.WriteFile(base, []byte("include = \"base\"\ntick_ms = 0\nwat = 1\n"), 0o600))
	require.NoError(t, os.WriteFile(name, []byte(`include = "under.toml"
length_s = "long"
[fleet]
servers = "many"
weights = "heavy"
[traffic]
load = [1, 2, 3]
[[trouble]]
kind = "fire"
[[trouble]]
kind = "slow"
at_s = 3
part = 0.1
size = 2
zone = "atlantis"
`), 0o600))
	_, err := Load(name)
	var problems ProblemsError
	require.ErrorAs(t, err, &problems)
	got := map[string]int{}
	for _, p := range problems {
		got[filepath.Base(p.File)+" "+p.Key] = p.Line
	}
	require.Equal(t, map[string]int{
		"under.toml tick_ms":       2,
		"under.toml wat":           3,
		"top.toml length_s":        2,
		"top.toml fleet.servers":   4,
		"top.toml fleet.weights":   5,
		"top.toml traffic.load":    7,
		"top.toml trouble[0].kind": 9,
		"top.toml trouble[1].zone": 15,
	}, got, err)
	_, err = Load(filepath.Join(dir, "none.toml"))
	require.ErrorContains(t, err, "no such file")
	require.NoError(t, os.WriteFile(name, []byte("include = \"top.toml\"\n"), 0o600))
	_, err = Load(name)
	require.ErrorContains(t, err, "deep")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("include = \"base\"\nlength_s = [1, 2]\n[[trouble]]\nkind = \"slow\"\n"))
	f.Add([]byte("[[kind]]\nname = \"x\"\nspeed = [1"))
	f.Add([]byte("length_s = {a = 1}\ntick_ms = \"\"\"x\ny\"\"\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse("f", data); err == nil && s.Fleet.Servers <= 100 && s.Balancers.Count <= 100 {
			_, _ = s.Draw(1)
		}
	})
}

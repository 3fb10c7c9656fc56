package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func call(args ...string) (code int, out, err string) {
	var o, e bytes.Buffer
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

func TestExitCodesAndHelp(t *testing.T) {
	dir := t.TempDir()
	json, svg := filepath.Join(dir, "r.json"), filepath.Join(dir, "r.svg")
	short := []string{"--set", "length_s=5", "--runs", "2"}
	bad := filepath.Join(dir, "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("include = \"base\"\ntick_ms = 0\n"), 0o600))
	for _, c := range []struct {
		args []string
		code int
		says string
	}{
		{nil, 0, "piernotch-lab model run felt-quake"},
		{[]string{"model", "run", "--help"}, 0, "--runs"},
		{[]string{"scenario", "list"}, 0, "felt-quake"},
		{[]string{"scenario", "check", "wide", bad}, 1, "bad.toml:2: tick_ms"},
		{append([]string{"model", "run", "quiet", "--json", json}, short...), 0, "service"},
		{[]string{"plot", json, "-o", svg}, 0, ""},
		{[]string{"plot", json, "-o", filepath.Join(dir, "r.doc")}, 2, ".svg, .png or .html"},
		{append([]string{"model", "run", "quiet", "--aim", "service>=1.5"}, short...), 1, "missed: service>=1.5"},
		{append([]string{"model", "compare", "quiet", "--b", "balancers.max_attempts=1"}, short...), 0, "can't tell"},
		{append([]string{"model", "sweep", "quiet", "--vary", "traffic.load=0.2,0.3"}, short...), 0, "0.3"},
		{[]string{"model", "run", "quiet", "--set", "traffic.lod=1"}, 2, "no such key"},
		{[]string{"model", "run", "nosuch"}, 2, "no such file"},
		{[]string{"model", "run", "quiet", "--runs", "0"}, 2, "at least 1"},
		{[]string{"model", "dance"}, 2, "unexpected argument dance"},
	} {
		code, out, err := call(c.args...)
		require.Equal(t, c.code, code, "%v: %s%s", c.args, out, err)
		require.Contains(t, out+err, c.says, "%v", c.args)
	}
	data, err := os.ReadFile(svg)
	require.NoError(t, err)
	require.Contains(t, string(data), "<svg")
}

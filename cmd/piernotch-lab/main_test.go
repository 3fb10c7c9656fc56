package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// call runs the program and returns its exit code and what it printed.
func call(args ...string) (code int, out, err string) {
	var o, e bytes.Buffer
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

func TestExitCodesAndHelp(t *testing.T) {
	for _, simulate := range []string{"simulate", "model"} { // the name and its alias
		t.Run(simulate, func(t *testing.T) { testExitCodesAndHelp(t, simulate) })
	}
}

func testExitCodesAndHelp(t *testing.T, simulate string) {
	t.Helper()
	dir := t.TempDir()
	json, svg := filepath.Join(dir, "r.json"), filepath.Join(dir, "r.svg")
	short := []string{"--set", "length_s=5", "--runs", "2"}
	bad := filepath.Join(dir, "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("include = \"base\"\ntick_ms = 0\n"), 0o600))
	for _, test := range []struct {
		args []string
		code int
		says string
	}{
		{nil, 0, "piernotch-lab simulate run felt-quake"},
		{[]string{simulate, "run", "--help"}, 0, "--runs"},
		{[]string{"scenario", "list"}, 0, "felt-quake"},
		{[]string{"scenario", "check", "wide", bad}, 1, "bad.toml:2: tick_ms"},
		{append([]string{simulate, "run", "quiet", "--json", json}, short...), 0, "service"},
		{[]string{"plot", json, "-o", svg}, 0, ""},
		{[]string{"plot", json, "-o", filepath.Join(dir, "r.doc")}, 2, ".svg, .png or .html"},
		{append([]string{simulate, "run", "quiet", "--aim", "service>=1.5"}, short...), 1, "missed: service>=1.5"},
		{
			append([]string{simulate, "run", "quiet", "--threshold", "service>=1.5"}, short...),
			1,
			"missed: service>=1.5",
		},
		{
			append([]string{simulate, "run", "quiet", "--threshold", "rejected_rate<=-1"}, short...),
			1,
			"missed: rejected_rate<=-1",
		},
		{append([]string{simulate, "compare", "quiet", "--b", "balancers.max_attempts=1"}, short...), 0, "can't tell"},
		{append([]string{simulate, "sweep", "quiet", "--vary", "traffic.load=0.2,0.3"}, short...), 0, "0.3"},
		{[]string{simulate, "run", "quiet", "--set", "traffic.lod=1"}, 2, "no such key"},
		{[]string{simulate, "run", "nosuch"}, 2, "no such file"},
		{[]string{simulate, "run", "quiet", "--runs", "0"}, 2, "at least 1"},
		{[]string{simulate, "dance"}, 2, "unexpected argument dance"},
	} {
		code, out, err := call(test.args...)
		require.Equal(t, test.code, code, "%v: %s%s", test.args, out, err)
		require.Contains(t, out+err, test.says, "%v", test.args)
	}
	data, err := os.ReadFile(svg)
	require.NoError(t, err)
	require.Contains(t, string(data), "<svg")
}

// Scripts and pages from before the renames use the former names of subcommands.
func TestFormerSubcommandNamesAreAliases(t *testing.T) {
	for _, names := range []struct{ former, now []string }{
		{[]string{"model", "run"}, []string{"simulate", "run"}},
		{[]string{"model", "compare"}, []string{"simulate", "compare"}},
		{[]string{"model", "sweep"}, []string{"simulate", "sweep"}},
		{[]string{"rehearse"}, []string{"loadtest"}},
		{[]string{"drill"}, []string{"faulttest"}},
		{[]string{"group", "model"}, []string{"cluster", "simulate"}},
		{[]string{"group", "rig"}, []string{"cluster", "processes"}},
		{[]string{"group", "times"}, []string{"cluster", "times"}},
	} {
		wantCode, want, _ := call(append(names.now, "--help")...)
		gotCode, got, _ := call(append(names.former, "--help")...)
		require.Equal(t, []int{0, 0}, []int{wantCode, gotCode}, "%v", names)
		require.Contains(t, want, "Usage: piernotch-lab "+names.now[0]+" ("+names.former[0]+") ")
		require.Equal(t, want, got, "%v", names)
	}
	_, want, _ := call("faulttest", "--list")
	code, got, _ := call("drill", "--list")
	require.Zero(t, code)
	require.Contains(t, got, "kill-1-of-2")
	require.Equal(t, want, got)
}

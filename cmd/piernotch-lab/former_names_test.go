package main

import (
	"context"
	"regexp"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/chaos"
	"piernotch/internal/lab/experiment"
	"piernotch/internal/lab/loadtest"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/storednames"
)

// parse returns what a command line sets.
func parse(t *testing.T, args ...string) cli {
	t.Helper()
	var commands cli
	parser, err := newParser(&commands, kong.BindTo(context.Background(), (*context.Context)(nil)))
	require.NoError(t, err)
	_, err = parser.Parse(args)
	require.NoError(t, err, "%v", args)
	return commands
}

// Scripts and pages from before the renames use the former names of flags, which the help does not show.
func TestFormerFlagNamesAreHiddenAliases(t *testing.T) {
	for _, flags := range []struct {
		command     []string
		former, now string // with their values
	}{
		{[]string{"simulate", "run", "quiet"}, "--aim=service>=0.9", "--threshold=service>=0.9"},
		{[]string{"simulate", "compare", "quiet", "--b=builtin"}, "--aim=service>=0.9", "--threshold=service>=0.9"},
		{
			[]string{"simulate", "sweep", "quiet", "--vary=traffic.load=1,2"},
			"--aim=service>=0.9",
			"--threshold=service>=0.9",
		},
		{[]string{"loadtest", "quiet"}, "--aim=p99_ms<=20", "--threshold=p99_ms<=20"},
		{[]string{"faulttest"}, "--model", "--simulate"},
		{[]string{"handover"}, "--times=7", "--handovers=7"},
		{[]string{"chaos"}, "--steps=7", "--faults=7"},
		{[]string{"chaos"}, "--back=0.7", "--min-recovered=0.7"},
		{[]string{"chaos"}, "--group", "--shared-watch"},
		{[]string{"cluster", "processes"}, "--beside=7", "--parallel=7"},
		{[]string{"cluster", "times"}, "--beside=7", "--parallel=7"},
		{[]string{"cluster", "times"}, "--times=7", "--failovers=7"},
		{[]string{"logs", "folder"}, "--id=aa", "--request=aa"},
		{[]string{"logs", "folder"}, "--span=7", "--window=7"},
	} {
		want := parse(t, append(flags.command, flags.now)...)
		require.Equal(t, want, parse(t, append(flags.command, flags.former)...), "%v %s", flags.command, flags.former)
		require.NotEqual(t, want, parse(t, flags.command...), "%v: %s sets nothing", flags.command, flags.now)
		code, help, _ := call(append(flags.command, "--help")...)
		require.Zero(t, code)
		flag := regexp.MustCompile(`^--[a-z-]+`)
		require.Contains(t, help, flag.FindString(flags.now))
		require.NotRegexp(t, flag.FindString(flags.former)+`\b`, help)
	}
}

// The kind of a schedule may be given by its former name, under which it is stored and which its draws depend on.
func TestFormerNameOfScheduleDrawsSameSchedule(t *testing.T) {
	former := parse(t, "chaos", "roster").Chaos
	now := parse(t, "chaos", "discovery").Chaos
	want, err := former.schedule(3)
	require.NoError(t, err)
	got, err := now.schedule(3)
	require.NoError(t, err)
	require.Equal(t, "roster", want.Kind)
	require.Equal(t, want, got)
}

// Every stored name that is printed is in the table of those that people read.
func TestStoredNamesThatArePrintedAreInTable(t *testing.T) {
	for _, name := range append(experiment.FigureNames(), printedFigures...) {
		require.True(t, storednames.Has(storednames.Figures, name), name)
	}
	for _, kind := range loadtest.HandoverKinds {
		require.True(t, storednames.Has(storednames.HandoverKinds, string(kind)), kind)
	}
	for _, kind := range chaos.Kinds {
		require.True(t, storednames.Has(storednames.ScheduleKinds, kind.Name), kind.Name)
	}
	// The scenario package names its kinds of faults only when it is given an unknown one.
	_, err := scenario.Parse("test", []byte("include = \"base\"\n[[trouble]]\nkind = \"unknown\"\n"))
	require.Error(t, err)
	listed := regexp.MustCompile(`one of (.*) is expected`).FindStringSubmatch(err.Error())
	require.Len(t, listed, 2, "%v", err)
	kinds := strings.Split(listed[1], ", ")
	require.Greater(t, len(kinds), 20)
	for _, kind := range kinds {
		require.True(t, storednames.Has(storednames.FaultKinds, kind), kind)
	}
}

package overrides

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRepeatedExcludeIsUndoneByOneInclude(t *testing.T) {
	var o Overrides
	for i, tc := range []struct {
		action  Action
		server  string
		listed  bool
		changed bool
		err     error
	}{
		{Exclude, "s-1", false, false, ErrUnknownServer},
		{Include, "s-1", false, false, ErrUnknownServer},
		{Exclude, "s-1", true, true, nil},
		{Exclude, "s-1", false, false, nil}, // no longer listed
		{Include, "s-1", false, true, nil},
		{Exclude, "s-1", false, false, ErrUnknownServer},
		{Include, "s-2", true, false, nil},
		{Evacuate, "", false, true, nil},
		{Evacuate, "", false, false, nil},
		{Rejoin, "", false, true, nil},
	} {
		changed, err := o.Apply(Command{
			At: time.Duration(i), Process: 1, Action: tc.action, Server: tc.server, Listed: tc.listed,
		})
		require.ErrorIs(t, err, tc.err, i)
		require.Equal(t, tc.changed, changed, i)
	}
	require.False(t, o.Excluded("s-1"))
	require.False(t, o.Drain.Active)
	require.Len(t, o.Servers, 1)
	o.Prune(time.Hour)
	require.Empty(t, o.Servers)
}

// Processes that merge each other's overrides, in any order and any number of times, must end up with
// the same overrides. A command must win over every command that its process knew when receiving it.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := make([]Overrides, 3)
		names := []string{"a", "b"}
		for i := range rapid.IntRange(0, 30).Draw(t, "steps") {
			k := rapid.IntRange(0, 2).Draw(t, "process")
			if rapid.Bool().Draw(t, "merges") {
				other := all[rapid.IntRange(0, 2).Draw(t, "other")].Clone()
				all[k].Merge(&other)
				continue
			}
			action := Action(rapid.IntRange(0, 3).Draw(t, "action"))
			server := rapid.SampledFrom(names).Draw(t, "server")
			_, err := all[k].Apply(Command{
				At: time.Duration(i), Process: ProcessID(k), Action: action, Server: server, Listed: true,
			})
			require.NoError(t, err)
		}
		for range 2 {
			for i := range all {
				for j := range all {
					all[i].Merge(&all[j])
				}
			}
		}
		for i := range all {
			require.Equal(t, all[0].Drain, all[i].Drain)
			require.Equal(t, len(all[0].Servers), len(all[i].Servers))
			for name, override := range all[0].Servers {
				require.Equal(t, override, all[i].Servers[name])
			}
		}
		changed, err := all[1].Apply(Command{At: time.Hour, Process: 1, Action: Exclude, Server: "a", Listed: true})
		require.NoError(t, err)
		servers, _ := all[2].Merge(&all[1])
		require.Equal(t, changed, len(servers) == 1)
		require.True(t, all[2].Excluded("a"))
	})
}

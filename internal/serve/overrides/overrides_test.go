package overrides

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestACallOutMayArriveTwiceAndOneCallBackUndoesBoth(t *testing.T) {
	var w Overrides
	for i, c := range []struct {
		verb    Action
		server  string
		known   bool
		changed bool
		err     error
	}{
		{Exclude, "s-1", false, false, ErrUnknownServer},
		{Include, "s-1", false, false, ErrUnknownServer},
		{Exclude, "s-1", true, true, nil},
		{Exclude, "s-1", false, false, nil}, // not listed any more
		{Include, "s-1", false, true, nil},
		{Exclude, "s-1", false, false, ErrUnknownServer},
		{Include, "s-2", true, false, nil},
		{Evacuate, "", false, true, nil},
		{Evacuate, "", false, false, nil},
		{Rejoin, "", false, true, nil},
	} {
		changed, err := w.Apply(time.Duration(i), 1, c.verb, c.server, c.known)
		require.ErrorIs(t, err, c.err, i)
		require.Equal(t, c.changed, changed, i)
	}
	require.False(t, w.Excluded("s-1"))
	require.False(t, w.Drain.Active)
	require.Len(t, w.Servers, 1)
	w.Prune(time.Hour)
	require.Empty(t, w.Servers)
}

// Processes that hear of each other's words in any order, any number of times, end up with the
// same, and the word that was given last where both were known counts.
func TestMergeIsTheSameInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := make([]Overrides, 3)
		names := []string{"a", "b"}
		for i := range rapid.IntRange(0, 30).Draw(t, "steps") {
			k := rapid.IntRange(0, 2).Draw(t, "process")
			if rapid.Bool().Draw(t, "hears") {
				other := all[rapid.IntRange(0, 2).Draw(t, "other")].Clone()
				all[k].Merge(&other)
				continue
			}
			verb := Action(rapid.IntRange(0, 3).Draw(t, "verb"))
			_, err := all[k].Apply(time.Duration(i), uint64(k), verb, rapid.SampledFrom(names).Draw(t, "server"), true)
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
			for name, word := range all[0].Servers {
				require.Equal(t, word, all[i].Servers[name])
			}
		}
		changed, err := all[1].Apply(time.Hour, 1, Exclude, "a", true)
		require.NoError(t, err)
		servers, _ := all[2].Merge(&all[1])
		require.Equal(t, changed, len(servers) == 1)
		require.True(t, all[2].Excluded("a"))
	})
}

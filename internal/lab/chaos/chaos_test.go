package chaos

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestASeedIsOneScheduleAndLeavesTheEndInPeace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := Kinds[rapid.IntRange(0, len(Kinds)-1).Draw(t, "kind")].Name
		seed := rapid.Uint64().Draw(t, "seed")
		size := Size{rapid.IntRange(1, 9).Draw(t, "balancers"), rapid.IntRange(1, 20).Draw(t, "servers"),
			time.Duration(rapid.IntRange(12, 60).Draw(t, "s")) * time.Second, rapid.IntRange(1, 30).Draw(t, "steps")}
		steps, err := Draw(kind, seed, size)
		require.NoError(t, err)
		require.NotEmpty(t, steps)
		again, err := Draw(kind, seed, size)
		require.NoError(t, err)
		require.Equal(t, steps, again)
		for i, s := range steps {
			require.LessOrEqual(t, s.End(), size.Length-Rest, s)
			require.Less(t, s.Balancer, size.Balancers)
			for _, o := range steps[:i] {
				require.False(t, s.meets(o), "%v, %v", o, s)
			}
		}
	})
	_, err := Draw("nothing", 1, Size{1, 1, time.Minute, 1})
	require.ErrorContains(t, err, "nothing")
	_, err = Draw("links", 1, Size{1, 1, time.Second, 1})
	require.Error(t, err)
}

func TestShrinkKeepsWhatFails(t *testing.T) {
	steps, err := Draw("mixed", 7, Size{3, 6, time.Minute, 12})
	require.NoError(t, err)
	guilty := []Step{steps[2], steps[9]}
	asked := 0
	got := Shrink(steps, 200, func(s []Step) bool {
		asked++
		return slices.Contains(s, guilty[0]) && slices.Contains(s, guilty[1])
	})
	require.Equal(t, guilty, got)
	require.Less(t, asked, 60)
	asked = 0
	Shrink(steps, 5, func([]Step) bool { asked++; return true })
	require.LessOrEqual(t, asked, 5)
}

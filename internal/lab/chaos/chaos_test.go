package chaos

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestDrawIsDeterministicAndLeavesRecoveryTime(t *testing.T) {
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
		for i, step := range steps {
			require.LessOrEqual(t, step.End(), size.Length-RecoveryTime, step)
			require.Less(t, step.Balancer, size.Balancers)
			for _, earlier := range steps[:i] {
				require.False(t, step.conflictsWith(earlier), "%v, %v", earlier, step)
			}
		}
	})
	_, err := Draw("nothing", 1, Size{1, 1, time.Minute, 1})
	require.ErrorIs(t, err, ErrUnknownKind)
	require.ErrorContains(t, err, "nothing")
	_, err = Draw("links", 1, Size{1, 1, time.Second, 1})
	require.ErrorIs(t, err, ErrTooSmall)
}

func TestShrinkReturnsFailingSteps(t *testing.T) {
	steps, err := Draw("mixed", 7, Size{3, 6, time.Minute, 12})
	require.NoError(t, err)
	failing := []Step{steps[2], steps[9]}
	calls := 0
	got := Shrink(steps, 200, func(remaining []Step) bool {
		calls++
		return slices.Contains(remaining, failing[0]) && slices.Contains(remaining, failing[1])
	})
	require.Equal(t, failing, got)
	require.Less(t, calls, 60)
	calls = 0
	Shrink(steps, 5, func([]Step) bool { calls++; return true })
	require.LessOrEqual(t, calls, 5)
}

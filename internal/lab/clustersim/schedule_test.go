package clustersim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSchedulesBreakNoPropertyAndAreReproducible(t *testing.T) {
	acts := 0
	for seed := range uint64(40) {
		r := Run(seed, DefaultSize)
		require.Empty(t, r.Violations, "seed %d: %v", seed, r.Faults)
		acts += r.Acts
	}
	require.Greater(t, acts, 40*300)
	again := Run(7, DefaultSize)
	require.Equal(t, Run(7, DefaultSize), again, "a seed gives the same run again")
}

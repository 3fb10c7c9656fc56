package experiment

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Of 95% intervals, 95 in 100 contain the true mean.
func TestIntervalCoverage(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	covered := 0
	const rounds = 4000
	for range rounds {
		values := make([]float64, 6)
		for i := range values {
			values[i] = 3 + 2*rng.NormFloat64()
		}
		if interval := Summarize(values); *interval.Low <= 3 && 3 <= *interval.High {
			covered++
		}
	}
	require.InDelta(t, 0.95, float64(covered)/rounds, 0.012)
	one := Summarize([]float64{7})
	require.Nil(t, one.Low, "one run has no interval")
	require.Contains(t, one.String(), "no interval")
}

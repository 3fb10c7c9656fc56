package experiment

import (
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/storednames"
)

func TestParseCommandLineValues(t *testing.T) {
	dimension, err := ParseDimension("kind.fast.speed=[1,2],3")
	require.NoError(t, err)
	require.Equal(t, []string{"[1,2]", "3"}, dimension.Values)
	dimension, err = ParseDimension("balancers.count+fleet.servers=4+20,12+60")
	require.NoError(t, err)
	require.Equal(t, []string{"balancers.count=12", "fleet.servers=60"}, dimension.Settings(dimension.Values[1]))
	for _, bad := range []string{"x", "=1", "x=", "a+b=1"} {
		_, err := ParseDimension(bad)
		var flagErr *FlagError
		require.ErrorAs(t, err, &flagErr, bad)
	}
	variant, err := ParseVariant("balancers.max_attempts=1; balancers.cancel=false")
	require.NoError(t, err)
	require.Len(t, variant.Set, 2)
	_, err = ParseVariant("nowhere")
	require.ErrorIs(t, err, ErrUnknownVariant)
	bound, err := ParseBound("service>=0.9")
	require.NoError(t, err)
	require.True(t, bound.Missed(map[string]Interval{"service": {Mean: 0.8}}))
	require.False(t, bound.Missed(map[string]Interval{"service": {Mean: 0.9}}))
	_, err = ParseBound("beauty>=1")
	require.Error(t, err)
	require.ErrorContains(t, err, "--threshold beauty>=1")
	require.ErrorContains(t, err, "rejected_rate")
}

// A figure may be given by the name under which results keep it, or by the one that is printed.
func TestParseBoundTakesBothNamesOfFigure(t *testing.T) {
	stored, err := ParseBound("cold_falls<=0")
	require.NoError(t, err)
	printed, err := ParseBound("slow_start_collapses<=0")
	require.NoError(t, err)
	require.Equal(t, stored, printed)
	require.Equal(t, "cold_falls", printed.Figure)
}

func TestEveryFigureHasNameThatIsPrinted(t *testing.T) {
	for _, name := range FigureNames() {
		require.True(t, storednames.Has(storednames.Figures, name), name)
	}
}

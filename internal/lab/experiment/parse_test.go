package experiment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseCommandLineValues(t *testing.T) {
	v, err := ParseDimension("kind.fast.speed=[1,2],3")
	require.NoError(t, err)
	require.Equal(t, []string{"[1,2]", "3"}, v.Values)
	v, err = ParseDimension("balancers.count+fleet.servers=4+20,12+60")
	require.NoError(t, err)
	require.Equal(t, []string{"balancers.count=12", "fleet.servers=60"}, v.Settings(v.Values[1]))
	for _, bad := range []string{"x", "=1", "x=", "a+b=1"} {
		_, err := ParseDimension(bad)
		var flagErr *FlagError
		require.ErrorAs(t, err, &flagErr, bad)
	}
	b, err := ParseVariant("balancers.max_attempts=1; balancers.cancel=false")
	require.NoError(t, err)
	require.Len(t, b.Set, 2)
	_, err = ParseVariant("nowhere")
	require.ErrorIs(t, err, ErrUnknownVariant)
	a, err := ParseBound("service>=0.9")
	require.NoError(t, err)
	require.True(t, a.Missed(map[string]Interval{"service": {Mean: 0.8}}))
	require.False(t, a.Missed(map[string]Interval{"service": {Mean: 0.9}}))
	_, err = ParseBound("beauty>=1")
	require.Error(t, err)
}

package scenario

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWithReplacesValuesAndRejectsBadOnes(t *testing.T) {
	s, err := Load("addis")
	require.NoError(t, err)
	c, err := s.With("traffic.load=[0.1,0.2]", "kind.fast.speed=3", "kind.*.choke_at=0", "trouble.slow.size=4", "class[1].effect=safe", "zones.servers=[1,0,0,0]")
	require.NoError(t, err)
	require.Equal(t, 0.2, c.Traffic.Load.To)
	require.Equal(t, Fixed(3), c.Kinds[0].Speed)
	require.Zero(t, c.Kinds[2].ChokeAt.upper())
	require.NotZero(t, s.Kinds[2].ChokeAt.upper(), "the original stays")
	require.Equal(t, "safe", c.Classes[1].Effect)
	for _, bad := range []string{"traffic.lod=1", "kind.steam.speed=1", "traffic.load", "traffic.load=-1", "class[9].worth=1", "fleet.servers=x", "tick_ms.x=1"} {
		_, err := s.With(bad)
		require.Error(t, err, bad)
	}
}
